"""Everything that can happen to an entry VM, as the core is told of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from coriandershelf_core.internal.control.spending import Offer
from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_core.internal.vocabulary.records import Record
from coriandershelf_core.internal.vocabulary.request import Request


class FailureCause(Enum):
    """How an attempt at an upstream failed."""

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
    """States of a VM; an incarnation only ever moves to a later one."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class VmRole(Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class VmStatus:
    """One VM as the platform lists it.

    :param address: where peers reach an entry VM, or requests an upstream.
    :param service: what a bought upstream serves; empty where the inventory says it.
    :param slots: requests that a bought upstream runs at once.
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
    """A caller closed its connection before the answer was whole."""

    request_id: str


@dataclass(frozen=True, slots=True)
class JobRead:
    """A caller asks for a job's status and output from ``position`` on."""

    request_id: str
    credential_hash: str
    job_id: str
    position: int


@dataclass(frozen=True, slots=True)
class TicketsAsked:
    """A caller asks for tickets, keys that their owner can run without the log."""

    request_id: str
    credential_hash: str
    count: int


@dataclass(frozen=True, slots=True)
class AttemptOpened:
    """The upstream answered with a response head."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class TokensArrived:
    """Payloads of a stream; the first stands at ``first_position``.

    :param stream_attempt_id: the attempt id the upstream wrote on them.
    """

    attempt_id: str
    stream_attempt_id: str
    first_position: int
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The end marker of a stream; ``position`` counts its payloads."""

    attempt_id: str
    stream_attempt_id: str
    position: int


@dataclass(frozen=True, slots=True)
class AttemptPaused:
    """Reading a stream stopped because its caller does not take what came."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AttemptResumed:
    """Reading a stream goes on after a pause."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class PlainAnswered:
    """A plain service answered whole."""

    attempt_id: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without its end marker.

    :param sent: whether any byte of the request may have left this VM.
    """

    attempt_id: str
    cause: FailureCause
    sent: bool


@dataclass(frozen=True, slots=True)
class LogRead:
    """Records read from a stream, in order and without a gap unless the log expired some.

    :param first_offset: oldest offset the log still keeps.
    :param next_offset: offset from which the next read starts.
    :param at_end: whether the log held nothing beyond these records when it answered.
    """

    stream: str
    records: tuple[Record, ...]
    first_offset: int
    next_offset: int
    at_end: bool = False


@dataclass(frozen=True, slots=True)
class AppendAnswered:
    """The log took the append."""

    append_id: int
    offset: int


@dataclass(frozen=True, slots=True)
class AppendFailed:
    """The append failed; ``uncertain`` where it may stand in the log all the same."""

    append_id: int
    uncertain: bool


@dataclass(frozen=True, slots=True)
class PeerMessageArrived:
    """A message of another entry VM."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class SeedsGiven:
    """Addresses of entry VMs to turn to while the platform's list names none."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list of VMs, which lags."""

    vms: tuple[VmStatus, ...]


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """A VM, this one or another, will be taken at ``at_s``."""

    vm_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class NoticesRefreshed:
    """Every reclaim notice up to the answer to a ``RefreshNotices`` has been told."""

    asked_at_s: float


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A replica's own report of its load, which lags."""

    replica_id: str
    running_count: int
    waiting_count: int
    reported_at_s: float


@dataclass(frozen=True, slots=True)
class StopAsked:
    """This VM must stop gracefully before ``deadline_s``.

    :param urgent: new work is refused at once, without waiting for the balancer.
    """

    deadline_s: float
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An upstream took an order, or refused it for an old fencing number."""

    order_id: str
    taken: bool


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """An order's answer was lost, or it was not sent in time."""

    order_id: str


class CloudAnswer(Enum):
    """What the cloud said to a start or stop."""

    TAKEN = "taken"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """The cloud's answer to a start."""

    token: str
    answer: CloudAnswer


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """The cloud's answer to a stop."""

    token: str
    answer: CloudAnswer


@dataclass(frozen=True, slots=True)
class OffersRead:
    """What the cloud sells now, and at which prices."""

    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


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
