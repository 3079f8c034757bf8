"""Queues of the work items that wait for a replica."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from coriandershelf_core.internal.admission.fairness import FairQueue
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.work import WorkClass, WorkItem


@dataclass(frozen=True, slots=True)
class QueueKey:
    """Key of a queue. Work items of one service and class share the same replicas' capacity."""

    service: str
    work_class: WorkClass

    @property
    def order(self) -> tuple[bool, str]:
        """Return the sort key: short work is dispatched first."""
        return (self.work_class is WorkClass.LONG, self.service)


class WorkQueue:
    """Waiting work items in dispatch order.

    Each service and class has its own queue, so that none blocks another. Whether a replica has
    capacity depends only on these two, so checking the head of each queue is enough; the cost of
    a decision grows with the number of customers, not of waiting work items.

    :param usage_memory_s: decay time of the usage that counts against a customer's share.
    :param fair: whether to queue by fair shares; otherwise first in, first out.
    :param by_class: whether long work has its own queue.
    """

    def __init__(self, usage_memory_s: float, fair: bool = True, by_class: bool = True) -> None:
        self._usage_memory_s = usage_memory_s
        self._fair = fair
        self._by_class = by_class
        self._queues: dict[QueueKey, FairQueue | FifoQueue] = {}
        self._work_items: dict[str, WorkItem] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._work_items)

    def __iter__(self) -> Iterator[WorkItem]:
        return iter(list(self._work_items.values()))

    def push(self, work: WorkItem, now_s: float) -> None:
        """Add a work item that is not waiting yet."""
        assert work.work_id not in self._work_items, f"{work.work_id} is already queued"
        self._work_items[work.work_id] = work
        heapq.heappush(self._deadlines, (work.request.deadline_s, work.work_id))
        self._queue_of(work).push(work, now_s)

    def remove(self, work_id: str) -> WorkItem | None:
        """Remove a work item by id; ``None`` if it is not waiting."""
        work = self._work_items.pop(work_id, None)
        if work is not None:
            self._queue_of(work).remove(work)
        return work

    def take_first(
        self, choose: Callable[[WorkItem], ReplicaState | None], now_s: float
    ) -> tuple[WorkItem, ReplicaState] | None:
        """Remove the first work item for which ``choose`` returns a replica, or return ``None``."""
        for queue in self._queues.values():
            work = queue.best(now_s)
            state = None if work is None else choose(work)
            if work is not None and state is not None:
                queue.take(work, now_s)
                del self._work_items[work.work_id]
                return work, state
        return None

    def take_expired(self, now_s: float) -> list[WorkItem]:
        """Remove and return the work items whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, work_id = heapq.heappop(self._deadlines)
            work = self._work_items.get(work_id)
            if work is not None and work.request.deadline_s <= now_s:
                self.remove(work_id)
                expired.append(work)
        return expired

    def correct_cost(self, work: WorkItem, true_cost_tokens: float, now_s: float) -> None:
        """Charge or refund the error of a finished work item's estimated cost."""
        queue = self._queue_of(work)
        if isinstance(queue, FairQueue):
            queue.correct_cost(work, true_cost_tokens, now_s)

    def wait_s(self, work: WorkItem, now_s: float) -> float:
        """Return the estimated wait of a work item that would be added now."""
        queue = self._queue_of(work)
        return queue.wait_s(work, now_s) if isinstance(queue, FairQueue) else 0.0

    def usage_ratio(self, work: WorkItem, now_s: float) -> float:
        """Return the recent usage ÷ share of a work item's customer."""
        queue = self._queue_of(work)
        return queue.usage_ratio(work.customer, now_s) if isinstance(queue, FairQueue) else 0.0

    def over_share(self, work: WorkItem, now_s: float) -> bool:
        """Return whether the recent usage of a work item's customer exceeds its share."""
        queue = self._queue_of(work)
        return isinstance(queue, FairQueue) and queue.over_share(work.customer, now_s)

    def _queue_of(self, work: WorkItem) -> FairQueue | FifoQueue:
        work_class = work.work_class if self._by_class else WorkClass.SHORT
        key = QueueKey(work.request.service, work_class)
        queue = self._queues.get(key)
        if queue is None:
            queue = FairQueue(self._usage_memory_s) if self._fair else FifoQueue()
            self._queues[key] = queue
            ordered = sorted(self._queues.items(), key=lambda item: item[0].order)
            self._queues = dict(ordered)
        return queue


class FifoQueue:
    """First-in, first-out queue, the baseline of experiments."""

    def __init__(self) -> None:
        self._work_items: dict[str, WorkItem] = {}

    def push(self, work: WorkItem, now_s: float) -> None:
        """Add a work item."""
        self._work_items[work.work_id] = work

    def remove(self, work: WorkItem) -> None:
        """Remove a work item whose result is no longer needed."""
        del self._work_items[work.work_id]

    def best(self, now_s: float) -> WorkItem | None:
        """Return the work item that goes next, or ``None`` if none waits."""
        return next(iter(self._work_items.values()), None)

    def take(self, work: WorkItem, now_s: float) -> None:
        """Remove a work item that is being dispatched."""
        del self._work_items[work.work_id]
