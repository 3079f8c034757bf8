"""Measures the rate at which capacity becomes free at this VM, and estimates waits from it."""

from __future__ import annotations

import math

from msgspec import Struct, field

from coriandershelf_core.internal.drain_rate import DRAIN_MEMORY_S, DecayingSum, DrainRate

# Weight of a sample in the moving means of durations.
DURATION_WEIGHT = 0.1
# Until requests have waited for this long, the rate is mostly the one of attempts that end here.
PRIOR_WEIGHT_S = 0.5
# Routes and ranks of earlier configurations are forgotten beyond this number.
ROUTES_MAX_COUNT = 1024

# Class of the customer's usage against its share, its rank and the route's.
Rank = tuple[int, int, int]


class RoomRate(Struct):
    """The rate at which capacity of one service becomes free for this VM.

    While requests wait, it is the rate at which they are sent, which includes what other VMs free
    and what they take. Before that it is the rate at which this VM's attempts end: a VM that
    receives no messages expects no more than what its own requests free.

    :param run_s: moving mean of the time from the start to the end of attempts.
    :ivar ends: attempts that ended at this VM, after a replica had accepted them.
    """

    run_s: float | None = None
    ends: DecayingSum = field(default_factory=lambda: DecayingSum(DRAIN_MEMORY_S))
    drain: DrainRate = field(default_factory=DrainRate)
    _answer_s: dict[str, float] = field(default_factory=dict)
    _sent_by_rank: dict[Rank, DecayingSum] = field(default_factory=dict)

    def on_end(self, route: str, run_s: float, answer_s: float | None, now_s: float) -> None:
        """Record the end of an attempt that a replica had accepted.

        :param answer_s: time to the response or first event; ``None`` if there was none.
        """
        self.run_s = _update_mean(self.run_s, run_s)
        self.ends.add(1.0, now_s)
        if answer_s is not None:
            if len(self._answer_s) >= ROUTES_MAX_COUNT:
                self._answer_s.clear()
            self._answer_s[route] = _update_mean(self._answer_s.get(route), answer_s)

    def on_queue_change(self, waiting_count: int, sent_count: int, now_s: float) -> None:
        """Account for the time since the last change of the queue.

        :param waiting_count: requests that waited until now.
        :param sent_count: requests that stop waiting now because they are sent.
        """
        self.drain.record(waiting_count > 0, float(sent_count), now_s)

    def on_sent(self, rank: Rank, now_s: float) -> None:
        """Record that a request that has waited is sent."""
        sent = self._sent_by_rank.get(rank)
        if sent is None:
            if len(self._sent_by_rank) >= ROUTES_MAX_COUNT:
                self._sent_by_rank.clear()
            sent = self._sent_by_rank[rank] = DecayingSum(DRAIN_MEMORY_S)
        sent.add(1.0, now_s)

    def answer_s(self, route: str) -> float | None:
        """Return the mean time to a response or first event; ``None`` before any."""
        return self._answer_s.get(route)

    def per_s(self, running_count: int, now_s: float, rank: Rank | None = None) -> float:
        """Return the requests for which capacity becomes free per second; 0 if unknown.

        :param running_count: attempts of this VM in flight.
        :param rank: leave out what requests of better ranks take, which arrive later and go first.
        """
        prior = self.ends.value(now_s) / DRAIN_MEMORY_S
        if self.run_s is not None:
            # Little's law: a burst that has just begun shows in the attempts in flight, not yet in
            # the ends.
            prior = max(prior, running_count / max(self.run_s, 1e-3))
        waited_s = self.drain.backlogged_s.value(now_s)
        sent = self.drain.tokens.value(now_s)
        per_s = (sent + PRIOR_WEIGHT_S * prior) / (waited_s + PRIOR_WEIGHT_S)
        if rank is None or not self._sent_by_rank:
            return per_s
        by_rank = {key: item.value(now_s) for key, item in self._sent_by_rank.items()}
        better = sum(count for key, count in by_rank.items() if key < rank)
        total = sum(by_rank.values()) + PRIOR_WEIGHT_S * prior
        # After half an hour without a request all of these have decayed to zero.
        return per_s * (1.0 - better / total) if total > 0.0 else per_s


class Blocked(Struct, frozen=True):
    """Replicas that may not be used before a known time, though they have free capacity.

    :param until_s: the earliest of these times.
    :param free_count: requests that the replicas of this time have capacity for.
    """

    until_s: float
    free_count: int


def expected_wait_s(
    place: int,
    per_s: float,
    blocked: Blocked | None,
    now_s: float,
    deviations: float = 0.0,
) -> float:
    """Return the expected time until a waiting request is sent; infinite if unknown.

    :param place: its place in the queue, from 1.
    :param per_s: requests for which capacity becomes free per second.
    :param deviations: standard deviations to add to what follows from the rate.
    """
    # Attempts end independently of each other, so the count in a time is about Poisson.
    count = place + deviations * math.sqrt(place)
    by_rate_s = count / per_s if per_s > 0.0 else math.inf
    if blocked is None:
        return by_rate_s
    until_s = max(0.0, blocked.until_s - now_s)
    later_count = max(0, place - blocked.free_count)
    if later_count == 0:
        return min(by_rate_s, until_s)
    return min(by_rate_s, until_s + (later_count / per_s if per_s > 0.0 else math.inf))


def _update_mean(mean: float | None, value: float) -> float:
    return value if mean is None else mean + DURATION_WEIGHT * (value - mean)
