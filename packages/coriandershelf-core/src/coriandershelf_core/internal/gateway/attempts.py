"""Attempts to run requests on replicas, and their silence time-outs."""

from __future__ import annotations

import math
from collections.abc import Callable

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import Action, CancelAttempt, StartAttempt
from coriandershelf_core.internal.gateway.deployment import Route, RouteKind, Service
from coriandershelf_core.internal.gateway.load_queries import LoadQueries
from coriandershelf_core.internal.gateway.load_tracking import AttemptStep
from coriandershelf_core.internal.gateway.pool import ReplicaState
from coriandershelf_core.internal.gateway.replica_paths import ReplicaPaths
from coriandershelf_core.internal.gateway.replica_starts import NoStart, StatedStart
from coriandershelf_core.internal.gateway.request import ActiveRequest
from coriandershelf_core.internal.gateway.responder import LogValue
from coriandershelf_core.internal.gateway.rollout_counts import Judged
from coriandershelf_core.internal.gateway.selection import ReplicaSelector, ScoredReplica

# Subtracted from the time limit sent to the replica, so that its response arrives in time.
DEADLINE_MARGIN_S = 0.02
# A response sent just before the deadline may still be in transit after it.
TIMEOUT_GRACE_S = 0.15
# A retryable request moves to another replica after a silence of this multiple of the expected
# time, but not before the minimum.
SILENCE_TIMEOUT_FACTOR = 6.0
SILENCE_TIMEOUT_MIN_S = 0.4
STREAM_SILENCE_TIMEOUT_MIN_S = 1.5
# The same between two events of a route that states no objective for it: the time after which the
# platform's callers abandon a stream.
UNLIMITED_GAP_TIMEOUT_MIN_S = 2.0
UNLIMITED_GAP_OBJECTIVES = 4.0
# Callers wait for this multiple of the route's objective for pauses, if that is longer.
CALLER_GAP_OBJECTIVES = 8.0
CALLER_GAP_MARGIN_S = 0.3
# Up to this share of busy slots, latency depends on the replica's speed and not on its load.
LOW_LOAD_SHARE = 0.1
PRIORITY_MAX = 9
PRIORITY_LEVELS = 3


class AttemptState(Struct):
    """One attempt at a replica.

    :param baseline_s: expected time to the first event or response on a replica of nominal speed.
    :param silence_deadline_s: when silence counts as a failure; ``None`` if a retry is not allowed.
    :param low_load: whether few other requests ran on the replica when it was sent.
    :param was_queued: whether other prompts awaited prefill on the replica when it was sent.
    :param inputs: figures that the choice of the replica was based on, for the log.
    :param slowdown: the replica's slowdown, reported in the response headers.
    :param relay_address: the entry VM through which the replica is reached, if any.
    :param paused: whether nothing is read from the replica because the caller is slow.
    :param was_paused: whether it ever was, so that what is read may be old.
    :param events_count: events read from its stream.
    :param longest_gap_s: longest pause between two of them.
    :param judged: how it was counted in a roll-out of its service.
    :param alive_at_s: until when the process that answers it is known to have run, if it does.
    :param process_number: the number of that process at this VM, if it is known.
    :param start: the start of the replica that answers it, as the replica stated.
    :param registered_by_s: a connection that the replica had accepted by this time leads to the
        start that was registered as the request was sent.
    :param connected_at_s: when the replica had accepted the attempt's connection, once it answers.
    :param registered_start_ms: the start that answers it if the replica does not state that, but
        registrations tell which one it is.
    :param ended_at_s: when its close-delimited response ended, if it did.
    """

    attempt_id: int
    request: ActiveRequest
    state: ReplicaState
    started_at_s: float
    baseline_s: float
    silence_deadline_s: float | None
    low_load: bool
    was_queued: bool
    inputs: tuple[tuple[str, LogValue], ...] = ()
    headers_received: bool = False
    first_event_at_s: float | None = None
    last_event_at_s: float = 0.0
    paused: bool = False
    was_paused: bool = False
    slowdown: float | None = None
    relay_address: str | None = None
    events_count: int = 0
    longest_gap_s: float = 0.0
    judged: Judged = Judged.NOT_YET
    alive_at_s: float = -math.inf
    process_number: int | None = None
    start: StatedStart = NoStart.NOT_ASKED
    registered_by_s: float = -math.inf
    connected_at_s: float = math.inf
    registered_start_ms: int | None = None
    ended_at_s: float | None = None

    @property
    def known_start(self) -> StatedStart:
        """Return the start that answers it, stated or told by registrations, or why none is."""
        return self.start if self.registered_start_ms is None else self.registered_start_ms


