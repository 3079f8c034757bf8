"""A unit of work for an upstream, and one attempt to run it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from coriandershelf_core.internal.vocabulary.request import Request


class WorkOwner(Enum):
    """Who takes the result of a work."""

    CALLER = "caller"
    JOB = "job"
    CLAIM = "claim"
    TICKET = "ticket"


class WorkClass(Enum):
    """Whether a work is expected to hold its slot for long."""

    SHORT = "short"
    LONG = "long"


class AttemptPurpose(Enum):
    """Why an attempt was started."""

    FIRST = "first"
    RETRY = "retry"
    RECONNECT = "reconnect"
    MOVE = "move"
    HEDGE = "hedge"
    PROBE = "probe"
    LEFT_AS_PROBE = "left-as-probe"
    TRIAL = "trial"
    PREEMPTED = "preempted"


@dataclass(slots=True)
class Work:
    """One request on its way through queue, attempts and answer.

    :param payloads: what was generated so far; its length is the stream's position.
    :param repeatable: whether a second attempt may start after bytes of a first were sent.
    :param failure_count: attempts that failed; moves and hedges do not count.
    :param unsent_count: attempts that failed before anything was sent.
    :param suspected: whether it was in flight at a crash and may only run as a trial.
    :param reconnect_position: position at the last fresh connection, or -1.
    :param move_count: times that a stream was moved off a stalled replica.
    :param preemption_count: times that its slot was given to a question.
    :param expected_tokens: guess of the answer's length.
    :param cost_tokens: what the customer's share was charged, by that guess.
    :param kv_replica_id: replica that holds the KV cache of what was generated, or empty.
    """

    request: Request
    customer: str
    priority: int
    share: float
    owner: WorkOwner
    work_class: WorkClass
    repeatable: bool
    queued_at_s: float
    expected_tokens: float = 0.0
    cost_tokens: float = 1.0
    payloads: list[bytes] = field(default_factory=list)
    attempt_count: int = 0
    failure_count: int = 0
    unsent_count: int = 0
    move_count: int = 0
    reconnect_position: int = -1
    suspected: bool = False
    preemption_count: int = 0
    live_attempts: list[str] = field(default_factory=list)
    tried_replicas: list[str] = field(default_factory=list)
    kv_replica_id: str = ""

    @property
    def work_id(self) -> str:
        """Return the id under which the work is known."""
        return self.request.request_id

    @property
    def position(self) -> int:
        """Return the count of payloads received so far."""
        return len(self.payloads)


@dataclass(slots=True)
class Attempt:
    """One try of a work at one replica.

    :param watched_from_s: silence before this time is not held against the replica.
    :param paused: whether reading waits for a slow caller; silence is then no failure.
    """

    attempt_id: str
    work: Work
    replica_id: str
    started_at_s: float
    opened_at_s: float | None = None
    last_token_at_s: float | None = None
    token_count: int = 0
    purpose: AttemptPurpose = AttemptPurpose.FIRST
    watched_from_s: float = 0.0
    hedge_refused: bool = False
    paused: bool = False

    def silent_s(self, now_s: float) -> float:
        """Return for how long nothing was heard of the attempt, 0 while its reading waits."""
        if self.paused:
            return 0.0
        heard_at_s = self.started_at_s if self.last_token_at_s is None else self.last_token_at_s
        return now_s - max(heard_at_s, self.watched_from_s)
