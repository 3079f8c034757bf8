"""Keeps new work from replicas that stalled, and tries them again."""

from __future__ import annotations

from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.work import Attempt, Work

PROBE_TOKENS_MAX = 100.0
PROBE_ANY_AFTER_S = 2.0
PROBE_PASS_TOKENS_COUNT = 3
HINT_PROBE_FACTOR = 8.0


class Ejector:
    """Outlier ejection with a floor.

    Never more than a share of a service's slots is ejected: when everything is slow, the cause is
    the load and not a replica, and fewer replicas would make it worse.
    """

    def __init__(self, context: Context, replicas: ReplicaTable) -> None:
        self._context = context
        self._replicas = replicas

    def eject(self, state: ReplicaState, now_s: float, hint: bool = False) -> bool:
        """Keep new work from a replica; false where the floor forbids it.

        :param hint: whether only another entry VM's word stands behind it.
        """
        health = state.health
        if not health.ejected:
            if not self._above_floor(state):
                self._context.count(Counter.EJECTIONS_FLOOR)
                return False
            health.ejected = True
            health.ejected_at_s = now_s
            counter = Counter.EJECTION_HINTS if hint else Counter.EJECTIONS
            self._context.count(counter)
            self._context.log("replica ejected", replica_id=state.replica.replica_id, hint=hint)
        self.plan_probe(state, now_s, hint)
        return True

    def plan_probe(self, state: ReplicaState, now_s: float, hint: bool = False) -> None:
        """Set when a request may next try an ejected replica, later with each failure."""
        health = state.health
        health.probe_id = ""
        health.probe_at_s = now_s + self._probe_delay_s(health.eject_count, hint)
        health.eject_count += 1

    def readmit(self, state: ReplicaState) -> None:
        """Give a replica new work again."""
        health = state.health
        if not health.ejected:
            return
        health.ejected = False
        health.eject_count = 0
        health.probe_id = ""
        self._context.count(Counter.READMISSIONS)
        self._context.log("replica readmitted", replica_id=state.replica.replica_id)

    def probe_for(self, work: Work, pool: list[ReplicaState], now_s: float) -> ReplicaState | None:
        """Return an ejected replica that this work may try, or ``None``.

        Short works try first: the time they may lose is small beside the tail of the long ones.
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
        """Note the one attempt that tries an ejected replica."""
        state.health.probe_id = attempt.attempt_id
        state.health.probe_passed_count = 0
        self._context.count(Counter.PROBES)

    def on_probe_token(self, state: ReplicaState, in_time: bool) -> bool:
        """Take a token of a probe; true when it readmits the replica."""
        health = state.health
        health.probe_passed_count = health.probe_passed_count + 1 if in_time else 0
        if health.probe_passed_count < PROBE_PASS_TOKENS_COUNT:
            return False
        self.readmit(state)
        return True

    def on_probe_ended(self, attempt: Attempt, now_s: float) -> None:
        """Plan the next try after a probe that ended without a verdict."""
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

    def _above_floor(self, state: ReplicaState) -> bool:
        if not self._context.enabled("ejection-floor"):
            return True
        pool = self._replicas.of_service(state.replica.service)
        total = sum(item.replica.slots for item in pool)
        ejected = sum(item.replica.slots for item in pool if item.health.ejected)
        limit = self._context.settings.ejected_max_share * total
        return ejected + state.replica.slots <= limit
