"""What can happen to the gateway, as its process tells it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coriandershelf_core.internal.gateway.deployment import Deployment, Replica
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.request import Arrival
from coriandershelf_core.internal.gateway.room import RoomMessage

Headers = tuple[tuple[str, str], ...]


class FailureCause(Enum):
    """How an attempt at a replica ended without an answer of its own."""

    CONNECT = "connect"
    CLOSED = "closed"
    MALFORMED = "malformed"
    MISMATCHED = "mismatched"


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """A replica's load as an answer stated it.

    :param pace: time that work takes ÷ its usual time.
    """

    running_count: int
    waiting_count: int
    slots_count: int
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read whole."""

    arrival: Arrival


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller closed its connection before its answer was whole."""

    handle: int


@dataclass(frozen=True, slots=True)
class AnswerRead:
    """A replica's answer was read whole.

    :param not_run: whether the replica stated that it did not run the request.
    :param sealed: whether the answer bears the replica's receipt.
    :param misdirected: whether another replica has the address now.
    """

    attempt_id: int
    status: int
    headers: Headers
    body: bytes
    not_run: bool
    sealed: bool
    misdirected: bool = False
    load: LoadFigures | None = None


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """The head of a successful stream with its receipt."""

    attempt_id: int
    status: int
    headers: Headers
    load: LoadFigures | None = None


@dataclass(frozen=True, slots=True)
class StreamRead:
    """Whole events of a stream.

    :param last_event_id: id of the last of them; ``None`` where it has none.
    """

    attempt_id: int
    payload: bytes
    events_count: int
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream ended cleanly, with nothing left of an event."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended otherwise; ``sent`` where a byte of the request may have left."""

    attempt_id: int
    cause: FailureCause
    sent: bool


@dataclass(frozen=True, slots=True)
class DeploymentRead:
    """A version of the operator's configuration was read from the store."""

    deployment: Deployment


@dataclass(frozen=True, slots=True)
class ConfigurationProved:
    """A completed read showed that nothing newer stood in the store at ``at_s``."""

    at_s: float


@dataclass(frozen=True, slots=True)
class ReplicasRead:
    """Changes of the registry; ``None`` for an entry that was removed or names no replica.

    :param complete: whether these are all entries rather than changes.
    :param after_outage: whether the store could not be read shortly before.
    """

    replicas: dict[str, Replica | None]
    complete: bool = False
    after_outage: bool = False


@dataclass(frozen=True, slots=True)
class DigestArrived:
    """Another entry VM's digest."""

    digest: Digest


@dataclass(frozen=True, slots=True)
class RoomMessageArrived:
    """Another entry VM's message on room at replicas."""

    message: RoomMessage


@dataclass(frozen=True, slots=True)
class EntryVmsRead:
    """Entry VMs as they registered themselves: address by id."""

    addresses: dict[str, str]


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The platform asked this process to end."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = (
    RequestArrived
    | CallerLeft
    | AnswerRead
    | StreamOpened
    | StreamRead
    | StreamEnded
    | AttemptFailed
    | DeploymentRead
    | ConfigurationProved
    | ReplicasRead
    | DigestArrived
    | RoomMessageArrived
    | EntryVmsRead
    | StopAsked
    | Tick
)
