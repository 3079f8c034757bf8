"""Messages between entry VMs.

Each data class here is one kind of message; its class name is its kind on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.records import ConfigurationSnapshot


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent every period to some peers, within the zone with a digest of what the sender knows.

    Columns of one group belong together row by row; ages stand in tenths of a second.

    :param version: the newest accepted configuration that the sender knows.
    :param member_keys: short names of entry VMs that the sender heard of, directly or by digest.
    :param inventory_version: of the inventory in which ``load_indexes`` count.
    """

    vm_id: str
    incarnation: int
    version: int
    stopping: bool
    zone: str = ""
    address: str = ""
    member_keys: tuple[int, ...] = ()
    member_age_steps: tuple[int, ...] = ()
    leaving_ids: tuple[str, ...] = ()
    leaving_incarnations: tuple[int, ...] = ()
    inventory_version: int = 0
    load_indexes: tuple[int, ...] = ()
    load_running_counts: tuple[int, ...] = ()
    load_waiting_counts: tuple[int, ...] = ()
    load_age_steps: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ZoneSum:
    """A zone's slots and load by service, for the other zones."""

    zone: str
    services: tuple[str, ...]
    slots: tuple[int, ...]
    running_counts: tuple[int, ...]
    waiting_counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeavingNotices:
    """Reclaim notices, passed on at once or as the answer to a :class:`LeavingQuery`.

    :param asked_at_s: copied from the query; 0 where none was asked.
    """

    vm_ids: tuple[str, ...]
    at_s: tuple[float, ...]
    asked_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LeavingQuery:
    """Asks for the reclaim notices that a peer knows; sent by a VM that was paused."""

    asked_at_s: float


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
    """Asks a job's holder, or the VM that keeps its copy, for its status and output."""

    query_id: str
    job_id: str
    customer: str
    position: int


@dataclass(frozen=True, slots=True)
class JobReply:
    """Answers a :class:`JobQuery`; ``status`` is empty where the job is not held here."""

    query_id: str
    status: str
    position: int
    payloads: tuple[bytes, ...]
    generation: int = 0


@dataclass(frozen=True, slots=True)
class JobCopy:
    """A bounded piece of a job's output, for the VM that keeps a copy or takes the job over.

    :param term: epoch in which the sender became the holder; it names whose output this is.
    :param position: place of the first payload in the whole output.
    :param visible_count: payloads that callers may see.
    :param replica_id: replica that holds the KV cache, or empty.
    """

    job_id: str
    term: int
    position: int
    payloads: tuple[bytes, ...]
    visible_count: int
    replica_id: str = ""


@dataclass(frozen=True, slots=True)
class JobCopied:
    """Acknowledges a :class:`JobCopy`.

    :param held_count: payloads held without a gap from the first.
    :param stopping: the sender is leaving and will not take the job over.
    """

    job_id: str
    term: int
    held_count: int
    stopping: bool = False


@dataclass(frozen=True, slots=True)
class JobHandover:
    """Asks the receiver, which holds the whole output made so far, to become the holder."""

    job_id: str
    epoch: int
    term: int
    held_count: int
    replica_id: str = ""


@dataclass(frozen=True, slots=True)
class TicketCall:
    """Asks a ticket's owner to run a call, or for the result if it ran before."""

    request_id: str
    customer: str
    service: str
    path: str
    body: bytes
    key: str
    deadline_s: float


@dataclass(frozen=True, slots=True)
class TicketResult:
    """Answers a :class:`TicketCall`; ``outcome`` is ``done``, ``not-run`` or ``unknown``."""

    request_id: str
    outcome: str
    reason: str = ""
    retry_after_s: float | None = None
    detail: str = ""
    status: int = 0
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class JobSought:
    """Asks, before a job is made anew, whether its lost holder handed it over to the receiver."""

    job_id: str
    term: int


@dataclass(frozen=True, slots=True)
class JobFound:
    """Answers a :class:`JobSought`: the sender has the whole output and goes on with it."""

    job_id: str
    term: int


@dataclass(frozen=True, slots=True)
class ReplicaVerdict:
    """Tells that a replica stalled, or is in order again, by the sender's own evidence."""

    replica_id: str
    in_order: bool


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """Tells that a request was in flight at a replica that crashed."""

    replica_id: str
    identity: str


@dataclass(frozen=True, slots=True)
class TrialStarted:
    """Tells that a suspected request now runs at a replica, with no other suspect beside it."""

    replica_id: str
    identity: str


@dataclass(frozen=True, slots=True)
class SuspectVerdict:
    """Tells whether a suspected request crashes upstreams."""

    identity: str
    guilty: bool


Message = (
    Heartbeat
    | ZoneSum
    | LeavingNotices
    | LeavingQuery
    | ConfigurationQuery
    | ConfigurationReply
    | JobQuery
    | JobReply
    | JobCopy
    | JobCopied
    | JobHandover
    | TicketCall
    | TicketResult
    | JobSought
    | JobFound
    | ReplicaVerdict
    | InFlightDigest
    | LengthObserved
    | CrashSeen
    | TrialStarted
    | SuspectVerdict
)
