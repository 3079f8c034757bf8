"""Requests on their way: let in, sent to a replica, watched, sent again, answered."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from coriandershelf_core.internal.gateway.actions import (
    Action,
    CloseIdle,
    Count,
    Log,
    OpenStream,
    PassEvents,
    Refusal,
    RetryReason,
)
from coriandershelf_core.internal.gateway.attempts import (
    TIMEOUT_SLACK_S,
    Attempts,
    AttemptState,
    first_ms,
    silence_s,
)
from coriandershelf_core.internal.gateway.choice import Chooser, Prospect
from coriandershelf_core.internal.gateway.conclusions import Conclusions, LogValue
from coriandershelf_core.internal.gateway.deployment import Deployment, RouteKind, Service
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    AttemptFailed,
    FailureCause,
    StreamEnded,
    StreamOpened,
    StreamRead,
)
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import Passage, ReplicaAnswer
from coriandershelf_core.internal.gateway.retry_allowance import RetryAllowance
from coriandershelf_core.internal.gateway.room import Room, RoomTold, WorkStep
from coriandershelf_core.internal.gateway.room_asks import PendingAsk, RoomAsks
from coriandershelf_core.internal.gateway.suspects import Suspects

# A replica that refused is left alone this long.
FULL_PAUSE_S = 0.15
# With less time left a request is not sent again.
REPEAT_LEFT_MIN_S = 0.05
SERVER_ERROR = 500


@dataclass(slots=True)
class Relay:
    """Sends each request to a replica, watches it and decides what becomes of it.

    :param emit: takes the actions for the process.
    """

    pool: Pool
    chooser: Chooser
    asks: RoomAsks
    attempts: Attempts
    conclusions: Conclusions
    retries: RetryAllowance
    suspects: Suspects
    emit: Callable[[Action], None]
    entry_vms_count: int = 1
    deployment: Deployment | None = None

    @property
    def passages(self) -> dict[int, Passage]:
        """Return the requests that have no final answer yet, by handle."""
        return self.conclusions.passages

    def begin(self, passage: Passage, now_s: float) -> None:
        """Send a request that was let in to a replica, or refuse it at once."""
        self.conclusions.begin(passage)
        self.retries.note_request(passage.service, now_s)
        self._send(passage, now_s)

    def on_caller_left(self, handle: int, now_s: float) -> None:
        """Free the replica of a request whose answer nobody awaits."""
        passage = self.conclusions.passages.get(handle)
        if passage is None:
            return
        self.emit(Count("callers_left"))
        attempt = self.attempts.of(passage)
        inputs = attempt.inputs if attempt is not None else ()
        self.conclusions.log(
            "caller left", passage, now_s, first_ms=first_ms(attempt), **dict(inputs)
        )
        if attempt is not None:
            self.attempts.cancel(attempt, now_s)
        self.conclusions.forget(passage)

    def on_answer(self, event: AnswerRead, now_s: float) -> None:
        """Pass on a replica's answer, or try another replica where that is allowed."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        passage, state = attempt.passage, attempt.state
        state.on_load(event.load, now_s)
        self.attempts.end(attempt, now_s)
        failed = event.misdirected or event.not_run or event.status >= SERVER_ERROR
        passage.trouble = f"status {event.status}" if failed else None
        if event.misdirected:
            self.pool.forget(state.replica.replica_id)
            self.emit(CloseIdle(state.replica.address))
            passage.sent_count -= 1
            self._again(passage, RetryReason.MISDIRECTED, now_s)
            return
        if event.not_run:
            state.full_until_s = now_s + FULL_PAUSE_S
            self._again(passage, RetryReason.NOT_RUN, now_s)
            return
        self.conclusions.begun(passage, attempt.started_at_s)
        passage.may_have_run = True
        taken_s = now_s - attempt.started_at_s
        if event.status < SERVER_ERROR and event.sealed:
            state.on_success(now_s)
            usual_s = attempt.usual_s * state.current_pace(now_s)
            state.on_time(taken_s, usual_s, now_s, attempt.quiet)
        elif event.status >= SERVER_ERROR:
            self._note_failure(state, now_s, passage.route.kind)
            if passage.route.repeatable and self._may_repeat(passage, now_s):
                passage.answer = ReplicaAnswer(event.status, event.headers, event.body)
                self._again(passage, RetryReason.SERVER_ERROR, now_s, budgeted=True)
                return
        if passage.head_sent:
            # The rest of a stream was refused: what the caller has stays incomplete.
            self.conclusions.break_off(passage, now_s)
            return
        answer = ReplicaAnswer(event.status, event.headers, event.body)
        self.conclusions.deliver(passage, answer, now_s, **dict(attempt.inputs))

    def on_opened(self, event: StreamOpened, now_s: float) -> None:
        """Pass on a stream's head; a resumed stream keeps the first replica's."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        attempt.opened = True
        attempt.state.on_load(event.load, now_s)
        attempt.pace = event.load.pace if event.load is not None else None
        passage = attempt.passage
        passage.may_have_run = True
        if not passage.head_sent:
            passage.head_sent = True
            self.emit(OpenStream(passage.arrival.handle, event.status, event.headers))

    def on_read(self, event: StreamRead, now_s: float) -> None:
        """Pass on whole events as they come."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        passage, state = attempt.passage, attempt.state
        self._note_pace(attempt, now_s)
        attempt.last_event_at_s = now_s
        if attempt.first_event_at_s is None:
            attempt.first_event_at_s = now_s
            self.conclusions.begun(passage, now_s)
            state.on_first_event(attempt.attempt_id)
            taken_s = now_s - attempt.started_at_s
            usual_s = attempt.usual_s * state.current_pace(now_s)
            # Behind other prompts the time tells more of them than of the replica's speed.
            slowness = None if attempt.behind_others else taken_s / usual_s
            self.asks.note(
                state, attempt.attempt_id, WorkStep.BEGUN, now_s,
                pace=attempt.pace, slowness=slowness,
            )  # fmt: skip
            state.on_time(taken_s, usual_s, now_s, attempt.quiet)
        if attempt.silent_at_s is not None:
            attempt.silent_at_s = now_s + silence_s(passage, 0.0)
        if event.last_event_id is not None:
            passage.last_event_id = event.last_event_id
        passage.bytes_sent += len(event.payload)
        self.emit(PassEvents(passage.arrival.handle, event.payload))

    def on_ended(self, event: StreamEnded, now_s: float) -> None:
        """End a stream that its replica ended."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        attempt.state.on_success(now_s)
        self.attempts.end(attempt, now_s)
        passage = attempt.passage
        inputs = dict(attempt.inputs)
        self.conclusions.end_stream(passage, now_s, first_ms=first_ms(attempt), **inputs)

    def on_failed(self, event: AttemptFailed, now_s: float) -> None:
        """Go on elsewhere where nothing can run twice; say truly what became of the rest."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        passage, state = attempt.passage, attempt.state
        self.attempts.end(attempt, now_s)
        passage.trouble = event.cause.value
        if not event.sent:
            passage.sent_count -= 1
            if event.cause is FailureCause.CONNECT:
                self.asks.note(state, event.attempt_id, WorkStep.UNREACHABLE, now_s)
                if state.eject(now_s):
                    self._log_replica("replica unreachable", state)
            self._again(passage, RetryReason.CONNECT, now_s)
            return
        passage.may_have_run = True
        if state.leaving:
            # A replica that leaves breaks off what it has not finished; it is not at fault.
            self._failed(passage, RetryReason.LEFT, now_s)
            return
        self._note_failure(state, now_s)
        if event.cause is FailureCause.CLOSED:
            passage.crashes_count = self.suspects.on_crash(passage.arrival.fingerprint, now_s)
        self._failed(passage, RetryReason.FAILED, now_s)

    def on_tick(self, now_s: float) -> None:
        """Move what is silent, and answer what has reached its time limit."""
        for pending in self.asks.overdue(now_s):
            self._resume_asked(pending, now_s)
        for attempt in list(self.attempts.by_id.values()):
            passage = attempt.passage
            if now_s >= passage.deadline_s + TIMEOUT_SLACK_S:
                self._time_out(attempt, now_s)
            elif attempt.silent_at_s is not None and now_s >= attempt.silent_at_s:
                self._on_silent(attempt, now_s)

    def cut_all(self, now_s: float) -> None:
        """Answer everything in flight because the process must end now."""
        for passage in list(self.conclusions.passages.values()):
            attempt = self.attempts.of(passage)
            if attempt is not None:
                self.attempts.cancel(attempt, now_s)
            self.conclusions.refuse(passage, Refusal.UNKNOWN_OUTCOME, now_s)

    def _send(self, passage: Passage, now_s: float) -> None:
        deployment = self.deployment
        assert deployment is not None, "a request was let in without a configuration"
        service = deployment.services.get(passage.service, Service(passage.service, 0))
        states = self.pool.usable(passage.service)
        prospect = self.chooser.prospect(passage, service, states, now_s)
        if prospect is None:
            refusal = Refusal.NO_ROOM if states else Refusal.NO_REPLICA
            self.conclusions.refuse(passage, refusal, now_s, **_room_fields(states, now_s))
            return
        pending = self.asks.ask(passage, prospect, now_s)
        if pending is None or not pending.silent:
            self._send_to_best(passage, prospect, pending.rooms if pending else None, now_s)

    def on_room_told(self, told: RoomTold, now_s: float) -> None:
        """Go on with a request whose question for room is answered."""
        pending = self.asks.on_told(told)
        if pending is not None:
            self._resume_asked(pending, now_s)

    def _resume_asked(self, pending: PendingAsk, now_s: float) -> None:
        passage = pending.passage
        if self.conclusions.holds(passage):
            self._send_to_best(passage, pending.prospect, pending.rooms, now_s)

    def _send_to_best(
        self,
        passage: Passage,
        prospect: Prospect,
        rooms: Mapping[str, Room] | None,
        now_s: float,
    ) -> None:
        for room in (rooms or {}).values():
            state = self.pool.get(room.replica_id)
            if state is not None:
                state.on_told_pace(room.pace, room.pace_age_s, now_s)
        chosen = self.chooser.choose(passage, prospect, now_s, rooms)
        if chosen is None:
            fields = _room_fields(prospect.candidates, now_s)
            self.conclusions.refuse(passage, Refusal.NO_ROOM, now_s, **fields)
            return
        self.attempts.start(passage, prospect.service, chosen, now_s)

    def _on_silent(self, attempt: AttemptState, now_s: float) -> None:
        passage = attempt.passage
        passage.trouble = "silent"
        attempt.silent_at_s = None
        if not self._may_repeat(passage, now_s):
            return
        self.attempts.cancel(attempt, now_s)
        passage.may_have_run = True
        self._note_failure(attempt.state, now_s)
        self._again(passage, RetryReason.SILENT, now_s, budgeted=True)

    def _again(
        self, passage: Passage, reason: RetryReason, now_s: float, budgeted: bool = False
    ) -> None:
        """Send a request once more, or answer it for good.

        :param budgeted: whether the repeat was taken from the budget already.
        """
        never_reached = reason is RetryReason.CONNECT
        if not (budgeted or never_reached) and not self._may_repeat(passage, now_s):
            refusal = Refusal.REPLICA_REFUSED
            self.conclusions.refuse(passage, refusal, now_s)
            return
        if self.suspects.refuses(passage.arrival.fingerprint):
            self.conclusions.refuse(passage, Refusal.POISON, now_s)
            return
        self.emit(Count("retries", reason.value))
        self.conclusions.log("sent again", passage, now_s, reason=reason.value)
        self._send(passage, now_s)

    def _failed(self, passage: Passage, reason: RetryReason, now_s: float) -> None:
        """Recover a request whose attempt may have run."""
        resumable = passage.bytes_sent == 0 or passage.last_event_id is not None
        if passage.route.repeatable and resumable and self._may_repeat(passage, now_s):
            reason = RetryReason.RESUMED if passage.head_sent else reason
            self._again(passage, reason, now_s, budgeted=True)
            return
        self.conclusions.refuse(passage, Refusal.UNKNOWN_OUTCOME, now_s)

    def _may_repeat(self, passage: Passage, now_s: float) -> bool:
        """Return whether one more attempt is allowed, and take it from the budget."""
        if passage.sent_count >= passage.route.attempts_max_count:
            return False
        if passage.deadline_s - now_s < REPEAT_LEFT_MIN_S:
            return False
        if self.suspects.refuses(passage.arrival.fingerprint):
            return False
        return self.retries.take(passage.service, self.entry_vms_count, now_s)

    def _time_out(self, attempt: AttemptState, now_s: float) -> None:
        self.attempts.cancel(attempt, now_s)
        attempt.passage.may_have_run = True
        if attempt.first_event_at_s is None and not attempt.opened:
            self._note_failure(attempt.state, now_s)
        self.conclusions.refuse(attempt.passage, Refusal.TIMEOUT, now_s)

    def _note_pace(self, attempt: AttemptState, now_s: float) -> None:
        """Note whether an event comes later than the route's objectives."""
        passage = attempt.passage
        route = passage.route
        if attempt.first_event_at_s is None:
            late = now_s - passage.arrived_at_s > route.objective_s and passage.bytes_sent == 0
        else:
            late = now_s - attempt.last_event_at_s > route.gap_objective_s > 0.0
        if late:
            self.conclusions.note_late(passage, now_s)

    def _note_failure(
        self, state: ReplicaState, now_s: float, answered_kind: RouteKind | None = None
    ) -> None:
        # An error that a replica answers to a lookup says little: some fail wherever they run.
        if answered_kind is RouteKind.IDEMPOTENT:
            return
        if state.on_failure(now_s):
            self._log_replica("replica shut out", state)

    def _log_replica(self, event: str, state: ReplicaState) -> None:
        fields = (
            ("replica", state.replica.replica_id),
            ("shut_out_s", state.eject_s),
            ("in_flight", len(state.in_flight)),
        )
        self.emit(Log(event, fields))


def _room_fields(states: Sequence[ReplicaState], now_s: float) -> dict[str, LogValue]:
    """Return what decided that there was no room, for the log."""
    return {
        "replicas": len(states),
        "shut_out": sum(1 for state in states if now_s < state.ejected_until_s),
        "just_refused": sum(1 for state in states if now_s < state.full_until_s),
        "least_running": min((state.count for state in states), default=None),
    }
