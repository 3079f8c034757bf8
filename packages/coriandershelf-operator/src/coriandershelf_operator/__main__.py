"""Runs the command line as ``python -m coriandershelf_operator``."""

from coriandershelf_operator.internal.cli import main

main()
