"""What the gateway asks its process to do."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import Headers
from coriandershelf_core.internal.gateway.room import RoomMessage


class Refusal(Enum):
    """Why the gateway answers a request itself; the value names the counter and the log line."""

    NO_CONFIGURATION = "no-configuration"
    STALE_KEYS = "stale-keys"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    BODY_TOO_LARGE = "body-too-large"
    HEADER_TOO_LARGE = "header-too-large"
    CAP = "cap"
    NO_REPLICA = "no-replica"
    NO_ROOM = "no-room"
    REPLICA_REFUSED = "replica-refused"
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
    Refusal.CAP: 429,
    Refusal.NO_REPLICA: 503,
    Refusal.NO_ROOM: 503,
    Refusal.REPLICA_REFUSED: 503,
    Refusal.POISON: 503,
    Refusal.STOPPING: 503,
    Refusal.TIMEOUT: 504,
    Refusal.UNKNOWN_OUTCOME: 502,
}


class RetryReason(Enum):
    """Why a request is sent to a replica once more."""

    CONNECT = "connect"
    MISDIRECTED = "misdirected"
    NOT_RUN = "not-run"
    FAILED = "failed"
    SERVER_ERROR = "server-error"
    SILENT = "silent"
    RESUMED = "resumed"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a replica.

    :param time_left_s: what the replica is told; it stops work then.
    :param fresh: only a new connection, or one that answered a moment ago, will do.
    :param customer: name of the key's customer, or ``None`` on a public route.
    """

    attempt_id: int
    handle: int
    replica_id: str
    address: str
    time_left_s: float
    customer: str | None
    urgency: int | None
    stream: bool
    fresh: bool
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's connection; nothing of it is awaited any more."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass on a replica's whole answer."""

    handle: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Pass on the head of a stream."""

    handle: int
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class PassEvents:
    """Pass on whole events of a stream."""

    handle: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class EndStream:
    """End a stream as complete."""

    handle: int


@dataclass(frozen=True, slots=True)
class BreakStream:
    """Close a caller's connection so that its stream looks incomplete."""

    handle: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer a request without a replica's answer.

    :param detail: what is wrong with the request and its remedy, where the caller can mend it.
    """

    handle: int
    refusal: Refusal
    retry_after_s: float | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send this VM's digest to other entry VMs; loss is harmless."""

    addresses: tuple[str, ...]
    digest: Digest


@dataclass(frozen=True, slots=True)
class SendRoomMessage:
    """Send another entry VM a message on room at replicas; loss is harmless."""

    address: str
    message: RoomMessage


@dataclass(frozen=True, slots=True)
class Wake:
    """Post a tick after this time, sooner than the next regular one."""

    after_s: float


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Forget idle connections to a replica that has ended or is leaving."""

    address: str


@dataclass(frozen=True, slots=True)
class Count:
    """Raise a counter."""

    name: str
    label: str = ""


@dataclass(frozen=True, slots=True)
class Observe:
    """Note the time that a whole answer took, for the latency histograms."""

    kind: str
    service: str
    taken_s: float


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line; no field holds a key or a prompt."""

    event: str
    fields: tuple[tuple[str, str | int | float | None], ...] = ()


@dataclass(frozen=True, slots=True)
class Stopped:
    """Nothing is in flight any more; the process may end."""


Action = (
    StartAttempt
    | CancelAttempt
    | Deliver
    | OpenStream
    | PassEvents
    | EndStream
    | BreakStream
    | Refuse
    | SendDigest
    | SendRoomMessage
    | Wake
    | CloseIdle
    | Count
    | Observe
    | Log
    | Stopped
)