class Attempts(Struct):
    """Owns the attempts of one entry VM.

    :param emit: receives the actions for the process.
    :ivar on_end: called with each attempt that has ended, whether its replica had accepted it, and
        the time.
    :ivar checks_liveness: called with a service and the time; returns whether the end of a response
        may have to be confirmed by asking the replica whether it still runs.
    """

    selector: ReplicaSelector
    load_queries: LoadQueries
    paths: ReplicaPaths
    emit: Callable[[Action], None]
    on_end: Callable[[AttemptState, bool, float], None] = lambda *_: None
    checks_liveness: Callable[[str, float], bool] = lambda *_: False
    by_id: dict[int, AttemptState] = field(default_factory=dict)
    _next_id: int = 1

    def for_request(self, request: ActiveRequest) -> AttemptState | None:
        """Return the current attempt of a request."""
        return self.by_id.get(request.attempt_id)

    def start(
        self,
        request: ActiveRequest,
        service: Service,
        selected: ScoredReplica,
        now_s: float,
        registered_by_s: float = -math.inf,
    ) -> None:
        """Send a request to the selected replica.

        :param registered_by_s: by when a process had to run that would be registered by now.
        """
        attempt_id = self._next_id
        self._next_id += 1
        state = selected.state
        name = state.replica.replica_id
        stream = request.route.kind is RouteKind.STREAM
        silence_deadline_s = None
        if request.route.repeatable and request.sent_count + 1 < request.route.attempts_max_count:
            silence_deadline_s = now_s + silence_timeout_s(request, selected.expected_s)
        low_load = selected.running_count <= LOW_LOAD_SHARE * state.replica.slots_count
        parts = request.arrival.parts
        inputs = (
            ("expected_ms", round(selected.expected_s * 1e3)),
            ("uncached", selected.uncached_tokens),
            ("waiting", selected.waiting_tokens),
            ("running", selected.running_count),
            ("asked", int(selected.is_tracked)),
            ("slowness", round(state.latency_ratio, 2)),
            ("pace", round(state.current_slowdown(now_s), 2)),
            ("home_rank", selected.affinity_rank),
            ("session", parts[-2].part_id if len(parts) > 1 else None),
        )
        attempt = AttemptState(
            attempt_id, request, state, now_s, selected.baseline_s, silence_deadline_s, low_load,
            selected.waiting_tokens > 0, inputs,
            relay_address=self.paths.relay_address(name, now_s), registered_by_s=registered_by_s,
        )  # fmt: skip
        self.by_id[attempt_id] = attempt
        request.attempt_id = attempt_id
        request.replica_id = name
        request.sent_count += 1
        request.tried_ids.add(name)
        state.start(attempt_id, selected.uncached_tokens, now_s)
        if service.is_engine:
            self.selector.prompt_cache.add(parts, name, now_s)
        keep_s = request.deadline_s - now_s + TIMEOUT_GRACE_S
        tokens = selected.uncached_tokens
        self.load_queries.notify(
            state, attempt_id, AttemptStep.STARTED, now_s, tokens, keep_s, parts
        )
        left_s = max(0.001, request.deadline_s - now_s - DEADLINE_MARGIN_S)
        resume_id = request.last_event_id
        asks_start = request.route.resumable
        is_bound = request.software_version is not None
        self.emit(
            StartAttempt(
                attempt_id,
                request.arrival.handle,
                name,
                state.replica.address,
                left_s,
                request.customer.name if request.customer is not None else None,
                _priority(request) if service.is_engine else None,
                stream,
                not request.route.repeatable,
                resume_id if resume_id is not None else request.arrival.last_event_id,
                attempt.relay_address,
                request.route.resumable,
                not asks_start and self.checks_liveness(request.service, now_s),
                asks_start,
                state.start_ms if is_bound and asks_start else None,
                registered_by_s if state.start_ms == state.replica.started_at_ms else -math.inf,
                bool(request.sent_tail),
            )
        )

    def cancel(self, attempt: AttemptState, now_s: float) -> None:
        """Close an attempt's connection and remove it."""
        self.emit(CancelAttempt(attempt.attempt_id))
        self.end(attempt, now_s)

    def end(self, attempt: AttemptState, now_s: float, accepted: bool = True) -> None:
        """Remove an attempt that has ended.

        :param accepted: whether its replica had accepted the request.
        """
        attempt.state.end(attempt.attempt_id)
        self.load_queries.notify(attempt.state, attempt.attempt_id, AttemptStep.ENDED, now_s)
        del self.by_id[attempt.attempt_id]
        self.on_end(attempt, accepted, now_s)


def silence_timeout_s(request: ActiveRequest, expected_s: float) -> float:
    """Return how long a replica may stay silent before the request moves to another one."""
    if request.route.kind is RouteKind.STREAM:
        gap_s = 2.0 * request.route.gap_objective_s
        return max(STREAM_SILENCE_TIMEOUT_MIN_S, gap_s, SILENCE_TIMEOUT_FACTOR * expected_s)
    return max(SILENCE_TIMEOUT_MIN_S, SILENCE_TIMEOUT_FACTOR * expected_s)


def gap_timeout_s(request: ActiveRequest) -> float:
    """Return how long a replica may stay silent between two events of a stream."""
    route = request.route
    if route.gap_objective_s > 0.0:
        return silence_timeout_s(request, 0.0)
    # The route allows any pause; callers leave after this time.
    return max(UNLIMITED_GAP_TIMEOUT_MIN_S, UNLIMITED_GAP_OBJECTIVES * route.objective_s)


def wait_max_s(route: Route) -> float:
    """Return how long a stream may wait for its next event, before its caller abandons it."""
    gap_s = max(
        UNLIMITED_GAP_TIMEOUT_MIN_S,
        UNLIMITED_GAP_OBJECTIVES * route.objective_s,
        CALLER_GAP_OBJECTIVES * route.gap_objective_s,
    )
    return gap_s - CALLER_GAP_MARGIN_S


def first_ms(attempt: AttemptState | None) -> int | None:
    """Return the time to first event of an attempt in milliseconds, for the log."""
    if attempt is None or attempt.first_event_at_s is None:
        return None
    return round((attempt.first_event_at_s - attempt.started_at_s) * 1e3)


def _priority(request: ActiveRequest) -> int:
    """Return an engine's scheduling priority, by the customer's rank, then the route's."""
    customer = request.customer
    rank = customer.rank if customer is not None and customer.rank is not None else 0
    return min(PRIORITY_MAX, PRIORITY_LEVELS * rank + min(PRIORITY_LEVELS - 1, request.route.rank))
