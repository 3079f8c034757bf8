"""Soak test: random faults on real entry VM processes, checked from outside the system."""
