"""Messages between entry VMs.

Each data class here is one kind of message; its class name is its kind on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.records import ConfigurationSnapshot


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent every period to peers of the same zone."""

    vm_id: str
    incarnation: int
    version: int
    stopping: bool


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Asks a peer for the configuration in force if it is newer than ``version``.

    :param reply_address: where to answer, also where the asker is not yet in the VM list.
    """

    version: int
    reply_address: str


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The configuration in force at the sender.

    :param snapshot: its ``through_offset`` is negative where the sender has it from a peer, so
        that it says what is in force but not at which offset.
    """

    snapshot: ConfigurationSnapshot


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


Message = Heartbeat | ConfigurationQuery | ConfigurationReply | JobQuery | JobReply | JobHandover
