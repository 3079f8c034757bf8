"""Modules of coriandershelf-wire that callers outside the package do not import."""
