"""State of the calls, entry VMs and upstreams of a bench."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from coriandershelf_core import Done, EntryCore, Outcome, Request
from coriandershelf_core.internal.vocabulary.events import Event
from coriandershelf_rig.internal.engine_model import EngineModel

LAST_PAYLOAD = b'{"choices":[{"delta":{},"finish_reason":"stop"}]}'


@dataclass(slots=True)
class Call:
    """One caller's request and its response so far."""

    request: Request
    vm_id: str
    sent_at_s: float
    first_token_at_s: float | None = None
    last_token_at_s: float | None = None
    token_gaps_s: list[float] = field(default_factory=list)
    payloads: list[bytes] = field(default_factory=list)
    outcome: Outcome | None = None
    ended_at_s: float | None = None

    @property
    def first_token_s(self) -> float | None:
        """Return the time to first token, or ``None`` before the first token."""
        if self.first_token_at_s is None:
            return None
        return self.first_token_at_s - self.sent_at_s


@dataclass(slots=True)
class BenchEntry:
    """One entry VM: its core, its process state and its read positions in the log."""

    core: EntryCore
    zone: str
    alive: bool = True
    paused: bool = False
    stopped_at_s: float | None = None
    queued_events: list[Event] = field(default_factory=list)
    offsets: dict[str, int] = field(default_factory=dict)
    read_at_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class BenchUpstream:
    """One upstream: a model engine, or a plain service that counts executions.

    :param plain_status: status of the plain service's responses.
    :param muted_attempts: attempts whose tokens are dropped.
    :param attempts: the entry VM of each attempt in flight.
    :param executions: how often each plain call was executed, by call identity.
    """

    zone: str
    engine: EngineModel | None
    alive: bool = True
    step_scheduled: bool = False
    plain_status: int = 200
    muted_attempts: set[str] = field(default_factory=set)
    attempts: dict[str, str] = field(default_factory=dict)
    executions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Shape:
    """How one answer is generated, which the core does not see.

    :param length: tokens in the answer.
    :param crashes: whether the request crashes the engine that runs it.
    """

    length: int
    crashes: bool = False


def call_identity(path: str, body: bytes) -> str:
    """Return the hash by which a plain service counts a call."""
    return hashlib.sha256(path.encode() + body).hexdigest()


def is_whole(call: Call, shape: Shape) -> bool:
    """Return whether a call is done and received each payload exactly once, in order."""
    if not isinstance(call.outcome, Done):
        return False
    return call.payloads == [*(b"%d" % position for position in range(shape.length)), LAST_PAYLOAD]
