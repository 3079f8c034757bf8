"""Virtual time: runs scheduled callbacks in order of time, without waiting."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualTime:
    """A heap of scheduled callbacks and the current virtual time."""

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def at(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` after a delay."""
        self._scheduled_count += 1
        heapq.heappush(self._heap, (self.now_s + delay_s, self._scheduled_count, callback))

    def run(self, duration_s: float) -> None:
        """Advance virtual time and run the callbacks that fall due."""
        until_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = until_s
