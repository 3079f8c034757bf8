"""Filter: works that wait for a replica."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from coriandershelf_core.internal.admission.fairness import FairQueue
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.work import Work, WorkClass


@dataclass(frozen=True, slots=True)
class QueueKey:
    """Works of one service and class wait together: the same replicas have room for them."""

    service: str
    work_class: WorkClass

    @property
    def order(self) -> tuple[bool, str]:
        """Return the sort key: short work is offered to the replicas first."""
        return (self.work_class is WorkClass.LONG, self.service)


class WorkQueue:
    """Works in the order in which they are to be dispatched.

    One queue a service and class, so that neither waits behind the other. Whether a replica has
    room depends on these two only, so one look at each queue's first work decides; the cost of a
    decision grows with the customers, not with the works that wait.

    :param usage_memory_s: how long use counts against a customer's share.
    :param fair: whether customers share; first in, first out otherwise.
    :param by_class: whether long work has its own queue.
    """

    def __init__(self, usage_memory_s: float, fair: bool = True, by_class: bool = True) -> None:
        self._usage_memory_s = usage_memory_s
        self._fair = fair
        self._by_class = by_class
        self._queues: dict[QueueKey, FairQueue | FifoQueue] = {}
        self._works: dict[str, Work] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(list(self._works.values()))

    def push(self, work: Work, now_s: float) -> None:
        """Add a work that is not waiting yet."""
        assert work.work_id not in self._works, f"{work.work_id} waits twice"
        self._works[work.work_id] = work
        heapq.heappush(self._deadlines, (work.request.deadline_s, work.work_id))
        self._queue_of(work).push(work, now_s)

    def remove(self, work_id: str) -> Work | None:
        """Take out a work by id; ``None`` if it does not wait."""
        work = self._works.pop(work_id, None)
        if work is not None:
            self._queue_of(work).remove(work)
        return work

    def take_first(
        self, choose: Callable[[Work], ReplicaState | None], now_s: float
    ) -> tuple[Work, ReplicaState] | None:
        """Take the first work for which ``choose`` finds a replica, or ``None``."""
        for queue in self._queues.values():
            work = queue.best(now_s)
            state = None if work is None else choose(work)
            if work is not None and state is not None:
                queue.take(work, now_s)
                del self._works[work.work_id]
                return work, state
        return None

    def take_expired(self, now_s: float) -> list[Work]:
        """Take out every work whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, work_id = heapq.heappop(self._deadlines)
            work = self._works.get(work_id)
            if work is not None and work.request.deadline_s <= now_s:
                self.remove(work_id)
                expired.append(work)
        return expired

    def correct_cost(self, work: Work, true_cost_tokens: float, now_s: float) -> None:
        """Charge or give back what a finished work's guess was wrong by."""
        queue = self._queue_of(work)
        if isinstance(queue, FairQueue):
            queue.correct_cost(work, true_cost_tokens, now_s)

    def wait_s(self, work: Work, now_s: float) -> float:
        """Return the estimated wait of a work that would be added now."""
        queue = self._queue_of(work)
        return queue.wait_s(work, now_s) if isinstance(queue, FairQueue) else 0.0

    def usage_ratio(self, work: Work, now_s: float) -> float:
        """Return its customer's late use ÷ its share of all use."""
        queue = self._queue_of(work)
        return queue.usage_ratio(work.customer, now_s) if isinstance(queue, FairQueue) else 0.0

    def over_share(self, work: Work, now_s: float) -> bool:
        """Return whether a work's customer has lately used more than its share."""
        queue = self._queue_of(work)
        return isinstance(queue, FairQueue) and queue.over_share(work.customer, now_s)

    def _queue_of(self, work: Work) -> FairQueue | FifoQueue:
        work_class = work.work_class if self._by_class else WorkClass.SHORT
        name = QueueKey(work.request.service, work_class)
        queue = self._queues.get(name)
        if queue is None:
            queue = FairQueue(self._usage_memory_s) if self._fair else FifoQueue()
            self._queues[name] = queue
            ordered = sorted(self._queues.items(), key=lambda item: item[0].order)
            self._queues = dict(ordered)
        return queue


class FifoQueue:
    """First in, first out: the plain way that experiments compare with."""

    def __init__(self) -> None:
        self._works: dict[str, Work] = {}

    def push(self, work: Work, now_s: float) -> None:
        """Add a work."""
        self._works[work.work_id] = work

    def remove(self, work: Work) -> None:
        """Take out a work that is no longer wanted."""
        del self._works[work.work_id]

    def best(self, now_s: float) -> Work | None:
        """Return the work that goes next, or ``None`` if none waits."""
        return next(iter(self._works.values()), None)

    def take(self, work: Work, now_s: float) -> None:
        """Take out a work that is sent to a replica."""
        del self._works[work.work_id]
