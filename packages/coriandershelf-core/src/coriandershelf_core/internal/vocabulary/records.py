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
    """A claim to run one non-idempotent call; the first one in log order wins.

    :param incarnation: of the holder; a restarted VM of the same name is not the holder.
    """

    key_hash: str
    body_hash: str
    request_id: str
    holder: str
    at_s: float
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """The holder of a claim released it before sending anything upstream."""

    key_hash: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """The result of a claimed call; ``known`` is false if the call may or may not have run.

    :param whole: whether ``body`` is the complete body, which is dropped if it is too large or old.
    """

    key_hash: str
    request_id: str
    known: bool
    status: int = 0
    body: bytes = b""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class ClaimKept:
    """The state of a key, rewritten before the records that it was read from expire."""

    claim: Claim
    claimed_offset: int
    claimed_at_s: float
    finished: ClaimFinished | None = None


@dataclass(frozen=True, slots=True)
class LedgerKept:
    """Ends a rewrite: every key live at ``start_offset`` has a record between there and this one.

    A reader that started at or before ``start_offset`` has therefore read all of them.
    """

    start_offset: int


@dataclass(frozen=True, slots=True)
class TicketsGranted:
    """Tickets of a customer whose calls only this incarnation of ``holder`` may run."""

    grant_id: str
    customer: str
    holder: str
    incarnation: int
    count: int


@dataclass(frozen=True, slots=True)
class TicketUsed:
    """The result of a call that the owner of its ticket ran."""

    key_hash: str
    body_hash: str
    result: ClaimFinished


@dataclass(frozen=True, slots=True)
class TicketsReleased:
    """The owner released a grant; the results of its used tickets are earlier in the log."""

    grant_id: str


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """An accepted job; some entry VM must finish it."""

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
    """A job's new holder or new copy VM.

    It applies only if ``epoch`` is the job's epoch plus one, so the first in log order wins.

    :param restarted: whether earlier output is lost and generation starts from the beginning.
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
    """The end of a job; it applies only if ``epoch`` is the job's current epoch.

    :param length: number of payloads of the whole output.
    """

    job_id: str
    holder: str
    succeeded: bool
    at_s: float
    epoch: int = 0
    length: int = 0


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """The current state of a job, rewritten before the log drops its older entries."""

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
    """A proposed configuration; it is accepted only if ``base_version`` is in force.

    :param format: format of the texts; rejected if above the highest one that the log allows.
    :param changed_paths: paths that differ from the base, computed by the operator's tool.
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
    """Proposals up to this format may be accepted from this record on; it never decreases."""

    format: int


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted proposal without its texts; ``offset`` is its offset in the log."""

    version: int
    offset: int
    publish_id: str
    operator: str
    at_s: float
    changed_paths: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The configuration after applying every record before ``through_offset``.

    It is appended well before the log's retention expires; a duplicate is harmless.

    :param history: latest accepted changes, oldest first; the last one is in force.
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
    """Acquires or renews a lease.

    :param number: fencing number of the lease to renew; -1 to acquire it.
    :param sent_at_s: time on the sender's clock before it sent this entry.
    """

    name: str
    holder: str
    incarnation: int
    number: int
    valid_s: float
    sent_at_s: float


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """Releases a lease before it expires."""

    name: str
    number: int


@dataclass(frozen=True, slots=True)
class PurchaseIntended:
    """A VM that the holder of the spending lease intends to start.

    :param token: identifies the VM, so that a repeated start request starts only one.
    :param number: fencing number of the spending lease.
    :param budget_per_hour: budget in force at the writer.
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
    """The end of a purchase: it incurs no further cost."""

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

    It is written well before the log's retention expires, so that a reader that starts late has
    the complete state.
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
    """One appended record: entries of one writer, which numbers its records by ``sequence``.

    :param offset: position in the stream.
    :param time_s: time at which the log accepted it.
    """

    offset: int
    time_s: float
    writer: str
    incarnation: int
    sequence: int
    entries: tuple[Entry, ...]
