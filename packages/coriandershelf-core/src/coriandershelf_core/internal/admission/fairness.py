"""Weighted fair shares between customers, with priority inside a customer's share.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over the cost in tokens: each customer is a
flow with a virtual start time that moves by cost / share for each work taken; the flow with the
least goes next. Priority is added on top: a customer who has lately used no more than its share
goes before others by its priority; what it sends beyond its share queues behind everybody's
share. Strict priority alone would let one large priority customer shut out all others; fair
queueing alone would make a priority customer wait for its turn.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from coriandershelf_core.internal.vocabulary.work import Work

ACTIVE_USAGE_SHARE = 0.01
SHARE_TOLERANCE = 1.001
DRAIN_MEMORY_S = 3.0
DRAIN_MIN_BACKLOG_S = 0.25


@dataclass(slots=True)
class DecayingSum:
    """A sum that forgets with time."""

    memory_s: float
    amount: float = 0.0
    at_s: float = 0.0

    def value(self, now_s: float) -> float:
        """Return the sum as it has decayed to now."""
        return self.amount * math.exp(-max(0.0, now_s - self.at_s) / self.memory_s)

    def add(self, amount: float, now_s: float) -> None:
        """Add to the sum; it never falls below zero."""
        self.amount = max(0.0, self.value(now_s) + amount)
        self.at_s = now_s


@dataclass(slots=True)
class DrainRate:
    """The rate at which a backlog drains, learnt only while there is one."""

    tokens: DecayingSum = field(default_factory=lambda: DecayingSum(DRAIN_MEMORY_S))
    backlogged_s: DecayingSum = field(default_factory=lambda: DecayingSum(DRAIN_MEMORY_S))
    updated_at_s: float = 0.0

    def record(self, backlogged: bool, taken_tokens: float, now_s: float) -> None:
        """Account for the time since the last note and for what was taken now."""
        if backlogged:
            self.backlogged_s.add(now_s - self.updated_at_s, now_s)
            self.tokens.add(taken_tokens, now_s)
        self.updated_at_s = now_s

    def per_s(self, now_s: float) -> float | None:
        """Return the tokens drained a second, or ``None`` without enough evidence."""
        known_s = self.backlogged_s.value(now_s)
        if known_s < DRAIN_MIN_BACKLOG_S:
            return None
        return self.tokens.value(now_s) / known_s


@dataclass(slots=True)
class CustomerFlow:
    """One customer's waiting works and what it used lately.

    :param tag: virtual start time of the next work.
    """

    customer: str
    priority: int
    share: float
    usage_tokens: DecayingSum
    start_tag: float = 0.0
    backlog_tokens: float = 0.0
    drain: DrainRate = field(default_factory=DrainRate)
    works: OrderedDict[str, Work] = field(default_factory=OrderedDict)

    @property
    def head(self) -> Work:
        """Return the work that goes next."""
        return next(iter(self.works.values()))


@dataclass(frozen=True, slots=True)
class Rank:
    """How a flow stands: ``beyond_share`` goes last, then the lesser priority, then the tag."""

    over_share: bool
    priority: int
    start_tag: float

    @property
    def key(self) -> tuple[bool, int, float]:
        """Return the sort key."""
        return (self.over_share, 0 if self.over_share else self.priority, self.start_tag)

    def precedes(self, other: Rank) -> bool:
        """Return whether everything of this rank goes before the other, whatever the tags."""
        return self.key[:2] < other.key[:2]


class FairQueue:
    """Works of one service and class in weighted fair order.

    :param usage_memory_s: how long use counts against a customer's share.
    """

    def __init__(self, usage_memory_s: float) -> None:
        self._usage_memory_s = usage_memory_s
        self._flows: dict[str, CustomerFlow] = {}
        self._virtual_time = 0.0
        self._count = 0
        self._drain = DrainRate()

    def __len__(self) -> int:
        return self._count

    def push(self, work: Work, now_s: float) -> None:
        """Add a work; one that was tried before goes back to the front, as it is paid for."""
        flow = self._flow_of(work)
        self._record_drain(flow, 0.0, now_s)
        if not flow.works:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.works[work.work_id] = work
        if work.attempt_count:
            flow.works.move_to_end(work.work_id, last=False)
        flow.backlog_tokens += work.cost_tokens
        self._count += 1

    def remove(self, work: Work) -> None:
        """Take out a work that is no longer wanted."""
        self._drop(self._flows[work.customer], work)

    def best(self, now_s: float) -> Work | None:
        """Return the work that goes next, or ``None`` if none waits."""
        waiting = [flow for flow in self._flows.values() if flow.works]
        if not waiting:
            return None
        if len(waiting) == 1:
            return waiting[0].head
        fair = self._fair_usage_by_share(now_s)
        return min(waiting, key=lambda flow: _rank(flow, fair, now_s).key).head

    def take(self, work: Work, now_s: float) -> None:
        """Take out a work that is sent to a replica and charge its customer."""
        flow = self._flows[work.customer]
        waited = self._count > 1 or now_s > work.queued_at_s
        self._record_drain(flow, work.cost_tokens if waited else 0.0, now_s)
        self._drop(flow, work)
        if work.attempt_count:
            return
        min_tag = min(
            (item.start_tag for item in self._flows.values() if item.works), default=flow.start_tag
        )
        self._virtual_time = max(self._virtual_time, min(min_tag, flow.start_tag))
        flow.start_tag += work.cost_tokens / flow.share
        flow.usage_tokens.add(work.cost_tokens, now_s)

    def correct_cost(self, work: Work, true_cost_tokens: float, now_s: float) -> None:
        """Charge or give back what a finished work's guess was wrong by."""
        flow = self._flow_of(work)
        error = true_cost_tokens - work.cost_tokens
        flow.usage_tokens.add(error, now_s)
        flow.start_tag = max(self._virtual_time, flow.start_tag + error / flow.share)

    def over_share(self, customer: str, now_s: float) -> bool:
        """Return whether a customer has lately used more than its share while others wanted it."""
        flow = self._flows.get(customer)
        if flow is None:
            return False
        return _rank(flow, self._fair_usage_by_share(now_s), now_s).over_share

    def usage_ratio(self, customer: str, now_s: float) -> float:
        """Return a customer's late use ÷ its share of all use; 0 without any."""
        flow = self._flows.get(customer)
        fair = self._fair_usage_by_share(now_s)
        if flow is None or not fair:
            return 0.0
        return flow.usage_tokens.value(now_s) / (fair * flow.share)

    def wait_s(self, work: Work, now_s: float) -> float:
        """Return the estimated wait of a work that would be added now.

        It is the customer's backlog by the rate at which it drained lately, which holds what
        priority and shares of the others leave it; before that is known, what goes before the
        work by the whole queue's rate. It is never less than what the customer's first work has
        waited already.
        """
        if not self._count:
            return 0.0
        flow = self._flow_of(work)
        self._record_drain(flow, 0.0, now_s)
        waited_s = now_s - flow.head.queued_at_s if flow.works else 0.0
        rate = flow.drain.per_s(now_s)
        ahead = flow.backlog_tokens
        if rate is None:
            rate = self._drain.per_s(now_s)
            ahead = self._tokens_ahead(work, now_s)
        if rate is None or not ahead:
            return waited_s
        return max(waited_s, ahead / rate if rate > 0.0 else math.inf)

    def _tokens_ahead(self, work: Work, now_s: float) -> float:
        flow = self._flow_of(work)
        fair = self._fair_usage_by_share(now_s)
        own_rank = _rank(flow, fair, now_s)
        ahead = flow.backlog_tokens
        for other in self._flows.values():
            if other is flow or not other.works:
                continue
            rank = _rank(other, fair, now_s)
            if rank.precedes(own_rank):
                ahead += other.backlog_tokens
            elif not own_rank.precedes(rank):
                turns = (flow.backlog_tokens + work.cost_tokens) / flow.share
                ahead += min(other.backlog_tokens, turns * other.share)
        return ahead

    def _flow_of(self, work: Work) -> CustomerFlow:
        flow = self._flows.get(work.customer)
        if flow is None:
            usage = DecayingSum(self._usage_memory_s)
            flow = CustomerFlow(work.customer, work.priority, work.share, usage)
            self._flows[work.customer] = flow
        # The configuration may have changed since.
        flow.priority = work.priority
        flow.share = work.share
        return flow

    def _drop(self, flow: CustomerFlow, work: Work) -> None:
        del flow.works[work.work_id]
        self._count -= 1
        flow.backlog_tokens -= work.cost_tokens
        if not flow.works:
            flow.backlog_tokens = 0.0
        assert self._count >= 0, "the queue has counted fewer works than it holds"

    def _fair_usage_by_share(self, now_s: float) -> float:
        """Return the tokens that each unit of share may have used lately."""
        usages = {name: flow.usage_tokens.value(now_s) for name, flow in self._flows.items()}
        total = sum(usages.values())
        active_share = sum(
            flow.share
            for name, flow in self._flows.items()
            if flow.works or usages[name] > ACTIVE_USAGE_SHARE * total
        )
        return total / active_share if active_share else 0.0

    def _record_drain(self, flow: CustomerFlow, tokens: float, now_s: float) -> None:
        """Account for time in which works waited and for what was taken meanwhile."""
        self._drain.record(self._count > 0, tokens, now_s)
        flow.drain.record(bool(flow.works), tokens, now_s)


def _rank(flow: CustomerFlow, fair_usage_by_share: float, now_s: float) -> Rank:
    fair_tokens = fair_usage_by_share * flow.share * SHARE_TOLERANCE
    over_share = flow.usage_tokens.value(now_s) > fair_tokens
    return Rank(over_share, flow.priority, flow.start_tag)
