"""Modules of coriandershelf-operator that callers outside the package do not import."""
