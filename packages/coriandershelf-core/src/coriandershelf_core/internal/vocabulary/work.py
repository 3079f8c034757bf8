"""A work item for an upstream, and one attempt to run it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from coriandershelf_core.internal.vocabulary.request import Request


class WorkOwner(Enum):
    """What the result of a work item is delivered to."""

    CALLER = "caller"
    JOB = "job"
    CLAIM = "claim"
    TICKET = "ticket"


class WorkClass(Enum):
    """Whether a work item is expected to occupy its slot for a short or a long time."""

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
class WorkItem:
    """State of one request from queueing through its attempts to the response.

    :param payloads: stream payloads received so far; their count is the stream's position.
    :param repeatable: whether another attempt may start after bytes of an earlier one were sent.
    :param failure_count: failed attempts, not counting moves and hedges.
    :param unsent_count: attempts that failed before anything was sent.
    :param may_have_run: whether bytes of an earlier attempt may have reached an upstream.
    :param suspected: whether it was in flight at a crash and may only run as a trial.
    :param reconnect_position: stream position at the last reconnect, or -1.
    :param move_count: how often the stream was moved off a stalled replica.
    :param preemption_count: how often its slot was given to a waiting request.
    :param expected_tokens: predicted length of the response.
    :param cost_tokens: tokens charged to the customer's fair share, based on that prediction.
    :param kv_replica_id: replica that holds the KV cache of the generated tokens, or empty.
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
    may_have_run: bool = False
    suspected: bool = False
    preemption_count: int = 0
    live_attempts: list[str] = field(default_factory=list)
    tried_replicas: list[str] = field(default_factory=list)
    kv_replica_id: str = ""

    @property
    def work_id(self) -> str:
        """Return the id of the work item, which is its request's id."""
        return self.request.request_id

    @property
    def position(self) -> int:
        """Return the count of payloads received so far."""
        return len(self.payloads)


@dataclass(slots=True)
class Attempt:
    """One attempt to run a work item on one replica.

    :param silence_from_s: silence before this time does not count against the replica.
    :param paused: whether reading is paused for a slow caller; silence is then not a failure.
    """

    attempt_id: str
    work: WorkItem
    replica_id: str
    started_at_s: float
    opened_at_s: float | None = None
    last_token_at_s: float | None = None
    token_count: int = 0
    purpose: AttemptPurpose = AttemptPurpose.FIRST
    silence_from_s: float = 0.0
    hedge_denied: bool = False
    paused: bool = False

    def silence_s(self, now_s: float) -> float:
        """Return the time since the attempt started or sent a token; 0 while reading is paused."""
        if self.paused:
            return 0.0
        received_at_s = self.started_at_s if self.last_token_at_s is None else self.last_token_at_s
        return now_s - max(received_at_s, self.silence_from_s)
