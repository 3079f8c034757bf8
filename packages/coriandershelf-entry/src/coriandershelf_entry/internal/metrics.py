"""Counters to statsd; a lost statsd server never harms a request."""

from __future__ import annotations

from collections import Counter

import statsd

PREFIX = "coriandershelf"


class Metrics:
    """Counts here and sends sums to statsd over UDP with each flush.

    Counters are summed between flushes, since one datagram a token would cost more than the token.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)
        self._pending: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()

    def count(self, name: str, amount: int) -> None:
        """Raise a counter."""
        self._pending[name] += amount

    def flush(self) -> None:
        """Send what was counted since the last flush."""
        for name, amount in self._pending.items():
            self._client.incr(name, amount)
        self.totals.update(self._pending)
        self._pending.clear()
