"""Everything the core asks the process around it to do."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_core.internal.vocabulary.outcome import Outcome
from coriandershelf_core.internal.vocabulary.records import Entry


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a replica.

    :param resume_payloads: what was generated before; the stream goes on behind it.
    :param fresh_connection: do not take a pooled connection.
    :param priority: the engine's scheduling class; 0 comes first.
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
    """Close an attempt's connection; nothing of it is awaited any more."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class SendTokens:
    """Relay payloads to the caller."""

    request_id: str
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SendFinal:
    """Finish the answer to the caller."""

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
class TellPeer:
    """Send a message to another entry VM, without a promise of delivery."""

    vm_id: str
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Ask a replica for its load; the answer comes as a ``LoadReported`` or not at all."""

    replica_id: str
    address: str


@dataclass(frozen=True, slots=True)
class RefreshNotices:
    """Ask the platform for its reclaim notices at once."""

    asked_at_s: float


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order an upstream to reach a wanted state.

    :param number: fencing number.
    :param valid_until_s: the process checks its clock against it right before it sends.
    """

    order_id: str
    replica_id: str
    address: str
    wanted: str
    number: int
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class StartVm:
    """Have the cloud start a VM; the token makes a repeat harmless."""

    token: str
    service: str
    zone: str
    machine_class: str
    purchase: str
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class StopVm:
    """Give a VM back to the cloud; a repeat is harmless."""

    token: str
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Count:
    """Raise a counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a structured log line; fields never hold a key or a prompt."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class Stopped:
    """Everything in flight is finished or handed over; the process may end."""


Action = (
    StartAttempt
    | CancelAttempt
    | SendTokens
    | SendFinal
    | Append
    | TellPeer
    | PollLoad
    | RefreshNotices
    | SendOrder
    | StartVm
    | StopVm
    | Count
    | LogLine
    | Stopped
)
