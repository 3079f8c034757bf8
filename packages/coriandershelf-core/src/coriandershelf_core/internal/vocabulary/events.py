"""Events that the process passes to the core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coriandershelf_core.internal.control.purchase_planning import Offer
from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_core.internal.vocabulary.records import Record
from coriandershelf_core.internal.vocabulary.request import Request


class FailureCause(Enum):
    """How an attempt failed."""

    CONNECT = "connect"
    CLOSED = "closed"
    REFUSED = "refused"
    SERVER_ERROR = "server-error"
    CONNECT_TIMEOUT = "connect-timeout"
    FIRST_TOKEN_TIMEOUT = "first-token-timeout"
    GAP_TIMEOUT = "gap-timeout"
    ANSWER_TIMEOUT = "answer-timeout"
    LEAVING = "leaving"


class VmState(Enum):
    """States of a VM; an incarnation only moves to states with a higher value."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class VmRole(Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class VmStatus:
    """One VM as listed by the platform.

    :param address: address for peer messages of an entry VM, or for requests of an upstream.
    :param service: service of a bought upstream; empty if the inventory defines it.
    :param slots: concurrent requests of a bought upstream.
    """

    vm_id: str
    incarnation: int
    role: VmRole
    zone: str
    state: VmState
    address: str
    service: str = ""
    slots: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller closed its connection before the response was complete."""

    request_id: str


@dataclass(frozen=True, slots=True)
class JobRead:
    """A caller asked for a job's status and its output from ``position`` on."""

    request_id: str
    credential_hash: str
    job_id: str
    position: int


@dataclass(frozen=True, slots=True)
class TicketsAsked:
    """A caller asked for tickets: keys whose calls their owner can run without the log."""

    request_id: str
    credential_hash: str
    count: int


@dataclass(frozen=True, slots=True)
class AttemptOpened:
    """The upstream sent a response head."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class TokensArrived:
    """Payloads of a stream, starting at ``first_position``.

    :param stream_attempt_id: attempt id that the upstream attached to them.
    """

    attempt_id: str
    stream_attempt_id: str
    first_position: int
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The end marker of a stream; ``position`` is its total number of payloads."""

    attempt_id: str
    stream_attempt_id: str
    position: int


@dataclass(frozen=True, slots=True)
class AttemptPaused:
    """Reading of a stream paused because its caller reads too slowly."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AttemptResumed:
    """Reading of a stream resumed after a pause."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class PlainAnswered:
    """A plain service sent its complete response."""

    attempt_id: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed before its end marker or complete response arrived.

    :param sent: whether any byte of the request may have left this VM.
    """

    attempt_id: str
    cause: FailureCause
    sent: bool


@dataclass(frozen=True, slots=True)
class LogRead:
    """Records read from a stream, in order; there are no gaps except for expired records.

    :param first_offset: oldest offset that the log still keeps.
    :param next_offset: offset at which the next read starts.
    :param at_end: whether the log had no records after these when it responded.
    """

    stream: str
    records: tuple[Record, ...]
    first_offset: int
    next_offset: int
    at_end: bool = False


@dataclass(frozen=True, slots=True)
class AppendAnswered:
    """The log accepted the append."""

    append_id: int
    offset: int


@dataclass(frozen=True, slots=True)
class AppendFailed:
    """The append failed; ``uncertain`` if it may be in the log nevertheless."""

    append_id: int
    uncertain: bool


@dataclass(frozen=True, slots=True)
class PeerMessageArrived:
    """A message from another entry VM was received."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class SeedsGiven:
    """Addresses of entry VMs to contact while the platform's list contains none."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list of VMs, which may be out of date."""

    vms: tuple[VmStatus, ...]


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """This or another VM will be reclaimed at ``at_s``."""

    vm_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class NoticesRefreshed:
    """Every reclaim notice in the response to a ``RefreshNotices`` has been passed to the core."""

    requested_at_s: float


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A replica's report of its own load, which may be out of date."""

    replica_id: str
    running_count: int
    waiting_count: int
    reported_at_s: float


@dataclass(frozen=True, slots=True)
class StopAsked:
    """This VM must stop gracefully before ``deadline_s``.

    :param urgent: refuse new work at once instead of waiting for the load balancer.
    """

    deadline_s: float
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An upstream accepted an order, or rejected it for an outdated fencing number."""

    order_id: str
    accepted: bool


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """The response to an order was lost, or the order was not sent in time."""

    order_id: str


class CloudResponse(Enum):
    """The cloud's response to a request to start or stop a VM."""

    ACCEPTED = "taken"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """The cloud's response to a ``StartVm``."""

    token: str
    response: CloudResponse


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """The cloud's response to a ``StopVm``."""

    token: str
    response: CloudResponse


@dataclass(frozen=True, slots=True)
class OffersRead:
    """The offers of the cloud and their current prices."""

    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that lets the core act on elapsed time."""


Event = (
    RequestArrived
    | CallerGone
    | JobRead
    | TicketsAsked
    | AttemptOpened
    | TokensArrived
    | StreamEnded
    | AttemptPaused
    | AttemptResumed
    | PlainAnswered
    | AttemptFailed
    | LogRead
    | AppendAnswered
    | AppendFailed
    | PeerMessageArrived
    | SeedsGiven
    | VmListRead
    | ReclaimNotice
    | NoticesRefreshed
    | LoadReported
    | StopAsked
    | OrderAnswered
    | OrderFailed
    | StartAnswered
    | StopAnswered
    | OffersRead
    | Tick
)
