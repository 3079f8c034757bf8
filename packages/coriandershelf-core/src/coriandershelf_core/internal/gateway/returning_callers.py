"""Refused callers that were told when to come back, known by the content of their requests."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

PROMISES_MAX_COUNT = 2048
# A caller that has not come back this long after the promised time has gone to another VM.
OVERDUE_MAX_S = 2.0
# A caller that comes back after less than this share of the promised time gains nothing by it.
EARLIEST_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Promise:
    """What a refused caller was told.

    :param arrived_at_s: when its first attempt arrived.
    :param due_at_s: when it was told to come back.
    """

    arrived_at_s: float
    refused_at_s: float
    due_at_s: float


@dataclass(slots=True)
class ReturningCallers:
    """Promises by the fingerprint of the refused request, the oldest first."""

    _promises: OrderedDict[int, Promise] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._promises)

    def add(self, fingerprint: int, promise: Promise) -> None:
        """Record what a caller is told; the oldest promise is dropped if there are too many."""
        self._promises.pop(fingerprint, None)
        self._promises[fingerprint] = promise
        if len(self._promises) > PROMISES_MAX_COUNT:
            self._promises.popitem(last=False)

    def take(self, fingerprint: int, now_s: float) -> Promise | None:
        """Remove and return the promise of a caller that has come back.

        ``None`` if there is none, or if the caller came much earlier than it was told.
        """
        promise = self._promises.get(fingerprint)
        if promise is None:
            return None
        earliest_s = promise.refused_at_s + EARLIEST_SHARE * (
            promise.due_at_s - promise.refused_at_s
        )
        if now_s < earliest_s:
            return None
        del self._promises[fingerprint]
        return promise if now_s - promise.due_at_s <= OVERDUE_MAX_S else None

    def expire(self, now_s: float) -> int:
        """Drop promises whose callers did not come back; return how many.

        Promises are in the order of their refusals, so one that is due late may keep later ones
        for as long as it is kept itself.
        """
        count = 0
        while self._promises:
            fingerprint, promise = next(iter(self._promises.items()))
            if now_s - promise.due_at_s <= OVERDUE_MAX_S:
                break
            del self._promises[fingerprint]
            count += 1
        return count
