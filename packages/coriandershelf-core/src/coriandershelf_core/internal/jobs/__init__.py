"""Accepted long work that outlives its entry VM."""
