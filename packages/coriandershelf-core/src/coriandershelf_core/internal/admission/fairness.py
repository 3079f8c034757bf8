"""Weighted fair queueing between customers, with priority within a customer's share.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over the cost in tokens: each customer is a
flow whose virtual start tag advances by cost / share for each dispatched work item, and the flow
with the smallest tag goes next. Priority comes on top: a customer whose recent usage is within its
share is ordered by its priority, and what it sends over its share queues behind all customers that
are within theirs. Strict priority alone would let one large priority customer starve all others;
fair queueing alone would make a priority customer wait for its turn.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from coriandershelf_core.internal.drain_rate import DecayingSum, DrainRate
from coriandershelf_core.internal.vocabulary.work import WorkItem

ACTIVE_USAGE_SHARE = 0.01
SHARE_TOLERANCE = 1.001


@dataclass(slots=True)
class CustomerFlow:
    """One customer's waiting work items and recent usage.

    :param start_tag: virtual start time of the next work item.
    """

    customer: str
    priority: int
    share: float
    usage_tokens: DecayingSum
    start_tag: float = 0.0
    backlog_tokens: float = 0.0
    drain: DrainRate = field(default_factory=DrainRate)
    work_items: OrderedDict[str, WorkItem] = field(default_factory=OrderedDict)

    @property
    def head(self) -> WorkItem:
        """Return the work item that goes next."""
        return next(iter(self.work_items.values()))


@dataclass(frozen=True, slots=True)
class Rank:
    """Order of a flow: within its share first, then the lower priority number, then the tag."""

    over_share: bool
    priority: int
    start_tag: float

    @property
    def key(self) -> tuple[bool, int, float]:
        """Return the sort key."""
        return (self.over_share, 0 if self.over_share else self.priority, self.start_tag)

    def precedes(self, other: Rank) -> bool:
        """Return whether this rank precedes the other regardless of the start tags."""
        return self.key[:2] < other.key[:2]


class FairQueue:
    """Work items of one service and class in weighted fair order.

    :param usage_memory_s: decay time of the usage that counts against a customer's share.
    """

    def __init__(self, usage_memory_s: float) -> None:
        self._usage_memory_s = usage_memory_s
        self._flows: dict[str, CustomerFlow] = {}
        self._virtual_time = 0.0
        self._count = 0
        self._drain = DrainRate()

    def __len__(self) -> int:
        return self._count

    def push(self, work: WorkItem, now_s: float) -> None:
        """Add a work item; a retried one goes to the front, as it was already charged."""
        flow = self._flow_of(work)
        self._record_drain(flow, 0.0, now_s)
        if not flow.work_items:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.work_items[work.work_id] = work
        if work.attempt_count:
            flow.work_items.move_to_end(work.work_id, last=False)
        flow.backlog_tokens += work.cost_tokens
        self._count += 1

    def remove(self, work: WorkItem) -> None:
        """Remove a work item whose result is no longer needed."""
        self._remove(self._flows[work.customer], work)

    def best(self, now_s: float) -> WorkItem | None:
        """Return the work item that goes next, or ``None`` if none waits."""
        waiting = [flow for flow in self._flows.values() if flow.work_items]
        if not waiting:
            return None
        if len(waiting) == 1:
            return waiting[0].head
        fair = self._fair_usage_by_share(now_s)
        return min(waiting, key=lambda flow: _rank(flow, fair, now_s).key).head

    def take(self, work: WorkItem, now_s: float) -> None:
        """Remove a work item that is being dispatched and charge its customer."""
        flow = self._flows[work.customer]
        was_queued = self._count > 1 or now_s > work.queued_at_s
        self._record_drain(flow, work.cost_tokens if was_queued else 0.0, now_s)
        self._remove(flow, work)
        if work.attempt_count:
            return
        min_tag = min(
            (item.start_tag for item in self._flows.values() if item.work_items),
            default=flow.start_tag,
        )
        self._virtual_time = max(self._virtual_time, min(min_tag, flow.start_tag))
        flow.start_tag += work.cost_tokens / flow.share
        flow.usage_tokens.add(work.cost_tokens, now_s)

    def correct_cost(self, work: WorkItem, true_cost_tokens: float, now_s: float) -> None:
        """Charge or refund the error of a finished work item's estimated cost."""
        flow = self._flow_of(work)
        error = true_cost_tokens - work.cost_tokens
        flow.usage_tokens.add(error, now_s)
        flow.start_tag = max(self._virtual_time, flow.start_tag + error / flow.share)

    def over_share(self, customer: str, now_s: float) -> bool:
        """Return whether a customer's recent usage exceeds its share among active customers."""
        flow = self._flows.get(customer)
        if flow is None:
            return False
        return _rank(flow, self._fair_usage_by_share(now_s), now_s).over_share

    def usage_ratio(self, customer: str, now_s: float) -> float:
        """Return a customer's recent usage ÷ its share of all usage; 0 if there is none."""
        flow = self._flows.get(customer)
        fair = self._fair_usage_by_share(now_s)
        if flow is None or not fair:
            return 0.0
        return flow.usage_tokens.value(now_s) / (fair * flow.share)

    def wait_s(self, work: WorkItem, now_s: float) -> float:
        """Return the estimated wait of a work item that would be added now.

        It is the customer's backlog divided by its recent drain rate, which reflects what the
        other customers' priorities and shares leave to it. Until that rate is known, it is the
        tokens ahead of the work item divided by the whole queue's drain rate. It is never less
        than the time that the customer's first work item has already waited.
        """
        if not self._count:
            return 0.0
        flow = self._flow_of(work)
        self._record_drain(flow, 0.0, now_s)
        waited_s = now_s - flow.head.queued_at_s if flow.work_items else 0.0
        rate = flow.drain.per_s(now_s)
        ahead_tokens = flow.backlog_tokens
        if rate is None:
            rate = self._drain.per_s(now_s)
            ahead_tokens = self._tokens_ahead(work, now_s)
        if rate is None or not ahead_tokens:
            return waited_s
        return max(waited_s, ahead_tokens / rate if rate > 0.0 else math.inf)

    def _tokens_ahead(self, work: WorkItem, now_s: float) -> float:
        flow = self._flow_of(work)
        fair = self._fair_usage_by_share(now_s)
        own_rank = _rank(flow, fair, now_s)
        ahead_tokens = flow.backlog_tokens
        for other in self._flows.values():
            if other is flow or not other.work_items:
                continue
            rank = _rank(other, fair, now_s)
            if rank.precedes(own_rank):
                ahead_tokens += other.backlog_tokens
            elif not own_rank.precedes(rank):
                turns = (flow.backlog_tokens + work.cost_tokens) / flow.share
                ahead_tokens += min(other.backlog_tokens, turns * other.share)
        return ahead_tokens

    def _flow_of(self, work: WorkItem) -> CustomerFlow:
        flow = self._flows.get(work.customer)
        if flow is None:
            usage = DecayingSum(self._usage_memory_s)
            flow = CustomerFlow(work.customer, work.priority, work.share, usage)
            self._flows[work.customer] = flow
        # The configuration may have changed since the flow was created.
        flow.priority = work.priority
        flow.share = work.share
        return flow

    def _remove(self, flow: CustomerFlow, work: WorkItem) -> None:
        del flow.work_items[work.work_id]
        self._count -= 1
        flow.backlog_tokens -= work.cost_tokens
        if not flow.work_items:
            flow.backlog_tokens = 0.0
        assert self._count >= 0, "queue count fell below zero"

    def _fair_usage_by_share(self, now_s: float) -> float:
        """Return the recent usage per unit of share, over the active customers."""
        usages = {name: flow.usage_tokens.value(now_s) for name, flow in self._flows.items()}
        total = sum(usages.values())
        active_share = sum(
            flow.share
            for name, flow in self._flows.items()
            if flow.work_items or usages[name] > ACTIVE_USAGE_SHARE * total
        )
        return total / active_share if active_share else 0.0

    def _record_drain(self, flow: CustomerFlow, tokens: float, now_s: float) -> None:
        """Update the drain rates of the whole queue and of a flow."""
        self._drain.record(self._count > 0, tokens, now_s)
        flow.drain.record(bool(flow.work_items), tokens, now_s)


def _rank(flow: CustomerFlow, fair_usage_by_share: float, now_s: float) -> Rank:
    fair_tokens = fair_usage_by_share * flow.share * SHARE_TOLERANCE
    over_share = flow.usage_tokens.value(now_s) > fair_tokens
    return Rank(over_share, flow.priority, flow.start_tag)
