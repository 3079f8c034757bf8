"""Cost-by-size measurements for docs/CAPACITY.md: one module each, looked up by its ``NAME``."""
