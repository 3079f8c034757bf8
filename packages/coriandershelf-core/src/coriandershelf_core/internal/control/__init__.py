"""Leases, orders to upstreams and spending."""
