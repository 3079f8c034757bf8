"""Copies of other entry VMs' job output, kept so that a job can be taken over."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.jobs.job_table import DONE, Job, JobTable, VmRef
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.messages import JobCopied, JobCopy, JobHandover

FORGET_AFTER_S = 60.0
PAUSE_S = 1.0


@dataclass(slots=True)
class KeptCopy:
    """The output made in one term of a job, without a gap from its first payload.

    :param visible_count: payloads that the holder shows to callers.
    :param handed_over: the holder stopped, and this is all it made.
    """

    source: str
    term: int
    heard_at_s: float
    payloads: list[bytes] = field(default_factory=list)
    visible_count: int = 0
    replica_id: str = ""
    handed_over: bool = False


class Copies:
    """Copies by job, and when each peer was last heard of."""

    def __init__(self, context: Context, table: JobTable) -> None:
        self._context = context
        self._table = table
        self._copies: dict[str, KeptCopy] = {}
        self._heard_at_s: dict[str, float] = {}
        self._ticked_at_s = 0.0

    def hear(self, vm_id: str, now_s: float) -> None:
        """Note that a peer sent something."""
        self._heard_at_s[vm_id] = now_s

    def silent_s(self, vm_id: str, now_s: float) -> float:
        """Return for how long a peer has sent nothing; counted from the first question."""
        return now_s - self._heard_at_s.setdefault(vm_id, now_s)

    def on_copy(self, sender: str, message: JobCopy, now_s: float) -> JobCopied | None:
        """Keep a piece of output; ``None`` where its sender no longer holds the job."""
        if self._is_superseded(sender, message):
            return None
        copy = self._copies.get(message.job_id)
        if copy is None or copy.term != message.term:
            copy = self._copies[message.job_id] = KeptCopy(sender, message.term, now_s)
        assert copy.source == sender, f"{message.job_id} has two holders in term {message.term}"
        copy.heard_at_s = now_s
        known = len(copy.payloads) - message.position
        if known >= 0:
            copy.payloads.extend(message.payloads[known:])
            copy.visible_count = max(copy.visible_count, message.visible_count)
            copy.replica_id = message.replica_id
        return JobCopied(
            message.job_id,
            message.term,
            len(copy.payloads),
            self._context.stopping,
        )

    def on_handover(self, sender: str, message: JobHandover, now_s: float) -> KeptCopy:
        """Return the copy of a job that is handed over; one without output may be missing yet."""
        copy = self._copies.get(message.job_id)
        if copy is None or copy.term < message.term:
            copy = self._copies[message.job_id] = KeptCopy(sender, message.term, now_s)
        copy.replica_id = message.replica_id or copy.replica_id
        copy.handed_over = len(copy.payloads) == message.held_count
        return copy

    def find(self, job: Job) -> KeptCopy | None:
        """Return the copy of the present holder's output, or ``None``."""
        copy = self._copies.get(job.job_id)
        return copy if copy is not None and copy.term == job.term else None

    def take(self, job_id: str) -> KeptCopy | None:
        """Take out a job's copy."""
        return self._copies.pop(job_id, None)

    def visible(self, job: Job) -> list[bytes] | None:
        """Return what callers may see of a job, or ``None`` where no copy is kept."""
        copy = self.find(job)
        if copy is None:
            return None
        whole = job.status == DONE and len(copy.payloads) == job.length
        return copy.payloads if whole else copy.payloads[: copy.visible_count]

    def on_tick(self, me: VmRef, now_s: float) -> None:
        """Forget copies nobody needs; a VM that was paused itself cannot judge silence."""
        if now_s - self._ticked_at_s > PAUSE_S:
            self._heard_at_s = dict.fromkeys(self._heard_at_s, now_s)
        self._ticked_at_s = now_s
        for job_id, copy in list(self._copies.items()):
            job = self._table.jobs.get(job_id)
            needed = job is not None and job.copy == me
            if not needed and copy.heard_at_s + FORGET_AFTER_S <= now_s:
                del self._copies[job_id]

    def _is_superseded(self, sender: str, message: JobCopy) -> bool:
        job = self._table.jobs.get(message.job_id)
        if job is not None and job.term >= message.term and job.holder.vm_id != sender:
            return True
        copy = self._copies.get(message.job_id)
        return copy is not None and copy.term > message.term
