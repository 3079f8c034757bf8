"""Close-delimited responses of which it is not known yet whether they are complete.

A response with neither a length nor chunks ends with its connection (RFC 9112, section 6.3). The
kernel also ends the connections of a killed process in order, mostly between two events, since
replicas write whole ones. So such an end counts only once the process that sent the response is
known to have run after it: it answers something that was sent to it after the end.

A process that has stated its start is asked for it again, on any connection. One that has not is
asked on another connection, which it had accepted while it is known to have run; a later request
that it answers on such a connection counts too. What was only read after the end shows nothing,
since a killed process's bytes may still be on their way.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    CheckLiveness,
    IncrementCounter,
    LogLine,
)
from coriandershelf_core.internal.gateway.attempts import AttemptState
from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    FailureCause,
    Liveness,
    LivenessChecked,
    ResponseHeadRead,
    StreamEnded,
)
from coriandershelf_core.internal.gateway.process_tracking import READ_LAG_S, ReadTiming

# A response is given up after this time, which is less than callers wait for an event, or after
# this share of the time that its caller has left.
CONFIRMED_WITHIN_S = 2.0
CONFIRMED_WITHIN_SHARE = 0.5
# The same for one that may be asked for elsewhere, once the replica could not be asked.
REPEATED_AFTER_S = 0.3
# Replicas of a service are expected to send such responses for this long after the last one.
EXPECTED_S = 60.0

ResponseEnd = StreamEnded | AnswerRead
# A replica, and the entry VM through which it is reached, if any.
ReplicaPath = tuple[str, str | None]


class UnconfirmedEnd(Struct):
    """The end of a response that may be incomplete.

    :param connected_by_s: a connection that was accepted by then leads to the same process.
    :param give_up_at_s: until when it may be confirmed.
    :param outcome: what came of asking the replica whether it still runs, once that is known.
    """

    attempt: AttemptState
    event: ResponseEnd
    service: Service
    ended_at_s: float
    connected_by_s: float
    give_up_at_s: float
    outcome: Liveness | None = None

    @property
    def path(self) -> ReplicaPath:
        """Return the way to its replica."""
        return self.attempt.state.replica.replica_id, self.attempt.relay_address


class ResponseEnds(Struct):
    """Holds back the ends of close-delimited responses until they are confirmed.

    Notes, for that, when the processes ran that answer this VM.

    :param on_confirmed: called with an attempt, the event that ended it and the time, once its
        response is known to be complete.
    :param on_unconfirmed: called with an attempt, why and the time, if that cannot be known.
    :param emit: receives the actions for the process.
    """

    entry_vms: EntryVms
    on_confirmed: Callable[[AttemptState, ResponseEnd, float], None]
    on_unconfirmed: Callable[[AttemptState, FailureCause, float], None]
    emit: Callable[[Action], None]
    _by_attempt: dict[int, UnconfirmedEnd] = field(default_factory=dict)
    _asked_at_s: dict[ReplicaPath, float] = field(default_factory=dict)
    _seen_at_s: dict[str, float] = field(default_factory=dict)
    _broken_after_comment_at_s: dict[str, float] = field(default_factory=dict)
    _timing: ReadTiming = field(default_factory=ReadTiming)

    def on_head(self, attempt: AttemptState, event: ResponseHeadRead, now_s: float) -> None:
        """Note that an attempt's process has begun to answer."""
        connected_at_s, sent_at_s = event.connected_at_s, event.sent_at_s
        if connected_at_s is not None and sent_at_s is not None:
            attempt.alive_at_s = sent_at_s
            process = attempt.state.process
            attempt.process_number = process.on_answered(connected_at_s, sent_at_s)
        self.on_read(attempt, now_s)

    def on_read(self, attempt: AttemptState, now_s: float) -> None:
        """Note that a part of an attempt's response was read."""
        # A slow caller or another VM may hold up what is read.
        is_direct = attempt.relay_address is None and not attempt.was_paused
        if not is_direct or not self._timing.is_in_time(now_s):
            return
        attempt.alive_at_s = max(attempt.alive_at_s, now_s - READ_LAG_S)
        process = attempt.state.process
        if attempt.process_number == process.number:
            process.alive_at_s = max(process.alive_at_s, attempt.alive_at_s)

    def are_expected(self, service: str, now_s: float) -> bool:
        """Return whether a service's replicas have sent such responses of late."""
        return now_s - self._seen_at_s.get(service, -math.inf) <= EXPECTED_S

    def break_after_comments(self, service: str, now_s: float) -> bool:
        """Return whether a service's streams that end after a comment have more events to come."""
        broken_at_s = self._broken_after_comment_at_s.get(service, -math.inf)
        return now_s - broken_at_s <= EXPECTED_S

    def on_more_after_comment(self, service: str, now_s: float) -> None:
        """Note that a stream that had ended after a comment was not whole."""
        self._broken_after_comment_at_s[service] = now_s

    def on_whole_after_comment(self, service: str) -> None:
        """Note that a stream that ended after a comment was whole."""
        self._broken_after_comment_at_s.pop(service, None)

    def add(
        self, attempt: AttemptState, event: ResponseEnd, service: Service, now_s: float
    ) -> None:
        """Hold back the end of a response, and ask its replica whether it still runs."""
        self._seen_at_s[service.name] = now_s
        # The replica is not silent; the time for which the end is held back is bounded.
        attempt.silence_deadline_s = None
        attempt.ended_at_s = now_s
        left_s = CONFIRMED_WITHIN_SHARE * max(0.0, attempt.request.deadline_s - now_s)
        give_up_at_s = now_s + min(CONFIRMED_WITHIN_S, left_s)
        connected_by_s = _connected_by_s(attempt)
        end = UnconfirmedEnd(attempt, event, service, now_s, connected_by_s, give_up_at_s)
        self._by_attempt[attempt.attempt_id] = end
        self._check(end, now_s)

    def on_checked(self, event: LivenessChecked, now_s: float) -> None:
        """Handle the outcome of a check, for all ends that came before it."""
        path = event.replica_id, event.relay_address
        asked_at_s = self._asked_at_s.pop(path, None)
        if asked_at_s is None:
            return
        self.emit(IncrementCounter("liveness_checks", event.outcome.value))
        for end in [item for item in self._by_attempt.values() if item.path == path]:
            if end.ended_at_s <= asked_at_s:
                end.outcome = event.outcome
                self._settle(end, event, asked_at_s, now_s)
            else:
                self._check(end, now_s)

    def on_tick(self, live_attempts: dict[int, AttemptState], now_s: float) -> None:
        """Confirm ends, or give them up.

        :param live_attempts: the attempts that have not ended, by id.
        """
        self._timing.on_tick(now_s)
        for attempt_id, end in list(self._by_attempt.items()):
            if live_attempts.get(attempt_id) is not end.attempt:
                del self._by_attempt[attempt_id]
            elif _was_answered_since(end):
                self._confirm(end, now_s)
            elif now_s >= end.give_up_at_s:
                self._give_up(end, FailureCause.UNCONFIRMED, now_s)
            elif end.outcome is None:
                self._check(end, now_s)

    def _settle(
        self, end: UnconfirmedEnd, event: LivenessChecked, asked_at_s: float, now_s: float
    ) -> None:
        connected_at_s = event.connected_at_s
        match event.outcome:
            case Liveness.ANSWERED if connected_at_s is not None:
                attempt = end.attempt
                if isinstance(event.start, int) and isinstance(attempt.start, int):
                    if event.start == attempt.start:
                        self._confirm(end, now_s)
                    else:
                        self._give_up(end, FailureCause.CLOSED, now_s)
                elif connected_at_s <= end.connected_by_s:
                    attempt.state.process.on_answered(connected_at_s, asked_at_s)
                    self._confirm(end, now_s)
            case Liveness.UNREACHABLE:
                self._give_up(end, FailureCause.CLOSED, now_s)
            case _ if end.attempt.request.route.repeatable:
                end.give_up_at_s = min(end.give_up_at_s, now_s + REPEATED_AFTER_S)

    def _check(self, end: UnconfirmedEnd, now_s: float) -> None:
        """Ask a replica whether it still runs, unless it is being asked or wants no request."""
        attempt, target = end.attempt, end.service.health_path
        state = attempt.state
        if not target or end.path in self._asked_at_s or now_s < state.backoff_until_s:
            return
        if not state.limit.accepts(self.entry_vms, now_s):
            return
        state.limit.on_sent(now_s)
        self._asked_at_s[end.path] = now_s
        name, relay_address = end.path
        asks_start = isinstance(attempt.start, int)
        self.emit(
            CheckLiveness(
                name, state.replica.address, target, end.connected_by_s, relay_address, asks_start
            )
        )

    def _confirm(self, end: UnconfirmedEnd, now_s: float) -> None:
        del self._by_attempt[end.attempt.attempt_id]
        self.on_confirmed(end.attempt, end.event, now_s)

    def _give_up(self, end: UnconfirmedEnd, cause: FailureCause, now_s: float) -> None:
        attempt = end.attempt
        del self._by_attempt[attempt.attempt_id]
        fields = (
            ("request_id", attempt.request.arrival.request_id),
            ("replica", attempt.state.replica.replica_id),
            ("cause", cause.value),
            ("check", None if end.outcome is None else end.outcome.value),
            ("held_ms", round((now_s - end.ended_at_s) * 1e3)),
        )
        self.emit(LogLine("response not confirmed", fields))
        self.on_unconfirmed(attempt, cause, now_s)


def _connected_by_s(attempt: AttemptState) -> float:
    """Return by when a connection was accepted that leads to the process of an attempt.

    That is while that process is known to have run, by the response itself or by other answers: no
    two processes have one address at a time.
    """
    process = attempt.state.process
    is_known = attempt.process_number == process.number
    return max(attempt.alive_at_s, process.alive_at_s) if is_known else attempt.alive_at_s


def _was_answered_since(end: UnconfirmedEnd) -> bool:
    """Return whether the process of a response has answered what was sent after its end."""
    process = end.attempt.state.process
    is_known = end.attempt.process_number == process.number
    return is_known and process.answered_sent_at_s > end.ended_at_s
