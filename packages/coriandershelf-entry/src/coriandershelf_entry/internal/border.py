"""Selects the external interfaces ("border") of the process at start-up.

A border is the pair of the API for callers and the client of the platform. The modules of a border
are imported only if it is selected, to save memory and start-up time.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Mapping, Sequence

BORDER_FLAG = "--border"
BORDER_VARIABLE = "CORIANDERSHELF_BORDER"
OWN_BORDER = "own"
PLATFORM_BORDER = "platform"


def selected_border(arguments: Sequence[str], environment: Mapping[str, str]) -> str:
    """Return the border named by the flag, else by the environment, else the built-in one."""
    for position, argument in enumerate(arguments):
        name, equals, value = argument.partition("=")
        if name != BORDER_FLAG:
            continue
        if equals:
            return value
        return arguments[position + 1] if position + 1 < len(arguments) else ""
    return environment.get(BORDER_VARIABLE, OWN_BORDER)


def has_other_arguments(arguments: Sequence[str]) -> bool:
    """Return whether there are arguments besides one that names the border."""
    both = [BORDER_FLAG, PLATFORM_BORDER]
    return list(arguments) not in ([], both, ["=".join(both)])


def main() -> None:
    """Start the process with the selected border."""
    # SIGHUP asks for a reload and must not end the process before the application handles it.
    # Nothing is lost by ignoring it: the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = sys.argv[1:]
    border = selected_border(arguments, os.environ)
    if border == PLATFORM_BORDER:
        # Modules' classes and functions are not garbage, but collections would take 7 % of the
        # processor time of their import. The process enables collection when it listens.
        gc.disable()
        if has_other_arguments(arguments):
            from coriandershelf_platform.cli import serve

            serve()
        else:
            # Without options there is nothing to parse, and the import of click would take 5 %
            # of the processor time of a start.
            from coriandershelf_platform.process import read_settings_or_exit, run

            run(read_settings_or_exit())
        return
    from coriandershelf_entry.internal.cli import main as serve_own

    serve_own()
