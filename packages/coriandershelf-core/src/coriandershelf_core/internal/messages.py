"""Messages between entry VMs.

Each data class here is one kind of message; its class name is its kind on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent every period to peers of the same zone."""

    vm_id: str
    incarnation: int
    version: int
    stopping: bool


@dataclass(frozen=True, slots=True)
class InFlightDigest:
    """Tells peers how many works the sender has in flight at each replica it uses.

    :param sequence: grows with each digest of an incarnation.
    """

    vm_id: str
    incarnation: int
    sequence: int
    replica_ids: tuple[str, ...]
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LengthObserved:
    """Tells peers the length of an answer that was guessed wrong."""

    customer: str
    service: str
    prompt_tokens: int
    max_tokens: int
    length_tokens: int


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Asks a job's holder for its status and output from a position on."""

    query_id: str
    job_id: str
    customer: str
    position: int


@dataclass(frozen=True, slots=True)
class JobReply:
    """Answers a :class:`JobQuery`; ``status`` is empty where the job is not known."""

    query_id: str
    status: str
    position: int
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class JobHandover:
    """Hands a job and the output made so far to a new holder."""

    job_id: str
    customer: str
    service: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    payloads: tuple[bytes, ...]


Message = Heartbeat | InFlightDigest | LengthObserved | JobQuery | JobReply | JobHandover
