"""Which replicas have room for a work, and which work may give up its slot for it."""

from __future__ import annotations

from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.admission.preempt import Preemption
from coriandershelf_core.internal.admission.queue import WorkQueue
from coriandershelf_core.internal.routing.attempts import kind_of
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.work import Attempt, Work, WorkClass


class CapacityFinder:
    """Looks for room by the limits, the free slots and the works that may be preempted."""

    def __init__(
        self, context: Context, limits: Limits, queue: WorkQueue, preemption: Preemption
    ) -> None:
        self._context = context
        self._limits = limits
        self._queue = queue
        self._preemption = preemption

    def available(self, work: Work, pool: list[ReplicaState], now_s: float) -> list[ReplicaState]:
        """Return the replicas of a model that may take a work now.

        A question inside its customer's share goes to a free slot whatever this VM's limits, or
        to a full replica where another work can give up its slot.
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

    def bypasses_limits(self, work: Work, now_s: float) -> bool:
        """Return whether a work is a question inside its customer's share."""
        if not self._limits.enabled or not self._context.enabled("preemption"):
            return False
        interactive = work.work_class is WorkClass.SHORT and kind_of(work) is ServiceKind.MODEL
        return interactive and not self._queue.over_share(work, now_s)

    def victim_at(self, work: Work, state: ReplicaState, now_s: float) -> Attempt | None:
        """Return the attempt at a full replica that gives up its slot for a work, or ``None``."""
        full = self._limits.may_preempt(state)
        return self._preemption.victim_at(work, state, now_s) if full else None
