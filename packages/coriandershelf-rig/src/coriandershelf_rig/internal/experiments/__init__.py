"""Named measurements: one module each, found by its ``NAME``."""
