"""Actions that the core asks its process to perform."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_core.internal.vocabulary.outcome import Outcome
from coriandershelf_core.internal.vocabulary.records import Entry


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a replica.

    :param resume_payloads: payloads generated earlier, after which the stream continues.
    :param fresh_connection: whether to open a new connection instead of using a pooled one.
    :param priority: scheduling class for the engine; 0 is the highest.
    :param kv_source: address of the replica whose KV cache to import, or empty.
    """

    attempt_id: str
    request_id: str
    kind: ServiceKind
    replica_id: str
    address: str
    path: str
    body: bytes
    deadline_s: float
    priority: int = 0
    resume_payloads: tuple[bytes, ...] = ()
    fresh_connection: bool = False
    kv_source: str = ""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's connection; no further events of it are expected."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class SendTokens:
    """Relay payloads to the caller."""

    request_id: str
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SendOutcome:
    """Finish the response to the caller."""

    request_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Append:
    """Append one record to a stream of the platform's log."""

    append_id: int
    stream: str
    sequence: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another entry VM; delivery is not guaranteed."""

    vm_id: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Ask a replica for its load; a response arrives as a ``LoadReported`` event."""

    replica_id: str
    address: str


@dataclass(frozen=True, slots=True)
class RefreshNotices:
    """Fetch the platform's reclaim notices immediately."""

    requested_at_s: float


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order an upstream to reach a desired state.

    :param fencing_number: number of the lease under which the order is sent.
    :param valid_until_s: the process sends the order only if its clock is still before this time.
    """

    order_id: str
    replica_id: str
    address: str
    desired_state: str
    fencing_number: int
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class StartVm:
    """Ask the cloud to start a VM; the token makes the request idempotent."""

    token: str
    service: str
    zone: str
    machine_class: str
    purchase: str
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class StopVm:
    """Ask the cloud to stop a VM; the request is idempotent."""

    token: str
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Increment a counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a structured log line; its fields never contain a bearer key or a prompt."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class Stopped:
    """All work in flight is finished or handed over; the process may exit."""


Action = (
    StartAttempt
    | CancelAttempt
    | SendTokens
    | SendOutcome
    | Append
    | SendPeerMessage
    | PollLoad
    | RefreshNotices
    | SendOrder
    | StartVm
    | StopVm
    | IncrementCounter
    | LogLine
    | Stopped
)
