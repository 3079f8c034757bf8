"""Virtual time: calls in the order of their times, without waiting."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualTime:
    """A heap of calls and the present time."""

    def __init__(self, now_s: float) -> None:
        self.now_s = now_s
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run ``call`` after a delay."""
        self._order += 1
        heapq.heappush(self._heap, (self.now_s + delay_s, self._order, call))

    def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        until_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
        self.now_s = until_s
