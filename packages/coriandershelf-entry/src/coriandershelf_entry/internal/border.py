"""Chooses at the start which callers and which platform the process speaks to.

Each border's modules are imported only where it is chosen: they cost memory and start-up time.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Mapping, Sequence

BORDER_FLAG = "--border"
BORDER_VARIABLE = "CORIANDERSHELF_BORDER"
OWN_BORDER = "own"
PLATFORM_BORDER = "platform"


def border_of(arguments: Sequence[str], environment: Mapping[str, str]) -> str:
    """Return the border that the flag names, else the environment, else the product's own."""
    for position, argument in enumerate(arguments):
        name, equals, value = argument.partition("=")
        if name != BORDER_FLAG:
            continue
        if equals:
            return value
        return arguments[position + 1] if position + 1 < len(arguments) else ""
    return environment.get(BORDER_VARIABLE, OWN_BORDER)


def main() -> None:
    """Start the process at the chosen border."""
    # Until the application handles it, a request to reload must not end the process; what it would
    # reload is read after this anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    border = border_of(sys.argv[1:], os.environ)
    if border == PLATFORM_BORDER:
        from coriandershelf_platform.cli import serve

        serve()
        return
    from coriandershelf_entry.internal.cli import main as serve_own

    serve_own()
