"""A model of the platform's append-only log without I/O.

It has offsets, a rate limit, retention, outages and lost answers.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any


class AppendOutcome(Enum):
    """The outcome of one append."""

    ACCEPTED = "taken"
    ACCEPTED_ANSWER_LOST = "taken-answer-lost"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as stored in the log."""

    offset: int
    time_s: float
    data: Any


class LogModel:
    """Streams of records.

    :param rate_per_s: rate limit of appends over all streams, with a burst of one second.
    :param retention_s: how long records are retained.
    """

    def __init__(
        self, rng: random.Random, rate_per_s: float = 300.0, retention_s: float = 86400.0
    ) -> None:
        self._rng = rng
        self.rate_per_s = rate_per_s
        self.retention_s = retention_s
        self.down = False
        self.lost_answer_share = 0.0
        self.accepted_append_count = 0
        self._streams: dict[str, deque[StoredRecord]] = {}
        self._end_offsets: dict[str, int] = {}
        self._tokens = rate_per_s
        self._refilled_at_s = 0.0

    def append(self, stream: str, data: Any, now_s: float) -> tuple[AppendOutcome, int]:
        """Handle an append; return its outcome and its offset, -1 if it was not stored."""
        if self.down:
            return AppendOutcome.LOST, -1
        if not self._take_token(now_s):
            return AppendOutcome.REFUSED, -1
        offset = self._end_offsets.get(stream, 0)
        self._end_offsets[stream] = offset + 1
        self._streams.setdefault(stream, deque()).append(StoredRecord(offset, now_s, data))
        self.accepted_append_count += 1
        if self._rng.random() < self.lost_answer_share:
            return AppendOutcome.ACCEPTED_ANSWER_LOST, offset
        return AppendOutcome.ACCEPTED, offset

    def read(
        self, stream: str, start: int, max_count: int, now_s: float
    ) -> tuple[list[StoredRecord], int, int] | None:
        """Return records from offset ``start``, the oldest offset and the offset to read next.

        Returns ``None`` while the log is down.
        """
        if self.down:
            return None
        records = self._streams.get(stream, deque())
        while records and records[0].time_s < now_s - self.retention_s:
            records.popleft()
        end_offset = self._end_offsets.get(stream, 0)
        first_offset = records[0].offset if records else end_offset
        index = max(0, start - first_offset)
        selected = [
            records[position] for position in range(index, min(len(records), index + max_count))
        ]
        next_offset = selected[-1].offset + 1 if selected else max(start, first_offset)
        return selected, first_offset, next_offset

    def _take_token(self, now_s: float) -> bool:
        elapsed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        self._tokens = min(self.rate_per_s, self._tokens + elapsed_s * self.rate_per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
