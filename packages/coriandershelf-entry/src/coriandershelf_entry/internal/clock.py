"""The present time: starts at the wall clock's, then follows the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]


def make_clock() -> Clock:
    """Return a clock in seconds since the epoch that never goes back."""
    offset_s = time.time() - time.monotonic()
    return lambda: offset_s + time.monotonic()
