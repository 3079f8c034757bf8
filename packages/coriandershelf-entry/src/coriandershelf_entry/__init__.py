"""Package coriandershelf-entry."""
