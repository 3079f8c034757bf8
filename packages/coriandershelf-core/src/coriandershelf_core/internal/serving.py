"""Works on their way: queue, route, dispatch, watch, recover."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.actions import CancelAttempt, StartAttempt
from coriandershelf_core.internal.context import Context
from coriandershelf_core.internal.events import (
    AttemptFailed,
    AttemptOpened,
    FailureCause,
    LoadReported,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_core.internal.inventory import ServiceKind
from coriandershelf_core.internal.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.queue import WorkQueue
from coriandershelf_core.internal.reasons import Counter, RefusalReason
from coriandershelf_core.internal.recover import Retry, decide_recovery
from coriandershelf_core.internal.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.route import choose_replica
from coriandershelf_core.internal.watch import overdue
from coriandershelf_core.internal.work import Attempt, Work

Deliver = Callable[[Work, tuple[bytes, ...], float], None]
Finish = Callable[[Work, Outcome, float], None]


class Serving:
    """Runs works on replicas and tells their owner through two closures.

    :param deliver: called with each run of new payloads.
    :param finish: called once with a work's final outcome.
    """

    def __init__(self, context: Context, deliver: Deliver, finish: Finish) -> None:
        self._context = context
        self._deliver = deliver
        self._finish = finish
        self._attempt_sequence = 0
        self.replicas = ReplicaTable()
        self.queue = WorkQueue()
        self.works: dict[str, Work] = {}
        self.attempts: dict[str, Attempt] = {}

    def enqueue(self, work: Work, now_s: float) -> None:
        """Accept a work and dispatch what can be dispatched."""
        assert work.work_id not in self.works, f"{work.work_id} runs twice in one entry VM"
        self.works[work.work_id] = work
        self.queue.push(work)
        self._context.trace(work.work_id, now_s, "queued", work.work_class.value)
        self.pump(now_s)

    def pump(self, now_s: float) -> None:
        """Dispatch waiting works while replicas have room."""
        while len(self.queue) and not self._context.hold_dispatch:
            taken = self.queue.take_first(self._choose)
            if taken is None:
                return
            work, state = taken
            self._dispatch(work, state, now_s)

    def cancel(self, work_id: str) -> Work | None:
        """Drop a work whose result nobody awaits; ``None`` if it is not known."""
        work = self.works.pop(work_id, None)
        if work is None:
            return None
        self.queue.remove(work_id)
        self._cancel_attempts(work)
        return work

    def on_opened(self, event: AttemptOpened, now_s: float) -> None:
        """Note that an upstream took an attempt."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is not None:
            attempt.opened_at_s = now_s

    def on_tokens(self, event: TokensArrived, now_s: float) -> None:
        """Deliver the payloads that are new; drop late, crossed and repeated ones."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None or event.stream_attempt_id != event.attempt_id:
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            return
        work = attempt.work
        repeated = work.position - event.first_position
        if repeated < 0:
            self._fail(attempt, FailureCause.CLOSED, True, now_s)
            return
        attempt.last_token_at_s = now_s
        attempt.token_count += len(event.payloads)
        fresh = event.payloads[repeated:] if repeated else event.payloads
        if repeated:
            self._context.count(Counter.TOKENS_DROPPED, min(repeated, len(event.payloads)))
        if not fresh:
            return
        work.payloads.extend(fresh)
        self._deliver(work, fresh, now_s)

    def on_stream_ended(self, event: StreamEnded, now_s: float) -> None:
        """Finish a work whose answer is whole; a cut answer is a failed attempt."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        crossed = event.stream_attempt_id != event.attempt_id
        if crossed or event.position != attempt.work.position:
            self._fail(attempt, FailureCause.CLOSED, True, now_s)
            return
        self._complete(attempt, Done(), now_s)

    def on_plain_answered(self, event: PlainAnswered, now_s: float) -> None:
        """Finish a call with the plain service's answer."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is not None:
            self._complete(attempt, Done(event.status, event.body), now_s)

    def on_failed(self, event: AttemptFailed, now_s: float) -> None:
        """Recover from an attempt that ended early."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is not None:
            self._fail(attempt, event.cause, event.sent, now_s)

    def on_load(self, event: LoadReported) -> None:
        """Note a replica's own report of its load."""
        state = self.replicas.get(event.replica_id)
        if state is not None and event.reported_at_s >= state.reported_at_s:
            state.reported_running_count = event.running_count
            state.reported_waiting_count = event.waiting_count
            state.reported_at_s = event.reported_at_s

    def on_tick(self, now_s: float) -> None:
        """Expire waiting works, fail overdue attempts, dispatch what has room."""
        for work in self.queue.take_expired(now_s):
            self._settle(work, self._late_outcome(work), now_s)
        for attempt in list(self.attempts.values()):
            kind = self._kind_of(attempt.work)
            cause = overdue(attempt, kind, self._context.settings, now_s)
            if cause is not None and attempt.attempt_id in self.attempts:
                self._context.emit(CancelAttempt(attempt.attempt_id))
                self._fail(attempt, cause, True, now_s)
        self.pump(now_s)

    def _late_outcome(self, work: Work) -> Outcome:
        if work.attempt_count:
            return Unknown(RefusalReason.DEADLINE, retry_after_s=2.0)
        return NotRun(RefusalReason.DEADLINE, retry_after_s=2.0)

    def _kind_of(self, work: Work) -> ServiceKind:
        return ServiceKind.PLAIN if work.request.path else ServiceKind.MODEL

    def _choose(self, work: Work) -> ReplicaState | None:
        candidates = self.replicas.of_service(work.request.service)
        return choose_replica(work, candidates, self._context.identity.zone, self._context.rng)

    def _dispatch(self, work: Work, state: ReplicaState, now_s: float) -> None:
        assert state.usable, f"new work for {state.replica.replica_id}, which is leaving"
        assert work.repeatable or not work.attempt_count, f"{work.work_id} would run twice"
        self._attempt_sequence += 1
        identity = self._context.identity
        attempt_id = f"{identity.vm_id}-{identity.incarnation}-{self._attempt_sequence}"
        replica = state.replica
        attempt = Attempt(attempt_id, work, replica.replica_id, now_s)
        self.attempts[attempt_id] = attempt
        state.in_flight.add(attempt_id)
        work.live_attempts.append(attempt_id)
        work.tried_replicas.append(replica.replica_id)
        work.attempt_count += 1
        self._context.trace(work.work_id, now_s, "dispatched", replica.replica_id)
        self._context.emit(
            StartAttempt(
                attempt_id=attempt_id,
                request_id=work.work_id,
                kind=self._kind_of(work),
                replica_id=replica.replica_id,
                address=replica.address,
                path=work.request.path,
                body=work.request.body,
                deadline_s=work.request.deadline_s,
                priority=work.priority,
                resume_payloads=tuple(work.payloads),
            )
        )

    def _forget(self, attempt: Attempt) -> None:
        del self.attempts[attempt.attempt_id]
        attempt.work.live_attempts.remove(attempt.attempt_id)
        state = self.replicas.get(attempt.replica_id)
        if state is not None:
            state.in_flight.discard(attempt.attempt_id)

    def _cancel_attempts(self, work: Work) -> None:
        for attempt_id in list(work.live_attempts):
            self._forget(self.attempts[attempt_id])
            self._context.emit(CancelAttempt(attempt_id))

    def _complete(self, attempt: Attempt, outcome: Outcome, now_s: float) -> None:
        self._forget(attempt)
        self._cancel_attempts(attempt.work)
        self._settle(attempt.work, outcome, now_s)
        self.pump(now_s)

    def _settle(self, work: Work, outcome: Outcome, now_s: float) -> None:
        del self.works[work.work_id]
        self._finish(work, outcome, now_s)

    def _fail(self, attempt: Attempt, cause: FailureCause, sent: bool, now_s: float) -> None:
        work = attempt.work
        self._forget(attempt)
        self._context.trace(work.work_id, now_s, "failed", f"{attempt.replica_id} {cause.value}")
        if work.live_attempts:
            return
        if not sent and not work.payloads and not work.repeatable:
            work.attempt_count -= 1
        verdict = decide_recovery(work, cause, sent, self._context.settings, now_s)
        if not isinstance(verdict, Retry):
            self._settle(work, verdict, now_s)
            self.pump(now_s)
            return
        self._context.count(verdict.reason)
        self._context.log(
            "retry",
            request_id=work.work_id,
            attempt_id=attempt.attempt_id,
            customer=work.customer,
            reason=verdict.reason.code,
        )
        self.queue.push(work)
        self.pump(now_s)
