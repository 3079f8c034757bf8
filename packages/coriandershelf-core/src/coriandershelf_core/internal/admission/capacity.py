"""Finds the replicas that have capacity for a work item, possibly by preempting another."""

from __future__ import annotations

from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.admission.preempt import Preemption
from coriandershelf_core.internal.admission.queue import WorkQueue
from coriandershelf_core.internal.routing.attempts import kind_of
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.work import Attempt, WorkClass, WorkItem


class CapacityFinder:
    """Finds capacity from the limits, the free slots and the work items that may be preempted."""

    def __init__(
        self, context: Context, limits: Limits, queue: WorkQueue, preemption: Preemption
    ) -> None:
        self._context = context
        self._limits = limits
        self._queue = queue
        self._preemption = preemption

    def available(
        self, work: WorkItem, pool: list[ReplicaState], now_s: float
    ) -> list[ReplicaState]:
        """Return the replicas that may take a work item now.

        A short model request within its customer's share may take any free slot regardless of
        this VM's limits, or a slot of a full replica where another work item can be preempted.
        """
        if kind_of(work) is not ServiceKind.MODEL:
            return pool
        if self.bypasses_limits(work, now_s):
            usable = [state for state in pool if not state.health.ejected]
            free = self._limits.with_free_slot(usable)
            if free:
                return free
            preemptible = [
                state for state in usable if self.victim_at(work, state, now_s) is not None
            ]
            if preemptible:
                return preemptible
        return list(self._limits.with_capacity(work, pool, now_s))

    def bypasses_limits(self, work: WorkItem, now_s: float) -> bool:
        """Return whether a work item is a short model request within its customer's share."""
        if not self._limits.enabled or not self._context.is_enabled("preemption"):
            return False
        short = work.work_class is WorkClass.SHORT and kind_of(work) is ServiceKind.MODEL
        return short and not self._queue.over_share(work, now_s)

    def victim_at(self, work: WorkItem, state: ReplicaState, now_s: float) -> Attempt | None:
        """Return the attempt to preempt for a work item at a full replica, or ``None``."""
        full = self._limits.may_preempt(state)
        return self._preemption.victim_at(work, state, now_s) if full else None
