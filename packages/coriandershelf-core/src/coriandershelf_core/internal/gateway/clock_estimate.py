"""Estimates the true wall-clock time although the clocks of some machines jump."""

from __future__ import annotations

from statistics import median

PEER_OFFSET_MAX_AGE_S = 5.0
PEERS_MIN_COUNT = 2


class ClockEstimate:
    """Median offset of several machines' wall clocks from this machine's monotonic clock.

    The monotonic clock must count suspension. The median is correct while fewer than half of the
    clocks are wrong. Without peers the last estimate is kept, as the monotonic clock does not jump.

    :param offset_s: this machine's wall-clock time minus its monotonic time at the start.
    """

    def __init__(self, offset_s: float) -> None:
        self._offset_s = offset_s
        self._offsets: dict[str, tuple[float, float]] = {}

    def on_clock(self, vm_id: str, clock_s: float, now_s: float) -> None:
        """Add a wall-clock time just received from a machine."""
        self._offsets[vm_id] = (clock_s - now_s, now_s)

    def update(self, own_clock_s: float, now_s: float) -> None:
        """Update the estimate."""
        fresh = [
            offset_s
            for offset_s, at_s in self._offsets.values()
            if now_s - at_s <= PEER_OFFSET_MAX_AGE_S
        ]
        if len(fresh) >= PEERS_MIN_COUNT:
            self._offset_s = median([*fresh, own_clock_s - now_s])

    def time_of_day_s(self, now_s: float) -> float:
        """Return the estimated Unix time at a monotonic time."""
        return now_s + self._offset_s
