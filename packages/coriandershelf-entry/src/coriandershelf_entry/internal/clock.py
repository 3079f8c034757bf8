"""The clock of the process: wall-clock time at the start, advanced by the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]


def make_clock() -> Clock:
    """Return a clock of seconds since the epoch that never goes backwards."""
    offset_s = time.time() - time.monotonic()
    return lambda: offset_s + time.monotonic()
