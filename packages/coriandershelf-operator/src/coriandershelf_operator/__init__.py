"""Package coriandershelf-operator."""
