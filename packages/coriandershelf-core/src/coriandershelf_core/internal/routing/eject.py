"""Outlier ejection: withholds new work from stalled replicas and probes them for recovery."""

from __future__ import annotations

from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.work import Attempt, WorkItem

PROBE_TOKENS_MAX = 100.0
PROBE_ANY_AFTER_S = 2.0
PROBE_PASS_TOKENS_COUNT = 3
HINT_PROBE_FACTOR = 8.0


class Ejector:
    """Ejects replicas up to a maximum share of a service's slots, and readmits them.

    The share is bounded because the cause is overload rather than a faulty replica when everything
    is slow; fewer replicas would make that worse.
    """

    def __init__(self, context: Context, replicas: ReplicaTable) -> None:
        self._context = context
        self._replicas = replicas

    def eject(self, state: ReplicaState, now_s: float, hint: bool = False) -> bool:
        """Withhold new work from a replica; false if the maximum ejected share is reached.

        :param hint: whether the ejection is based only on another entry VM's message.
        """
        health = state.health
        if not health.ejected:
            if not self._within_ejection_limit(state):
                self._context.count(Counter.EJECTIONS_FLOOR)
                return False
            health.ejected = True
            health.ejected_at_s = now_s
            counter = Counter.EJECTION_HINTS if hint else Counter.EJECTIONS
            self._context.count(counter)
            self._context.log("replica ejected", replica_id=state.replica.replica_id, hint=hint)
        self.schedule_probe(state, now_s, hint)
        return True

    def schedule_probe(self, state: ReplicaState, now_s: float, hint: bool = False) -> None:
        """Schedule the next probe of an ejected replica, with exponential backoff."""
        health = state.health
        health.probe_id = ""
        health.probe_at_s = now_s + self._probe_delay_s(health.eject_count, hint)
        health.eject_count += 1

    def readmit(self, state: ReplicaState) -> None:
        """Allow new work at a replica again."""
        health = state.health
        if not health.ejected:
            return
        health.ejected = False
        health.eject_count = 0
        health.probe_id = ""
        self._context.count(Counter.READMISSIONS)
        self._context.log("replica readmitted", replica_id=state.replica.replica_id)

    def probe_for(
        self, work: WorkItem, pool: list[ReplicaState], now_s: float
    ) -> ReplicaState | None:
        """Return an ejected replica that this work item may probe, or ``None``.

        Short work items are preferred as probes, as they can lose less time than long ones.
        """
        for state in pool:
            health = state.health
            if not health.ejected or health.probe_id or now_s < health.probe_at_s:
                continue
            overdue = now_s >= health.probe_at_s + PROBE_ANY_AFTER_S
            if overdue or work.expected_tokens <= PROBE_TOKENS_MAX:
                return state
        return None

    def on_probe_started(self, state: ReplicaState, attempt: Attempt) -> None:
        """Record the single attempt that probes an ejected replica."""
        state.health.probe_id = attempt.attempt_id
        state.health.probe_passed_count = 0
        self._context.count(Counter.PROBES)

    def on_probe_token(self, state: ReplicaState, in_time: bool) -> bool:
        """Record a token of a probe; true if the replica is readmitted by it."""
        health = state.health
        health.probe_passed_count = health.probe_passed_count + 1 if in_time else 0
        if health.probe_passed_count < PROBE_PASS_TOKENS_COUNT:
            return False
        self.readmit(state)
        return True

    def on_probe_ended(self, attempt: Attempt, now_s: float) -> None:
        """Schedule the next probe after one that ended without a result."""
        state = self._replicas.get(attempt.replica_id)
        if state is not None and state.health.probe_id == attempt.attempt_id:
            state.health.probe_id = ""
            state.health.probe_at_s = now_s + self._context.settings.probe_after_s

    def _probe_delay_s(self, count: int, hint: bool) -> float:
        settings = self._context.settings
        delay_s = min(settings.probe_after_max_s, settings.probe_after_s * 2.0**count)
        if hint:
            delay_s *= HINT_PROBE_FACTOR
        return delay_s * (0.5 + self._context.rng.random())

    def _within_ejection_limit(self, state: ReplicaState) -> bool:
        if not self._context.is_enabled("ejection-floor"):
            return True
        pool = self._replicas.of_service(state.replica.service)
        total = sum(item.replica.slots for item in pool)
        ejected = sum(item.replica.slots for item in pool if item.health.ejected)
        limit = self._context.settings.ejected_max_share * total
        return ejected + state.replica.slots <= limit
