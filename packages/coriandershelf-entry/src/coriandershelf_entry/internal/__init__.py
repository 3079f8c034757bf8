"""Modules of coriandershelf-entry that callers outside the package do not import."""
