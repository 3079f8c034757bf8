"""Events that the process feeds to the gateway."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coriandershelf_core.internal.gateway.deployment import Deployment, Replica
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.load_tracking import LoadMessage
from coriandershelf_core.internal.gateway.origin_messages import OriginMessage
from coriandershelf_core.internal.gateway.request import Arrival
from coriandershelf_core.internal.gateway.rollout import RolloutOrder, RolloutState

Headers = tuple[tuple[str, str], ...]


class FailureCause(Enum):
    """Why an attempt ended without a response from the replica."""

    CONNECT = "connect"
    RELAY = "relay"
    CLOSED = "closed"
    MALFORMED = "malformed"
    MISMATCHED = "mismatched"


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """A replica's load as reported in its response headers.

    :param slowdown: current service time ÷ usual service time.
    """

    running_count: int
    waiting_count: int
    slots_count: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was read completely."""

    arrival: Arrival


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller closed its connection before its response was complete."""

    handle: int


@dataclass(frozen=True, slots=True)
class MalformedHeader:
    """The value of a header that could not be decoded."""

    text: str


@dataclass(frozen=True, slots=True)
class ResponseHeadRead:
    """Status and headers of a response were read; posted before its other events.

    Not posted for a response of another replica that now has the address.

    :param has_receipt: whether the response belongs to the request and carries the replica's
        receipt header.
    :param requests_max_per_s: rate of requests from all entry VMs together that the replica states
        to accept; ``None`` if it states none.
    :param leaving: whether the replica states that it is shutting down.
    :param new_connection: whether the request was the first one on its connection.
    :param pause_s: how long the replica wants no requests from this VM, if it refused one so.
    """

    attempt_id: int
    has_receipt: bool
    requests_max_per_s: float | MalformedHeader | None = None
    leaving: bool = False
    pause_s: float | MalformedHeader | None = None
    new_connection: bool = False


@dataclass(frozen=True, slots=True)
class ReplicaProbed:
    """A replica accepted a direct connection, or did not."""

    replica_id: str
    connected: bool


@dataclass(frozen=True, slots=True)
class AnswerRead:
    """A replica's response was read completely.

    :param not_run: whether the replica stated that it did not run the request.
    :param has_receipt: whether the response carries the replica's receipt header.
    :param misdirected: whether the address now belongs to another replica.
    """

    attempt_id: int
    status: int
    headers: Headers
    body: bytes
    not_run: bool
    has_receipt: bool
    misdirected: bool = False
    load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """Status and headers, with the replica's receipt, of a successful stream were read."""

    attempt_id: int
    status: int
    headers: Headers
    load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class StreamRead:
    """Complete events of a stream were read.

    :param last_event_id: id of the last of them, or ``None`` if it has none.
    """

    attempt_id: int
    payload: bytes
    events_count: int
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream ended cleanly at an event boundary."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed; ``sent`` if any byte of the request may have been sent."""

    attempt_id: int
    cause: FailureCause
    sent: bool


@dataclass(frozen=True, slots=True)
class DeploymentRead:
    """A version of the operator's configuration was read from the store."""

    deployment: Deployment


@dataclass(frozen=True, slots=True)
class ConfigurationProved:
    """A completed read proved that the store held no newer configuration at ``at_s``."""

    at_s: float


@dataclass(frozen=True, slots=True)
class ReplicasRead:
    """Registry changes; ``None`` for an entry that was removed or is not a valid replica.

    :param complete: whether this is a full snapshot rather than changes.
    :param after_outage: whether the store was unavailable shortly before.
    """

    replicas: dict[str, Replica | None]
    complete: bool = False
    after_outage: bool = False


@dataclass(frozen=True, slots=True)
class DigestArrived:
    """A digest from another entry VM was received."""

    digest: Digest


@dataclass(frozen=True, slots=True)
class RoomMessageArrived:
    """A message on replica load from another entry VM was received."""

    message: LoadMessage


@dataclass(frozen=True, slots=True)
class OriginMessageArrived:
    """A message on a stream's origin from another entry VM was received."""

    message: OriginMessage


@dataclass(frozen=True, slots=True)
class EntryVmsRead:
    """The registered entry VMs were read: addresses by id."""

    addresses: dict[str, str]


@dataclass(frozen=True, slots=True)
class RolloutOrdered:
    """The operator's order of a roll-out was read."""

    order: RolloutOrder


@dataclass(frozen=True, slots=True)
class RolloutStateRead:
    """The state of a roll-out was read from the store, or written to it, at ``at_s``."""

    state: RolloutState
    at_s: float


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The platform asked this process to stop."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer tick."""


Event = (
    RequestArrived
    | CallerLeft
    | ResponseHeadRead
    | AnswerRead
    | StreamOpened
    | StreamRead
    | StreamEnded
    | AttemptFailed
    | ReplicaProbed
    | DeploymentRead
    | ConfigurationProved
    | ReplicasRead
    | DigestArrived
    | RoomMessageArrived
    | OriginMessageArrived
    | EntryVmsRead
    | RolloutOrdered
    | RolloutStateRead
    | StopAsked
    | Tick
)
