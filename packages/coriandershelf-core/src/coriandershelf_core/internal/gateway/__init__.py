"""Proxies requests unchanged to replicas that register themselves in a shared store."""
