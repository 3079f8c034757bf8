"""Modules of coriandershelf-core that callers outside the package do not import."""
