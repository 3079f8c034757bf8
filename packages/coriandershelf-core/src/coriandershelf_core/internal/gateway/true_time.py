"""Estimates the true time of day although some machines' clocks jump."""

from __future__ import annotations

from statistics import median

PEER_OFFSET_KEEP_S = 5.0
PEERS_MIN_COUNT = 2


class TrueTime:
    """The median of several machines' clocks against this machine's steady clock.

    The steady clock must count suspension. As long as fewer than half of the clocks are wrong, the
    median is right; without peers the last estimate is kept, as the steady clock does not jump.

    :param offset_s: this machine's time of day less its steady clock, at the start.
    """

    def __init__(self, offset_s: float) -> None:
        self._offset_s = offset_s
        self._offsets: dict[str, tuple[float, float]] = {}

    def on_clock(self, vm_id: str, clock_s: float, now_s: float) -> None:
        """Take a machine's time of day, just received."""
        self._offsets[vm_id] = (clock_s - now_s, now_s)

    def update(self, own_clock_s: float, now_s: float) -> None:
        """Form the estimate anew."""
        fresh = [
            offset_s
            for offset_s, at_s in self._offsets.values()
            if now_s - at_s <= PEER_OFFSET_KEEP_S
        ]
        if len(fresh) >= PEERS_MIN_COUNT:
            self._offset_s = median([*fresh, own_clock_s - now_s])

    def at(self, now_s: float) -> float:
        """Return the true time of day, seconds since 1970, at a steady time."""
        return now_s + self._offset_s
