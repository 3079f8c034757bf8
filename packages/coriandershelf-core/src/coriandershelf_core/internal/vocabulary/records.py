"""Entries that entry VMs and operators append to the platform's log.

Each data class here is one kind of entry; its class name is its kind on the wire. Fields may be
added with a default, never removed or given another meaning.
"""

from __future__ import annotations

from dataclasses import dataclass

CONFIGURATION_STREAM = "configuration"
LEDGER_STREAM = "ledger"
CONTROL_STREAM = "control"


@dataclass(frozen=True, slots=True)
class Claim:
    """A right to run one non-idempotent call; the first in log order wins.

    :param incarnation: the holder's; a restarted VM of the same name is not the holder.
    """

    key_hash: str
    body_hash: str
    request_id: str
    holder: str
    at_s: float
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """The holder of a claim gives it up before anything was sent."""

    key_hash: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """The result of a claimed call; ``known`` is false where it may have run.

    :param whole: whether ``body`` was small enough to be kept.
    """

    key_hash: str
    request_id: str
    known: bool
    status: int = 0
    body: bytes = b""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class ClaimKept:
    """The state of a key, written again before the records it came from expire."""

    claim: Claim
    claimed_offset: int
    claimed_at_s: float
    finished: ClaimFinished | None = None


@dataclass(frozen=True, slots=True)
class LedgerKept:
    """States alive at ``start_offset`` stand in records from there on to this one.

    A reader that began at or before ``start_offset`` has read them all.
    """

    start_offset: int


@dataclass(frozen=True, slots=True)
class TicketsGranted:
    """Tickets of a customer that only ``holder`` in this incarnation may run."""

    grant_id: str
    customer: str
    holder: str
    incarnation: int
    count: int


@dataclass(frozen=True, slots=True)
class TicketUsed:
    """The result of a call that its ticket's owner ran."""

    key_hash: str
    body_hash: str
    result: ClaimFinished


@dataclass(frozen=True, slots=True)
class TicketsReleased:
    """The owner gives back a grant; what it used of it stands earlier in the log."""

    grant_id: str


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job that some entry VM must finish."""

    job_id: str
    customer: str
    service: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    holder: str
    at_s: float
    key_hash: str = ""
    body_hash: str = ""
    holder_incarnation: int = 0
    copy_vm_id: str = ""
    copy_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class JobMoved:
    """A job's new holder, or the new VM that keeps the copy of its output.

    It applies only if ``epoch`` follows the job's epoch, so of several the first in log order wins.

    :param restarted: the output made before is lost and generation starts again.
    """

    job_id: str
    holder: str
    epoch: int = 0
    holder_incarnation: int = 0
    copy_vm_id: str = ""
    copy_incarnation: int = 0
    restarted: bool = False


@dataclass(frozen=True, slots=True)
class JobFinished:
    """A job reached its end; it applies only in the job's epoch.

    :param length: payloads of the whole output.
    """

    job_id: str
    holder: str
    succeeded: bool
    at_s: float
    epoch: int = 0
    length: int = 0


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """A job as it stands, written forward before the log drops its older entries."""

    accepted: JobAccepted
    epoch: int
    term: int
    generation: int
    holder: str
    holder_incarnation: int
    copy_vm_id: str
    copy_incarnation: int
    status: str
    finished_at_s: float | None
    length: int
    at_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationProposed:
    """A proposal that is accepted if ``base_version`` is the version in force.

    :param format: format of the texts; refused above the highest that the log allows.
    :param changed_paths: what differs from the base, as its operator's tool found.
    """

    publish_id: str
    base_version: int
    operator: str
    at_s: float
    inventory_text: str
    rules_text: str
    format: int = 1
    changed_paths: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FormatAllowed:
    """Proposals up to this format may be accepted from here on; it never falls."""

    format: int


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted proposal without its texts; ``offset`` is where it stands in the log."""

    version: int
    offset: int
    publish_id: str
    operator: str
    at_s: float
    changed_paths: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The configuration as every record before ``through_offset`` left it.

    It is appended well before the log's retention passes and is harmless if it stands twice.

    :param history: the last accepted changes, the one in force last.
    """

    through_offset: int
    history: tuple[AcceptedChange, ...]
    inventory_text: str
    rules_text: str
    format: int
    allowed_format: int

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.history[-1].version


@dataclass(frozen=True, slots=True)
class LeaseTaken:
    """Asks for a lease, or renews it.

    :param number: fencing number that is renewed; -1 to acquire.
    :param sent_at_s: the asker's own clock before it sent this.
    """

    name: str
    holder: str
    incarnation: int
    number: int
    valid_s: float
    sent_at_s: float


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """Gives a lease back before it expires."""

    name: str
    number: int


@dataclass(frozen=True, slots=True)
class PurchaseIntended:
    """A VM that the holder of the spending lease wants to start.

    :param token: names the VM, so that a start sent twice starts one.
    :param number: fencing number of the spending lease.
    :param budget_per_hour: in force at the writer.
    """

    token: str
    service: str
    zone: str
    machine_class: str
    purchase: str
    price_per_hour: float
    slots: int
    number: int
    budget_per_hour: float
    reason: str
    at_s: float


@dataclass(frozen=True, slots=True)
class PurchaseEnded:
    """A purchase that costs nothing any more."""

    token: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A lease inside a snapshot."""

    name: str
    holder: str
    incarnation: int
    number: int
    expires_at_s: float


@dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """Leases and open purchases after the record at ``through_offset``.

    Written well before retention passes, so that a reader that starts late misses nothing.
    """

    through_offset: int
    leases: tuple[LeaseState, ...]
    purchases: tuple[PurchaseIntended, ...]


ClaimEntry = Claim | ClaimReleased | ClaimFinished | ClaimKept | LedgerKept
TicketEntry = TicketsGranted | TicketUsed | TicketsReleased
Entry = (
    TicketsGranted
    | TicketUsed
    | TicketsReleased
    | Claim
    | ClaimReleased
    | ClaimFinished
    | ClaimKept
    | LedgerKept
    | JobAccepted
    | JobMoved
    | JobFinished
    | JobSnapshot
    | ConfigurationProposed
    | ConfigurationSnapshot
    | FormatAllowed
    | LeaseTaken
    | LeaseReleased
    | PurchaseIntended
    | PurchaseEnded
    | ControlSnapshot
)


@dataclass(frozen=True, slots=True)
class Record:
    """One appended record: entries of one writer, numbered by it.

    :param offset: place in the stream.
    :param time_s: when the log took it.
    """

    offset: int
    time_s: float
    writer: str
    incarnation: int
    sequence: int
    entries: tuple[Entry, ...]
