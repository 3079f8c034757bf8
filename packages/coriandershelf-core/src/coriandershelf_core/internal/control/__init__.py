"""Leases, orders to upstreams, and purchases of VMs."""
