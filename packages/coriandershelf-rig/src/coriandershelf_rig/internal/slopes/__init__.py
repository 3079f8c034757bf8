"""Slopes for docs/CAPACITY.md: one module each, found by its ``NAME``."""
