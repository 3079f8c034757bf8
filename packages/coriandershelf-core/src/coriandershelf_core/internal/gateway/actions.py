"""Actions that the gateway returns for its process to perform."""

from __future__ import annotations

import math
from enum import Enum

from msgspec import Struct

from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import Headers
from coriandershelf_core.internal.gateway.load_tracking import LoadMessage
from coriandershelf_core.internal.gateway.origin_messages import (
    OriginMessage,
    ServiceVersion,
    StreamOrigin,
)


class Refusal(Enum):
    """Why the gateway rejects a request; the value labels the counter and the log line."""

    NO_CONFIGURATION = "no-configuration"
    STALE_KEYS = "stale-keys"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    BODY_TOO_LARGE = "body-too-large"
    HEADER_TOO_LARGE = "header-too-large"
    NO_MEMORY = "no-memory"
    CAP = "cap"
    NO_REPLICA = "no-replica"
    NO_ROOM = "no-room"
    REPLICA_REFUSED = "replica-refused"
    NO_VERSION = "no-version"
    UNKNOWN_VERSION = "unknown-version"
    POISON = "poison"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    UNKNOWN_OUTCOME = "unknown-outcome"


STATUS_OF = {
    Refusal.NO_CONFIGURATION: 503,
    Refusal.STALE_KEYS: 503,
    Refusal.NO_ROUTE: 404,
    Refusal.UNKNOWN_KEY: 401,
    Refusal.BODY_TOO_LARGE: 413,
    Refusal.HEADER_TOO_LARGE: 431,
    Refusal.NO_MEMORY: 503,
    Refusal.CAP: 429,
    Refusal.NO_REPLICA: 503,
    Refusal.NO_ROOM: 503,
    Refusal.REPLICA_REFUSED: 503,
    Refusal.NO_VERSION: 503,
    Refusal.UNKNOWN_VERSION: 503,
    Refusal.POISON: 503,
    Refusal.STOPPING: 503,
    Refusal.TIMEOUT: 504,
    Refusal.UNKNOWN_OUTCOME: 502,
}


class RetryReason(Enum):
    """Why a request is retried."""

    CONNECT = "connect"
    MISDIRECTED = "misdirected"
    NOT_RUN = "not-run"
    FAILED = "failed"
    SERVER_ERROR = "server-error"
    SILENT = "silent"
    RESUMED = "resumed"
    LEFT = "left"
    OTHER_START = "other-start"
    UNCONFIRMED = "unconfirmed"


class StartAttempt(Struct, frozen=True):
    """Send a request to a replica.

    :param time_left_s: time limit sent to the replica, which stops work when it expires.
    :param customer: name of the key's customer, or ``None`` on a public route.
    :param priority: scheduling priority sent to an engine, 0 first.
    :param needs_recent_connection: whether only a new connection or one that answered very recently
        may be used.
    :param last_event_id: the event after which the replica resumes the stream.
    :param relay_address: the entry VM through which the replica is reached; ``None`` if directly.
    :param resumable: whether the stream may be resumed after an event, by the event's id.
    :param checks_liveness: whether to have a connection before this one, on which the replica can
        be asked later whether it still runs.
    :param asks_start: whether to ask on the connection which start of the replica it leads to,
        before the request is sent, unless that is known.
    :param required_start_ms: send the request to this start of the replica only; ``None`` if any
        start will do.
    :param registered_by_s: a connection that the replica had accepted by this time, and on which it
        does not state its start, leads to the required one.
    :param continues_response: whether the caller has a part of the response already.
    """

    attempt_id: int
    handle: int
    replica_id: str
    address: str
    time_left_s: float
    customer: str | None
    priority: int | None
    stream: bool
    needs_recent_connection: bool
    last_event_id: int | None = None
    relay_address: str | None = None
    resumable: bool = False
    checks_liveness: bool = False
    asks_start: bool = False
    required_start_ms: int | None = None
    registered_by_s: float = -math.inf
    continues_response: bool = False


class ProbeReplica(Struct, frozen=True):
    """Find out whether a replica accepts a direct connection."""

    replica_id: str
    address: str


