"""A unit of work for an upstream, and one attempt to run it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from coriandershelf_core.internal.request import Request


class WorkOwner(Enum):
    """Who takes the result of a work."""

    CALLER = "caller"
    JOB = "job"
    CLAIM = "claim"


class WorkClass(Enum):
    """Whether a work is expected to hold its slot for long."""

    SHORT = "short"
    LONG = "long"


@dataclass(slots=True)
class Work:
    """One request on its way through queue, attempts and answer.

    :param payloads: what was generated so far; its length is the stream's position.
    :param repeatable: whether a second attempt may start after bytes of a first were sent.
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

    :param paused: whether reading waits for a slow caller; silence is then no failure.
    """

    attempt_id: str
    work: Work
    replica_id: str
    started_at_s: float
    opened_at_s: float | None = None
    last_token_at_s: float | None = None
    token_count: int = 0
    paused: bool = False
