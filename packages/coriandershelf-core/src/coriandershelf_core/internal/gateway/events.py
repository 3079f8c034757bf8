"""Events that the process feeds to the gateway."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from coriandershelf_core.internal.gateway.deployment import Deployment, Replica
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.load_tracking import LoadMessage
from coriandershelf_core.internal.gateway.origin_messages import (
    OriginMessage,
    ServiceVersion,
    StreamOrigin,
)
from coriandershelf_core.internal.gateway.replica_starts import NoStart, StatedStart
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
    # The ids of a resumable stream's events do not increase.
    EVENT_IDS = "event-ids"
    # Another start of the replica answers than the stream goes on at, or it does not say which.
    OTHER_START = "other-start"
    # It is not known whether a response is complete that ended with its connection.
    UNCONFIRMED = "unconfirmed"


class Liveness(Enum):
    """What came of asking a replica whether it still runs."""

    ANSWERED = "answered"
    CLOSED = "closed"
    # It has closed the connection, and accepts no other one.
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    NO_CONNECTION = "no-connection"


class ReportedLoad(Struct, frozen=True):
    """A replica's load as reported in its response headers.

    :param slowdown: current service time ÷ usual service time.
    """

    running_count: int
    waiting_count: int
    slots_count: int
    slowdown: float = 1.0


class RequestArrived(Struct, frozen=True):
    """A caller's request was read completely."""

    arrival: Arrival


class CallerLeft(Struct, frozen=True):
    """A caller closed its connection before its response was complete."""

    handle: int


class MalformedHeader(Struct, frozen=True):
    """The value of a header that could not be decoded."""

    text: str


class ResponseHeadRead(Struct, frozen=True):
    """Status and headers of a response were read; posted before its other events.

    Not posted for a response of another replica that now has the address.

    :param has_receipt: whether the response belongs to the request and carries the replica's
        receipt header.
    :param requests_max_per_s: rate of requests from all entry VMs together that the replica states
        to accept; ``None`` if it states none.
    :param leaving: whether the replica states that it is shutting down.
    :param new_connection: whether the request was the first one on its connection.
    :param pause_s: how long the replica wants no requests from this VM, if it refused one so.
    :param connected_at_s: a time by which the replica had accepted the connection.
    :param sent_at_s: when the request was sent.
    :param is_mismatched: whether the response belongs to another request, or lacks its receipt.
    :param start: the start of the replica to which the connection leads, as the replica stated.
    :param was_asked: whether it was asked for it before this request.
    """

    attempt_id: int
    has_receipt: bool
    requests_max_per_s: float | MalformedHeader | None = None
    leaving: bool = False
    pause_s: float | MalformedHeader | None = None
    new_connection: bool = False
    connected_at_s: float | None = None
    sent_at_s: float | None = None
    is_mismatched: bool = False
    start: StatedStart = NoStart.NOT_ASKED
    was_asked: bool = False


class StartStated(Struct, frozen=True):
    """A replica was asked again which start of it sends a stream that is under way.

    :param start: the start that sends the stream, as the replica stated, or why it is not known.
    """

    attempt_id: int
    start: StatedStart


class LivenessChecked(Struct, frozen=True):
    """A replica was asked whether it still runs.

    :param connected_at_s: a time by which it had accepted the connection on which it was asked.
    :param relay_address: the entry VM through which it is reached; ``None`` if directly.
    :param start: the start of the replica that answered, as it stated.
    """

    replica_id: str
    outcome: Liveness
    connected_at_s: float | None = None
    relay_address: str | None = None
    start: StatedStart = NoStart.NOT_ASKED


class ReplicaProbed(Struct, frozen=True):
    """A replica accepted a direct connection, or did not."""

    replica_id: str
    connected: bool


class AnswerRead(Struct, frozen=True):
    """A replica's response was read completely.

    :param not_run: whether the replica stated that it did not run the request.
    :param has_receipt: whether the response carries the replica's receipt header.
    :param misdirected: whether the address now belongs to another replica.
    :param is_close_delimited: whether only the end of its connection showed its end.
    """

    attempt_id: int
    status: int
    headers: Headers
    body: bytes
    not_run: bool
    has_receipt: bool
    misdirected: bool = False
    load: ReportedLoad | None = None
    is_close_delimited: bool = False


class StreamOpened(Struct, frozen=True):
    """Status and headers, with the replica's receipt, of a successful stream were read."""

    attempt_id: int
    status: int
    headers: Headers
    load: ReportedLoad | None = None


