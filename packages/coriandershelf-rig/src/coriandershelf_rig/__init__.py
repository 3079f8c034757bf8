"""Package coriandershelf-rig."""
