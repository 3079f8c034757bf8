"""Copies of the output of jobs held by other entry VMs, kept so that this VM can take over."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.jobs.job_table import DONE, Job, JobTable, VmRef
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.messages import JobCopied, JobCopy, JobHandover

COPY_RETENTION_S = 60.0
PAUSE_DETECTION_S = 1.0


@dataclass(slots=True)
class OutputCopy:
    """The output of one term of a job, without gaps from its first payload.

    :param source: id of the VM that sent it, the holder in this term.
    :param received_at_s: when a part of it was last received.
    :param visible_count: number of payloads that callers may see.
    :param replica_id: replica that holds the KV cache, or empty.
    :param handed_over: whether the holder stopped and this is its complete output.
    """

    source: str
    term: int
    received_at_s: float
    payloads: list[bytes] = field(default_factory=list)
    visible_count: int = 0
    replica_id: str = ""
    handed_over: bool = False


class Copies:
    """Output copies by job id, and the time of the last message from each peer."""

    def __init__(self, context: Context, table: JobTable) -> None:
        self._context = context
        self._table = table
        self._copies: dict[str, OutputCopy] = {}
        self._last_contact_at_s: dict[str, float] = {}
        self._ticked_at_s = 0.0

    def record_contact(self, vm_id: str, now_s: float) -> None:
        """Record that a message from a peer was received."""
        self._last_contact_at_s[vm_id] = now_s

    def since_contact_s(self, vm_id: str, now_s: float) -> float:
        """Return the time since the last message from a peer.

        For a peer that has sent nothing, it is the time since the first call for that peer.
        """
        return now_s - self._last_contact_at_s.setdefault(vm_id, now_s)

    def on_copy(self, sender: str, message: JobCopy, now_s: float) -> JobCopied | None:
        """Store a batch of output and return the acknowledgement.

        ``None`` means that the sender no longer holds the job.
        """
        if self._is_superseded(sender, message):
            return None
        copy = self._copies.get(message.job_id)
        if copy is None or copy.term != message.term:
            copy = self._copies[message.job_id] = OutputCopy(sender, message.term, now_s)
        assert copy.source == sender, f"{message.job_id} has two holders in term {message.term}"
        copy.received_at_s = now_s
        duplicate_count = len(copy.payloads) - message.position
        if duplicate_count >= 0:
            copy.payloads.extend(message.payloads[duplicate_count:])
            copy.visible_count = max(copy.visible_count, message.visible_count)
            copy.replica_id = message.replica_id
        return JobCopied(
            message.job_id,
            message.term,
            len(copy.payloads),
            self._context.stopping,
        )

    def on_handover(self, sender: str, message: JobHandover, now_s: float) -> OutputCopy:
        """Return the copy of a job that is handed over; create it if no output was copied yet."""
        copy = self._copies.get(message.job_id)
        if copy is None or copy.term < message.term:
            copy = self._copies[message.job_id] = OutputCopy(sender, message.term, now_s)
        copy.replica_id = message.replica_id or copy.replica_id
        copy.handed_over = len(copy.payloads) == message.held_count
        return copy

    def find(self, job: Job) -> OutputCopy | None:
        """Return the copy of the current holder's output, or ``None``."""
        copy = self._copies.get(job.job_id)
        return copy if copy is not None and copy.term == job.term else None

    def pop(self, job_id: str) -> OutputCopy | None:
        """Remove and return a job's copy, or return ``None``."""
        return self._copies.pop(job_id, None)

    def visible_payloads(self, job: Job) -> list[bytes] | None:
        """Return the output that callers may see, or ``None`` if no copy is kept here."""
        copy = self.find(job)
        if copy is None:
            return None
        is_complete = job.status == DONE and len(copy.payloads) == job.length
        return copy.payloads if is_complete else copy.payloads[: copy.visible_count]

    def on_tick(self, own_ref: VmRef, now_s: float) -> None:
        """Delete copies that are no longer needed.

        After a pause of this VM the contact times are reset, because it cannot tell whether
        peers sent messages in the meantime.
        """
        if now_s - self._ticked_at_s > PAUSE_DETECTION_S:
            self._last_contact_at_s = dict.fromkeys(self._last_contact_at_s, now_s)
        self._ticked_at_s = now_s
        for job_id, copy in list(self._copies.items()):
            job = self._table.jobs.get(job_id)
            needed = job is not None and job.copy == own_ref
            if not needed and copy.received_at_s + COPY_RETENTION_S <= now_s:
                del self._copies[job_id]

    def _is_superseded(self, sender: str, message: JobCopy) -> bool:
        job = self._table.jobs.get(message.job_id)
        if job is not None and job.term >= message.term and job.holder.vm_id != sender:
            return True
        copy = self._copies.get(message.job_id)
        return copy is not None and copy.term > message.term
