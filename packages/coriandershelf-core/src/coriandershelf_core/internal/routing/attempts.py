"""Registry of this VM's live attempts; only this module starts, cancels and removes them."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.vocabulary.actions import CancelAttempt, StartAttempt
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.work import Attempt, AttemptPurpose, WorkItem


def kind_of(work: WorkItem) -> ServiceKind:
    """Return whether a work item runs on a model engine or a plain service."""
    return ServiceKind.PLAIN if work.request.path else ServiceKind.MODEL


PriorityOf = Callable[[WorkItem, ReplicaState, float], int]


class Attempts:
    """Live attempts by id.

    :param limits: notified of each attempt that starts or ends.
    :param priority_of: returns the scheduling class that a work item gets in a replica's engine.
    """

    def __init__(
        self, context: Context, replicas: ReplicaTable, limits: Limits, priority_of: PriorityOf
    ) -> None:
        self._context = context
        self._replicas = replicas
        self._limits = limits
        self._priority_of = priority_of
        self._sequence = 0
        self.live: dict[str, Attempt] = {}

    def start(
        self,
        work: WorkItem,
        state: ReplicaState,
        purpose: AttemptPurpose,
        now_s: float,
        kv_source: str = "",
    ) -> Attempt:
        """Send a work item to a replica; a stream resumes after the payloads already delivered.

        :param kv_source: address of the replica to import the KV cache from, or empty.
        """
        assert state.usable, f"{state.replica.replica_id} is leaving and takes no new work"
        assert work.repeatable or not work.attempt_count, f"{work.work_id} would run twice"
        replica = state.replica
        attempt = Attempt(self._next_id(), work, replica.replica_id, now_s, purpose=purpose)
        self.live[attempt.attempt_id] = attempt
        priority = self._priority_of(work, state, now_s)
        if kind_of(work) is ServiceKind.MODEL:
            self._limits.on_started(attempt, state)
        state.in_flight.add(attempt.attempt_id)
        state.waiting[attempt.attempt_id] = now_s
        work.live_attempts.append(attempt.attempt_id)
        work.tried_replicas.append(replica.replica_id)
        work.attempt_count += 1
        step = "dispatched" if purpose is AttemptPurpose.FIRST else purpose.value
        self._context.trace(work.work_id, now_s, step, replica.replica_id)
        self._context.emit(
            StartAttempt(
                attempt_id=attempt.attempt_id,
                request_id=work.work_id,
                kind=kind_of(work),
                replica_id=replica.replica_id,
                address=replica.address,
                path=work.request.path,
                body=work.request.body,
                deadline_s=work.request.deadline_s,
                priority=priority,
                resume_payloads=tuple(work.payloads) if self._context.is_enabled("resume") else (),
                fresh_connection=purpose is AttemptPurpose.RECONNECT,
                kv_source=kv_source,
            )
        )
        return attempt

    def kv_source(self, work: WorkItem, target_id: str) -> str:
        """Return the address of another replica that still has the KV cache, or empty."""
        source = self._replicas.get(work.kv_replica_id)
        usable = source is not None and not source.gone and work.kv_replica_id != target_id
        if source is None or not usable or not self._context.is_enabled("kv-move"):
            return ""
        return source.replica.address

    def serving_count(self, work: WorkItem) -> int:
        """Return the count of a work item's live attempts, not counting one kept as a probe."""
        purposes = [self.live[attempt_id].purpose for attempt_id in work.live_attempts]
        return sum(purpose is not AttemptPurpose.LEFT_AS_PROBE for purpose in purposes)

    def at_replica(self, state: ReplicaState) -> list[Attempt]:
        """Return the live attempts at a replica."""
        return [self.live[attempt_id] for attempt_id in sorted(state.in_flight)]

    def remove(self, attempt: Attempt, sent: bool = True) -> None:
        """Remove an attempt that has ended.

        :param sent: whether any of its bytes may have reached the upstream.
        """
        del self.live[attempt.attempt_id]
        attempt.work.may_have_run = attempt.work.may_have_run or sent
        self._limits.on_ended(attempt)
        attempt.work.live_attempts.remove(attempt.attempt_id)
        state = self._replicas.get(attempt.replica_id)
        if state is not None:
            state.in_flight.discard(attempt.attempt_id)
            state.waiting.pop(attempt.attempt_id, None)

    def cancel(self, attempt: Attempt) -> None:
        """Close an attempt's connection and remove the attempt."""
        self.remove(attempt)
        self._context.emit(CancelAttempt(attempt.attempt_id))

    def send_cancel(self, attempt: Attempt) -> None:
        """Close an attempt's connection; the calling code removes the attempt."""
        self._context.emit(CancelAttempt(attempt.attempt_id))

    def cancel_all(self, work: WorkItem) -> None:
        """Cancel every live attempt of a work item."""
        for attempt_id in list(work.live_attempts):
            self.cancel(self.live[attempt_id])

    def cancel_losers(self, winner: Attempt, now_s: float) -> None:
        """Cancel a work item's other attempts after one has won, except one kept as a probe."""
        for attempt_id in list(winner.work.live_attempts):
            loser = self.live[attempt_id]
            if loser is not winner and loser.purpose is not AttemptPurpose.LEFT_AS_PROBE:
                self.cancel(loser)
                self._context.count(Counter.ATTEMPTS_LOST)
                self._context.trace(winner.work.work_id, now_s, "cancelled", loser.replica_id)

    def _next_id(self) -> str:
        self._sequence += 1
        identity = self._context.identity
        return f"{identity.vm_id}-{identity.incarnation}-{self._sequence}"
