"""Runs the command line as ``python -m coriandershelf_rig``."""

from coriandershelf_rig.internal.cli import main

main()
