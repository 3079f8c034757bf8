"""Relays requests to replicas, with retries, stream resumption and time-outs."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import (
    Action,
    CloseIdleConnections,
    ForwardEvents,
    IncrementCounter,
    LogLine,
    Refusal,
    RetryReason,
    StartStream,
)
from coriandershelf_core.internal.gateway.admission_control import AdmissionControl
from coriandershelf_core.internal.gateway.attempts import (
    TIMEOUT_GRACE_S,
    Attempts,
    AttemptState,
    first_ms,
    gap_timeout_s,
    wait_max_s,
)
from coriandershelf_core.internal.gateway.crash_suspects import CrashSuspects
from coriandershelf_core.internal.gateway.deployment import Deployment, RouteKind, Service
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    AttemptFailed,
    FailureCause,
    MalformedHeader,
    ReplicaProbed,
    ResponseHeadRead,
    StartStated,
    StreamEnded,
    StreamOpened,
    StreamPaused,
    StreamRead,
)
from coriandershelf_core.internal.gateway.load_queries import LoadQueries, PendingQuery
from coriandershelf_core.internal.gateway.load_tracking import AttemptStep, LoadReply, TrackedLoad
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.recorded_versions import RecordedVersions
from coriandershelf_core.internal.gateway.replica_paths import ReplicaPaths
from coriandershelf_core.internal.gateway.replica_starts import NoStart, StatedStart
from coriandershelf_core.internal.gateway.request import ActiveRequest, ReplicaResponse
from coriandershelf_core.internal.gateway.responder import LogValue, Responder
from coriandershelf_core.internal.gateway.response_ends import ResponseEnds
from coriandershelf_core.internal.gateway.resumptions import Resumptions
from coriandershelf_core.internal.gateway.retry_allowance import RetryAllowance
from coriandershelf_core.internal.gateway.rollout_traffic import Rollouts
from coriandershelf_core.internal.gateway.selection import CandidateSet, ReplicaSelector
from coriandershelf_core.internal.vocabulary.outcome import NOT_RUN_STATUSES

# No requests are sent to a replica for this long after it refused one.
REJECTED_BACKOFF_S = 0.15
# Longest pause that a replica may ask for; a longer one is more likely an error.
PAUSE_MAX_S = 300.0
# Period at which it is looked again whether the origin of a silent stream is known.
ORIGIN_PERIOD_S = 0.3
# A request with less time left is not retried.
RETRY_TIME_LEFT_MIN_S = 0.05
# After the time limit, what waits for an attempt is refused by its queue; this is for the rest.
OVERDUE_GRACE_S = 0.25
# Replicas tried after the first one that could not be connected.
CONNECT_RETRIES_MAX_COUNT = 4
# A caller that takes up a stream comes right after its replica ended, perhaps with others, and
# before this VM has found out which; it is turned away only if that has cost it some time, too.
RESUMED_CONNECT_S = 0.3
RESUMED_CONNECT_RETRIES_MAX_COUNT = 24
SERVER_ERROR = 500
HEADER_LOGGED_MAX_CHARACTERS = 40
# The end of an event takes up to four bytes.
TAIL_KEPT_BYTES = 4


class Relay(Struct):
    """Sends each request to a replica and handles its response or failure.

    :param emit: receives the actions for the process.
    """

    pool: Pool
    selector: ReplicaSelector
    load_queries: LoadQueries
    attempts: Attempts
    responder: Responder
    retries: RetryAllowance
    crash_suspects: CrashSuspects
    recorded_versions: RecordedVersions
    paths: ReplicaPaths
    admission: AdmissionControl
    rollouts: Rollouts
    ends: ResponseEnds
    resumptions: Resumptions
    emit: Callable[[Action], None]
    entry_vms_count: int = 1
    deployment: Deployment | None = None

    @property
    def active_requests(self) -> dict[int, ActiveRequest]:
        """Return the requests without final response, by handle."""
        return self.responder.active_requests

    def begin(self, request: ActiveRequest, now_s: float) -> None:
        """Send an admitted request to a replica, or refuse it."""
        self.responder.register(request)
        self.retries.note_request(request.service, now_s)
        self.admission.on_request(request, now_s)
        if request.resumes_stream:
            self.resumptions.begin(request, now_s)
        else:
            self.send(request, now_s)

    def on_caller_left(self, handle: int, now_s: float) -> None:
        """Cancel a request whose caller disconnected."""
        request = self.responder.active_requests.get(handle)
        if request is None:
            return
        self.emit(IncrementCounter("callers_left"))
        attempt = self.attempts.for_request(request)
        inputs = attempt.inputs if attempt is not None else ()
        self.responder.log(
            "caller left", request, now_s, first_ms=first_ms(attempt), **dict(inputs)
        )
        if attempt is not None:
            self.rollouts.on_abandoned(attempt, now_s)
            self.attempts.cancel(attempt, now_s)
        self.admission.on_caller_left(request)
        self.responder.remove(request)

    def on_head(self, event: ResponseHeadRead, now_s: float) -> None:
        """Record what a replica states about itself in a response."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        state, stated = attempt.state, event.requests_max_per_s
        self._note_start(attempt, event.start)
        if not event.is_mismatched:
            self.resumptions.note_connection(attempt, event)
        if event.was_asked:
            state.limit.on_sent(now_s)
        if self.resumptions.is_at_other_version(attempt):
            self._leave_start(attempt, now_s)
            return
        if not event.is_mismatched:
            self.ends.on_head(attempt, event, now_s)
        if event.new_connection and attempt.relay_address is None:
            self.paths.on_connected(state.replica.replica_id, now_s)
        if event.leaving and self.pool.on_stated_leaving(state, now_s):
            fields = (
                ("replica", state.replica.replica_id),
                ("in_flight", len(state.in_flight)),
            )
            self.emit(LogLine("replica leaves, as it states", fields))
        if isinstance(event.pause_s, MalformedHeader):
            self._log_malformed("pause not understood", state, event.pause_s)
        elif event.pause_s is not None:
            self._pause(state, event.pause_s, now_s)
        if isinstance(stated, MalformedHeader):
            self._log_malformed("request limit not understood", state, stated)
        elif state.limit.on_response(stated, attempt.started_at_s, event.has_receipt, now_s):
            self.log_limit(state)

    def on_start_stated(self, event: StartStated, now_s: float) -> None:
        """Note which start sends a stream, which had begun before its replica stated that."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        attempt.state.limit.on_sent(now_s)
        if not isinstance(event.start, NoStart):
            self._note_start(attempt, event.start)
            self.resumptions.on_start_stated(attempt, now_s)

    def _leave_start(self, attempt: AttemptState, now_s: float) -> None:
        """Resume a stream elsewhere that was sent to a start of another version."""
        request = attempt.request
        self.attempts.cancel(attempt, now_s)
        request.may_have_run = True
        request.last_failure = FailureCause.OTHER_START.value
        self.recover(request, RetryReason.OTHER_START, now_s)

    def _note_start(self, attempt: AttemptState, start: StatedStart) -> None:
        """Note which start of its replica answers an attempt."""
        attempt.start = start
        replica = attempt.state.replica
        if self.pool.on_stated_start(replica.replica_id, start):
            fields: tuple[tuple[str, LogValue], ...] = (
                ("replica", replica.replica_id),
                ("start", None if isinstance(start, NoStart) else start),
                ("registered_start", replica.started_at_ms),
                ("version", self.pool.version_of_start(replica.replica_id, start)),
            )
            self.emit(LogLine("replica states another start", fields))

    def _pause(self, state: ReplicaState, pause_s: float, now_s: float) -> None:
        """Send nothing to a replica for as long as it asked."""
        bounded_s = min(pause_s, PAUSE_MAX_S)
        state.backoff_until_s = max(state.backoff_until_s, now_s + bounded_s)
        self.emit(IncrementCounter("pauses"))
        fields = (
            ("replica", state.replica.replica_id),
            ("pause_s", pause_s),
            ("own_running", len(state.in_flight)),
        )
        self.emit(LogLine("replica wants a pause", fields))

    def _log_malformed(self, event: str, state: ReplicaState, header: MalformedHeader) -> None:
        text = header.text[:HEADER_LOGGED_MAX_CHARACTERS]
        self.emit(LogLine(event, (("replica", state.replica.replica_id), ("text", text))))

    def log_limit(self, state: ReplicaState, told_by: str | None = None) -> None:
        """Log that a replica's request limit has changed.

        :param told_by: the VM that told it, or ``None`` if the replica did.
        """
        per_s = state.limit.per_s
        self.emit(IncrementCounter("request_limits", "lifted" if per_s is None else "stated"))
        fields = (
            ("replica", state.replica.replica_id),
            ("per_s", per_s),
            ("told_by", told_by),
            ("running", state.running_count),
            ("own_running", len(state.in_flight)),
        )
        self.emit(LogLine("replica's request limit", fields))

    def on_response(self, event: AnswerRead, now_s: float) -> None:
        """Forward a replica's response, or retry if that is allowed."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        has_run = not (event.not_run or event.misdirected)
        if event.is_close_delimited and has_run:
            self.ends.add(attempt, event, self._service_of(attempt.request), now_s)
        else:
            self._handle_response(attempt, event, now_s)

    def _handle_response(self, attempt: AttemptState, event: AnswerRead, now_s: float) -> None:
        request, state = attempt.request, attempt.state
        state.on_load(event.load, now_s)
        self.attempts.end(attempt, now_s, accepted=not (event.misdirected or event.not_run))
        is_refusal = event.status in NOT_RUN_STATUSES
        is_error = is_refusal or event.status >= SERVER_ERROR
        failed = event.misdirected or event.not_run or is_error
        request.last_failure = f"status {event.status}" if failed else None
        if event.misdirected:
            self.pool.mark_leaving(state.replica.replica_id)
            self.emit(CloseIdleConnections(state.replica.address))
            request.sent_count -= 1
            self._retry(request, RetryReason.MISDIRECTED, now_s)
            return
        if event.not_run:
            state.backoff_until_s = max(state.backoff_until_s, now_s + REJECTED_BACKOFF_S)
            self._retry(request, RetryReason.NOT_RUN, now_s)
            return
        self.responder.mark_started(request, attempt.started_at_s)
        request.may_have_run = True
        self.rollouts.on_answer(attempt, is_error, now_s)
        taken_s = now_s - attempt.started_at_s
        if not is_error and event.has_receipt:
            state.on_success(now_s)
            baseline_s = attempt.baseline_s * state.current_slowdown(now_s)
            state.on_latency(taken_s, baseline_s, now_s, attempt.low_load)
            self.crash_suspects.on_completed(request, now_s)
        elif is_error:
            self._record_failure(state, now_s, request.route.kind)
            if request.route.repeatable and self._take_retry(request, now_s):
                if not is_refusal:
                    request.error_response = ReplicaResponse(
                        event.status, event.headers, event.body
                    )
                self._retry(request, RetryReason.SERVER_ERROR, now_s, budgeted=True)
                return
        if request.headers_sent:
            # The resumption of the stream was rejected, so the caller's stream stays incomplete.
            self.responder.abort_stream(request, now_s)
            return
        if is_refusal:
            # The replica did not state that the request did not run, as its status would.
            self.responder.refuse(request, Refusal.UNKNOWN_OUTCOME, now_s, status=event.status)
            return
        response = ReplicaResponse(event.status, event.headers, event.body)
        fields = _end_fields(attempt, event, now_s) | dict(attempt.inputs)
        self.responder.deliver(request, response, now_s, **fields)

    def on_opened(self, event: StreamOpened, now_s: float) -> None:
        """Forward a stream's headers; a resumed stream keeps those of its first replica."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        attempt.headers_received = True
        attempt.state.on_load(event.load, now_s)
        attempt.slowdown = event.load.slowdown if event.load is not None else None
        request = attempt.request
        request.may_have_run = True
        if not request.headers_sent:
            request.headers_sent = True
            self.emit(StartStream(request.arrival.handle, event.status, event.headers))

    def on_read(self, event: StreamRead, now_s: float) -> None:
        """Forward complete events as they arrive."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        request, state = attempt.request, attempt.state
        request.sent_tail = (request.sent_tail + event.payload[-TAIL_KEPT_BYTES:])[
            -TAIL_KEPT_BYTES:
        ]
        if not event.events_count:
            self.emit(ForwardEvents(request.arrival.handle, event.payload))
            return
        self.ends.on_read(attempt, now_s)
        request.waits_since_s = None
        if request.may_be_whole_since_s is not None:
            request.may_be_whole_since_s = None
            self.ends.on_more_after_comment(request.service, now_s)
        self._check_lateness(attempt, now_s)
        if attempt.first_event_at_s is not None:
            gap_s = now_s - attempt.last_event_at_s
            attempt.longest_gap_s = max(attempt.longest_gap_s, gap_s)
        attempt.last_event_at_s = now_s
        attempt.events_count += event.events_count
        if attempt.first_event_at_s is None:
            attempt.first_event_at_s = now_s
            self.rollouts.on_answer(attempt, False, now_s)
            self.responder.mark_started(request, now_s)
            self.resumptions.on_first_event(attempt, now_s)
            state.on_first_event(attempt.attempt_id)
            taken_s = now_s - attempt.started_at_s
            baseline_s = attempt.baseline_s * state.current_slowdown(now_s)
            # Time spent queued behind other prompts says little about the replica's speed.
            latency_ratio = None if attempt.was_queued else taken_s / baseline_s
            self.load_queries.notify(
                state, attempt.attempt_id, AttemptStep.FIRST_EVENT, now_s,
                slowdown=attempt.slowdown, latency_ratio=latency_ratio,
            )  # fmt: skip
            state.on_latency(taken_s, baseline_s, now_s, attempt.low_load)
        elif request.is_origin_open:
            self.resumptions.note_origin(attempt, now_s)
        if attempt.silence_deadline_s is not None:
            attempt.silence_deadline_s = now_s + gap_timeout_s(request)
        if event.last_event_id is not None:
            request.last_event_id = event.last_event_id
        request.bytes_sent += len(event.payload)
        self.emit(ForwardEvents(request.arrival.handle, event.payload))

    def on_paused(self, event: StreamPaused, now_s: float) -> None:
        """Judge no silence while a slow caller keeps its stream from being read."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        attempt.paused = event.paused
        attempt.was_paused = True
        attempt.last_event_at_s = now_s
        if attempt.silence_deadline_s is not None:
            attempt.silence_deadline_s = now_s + gap_timeout_s(attempt.request)

    def on_ended(self, event: StreamEnded, now_s: float) -> None:
        """End a stream that its replica ended normally."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        if event.is_close_delimited:
            self.ends.add(attempt, event, self._service_of(attempt.request), now_s)
        else:
            self._end_stream(attempt, event, now_s)

    def on_end_confirmed(
        self, attempt: AttemptState, event: StreamEnded | AnswerRead, now_s: float
    ) -> None:
        """End a response that ended with its connection and is known to be complete."""
        if self.attempts.by_id.get(attempt.attempt_id) is not attempt:
            # Its caller has left, or its time is over.
            return
        if isinstance(event, AnswerRead):
            self._handle_response(attempt, event, now_s)
        elif not (event.after_comment and self._go_on_after_comment(attempt, now_s)):
            self._end_stream(attempt, event, now_s)

    def _go_on_after_comment(self, attempt: AttemptState, now_s: float) -> bool:
        """Ask for more of a stream that ended with its connection after a comment.

        Its replica runs, but may have broken it off: replicas write comments while the next event
        is to come. Returns false if the stream is to end: this attempt has brought no event, or no
        other one can go on and streams of the service are not known to break off so.
        """
        request = attempt.request
        if not attempt.events_count:
            self.ends.on_whole_after_comment(request.service)
            return False
        self.resumptions.settle(request)
        is_bound = request.last_event_id is not None and not request.is_origin_open
        if not (request.route.resumable and is_bound):
            return False
        is_known_to_break = self.ends.break_after_comments(request.service, now_s)
        may_retry = self._take_retry(request, now_s)
        if not (may_retry or is_known_to_break):
            return False
        self.attempts.end(attempt, now_s)
        request.last_failure = FailureCause.UNCONFIRMED.value
        if not may_retry:
            self.responder.refuse(request, Refusal.UNKNOWN_OUTCOME, now_s)
            return True
        if not is_known_to_break:
            request.may_be_whole_since_s = attempt.last_event_at_s
        if not self._has_untried(request):
            request.tried_ids.discard(attempt.state.replica.replica_id)
        self._retry(request, RetryReason.UNCONFIRMED, now_s, budgeted=True)
        return True

    def on_end_unconfirmed(self, attempt: AttemptState, cause: FailureCause, now_s: float) -> None:
        """Treat a response that ended with its connection as broken off."""
        self.on_failed(AttemptFailed(attempt.attempt_id, cause, sent=True), now_s)

    def _end_stream(self, attempt: AttemptState, event: StreamEnded, now_s: float) -> None:
        attempt.state.on_success(now_s)
        self.rollouts.on_stream_ended(attempt, now_s)
        self.attempts.end(attempt, now_s)
        request = attempt.request
        self.resumptions.on_ended(request.stream_id)
        self.crash_suspects.on_completed(request, now_s)
        inputs = dict(attempt.inputs)
        gap_ms = round(attempt.longest_gap_s * 1e3)
        self.responder.end_stream(
            request,
            now_s,
            first_ms=first_ms(attempt),
            gap_ms=gap_ms,
            events=attempt.events_count,
            **_end_fields(attempt, event, now_s),
            **inputs,
        )

    def on_failed(self, event: AttemptFailed, now_s: float) -> None:
        """Retry if the request was not sent or may run again, else report an unknown outcome."""
        attempt = self.attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        request, state = attempt.request, attempt.state
        self.attempts.end(attempt, now_s, accepted=event.sent)
        request.last_failure = event.cause.value
        if event.cause is FailureCause.OTHER_START:
            self._on_other_start(attempt, event.start, now_s)
            return
        if not event.sent:
            if not event.was_asked:
                state.limit.on_unsent()
            request.sent_count -= 1
            self._on_unsent(attempt, event.cause, now_s)
            self._retry(request, RetryReason.CONNECT, now_s)
            return
        request.may_have_run = True
        if event.cause is FailureCause.UNCONFIRMED:
            # Nothing shows that the replica has failed.
            self.recover(request, RetryReason.UNCONFIRMED, now_s)
            return
        if state.leaving:
            # A leaving replica aborts unfinished requests; this does not count as a failure.
            self.recover(request, RetryReason.LEFT, now_s)
            return
        if attempt.relay_address is not None:
            # It may have been the other VM that ended.
            self.paths.on_relay_failed(attempt.relay_address, now_s)
        else:
            is_certain = event.cause is not FailureCause.CLOSED
            self.rollouts.on_broken(attempt, now_s, is_certain)
            self._record_failure(state, now_s)
            if event.cause is FailureCause.CLOSED:
                self.crash_suspects.on_crash(attempt, now_s)
        self.recover(request, RetryReason.FAILED, now_s)

    def _on_other_start(self, attempt: AttemptState, start: StatedStart, now_s: float) -> None:
        """Resume a stream elsewhere, since another start of the replica answers."""
        request = attempt.request
        self._note_start(attempt, start)
        request.sent_count -= 1
        request.connect_failures_count += 1
        name, version = attempt.state.replica.replica_id, request.software_version
        is_possible = start is NoStart.NO_ANSWER
        is_possible |= self.pool.version_of_start(name, start) == version
        if is_possible and not self._has_untried(request):
            request.tried_ids.discard(name)
        self._retry(request, RetryReason.OTHER_START, now_s)

    def _has_untried(self, request: ActiveRequest) -> bool:
        """Return whether a stream may go on at a replica that it was not sent to yet."""
        usable = self.pool.usable(request.service)
        running = self.pool.running_at(request.software_version or "", usable)
        return any(state.replica.replica_id not in request.tried_ids for state in running)

    def _on_unsent(self, attempt: AttemptState, cause: FailureCause, now_s: float) -> None:
        """Record why an attempt could not be sent."""
        request, state = attempt.request, attempt.state
        if attempt.relay_address is not None:
            request.connect_failures_count += 1
            self.paths.on_relay_failed(attempt.relay_address, now_s)
            if cause is FailureCause.CONNECT and state.eject(now_s):
                self._log_replica("replica unreachable", state)
            return
        if cause is FailureCause.CONNECT:
            self.paths.on_unreachable(state.replica.replica_id, now_s)
        if self.paths.is_lost(state.replica.replica_id):
            # Nothing is known of the replica; it may be reached through another VM.
            request.tried_ids.discard(state.replica.replica_id)
            return
        request.connect_failures_count += 1
        if cause is FailureCause.CONNECT:
            self.load_queries.notify(state, attempt.attempt_id, AttemptStep.UNREACHABLE, now_s)
            if state.eject(now_s):
                self._log_replica("replica unreachable", state)

    def on_probed(self, event: ReplicaProbed, now_s: float) -> None:
        """Note whether a replica accepted a connection."""
        if not event.connected:
            return
        self.paths.on_connected(event.replica_id, now_s)

    def on_tick(self, now_s: float) -> None:
        """Handle query time-outs, silent replicas and expired deadlines."""
        self.ends.on_tick(self.attempts.by_id, now_s)
        self.resumptions.on_tick(now_s)
        for pending in self.load_queries.pop_overdue(now_s):
            self._resume_pending(pending, now_s)
        self.rollouts.on_tick(self.attempts.by_id.values(), now_s)
        for attempt in list(self.attempts.by_id.values()):
            request = attempt.request
            if now_s >= request.deadline_s + TIMEOUT_GRACE_S:
                self._time_out(attempt, now_s)
            elif (
                attempt.silence_deadline_s is not None
                and now_s >= attempt.silence_deadline_s
                and not attempt.paused
            ):
                self._on_silence(attempt, now_s)
        self.admission.on_tick(now_s)
        self.send_waiting(now_s)
        self.admission.refuse_unlikely(now_s)
        self._end_overdue(now_s)
        self._end_without_more(now_s)

    def _end_overdue(self, now_s: float) -> None:
        """End the requests that are past their time limit and have no attempt that could end."""
        for request in list(self.responder.active_requests.values()):
            is_overdue = now_s >= request.deadline_s + OVERDUE_GRACE_S
            if is_overdue and self.attempts.for_request(request) is None:
                request.may_have_run |= request.sent_count > 0
                self.responder.refuse(request, Refusal.TIMEOUT, now_s, overdue=1)

    def _end_without_more(self, now_s: float) -> None:
        """End the streams that may be whole before their callers abandon them."""
        for request in list(self.responder.active_requests.values()):
            since_s = request.may_be_whole_since_s
            if since_s is None or now_s - since_s < wait_max_s(request.route):
                continue
            attempt = self.attempts.for_request(request)
            if attempt is not None:
                self.attempts.cancel(attempt, now_s)
            self.responder.abort_stream(request, now_s)

    def send_waiting(self, now_s: float) -> None:
        """Send the waiting requests for which there is capacity now."""
        for request in self.admission.due(now_s):
            self.send(request, now_s)

    def abort_all(self, now_s: float) -> None:
        """End everything in flight because the process must exit now."""
        self.admission.refuse_all(now_s)
        for request in list(self.responder.active_requests.values()):
            attempt = self.attempts.for_request(request)
            if attempt is not None:
                self.attempts.cancel(attempt, now_s)
            self.responder.refuse(request, Refusal.UNKNOWN_OUTCOME, now_s)

    def _service_of(self, request: ActiveRequest) -> Service:
        deployment = self.deployment
        assert deployment is not None, "request admitted without a configuration"
        return deployment.services.get(request.service, Service(request.service, 0))

    def send(self, request: ActiveRequest, now_s: float) -> None:
        """Send a request to a replica at which it may run, let it wait, or refuse it."""
        service = self._service_of(request)
        usable = self.pool.usable(request.service)
        states = self.rollouts.allowed(request, usable, now_s)
        version = request.software_version
        if version is None and request.route.resumable:
            states = self.recorded_versions.usable(request.service, states)
        if version is not None and usable:
            states = self.pool.running_at(version, states)
            if not states:
                self.responder.refuse(request, Refusal.NO_VERSION, now_s, version=version)
                return
        if not states:
            fields = _capacity_fields(states, now_s)
            self.responder.refuse(request, Refusal.NO_REPLICA, now_s, **fields)
            return
        if self.admission.holds_back(request, now_s):
            self.admission.wait_or_refuse(request, now_s, **_capacity_fields(states, now_s))
            return
        is_new = not self.admission.is_waiting(request)
        candidate_set = self.selector.find_candidates(request, service, states, now_s, is_new)
        if candidate_set is None:
            self.admission.wait_or_refuse(request, now_s, **_capacity_fields(states, now_s))
            return
        pending = self.load_queries.query(request, candidate_set, now_s)
        if pending is None or not pending.awaited_ids:
            self._send_to_best(request, candidate_set, pending.loads if pending else None, now_s)
        else:
            self.admission.on_probe(request)

    def on_load_reply(self, reply: LoadReply, now_s: float) -> None:
        """Handle a reply to a load query and send its request once all replies are in."""
        pending = self.load_queries.on_reply(reply)
        if pending is not None:
            self._resume_pending(pending, now_s)

    def _resume_pending(self, pending: PendingQuery, now_s: float) -> None:
        request = pending.request
        if self.responder.is_active(request):
            self._send_to_best(request, pending.candidate_set, pending.loads, now_s)

    def _send_to_best(
        self,
        request: ActiveRequest,
        candidate_set: CandidateSet,
        tracked_loads: Mapping[str, TrackedLoad] | None,
        now_s: float,
    ) -> None:
        for load in (tracked_loads or {}).values():
            state = self.pool.get(load.replica_id)
            if state is not None:
                state.on_peer_slowdown(load.pace, load.pace_age_s, now_s)
        version = request.software_version
        if version is not None:
            # Replicas may have started again while their loads were queried.
            running = self.pool.running_at(version, candidate_set.candidates)
            candidate_set = replace(candidate_set, candidates=running)
        # This VM's own counts would send what waits to full replicas, one by one.
        tracked_only = bool(tracked_loads) and self.admission.is_waiting(request)
        selected = self.selector.select(request, candidate_set, now_s, tracked_loads, tracked_only)
        if selected is None:
            fields = _capacity_fields(candidate_set.candidates, now_s)
            self.admission.wait_or_refuse(request, now_s, **fields)
            return
        self.admission.on_selected(request, now_s)
        self.rollouts.on_started(request, selected.state)
        registered_by_s = selected.state.answered.accepted_by_s(self.pool.registered_by_s())
        self.attempts.start(request, candidate_set.service, selected, now_s, registered_by_s)

    def _on_silence(self, attempt: AttemptState, now_s: float) -> None:
        request = attempt.request
        request.last_failure = "silent"
        attempt.silence_deadline_s = None
        self.resumptions.settle(request)
        if self.resumptions.awaits_origin(request):
            attempt.silence_deadline_s = now_s + ORIGIN_PERIOD_S
            return
        if not _may_continue(request) or not self._take_retry(request, now_s):
            return
        self.rollouts.on_broken(attempt, now_s, certain=False)
        self.attempts.cancel(attempt, now_s)
        request.may_have_run = True
        if attempt.relay_address is None and not attempt.headers_received:
            self.paths.on_unreachable(attempt.state.replica.replica_id, now_s)
        self._record_failure(attempt.state, now_s)
        self._retry(request, RetryReason.SILENT, now_s, budgeted=True)

    def _retry(
        self, request: ActiveRequest, reason: RetryReason, now_s: float, budgeted: bool = False
    ) -> None:
        """Retry a request, or refuse it.

        :param budgeted: whether the retry was already taken from the retry budget.
        """
        if reason in (RetryReason.CONNECT, RetryReason.OTHER_START):
            allowed = self._may_connect_again(request, now_s)
        else:
            allowed = budgeted or self._take_retry(request, now_s)
        if not allowed:
            refusal = Refusal.REPLICA_REFUSED
            self.responder.refuse(request, refusal, now_s)
            return
        if self.crash_suspects.refusal_detail(request.arrival, now_s) is not None:
            self.responder.refuse(request, Refusal.POISON, now_s)
            return
        self.emit(IncrementCounter("retries", reason.value))
        after = {"after_id": request.last_event_id, "tail": request.sent_tail.hex()}
        fields = after if request.headers_sent else {}
        self.responder.log("sent again", request, now_s, reason=reason.value, **fields)
        self.send(request, now_s)

    def recover(self, request: ActiveRequest, reason: RetryReason, now_s: float) -> None:
        """Retry or resume a request whose attempt may have run, or report an unknown outcome."""
        self.resumptions.settle(request)
        if self.resumptions.awaits_origin(request) and self._take_retry(request, now_s):
            if not self.resumptions.await_origin(request, now_s):
                self.responder.refuse(request, Refusal.UNKNOWN_OUTCOME, now_s)
            return
        if request.route.repeatable and _may_continue(request) and self._take_retry(request, now_s):
            reason = RetryReason.RESUMED if request.headers_sent else reason
            self._retry(request, reason, now_s, budgeted=True)
            return
        self.responder.refuse(request, Refusal.UNKNOWN_OUTCOME, now_s)

    def send_again(self, request: ActiveRequest, now_s: float) -> None:
        """Go on with a broken stream, for which a retry was taken."""
        self._retry(request, RetryReason.RESUMED, now_s, budgeted=True)

    @staticmethod
    def _may_connect_again(request: ActiveRequest, now_s: float) -> bool:
        """Return whether to try another replica after one that could not be connected.

        Nothing was sent, so the retry budget does not apply, but each try costs the caller time.
        """
        if request.deadline_s - now_s < RETRY_TIME_LEFT_MIN_S:
            return False
        if request.resumes_stream and now_s - request.arrived_at_s < RESUMED_CONNECT_S:
            return request.connect_failures_count <= RESUMED_CONNECT_RETRIES_MAX_COUNT
        return request.connect_failures_count <= CONNECT_RETRIES_MAX_COUNT

    def _take_retry(self, request: ActiveRequest, now_s: float) -> bool:
        """Return whether a retry is allowed; if so, take it from the retry budget."""
        if request.sent_count >= request.route.attempts_max_count:
            return False
        if request.deadline_s - now_s < RETRY_TIME_LEFT_MIN_S:
            return False
        if self.crash_suspects.refusal_detail(request.arrival, now_s) is not None:
            return False
        return self.retries.take(request.service, self.entry_vms_count, now_s)

    def _time_out(self, attempt: AttemptState, now_s: float) -> None:
        if attempt.first_event_at_s is None:
            self.rollouts.on_broken(attempt, now_s, certain=False)
        self.attempts.cancel(attempt, now_s)
        attempt.request.may_have_run = True
        unanswered = attempt.first_event_at_s is None and not attempt.headers_received
        if unanswered or _is_stalled(attempt, now_s):
            self._record_failure(attempt.state, now_s)
        self.responder.refuse(attempt.request, Refusal.TIMEOUT, now_s)

    def _check_lateness(self, attempt: AttemptState, now_s: float) -> None:
        """Record the request as late if an event exceeds the route's latency objectives."""
        request = attempt.request
        route = request.route
        if attempt.first_event_at_s is None:
            late = now_s - request.arrived_at_s > route.objective_s and request.bytes_sent == 0
        else:
            late = now_s - attempt.last_event_at_s > route.gap_objective_s > 0.0
        if late:
            self.responder.mark_late(request, now_s)

    def _record_failure(
        self, state: ReplicaState, now_s: float, error_route_kind: RouteKind | None = None
    ) -> None:
        # A server error on an idempotent route says little: some requests fail on any replica.
        if error_route_kind is RouteKind.IDEMPOTENT:
            return
        if state.on_failure(now_s):
            self._log_replica("replica shut out", state)

    def _log_replica(self, event: str, state: ReplicaState) -> None:
        fields = (
            ("replica", state.replica.replica_id),
            ("shut_out_s", state.ejection_s),
            ("in_flight", len(state.in_flight)),
        )
        self.emit(LogLine(event, fields))