class StreamRead(Struct, frozen=True):
    """Complete events of a stream were read.

    :param events_count: number of events with content; comments that a replica sends to keep a
        connection open are forwarded but are no events.
    :param last_event_id: id of the last of them, or ``None`` if it has none.
    """

    attempt_id: int
    payload: bytes
    events_count: int
    last_event_id: int | None


class StreamPaused(Struct, frozen=True):
    """Reading of a stream paused because its caller is slow, or goes on."""

    attempt_id: int
    paused: bool


class StreamEnded(Struct, frozen=True):
    """A stream ended cleanly at an event boundary.

    :param is_close_delimited: whether only the end of its connection showed its end.
    :param after_comment: whether a block of comments came last, with no event after it.
    """

    attempt_id: int
    is_close_delimited: bool = False
    after_comment: bool = False


class AttemptFailed(Struct, frozen=True):
    """An attempt failed; ``sent`` if any byte of the request may have been sent.

    :param start: the start of the replica that answers, as far as ``OTHER_START`` tells.
    :param was_asked: whether the replica was asked for its start.
    """

    attempt_id: int
    cause: FailureCause
    sent: bool
    start: StatedStart = NoStart.NOT_ASKED
    was_asked: bool = False


class DeploymentRead(Struct, frozen=True):
    """A version of the operator's configuration was read from the store."""

    deployment: Deployment


class ConfigurationProved(Struct, frozen=True):
    """A completed read proved that the store held no newer configuration at ``at_s``."""

    at_s: float


class ConfigurationFetched(Struct, frozen=True):
    """A fetch of the configuration from another entry VM ended."""

    vm_id: str
    succeeded: bool


class ReplicasRead(Struct, frozen=True):
    """Registry changes; ``None`` for an entry that was removed or is not a valid replica.

    :param complete: whether this is a full snapshot rather than changes.
    :param after_outage: whether the store was unavailable shortly before.
    """

    replicas: dict[str, Replica | None]
    complete: bool = False
    after_outage: bool = False


class RegistryProved(Struct, frozen=True):
    """All registrations that were written before ``at_s`` have been read.

    :param after_failure: whether the read before this one failed.
    :param in_order_since_s: since when the VM that reads has done so without a failure, if known.
    """

    at_s: float
    after_failure: bool = False
    in_order_since_s: float | None = None


class DigestArrived(Struct, frozen=True):
    """A digest from another entry VM was received."""

    digest: Digest


class RoomMessageArrived(Struct, frozen=True):
    """A message on replica load from another entry VM was received."""

    message: LoadMessage


class OriginMessageArrived(Struct, frozen=True):
    """A message on a stream's origin from another entry VM was received."""

    message: OriginMessage


class OriginsRead(Struct, frozen=True):
    """The store was read for recorded versions and origins of streams, or could not be read.

    :param versions: all recorded versions; ``None`` if the read failed.
    :param end: offset after the last record of a version.
    """

    versions: tuple[ServiceVersion, ...] | None
    origins: tuple[StreamOrigin, ...] = ()
    end: int = 0


class OriginsAppended(Struct, frozen=True):
    """The batch of origins that was being written is stored, or may not be."""

    stored: bool


class VersionsRecorded(Struct, frozen=True):
    """Versions are recorded in the store, or may not be."""

    versions: tuple[ServiceVersion, ...]
    stored: bool


class EntryVmsRead(Struct, frozen=True):
    """The registered entry VMs were read: addresses by id."""

    addresses: dict[str, str]


class RolloutOrdered(Struct, frozen=True):
    """The operator's order of a roll-out was read."""

    order: RolloutOrder


class RolloutStateRead(Struct, frozen=True):
    """The state of a roll-out was read from the store, or written to it, at ``at_s``."""

    state: RolloutState
    at_s: float


class StopAsked(Struct, frozen=True):
    """The platform asked this process to stop."""


class Tick(Struct, frozen=True):
    """Periodic timer tick."""


Event = (
    RequestArrived
    | CallerLeft
    | ResponseHeadRead
    | StartStated
    | AnswerRead
    | StreamOpened
    | StreamRead
    | StreamPaused
    | StreamEnded
    | AttemptFailed
    | ReplicaProbed
    | LivenessChecked
    | DeploymentRead
    | ConfigurationFetched
    | ConfigurationProved
    | ReplicasRead
    | RegistryProved
    | DigestArrived
    | RoomMessageArrived
    | OriginMessageArrived
    | OriginsRead
    | OriginsAppended
    | VersionsRecorded
    | EntryVmsRead
    | RolloutOrdered
    | RolloutStateRead
    | StopAsked
    | Tick
)
