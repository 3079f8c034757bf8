"""Runs the command line as ``python -m coriandershelf_entry``."""

from coriandershelf_entry.internal.border import main

main()
