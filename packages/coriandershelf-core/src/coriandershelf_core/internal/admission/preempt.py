"""Preempts a running work item at a full replica to free its slot for a short request.

The engine never removes a running sequence from its batch for one of a better scheduling class, so
a short request would wait until some answer ends. The attempt of a long work item, or of a customer
over its share, is cancelled and sent again at once to the same replica, behind the short request.
The engine still has its KV cache, so it resumes where it was. Keeping slots free instead was
rejected: that costs throughput all the time, preemption only when a batch is full.
"""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.routing.attempts import Attempts
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.work import (
    Attempt,
    AttemptPurpose,
    WorkClass,
    WorkItem,
)

PREEMPTIONS_MAX_COUNT = 2
PREEMPTED_WAIT_S = 5.0
VICTIM_USAGE_RATIO = 1.3

UsageRatio = Callable[[WorkItem, float], float]


class Preemption:
    """Chooses the victim of a preemption and sends its work item again.

    :param usage_ratio: returns the recent usage ÷ share of a work item's customer.
    """

    def __init__(
        self, context: Context, attempts: Attempts, limits: Limits, usage_ratio: UsageRatio
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._limits = limits
        self._usage_ratio = usage_ratio

    def victim_at(self, work: WorkItem, state: ReplicaState, now_s: float) -> Attempt | None:
        """Return the attempt to preempt for a short work item at a replica, or ``None``.

        Another short work item is preempted only if its customer is well over its share: under
        overload all customers are at their share, and preempting each other would gain nothing.

        Long work above its floor is preferred as victim, then the least often preempted.
        """
        if not self._context.is_enabled("preemption"):
            return None
        under_share = self._usage_ratio(work, now_s) < 1.0
        victim: Attempt | None = None
        for attempt in self._attempts.at_replica(state):
            if not self._may_preempt(attempt, state, under_share, now_s):
                continue
            if victim is None or _victim_order(attempt) < _victim_order(victim):
                victim = attempt
        return victim

    def preempt(self, victim: Attempt, now_s: float) -> None:
        """Cancel an attempt to free its slot; :meth:`resume` sends its work item again."""
        victim.work.preemption_count += 1
        self._attempts.cancel(victim)
        self._context.count(Counter.PREEMPTED)

    def resume(self, victim: Attempt, state: ReplicaState, now_s: float) -> None:
        """Queue a preempted work item in the same engine for the next free slot."""
        work = victim.work
        attempt = self._attempts.start(work, state, AttemptPurpose.PREEMPTED, now_s)
        attempt.silence_from_s = now_s + PREEMPTED_WAIT_S

    def _may_preempt(
        self, attempt: Attempt, state: ReplicaState, under_share: bool, now_s: float
    ) -> bool:
        work = attempt.work
        running = attempt.last_token_at_s is not None and not attempt.paused
        alone = len(work.live_attempts) == 1 and attempt.purpose is not AttemptPurpose.PROBE
        if not running or not alone or not work.repeatable:
            return False
        if work.preemption_count >= PREEMPTIONS_MAX_COUNT:
            return False
        if work.work_class is WorkClass.LONG:
            return self._limits.is_above_floor(state)
        return under_share and self._usage_ratio(work, now_s) > VICTIM_USAGE_RATIO


def _victim_order(attempt: Attempt) -> tuple[bool, int, str]:
    work = attempt.work
    return (work.work_class is WorkClass.SHORT, work.preemption_count, attempt.attempt_id)
