"""Requests passed through unchanged to replicas that register themselves in a shared store."""
