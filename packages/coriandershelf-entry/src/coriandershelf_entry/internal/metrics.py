"""Sends counters to statsd over UDP; an unreachable statsd server never affects a request."""

from __future__ import annotations

from collections import Counter

import statsd

PREFIX = "coriandershelf"


class Metrics:
    """Accumulates counters and sends their increments to statsd with each flush.

    To send a datagram for each token would cost more than to forward the token.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)
        self._pending: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()

    def count(self, name: str, amount: int) -> None:
        """Increment a counter."""
        self._pending[name] += amount

    def flush(self) -> None:
        """Send the increments since the last flush."""
        for name, amount in self._pending.items():
            self._client.incr(name, amount)
        self.totals.update(self._pending)
        self._pending.clear()
