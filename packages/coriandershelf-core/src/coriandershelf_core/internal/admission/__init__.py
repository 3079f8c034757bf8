"""Admission control: authentication, queueing, and concurrency limits."""
