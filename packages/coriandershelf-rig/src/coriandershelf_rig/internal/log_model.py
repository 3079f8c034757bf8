"""The platform's append-only log without I/O: offsets, rate limit, retention, outages."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any


class AppendFate(Enum):
    """What happens to one append."""

    TAKEN = "taken"
    TAKEN_ANSWER_LOST = "taken-answer-lost"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as it stands in the log."""

    offset: int
    time_s: float
    data: Any


class LogModel:
    """Streams of records.

    :param rate_per_s: appends taken a second over all streams.
    :param retention_s: how long records are kept.
    """

    def __init__(
        self, rng: random.Random, rate_per_s: float = 300.0, retention_s: float = 86400.0
    ) -> None:
        self._rng = rng
        self.rate_per_s = rate_per_s
        self.retention_s = retention_s
        self.down = False
        self.lost_answer_share = 0.0
        self.appends_taken = 0
        self._streams: dict[str, deque[StoredRecord]] = {}
        self._next: dict[str, int] = {}
        self._allowance = rate_per_s
        self._allowance_at_s = 0.0

    def append(self, stream: str, data: Any, now_s: float) -> tuple[AppendFate, int]:
        """Take an append or not; return its fate and offset."""
        if self.down:
            return AppendFate.LOST, -1
        if not self._within_rate(now_s):
            return AppendFate.REFUSED, -1
        offset = self._next.get(stream, 0)
        self._next[stream] = offset + 1
        self._streams.setdefault(stream, deque()).append(StoredRecord(offset, now_s, data))
        self.appends_taken += 1
        if self._rng.random() < self.lost_answer_share:
            return AppendFate.TAKEN_ANSWER_LOST, offset
        return AppendFate.TAKEN, offset

    def read(
        self, stream: str, start: int, max_count: int, now_s: float
    ) -> tuple[list[StoredRecord], int, int] | None:
        """Return records from ``start`` on, the oldest offset and the next one.

        ``None`` while the log is down.
        """
        if self.down:
            return None
        records = self._streams.get(stream, deque())
        while records and records[0].time_s < now_s - self.retention_s:
            records.popleft()
        following = self._next.get(stream, 0)
        first = records[0].offset if records else following
        index = max(0, start - first)
        chosen = [records[place] for place in range(index, min(len(records), index + max_count))]
        upcoming = chosen[-1].offset + 1 if chosen else max(start, first)
        return chosen, first, upcoming

    def _within_rate(self, now_s: float) -> bool:
        elapsed_s = now_s - self._allowance_at_s
        self._allowance_at_s = now_s
        self._allowance = min(self.rate_per_s, self._allowance + elapsed_s * self.rate_per_s)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
