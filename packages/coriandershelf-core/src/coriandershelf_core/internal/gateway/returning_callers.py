"""Refused callers that were told when to come back, known by the content of their requests."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

PROMISES_MAX_COUNT = 2048
# A caller that has not come back this long after the promised time has gone to another VM.
OVERDUE_MAX_S = 2.0
# A caller that comes back after less than this share of the promised time gains nothing by it.
EARLIEST_SHARE = 0.5
# Time limits this close to the usual one are taken as equal to it. A returning caller has been away
# for longer, at least the shortest time that refused callers are told.
SAME_LIMIT_S = 0.02
# The usual limit is relied on once this many more requests had it than others, where one below it
# counts a quarter: under overload many are of returning callers.
SCORE_MIN = 8.0
SCORE_MAX = 40.0
SCORE_LEAST = -4.0
BELOW_WEIGHT = 0.25
# Callers are told to come back within a third of their time; what is further below the usual limit
# is another limit.
ELAPSED_MAX_SHARE = 0.45
LIMITS_MAX_COUNT = 2048


class Promise(Struct, frozen=True):
    """What a refused caller was told.

    :param arrived_at_s: when its first attempt arrived.
    :param due_at_s: when it was told to come back.
    """

    arrived_at_s: float
    refused_at_s: float
    due_at_s: float


class _UsualLimit(Struct):
    limit_s: float
    score: float = 1.0


class UsualLimits(Struct):
    """The time limit that a customer's requests of a route usually state.

    A caller keeps its time limit when it comes back, so what is missing from the usual one is the
    time since its first attempt, also if another VM refused that. Customers whose callers state
    many different limits have no usual one.
    """

    _limits: dict[tuple[str, str], _UsualLimit] = field(default_factory=dict)

    def elapsed_s(self, customer: str, route: str, limit_s: float) -> float:
        """Learn from a request; return the time since its first attempt, 0 if unknown."""
        usual = self._limits.get((customer, route))
        if usual is None:
            if len(self._limits) >= LIMITS_MAX_COUNT:
                self._limits.clear()
            self._limits[customer, route] = _UsualLimit(limit_s)
            return 0.0
        below_s = usual.limit_s - limit_s
        if abs(below_s) <= SAME_LIMIT_S:
            usual.score = min(SCORE_MAX, usual.score + 1.0)
            return 0.0
        may_return = 0.0 < below_s <= ELAPSED_MAX_SHARE * usual.limit_s
        usual.score -= BELOW_WEIGHT if may_return else 1.0
        if usual.score < (0.0 if below_s < 0.0 else SCORE_LEAST):
            self._limits[customer, route] = _UsualLimit(limit_s)
            return 0.0
        return below_s if may_return and usual.score >= SCORE_MIN else 0.0


class ReturningCallers(Struct):
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
