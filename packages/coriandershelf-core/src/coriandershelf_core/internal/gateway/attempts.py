"""Attempts at replicas: begun, watched for silence, ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.actions import Action, CancelAttempt, StartAttempt
from coriandershelf_core.internal.gateway.choice import Chooser, Chosen
from coriandershelf_core.internal.gateway.conclusions import LogValue
from coriandershelf_core.internal.gateway.deployment import RouteKind, Service
from coriandershelf_core.internal.gateway.pool import ReplicaState
from coriandershelf_core.internal.gateway.request import Passage
from coriandershelf_core.internal.gateway.room import WorkStep
from coriandershelf_core.internal.gateway.room_asks import RoomAsks

# A replica is told this much less than what is left, so that its own answer is in time.
DEADLINE_MARGIN_S = 0.02
# After the time limit the replica's answer may still be on its way.
TIMEOUT_SLACK_S = 0.15
# Repeatable work is tried elsewhere when no answer came for this multiple of the expected time.
SILENT_FACTOR = 6.0
SILENT_MIN_S = 0.4
STREAM_SILENT_MIN_S = 1.5
# Part of a replica's slots up to which an answer's time tells of its speed alone.
QUIET_SHARE = 0.1
URGENCY_MAX = 9
URGENCY_TIERS = 3


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
class Attempts:
    """Owns the attempts of one entry VM.

    :param emit: takes the actions for the process.
    """

    chooser: Chooser
    asks: RoomAsks
    emit: Callable[[Action], None]
    by_id: dict[int, AttemptState] = field(default_factory=dict)
    _next_id: int = 1

    def of(self, passage: Passage) -> AttemptState | None:
        """Return the attempt that a request waits for."""
        return self.by_id.get(passage.attempt_id)

    def start(self, passage: Passage, service: Service, chosen: Chosen, now_s: float) -> None:
        """Send a request to the replica that was chosen."""
        attempt_id = self._next_id
        self._next_id += 1
        state = chosen.state
        name = state.replica.replica_id
        stream = passage.route.kind is RouteKind.STREAM
        silent_at_s = None
        if passage.route.repeatable and passage.sent_count + 1 < passage.route.attempts_max_count:
            silent_at_s = now_s + silence_s(passage, chosen.expected_s)
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
        self.by_id[attempt_id] = attempt
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

    def cancel(self, attempt: AttemptState, now_s: float) -> None:
        """Close an attempt's connection and end it."""
        self.emit(CancelAttempt(attempt.attempt_id))
        self.end(attempt, now_s)

    def end(self, attempt: AttemptState, now_s: float) -> None:
        """Forget an attempt that has ended."""
        attempt.state.end(attempt.attempt_id)
        self.asks.note(attempt.state, attempt.attempt_id, WorkStep.ENDED, now_s)
        del self.by_id[attempt.attempt_id]


def silence_s(passage: Passage, expected_s: float) -> float:
    """Return how long a replica may be silent before the request is tried elsewhere."""
    if passage.route.kind is RouteKind.STREAM:
        gap_s = 2.0 * passage.route.gap_objective_s
        return max(STREAM_SILENT_MIN_S, gap_s, SILENT_FACTOR * expected_s)
    return max(SILENT_MIN_S, SILENT_FACTOR * expected_s)


def first_ms(attempt: AttemptState | None) -> int | None:
    """Return the time from an attempt's start to its first event, for the log."""
    if attempt is None or attempt.first_event_at_s is None:
        return None
    return round((attempt.first_event_at_s - attempt.started_at_s) * 1e3)


def _urgency(passage: Passage) -> int:
    """Return an engine's scheduling class: the customer's rank first, then the route's."""
    customer = passage.customer
    rank = customer.rank if customer is not None and customer.rank is not None else 0
    return min(URGENCY_MAX, URGENCY_TIERS * rank + min(URGENCY_TIERS - 1, passage.route.rank))