class CheckLiveness(Struct, frozen=True):
    """Ask a replica whether it still runs, and post ``LivenessChecked``.

    :param target: what is asked for; any answer shows that the replica runs.
    :param connected_by_s: prefer a connection that the replica had accepted by then, since a later
        one may lead to another start of it.
    :param asks_start: whether to ask which start of the replica answers, rather than for the
        target.
    :param relay_address: the entry VM through which the replica is reached; ``None`` if directly.
    """

    replica_id: str
    address: str
    target: str
    connected_by_s: float
    relay_address: str | None = None
    asks_start: bool = False


class CancelAttempt(Struct, frozen=True):
    """Close an attempt's connection and ignore whatever still arrives on it."""

    attempt_id: int


class SendResponse(Struct, frozen=True):
    """Send a replica's complete response to the caller."""

    handle: int
    status: int
    headers: Headers
    body: bytes


class StartStream(Struct, frozen=True):
    """Send the status and headers of a stream to the caller."""

    handle: int
    status: int
    headers: Headers


class ForwardEvents(Struct, frozen=True):
    """Send complete events of a stream to the caller."""

    handle: int
    payload: bytes


class EndStream(Struct, frozen=True):
    """End a stream normally."""

    handle: int


class AbortStream(Struct, frozen=True):
    """Abort a caller's connection so that the caller sees an incomplete stream."""

    handle: int


class RejectRequest(Struct, frozen=True):
    """Reject a request.

    :param detail: what is wrong with the request and how to fix it, if the caller can.
    """

    handle: int
    refusal: Refusal
    retry_after_s: float | None = None
    detail: str = ""


class SendDigest(Struct, frozen=True):
    """Send this VM's digest to other entry VMs, without delivery guarantee."""

    addresses: tuple[str, ...]
    digest: Digest


class SendLoadMessage(Struct, frozen=True):
    """Send another entry VM a message on replica load, without delivery guarantee."""

    address: str
    message: LoadMessage


class SendOriginMessage(Struct, frozen=True):
    """Send another entry VM a message on a stream's origin, without delivery guarantee."""

    address: str
    message: OriginMessage


class ProveRegistry(Struct, frozen=True):
    """Find out now whether all registrations are known, rather than at the end of a long poll."""


class ReadOrigins(Struct, frozen=True):
    """Read the recorded versions and the stored origins of streams."""


class AppendOrigins(Struct, frozen=True):
    """Append origins of streams to the store, in one record."""

    origins: tuple[StreamOrigin, ...]


class RecordVersions(Struct, frozen=True):
    """Record in the store that versions serve."""

    versions: tuple[ServiceVersion, ...]


class RetireVersion(Struct, frozen=True):
    """Remove a recorded version, unless something was recorded after the offset ``end``."""

    version: ServiceVersion
    end: int


class FetchConfiguration(Struct, frozen=True):
    """Fetch the configuration from another entry VM, and post ``ConfigurationFetched``."""

    vm_id: str
    address: str


class ScheduleTick(Struct, frozen=True):
    """Post an extra tick after this time, before the next regular one."""

    after_s: float


class CloseIdleConnections(Struct, frozen=True):
    """Close idle connections to an address whose replica is gone or was replaced by another."""

    address: str


class IncrementCounter(Struct, frozen=True):
    """Increment a counter."""

    name: str
    label: str = ""


class RecordLatency(Struct, frozen=True):
    """Record the time to the end of a response in the latency histograms."""

    kind: str
    service: str
    duration_s: float


class LogLine(Struct, frozen=True):
    """Write a log line; fields never contain API keys or prompts."""

    event: str
    fields: tuple[tuple[str, str | int | float | None], ...] = ()


class Stopped(Struct, frozen=True):
    """Nothing is in flight any more; the process may exit."""


Action = (
    StartAttempt
    | ProbeReplica
    | CheckLiveness
    | ProveRegistry
    | CancelAttempt
    | SendResponse
    | StartStream
    | ForwardEvents
    | EndStream
    | AbortStream
    | RejectRequest
    | SendDigest
    | SendLoadMessage
    | SendOriginMessage
    | ReadOrigins
    | AppendOrigins
    | RecordVersions
    | RetireVersion
    | FetchConfiguration
    | ScheduleTick
    | CloseIdleConnections
    | IncrementCounter
    | RecordLatency
    | LogLine
    | Stopped
)
