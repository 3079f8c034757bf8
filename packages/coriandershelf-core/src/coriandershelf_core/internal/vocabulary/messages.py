"""Messages between entry VMs.

Each data class here is one kind of message; its class name is its kind on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.records import ConfigurationSnapshot


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent periodically to some peers; within the zone it includes a digest of members and loads.

    Tuples with the same prefix are parallel columns of one table; ages are in tenths of a second.

    :param version: newest accepted configuration version known to the sender.
    :param member_keys: hashed ids of the entry VMs that the sender knows to be alive, from their
        own messages or from digests.
    :param inventory_version: version of the inventory that ``load_indexes`` refer to.
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
    """A zone's total slots and load per service, sent to the other zones."""

    zone: str
    services: tuple[str, ...]
    slots: tuple[int, ...]
    running_counts: tuple[int, ...]
    waiting_counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeavingNotices:
    """Reclaim notices, forwarded on receipt or in reply to a :class:`LeavingQuery`.

    :param asked_at_s: copied from the query; 0 if this is not a reply.
    """

    vm_ids: tuple[str, ...]
    at_s: tuple[float, ...]
    asked_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LeavingQuery:
    """Asks a peer for the reclaim notices it knows; sent by a VM that was paused."""

    asked_at_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Asks a peer for the configuration in force if it is newer than ``version``.

    :param reply_address: where to send the reply, as the sender may not be in the VM list yet.
    """

    version: int
    reply_address: str


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The configuration in force at the sender.

    :param snapshot: its ``through_offset`` is negative if the sender does not know a log offset at
        which this version is in force, such as when it got the version from a peer.
    """

    snapshot: ConfigurationSnapshot


@dataclass(frozen=True, slots=True)
class InFlightDigest:
    """Reports how many work items the sender has in flight at each replica it uses.

    :param sequence: increases with each digest of an incarnation.
    """

    vm_id: str
    incarnation: int
    sequence: int
    replica_ids: tuple[str, ...]
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LengthObserved:
    """Reports the actual length of a response whose predicted length was wrong."""

    customer: str
    service: str
    prompt_tokens: int
    max_tokens: int
    length_tokens: int


@dataclass(frozen=True, slots=True)
class JobQuery:
    """Asks a job's holder, or its copy VM, for the job's status and output."""

    query_id: str
    job_id: str
    customer: str
    position: int


@dataclass(frozen=True, slots=True)
class JobReply:
    """Reply to a :class:`JobQuery`; ``status`` is empty if the sender cannot answer the query."""

    query_id: str
    status: str
    position: int
    payloads: tuple[bytes, ...]
    generation: int = 0


@dataclass(frozen=True, slots=True)
class JobCopy:
    """A bounded part of a job's output, sent to its copy VM or to the VM that takes it over.

    :param term: epoch in which the sender became the holder; it identifies whose output this is.
    :param position: index of the first payload in the whole output.
    :param visible_count: number of payloads that callers may read.
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

    :param held_count: number of payloads that the sender has stored, without gaps.
    :param stopping: whether the sender is stopping and will not take the job over.
    """

    job_id: str
    term: int
    held_count: int
    stopping: bool = False


@dataclass(frozen=True, slots=True)
class JobHandover:
    """Asks the receiver, which holds all output generated so far, to become the job's holder."""

    job_id: str
    epoch: int
    term: int
    held_count: int
    replica_id: str = ""


@dataclass(frozen=True, slots=True)
class GrantAnnounced:
    """Tells the peers of a grant that the owner has read in the log.

    Without it, a peer that has not read the grant when the log goes down would refuse its tickets.

    :param granted_at_s: time of the grant's record in the log.
    """

    grant_id: str
    customer: str
    holder: str
    incarnation: int
    count: int
    granted_at_s: float


@dataclass(frozen=True, slots=True)
class TicketCall:
    """Asks a ticket's owner to run a call, or to return its result if it has already run."""

    request_id: str
    customer: str
    service: str
    path: str
    body: bytes
    key: str
    deadline_s: float


@dataclass(frozen=True, slots=True)
class TicketResult:
    """Reply to a :class:`TicketCall`; ``outcome`` is ``done``, ``not-run`` or ``unknown``."""

    request_id: str
    outcome: str
    reason: str = ""
    retry_after_s: float | None = None
    detail: str = ""
    status: int = 0
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class JobSought:
    """Asks, before a job is restarted, whether its lost holder handed it over to the receiver."""

    job_id: str
    term: int


@dataclass(frozen=True, slots=True)
class JobFound:
    """Reply to a :class:`JobSought`: the sender has all output so far and continues the job."""

    job_id: str
    term: int


@dataclass(frozen=True, slots=True)
class ReplicaVerdict:
    """Reports that the sender itself observed a replica stall or recover."""

    replica_id: str
    in_order: bool


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """Reports that a request was in flight at a replica that crashed."""

    replica_id: str
    identity: str


@dataclass(frozen=True, slots=True)
class TrialStarted:
    """Reports that a suspected request now runs on a replica without other suspects."""

    replica_id: str
    identity: str


@dataclass(frozen=True, slots=True)
class SuspectVerdict:
    """Reports whether a suspected request crashes upstreams."""

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
    | GrantAnnounced
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
