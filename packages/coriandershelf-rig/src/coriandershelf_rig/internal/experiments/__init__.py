"""Experiments: one module each, looked up by its ``NAME``."""
