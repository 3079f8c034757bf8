"""Requests on their way: let in, sent to a replica, watched, sent again, answered."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    BreakStream,
    CancelAttempt,
    CloseIdle,
    Count,
    Deliver,
    EndStream,
    Log,
    Observe,
    OpenStream,
    PassEvents,
    Refusal,
    Refuse,
    RetryReason,
    StartAttempt,
)
from coriandershelf_core.internal.gateway.choice import Chooser, Chosen, Prospect
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
from coriandershelf_core.internal.gateway.usage_caps import UsageCaps

# A replica is told this much less than what is left, so that its own answer is in time.
DEADLINE_MARGIN_S = 0.02
# After the time limit the replica's answer may still be on its way.
TIMEOUT_SLACK_S = 0.15
# A replica that refused is left alone this long.
FULL_PAUSE_S = 0.15
# Repeatable work is tried elsewhere when no answer came for this multiple of the expected time.
SILENT_FACTOR = 6.0
SILENT_MIN_S = 0.4
STREAM_SILENT_MIN_S = 1.5
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_S = 0.3
RETRY_AFTER_SHARE = 1.0 / 3.0
# Part of a replica's slots up to which an answer's time tells of its speed alone.
QUIET_SHARE = 0.1
URGENCY_MAX = 9
URGENCY_TIERS = 3
SERVER_ERROR = 500

CountBegun = Callable[[str, float], None]
LogValue = str | int | float | None
NoteLate = Callable[[str, int, float], None]


@dataclass(slots=True)
class AttemptState:
    """One attempt at a replica.

    :param behind_others: whether other prompts were still to be read there when it was sent.
    :param quiet: whether it met few others there.
    :param inputs: what the choice of the replica was made from, for the log.
    :param usual_s: time to its first event or answer at a replica of usual speed.
    :param pace: what its replica stated with the head of its answer.
    :param silent_at_s: when its silence counts as a failure; ``None`` where it may not be repeated.
    """

    attempt_id: int
    passage: Passage
    state: ReplicaState
    started_at_s: float
    usual_s: float
    silent_at_s: float | None
    quiet: bool
    behind_others: bool
    inputs: tuple[tuple[str, LogValue], ...] = ()
    opened: bool = False
    first_event_at_s: float | None = None
    last_event_at_s: float = 0.0
    pace: float | None = None


@dataclass(slots=True)
class Relay:
    """Owns the requests in flight of one entry VM.

    :param emit: takes the actions for the process.
    :param count_begun: told the customer of each request that begins to run, and when.
    :param note_late: told service and prompt tokens of each request that misses its objective.
    """

    pool: Pool
    chooser: Chooser
    asks: RoomAsks
    retries: RetryAllowance
    suspects: Suspects
    caps: UsageCaps
    emit: Callable[[Action], None]
    count_begun: CountBegun
    note_late: NoteLate
    rng_share: Callable[[], float]
    entry_vms_count: int = 1
    deployment: Deployment | None = None
    passages: dict[int, Passage] = field(default_factory=dict)
    attempts: dict[int, AttemptState] = field(default_factory=dict)
    _next_attempt_id: int = 1

    def begin(self, passage: Passage, now_s: float) -> None:
        """Send a request that was let in to a replica, or refuse it at once."""
        self.passages[passage.arrival.handle] = passage
        self.retries.note_request(passage.service, now_s)
        if passage.customer is not None:
            self.caps.spend(passage.customer, passage.cost)
        self._send(passage, now_s)

    def on_caller_left(self, handle: int, now_s: float) -> None:
        """Free the replica of a request whose answer nobody awaits."""
        passage = self.passages.get(handle)
        if passage is None:
            return
        self.emit(Count("callers_left"))
        attempt = self.attempts.get(passage.attempt_id)
        inputs = attempt.inputs if attempt is not None else ()
        self._log("caller left", passage, now_s, first_ms=_first_ms(attempt), **dict(inputs))
        self._drop_attempt(passage, now_s)
        self._forget(passage)

    def on_answer(self, event: AnswerRead, now_s: float) -> None:
        """Pass on a replica's answer, or try another replica where that is allowed."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        passage, state = attempt.passage, attempt.state
        state.on_load(event.load, now_s)
        self._end_attempt(attempt, now_s)
        passage.trouble = f"status {event.status}"
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
        self._begun(passage, attempt.started_at_s)
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
            self._break(passage, now_s)
            return
        self.emit(Deliver(passage.arrival.handle, event.status, event.headers, event.body))
        self.emit(Count("answers", str(event.status)))
        self._observe(passage, now_s)
        self._log("answered", passage, now_s, status=event.status, **dict(attempt.inputs))
        self._forget(passage)

    def on_opened(self, event: StreamOpened, now_s: float) -> None:
        """Pass on a stream's head; a resumed stream keeps the first replica's."""
        attempt = self.attempts.get(event.attempt_id)
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
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        passage, state = attempt.passage, attempt.state
        self._note_pace(attempt, now_s)
        attempt.last_event_at_s = now_s
        if attempt.first_event_at_s is None:
            attempt.first_event_at_s = now_s
            self._begun(passage, now_s)
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
            attempt.silent_at_s = now_s + self._silence_s(passage, 0.0)
        if event.last_event_id is not None:
            passage.last_event_id = event.last_event_id
        passage.bytes_sent += len(event.payload)
        self.emit(PassEvents(passage.arrival.handle, event.payload))

    def on_ended(self, event: StreamEnded, now_s: float) -> None:
        """End a stream that its replica ended."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        attempt.state.on_success(now_s)
        self._end_attempt(attempt, now_s)
        passage = attempt.passage
        self.emit(EndStream(passage.arrival.handle))
        self.emit(Count("answers", "stream"))
        self._observe(passage, now_s)
        inputs = dict(attempt.inputs)
        self._log("stream ended", passage, now_s, first_ms=_first_ms(attempt), **inputs)
        self._forget(passage)

    def on_failed(self, event: AttemptFailed, now_s: float) -> None:
        """Go on elsewhere where nothing can run twice; say truly what became of the rest."""
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        passage, state = attempt.passage, attempt.state
        self._end_attempt(attempt, now_s)
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
        for attempt in list(self.attempts.values()):
            passage = attempt.passage
            if now_s >= passage.deadline_s + TIMEOUT_SLACK_S:
                self._time_out(attempt, now_s)
            elif attempt.silent_at_s is not None and now_s >= attempt.silent_at_s:
                self._on_silent(attempt, now_s)

    def cut_all(self, now_s: float) -> None:
        """Answer everything in flight because the process must end now."""
        for passage in list(self.passages.values()):
            self._drop_attempt(passage, now_s)
            self._conclude(passage, Refusal.UNKNOWN_OUTCOME, now_s)

    def _send(self, passage: Passage, now_s: float) -> None:
        deployment = self.deployment
        assert deployment is not None, "a request was let in without a configuration"
        service = deployment.services.get(passage.service, Service(passage.service, 0))
        states = self.pool.usable(passage.service)
        prospect = self.chooser.prospect(passage, service, states, now_s)
        if prospect is None:
            refusal = Refusal.NO_ROOM if states else Refusal.NO_REPLICA
            self._conclude(passage, refusal, now_s, **_room_fields(states, now_s))
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
        if self.passages.get(passage.arrival.handle) is passage:
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
            self._conclude(passage, Refusal.NO_ROOM, now_s, **fields)
            return
        self._start(passage, prospect.service, chosen, now_s)

    def _start(self, passage: Passage, service: Service, chosen: Chosen, now_s: float) -> None:
        attempt_id = self._next_attempt_id
        self._next_attempt_id += 1
        state = chosen.state
        name = state.replica.replica_id
        stream = passage.route.kind is RouteKind.STREAM
        silent_at_s = None
        if passage.route.repeatable and passage.sent_count + 1 < passage.route.attempts_max_count:
            silent_at_s = now_s + self._silence_s(passage, chosen.expected_s)
        quiet = chosen.running_count <= QUIET_SHARE * state.replica.slots_count
        parts = passage.arrival.parts
        inputs = (
            ("expected_ms", round(chosen.expected_s * 1e3)),
            ("uncached", chosen.uncached_tokens),
            ("waiting", chosen.waiting_tokens),
            ("running", chosen.running_count),
            ("asked", int(chosen.asked)),
            ("slowness", round(state.slowness, 2)),
            ("pace", round(state.current_pace(now_s), 2)),
            ("home_rank", chosen.home_rank),
            ("session", parts[-2].part_id if len(parts) > 1 else None),
        )
        attempt = AttemptState(
            attempt_id, passage, state, now_s, chosen.usual_s, silent_at_s, quiet,
            chosen.waiting_tokens > 0, inputs,
        )  # fmt: skip
        self.attempts[attempt_id] = attempt
        passage.attempt_id = attempt_id
        passage.replica_id = name
        passage.sent_count += 1
        passage.tried.add(name)
        state.start(attempt_id, chosen.uncached_tokens, now_s)
        if service.is_engine:
            self.chooser.parts.note(parts, name, now_s)
        keep_s = passage.deadline_s - now_s + TIMEOUT_SLACK_S
        tokens = chosen.uncached_tokens
        self.asks.note(state, attempt_id, WorkStep.STARTED, now_s, tokens, keep_s, parts)
        left_s = max(0.001, passage.deadline_s - now_s - DEADLINE_MARGIN_S)
        resume_id = passage.last_event_id
        self.emit(
            StartAttempt(
                attempt_id,
                passage.arrival.handle,
                name,
                state.replica.address,
                left_s,
                passage.customer.name if passage.customer is not None else None,
                _urgency(passage) if service.is_engine else None,
                stream,
                not passage.route.repeatable,
                resume_id if resume_id is not None else passage.arrival.last_event_id,
            )
        )

    def _silence_s(self, passage: Passage, expected_s: float) -> float:
        if passage.route.kind is RouteKind.STREAM:
            gap_s = 2.0 * passage.route.gap_objective_s
            return max(STREAM_SILENT_MIN_S, gap_s, SILENT_FACTOR * expected_s)
        return max(SILENT_MIN_S, SILENT_FACTOR * expected_s)

    def _on_silent(self, attempt: AttemptState, now_s: float) -> None:
        passage = attempt.passage
        passage.trouble = "silent"
        attempt.silent_at_s = None
        if not self._may_repeat(passage, now_s):
            return
        self.emit(CancelAttempt(attempt.attempt_id))
        self._end_attempt(attempt, now_s)
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
            self._conclude(passage, refusal, now_s)
            return
        if self.suspects.refuses(passage.arrival.fingerprint):
            self._conclude(passage, Refusal.POISON, now_s)
            return
        self.emit(Count("retries", reason.value))
        self._log("sent again", passage, now_s, reason=reason.value)
        self._send(passage, now_s)

    def _failed(self, passage: Passage, reason: RetryReason, now_s: float) -> None:
        """Recover a request whose attempt may have run."""
        resumable = passage.bytes_sent == 0 or passage.last_event_id is not None
        if passage.route.repeatable and resumable and self._may_repeat(passage, now_s):
            reason = RetryReason.RESUMED if passage.head_sent else reason
            self._again(passage, reason, now_s, budgeted=True)
            return
        self._conclude(passage, Refusal.UNKNOWN_OUTCOME, now_s)

    def _may_repeat(self, passage: Passage, now_s: float) -> bool:
        """Return whether one more attempt is allowed, and take it from the budget."""
        if passage.sent_count >= passage.route.attempts_max_count:
            return False
        if passage.deadline_s - now_s < RETRY_AFTER_MIN_S:
            return False
        if self.suspects.refuses(passage.arrival.fingerprint):
            return False
        return self.retries.take(passage.service, self.entry_vms_count, now_s)

    def _time_out(self, attempt: AttemptState, now_s: float) -> None:
        self.emit(CancelAttempt(attempt.attempt_id))
        self._end_attempt(attempt, now_s)
        attempt.passage.may_have_run = True
        if attempt.first_event_at_s is None and not attempt.opened:
            self._note_failure(attempt.state, now_s)
        self._conclude(attempt.passage, Refusal.TIMEOUT, now_s)

    def _conclude(
        self, passage: Passage, refusal: Refusal, now_s: float, **fields: LogValue
    ) -> None:
        """Give a request its final answer without a replica's."""
        if passage.head_sent:
            self._break(passage, now_s)
            return
        if passage.answer is not None:
            self._deliver_kept(passage, passage.answer, now_s)
            return
        if passage.may_have_run:
            refusal = refusal if refusal is Refusal.TIMEOUT else Refusal.UNKNOWN_OUTCOME
        elif passage.customer is not None:
            self.caps.spend(passage.customer, -passage.cost)
        self._note_late(passage, now_s)
        retry_after_s = None
        if refusal not in (Refusal.TIMEOUT, Refusal.UNKNOWN_OUTCOME):
            left_s = max(0.0, passage.deadline_s - now_s)
            wait_s = RETRY_AFTER_S * (0.5 + self.rng_share())
            retry_after_s = min(wait_s, left_s * RETRY_AFTER_SHARE)
        self.emit(Refuse(passage.arrival.handle, refusal, retry_after_s))
        self.emit(Count("refusals", refusal.value))
        self._log("refused", passage, now_s, reason=refusal.value, **fields)
        self._forget(passage)

    def _deliver_kept(self, passage: Passage, answer: ReplicaAnswer, now_s: float) -> None:
        """Pass on a replica's error after all: it says more than an answer of this VM's."""
        handle = passage.arrival.handle
        self.emit(Deliver(handle, answer.status, answer.headers, answer.body))
        self.emit(Count("answers", str(answer.status)))
        self._observe(passage, now_s)
        self._log("answered", passage, now_s, status=answer.status, kept=1)
        self._forget(passage)

    def _break(self, passage: Passage, now_s: float) -> None:
        self.emit(BreakStream(passage.arrival.handle))
        self.emit(Count("streams_broken"))
        self._log("stream broken", passage, now_s)
        self._forget(passage)

    def _observe(self, passage: Passage, now_s: float) -> None:
        taken_s = now_s - passage.arrived_at_s
        self.emit(Observe(passage.route.kind.value, passage.service, taken_s))

    def _note_pace(self, attempt: AttemptState, now_s: float) -> None:
        """Note whether an event comes later than the route's objectives."""
        passage = attempt.passage
        route = passage.route
        if attempt.first_event_at_s is None:
            late = now_s - passage.arrived_at_s > route.objective_s and passage.bytes_sent == 0
        else:
            late = now_s - attempt.last_event_at_s > route.gap_objective_s > 0.0
        if late:
            self._note_late(passage, now_s)

    def _note_late(self, passage: Passage, now_s: float) -> None:
        if not passage.late:
            passage.late = True
            self.note_late(passage.service, passage.arrival.prompt_tokens, now_s)

    def _begun(self, passage: Passage, at_s: float) -> None:
        if not passage.counted and passage.customer is not None:
            passage.counted = True
            self.count_begun(passage.customer.name, at_s)

    def _note_failure(
        self, state: ReplicaState, now_s: float, answered_kind: RouteKind | None = None
    ) -> None:
        # An error that a replica answers to a lookup says little: some fail wherever they run.
        if answered_kind is RouteKind.IDEMPOTENT:
            return
        if state.on_failure(now_s):
            self._log_replica("replica shut out", state)

    def _drop_attempt(self, passage: Passage, now_s: float) -> None:
        attempt = self.attempts.get(passage.attempt_id)
        if attempt is not None:
            self.emit(CancelAttempt(attempt.attempt_id))
            self._end_attempt(attempt, now_s)

    def _end_attempt(self, attempt: AttemptState, now_s: float) -> None:
        attempt.state.end(attempt.attempt_id)
        self.asks.note(attempt.state, attempt.attempt_id, WorkStep.ENDED, now_s)
        del self.attempts[attempt.attempt_id]

    def _forget(self, passage: Passage) -> None:
        self.passages.pop(passage.arrival.handle, None)

    def _log(self, event: str, passage: Passage, now_s: float, **fields: LogValue) -> None:
        base: tuple[tuple[str, LogValue], ...] = (
            ("request_id", passage.arrival.request_id),
            ("route", passage.route.name),
            ("sent", passage.sent_count),
            ("replica", passage.replica_id),
            ("trouble", passage.trouble),
            ("age_ms", round((now_s - passage.arrived_at_s) * 1e3)),
        )
        self.emit(Log(event, base + tuple(fields.items())))

    def _log_replica(self, event: str, state: ReplicaState) -> None:
        fields = (
            ("replica", state.replica.replica_id),
            ("shut_out_s", state.eject_s),
            ("in_flight", len(state.in_flight)),
        )
        self.emit(Log(event, fields))


def _first_ms(attempt: AttemptState | None) -> int | None:
    """Return the time from an attempt's start to its first event, for the log."""
    if attempt is None or attempt.first_event_at_s is None:
        return None
    return round((attempt.first_event_at_s - attempt.started_at_s) * 1e3)


def _room_fields(states: Sequence[ReplicaState], now_s: float) -> dict[str, LogValue]:
    """Return what decided that there was no room, for the log."""
    return {
        "replicas": len(states),
        "shut_out": sum(1 for state in states if now_s < state.ejected_until_s),
        "just_refused": sum(1 for state in states if now_s < state.full_until_s),
        "least_running": min((state.count for state in states), default=None),
    }


def _urgency(passage: Passage) -> int:
    """Return an engine's scheduling class: the customer's rank first, then the route's."""
    customer = passage.customer
    rank = customer.rank if customer is not None and customer.rank is not None else 0
    return min(URGENCY_MAX, URGENCY_TIERS * rank + min(URGENCY_TIERS - 1, passage.route.rank))
