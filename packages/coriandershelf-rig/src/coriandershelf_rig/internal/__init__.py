"""Modules of coriandershelf-rig that callers outside the package do not import."""