def _end_fields(
    attempt: AttemptState, event: StreamEnded | AnswerRead, now_s: float
) -> dict[str, LogValue]:
    """Return what showed the end of a response, for the log."""
    if not event.is_close_delimited:
        return {}
    return {"close_delimited": 1, "confirmed_ms": _age_ms(attempt.ended_at_s, now_s)}


def _age_ms(at_s: float | None, now_s: float) -> int | None:
    return None if at_s is None else round((now_s - at_s) * 1e3)


def _may_continue(request: ActiveRequest) -> bool:
    """Return whether another attempt may go on with the response: no event comes twice."""
    if request.bytes_sent == 0:
        return True
    return request.last_event_id is not None and not request.is_origin_open


def _is_stalled(attempt: AttemptState, now_s: float) -> bool:
    """Return whether a stream began and its replica then fell silent."""
    if attempt.first_event_at_s is None or attempt.paused:
        return False
    return now_s - attempt.last_event_at_s >= gap_timeout_s(attempt.request)


def _capacity_fields(states: Sequence[ReplicaState], now_s: float) -> dict[str, LogValue]:
    """Return the figures behind a lack of capacity, for the log."""
    return {
        "replicas": len(states),
        "shut_out": sum(1 for state in states if now_s < state.ejected_until_s),
        "just_refused": sum(1 for state in states if now_s < state.backoff_until_s),
        "limited": sum(1 for state in states if state.limit.per_s is not None),
        "least_running": min((state.running_count for state in states), default=None),
    }
