"""Replica selection, replica health tracking, and recovery from failed attempts."""
