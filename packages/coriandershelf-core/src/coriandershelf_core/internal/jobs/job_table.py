"""The jobs of all entry VMs, replayed from the log and identical at every reader.

A job's epoch counts its moves. A move applies only if its epoch is the next one, and the end of a
job only in the job's current epoch. So the order of the log alone decides which VM holds a job,
and entries that a previous holder still writes have no effect (fencing).
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.records import (
    JobAccepted,
    JobFinished,
    JobMoved,
    JobSnapshot,
)
from coriandershelf_core.internal.vocabulary.settings import CoreSettings

RUNNING = "running"
DONE = "done"
FAILED = "failed"


@dataclass(frozen=True, slots=True)
class VmRef:
    """One incarnation of an entry VM; a restarted VM has another incarnation."""

    vm_id: str
    incarnation: int


@dataclass(slots=True)
class Job:
    """The state of one job in the log.

    :param copy: VM that keeps a copy of the output, or ``None``.
    :param recorded_at_s: when its acceptance or its newest snapshot was written.
    :param epoch: number of moves so far.
    :param term: epoch in which the current holder began; it identifies whose output a copy is.
    :param generation: how often its output was lost and generated again.
    :param length: number of payloads of the complete output once the job is finished.
    """

    accepted: JobAccepted
    holder: VmRef
    copy: VmRef | None
    recorded_at_s: float
    epoch: int = 0
    term: int = 0
    generation: int = 0
    status: str = RUNNING
    finished_at_s: float | None = None
    length: int = 0

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.accepted.job_id

    def snapshot(self, now_s: float) -> JobSnapshot:
        """Return the entry that restores the job's current state."""
        return JobSnapshot(
            accepted=self.accepted,
            epoch=self.epoch,
            term=self.term,
            generation=self.generation,
            holder=self.holder.vm_id,
            holder_incarnation=self.holder.incarnation,
            copy_vm_id=self.copy.vm_id if self.copy else "",
            copy_incarnation=self.copy.incarnation if self.copy else 0,
            status=self.status,
            finished_at_s=self.finished_at_s,
            length=self.length,
            at_s=now_s,
        )


@dataclass(frozen=True, slots=True)
class JobKey:
    """The job first posted under an idempotency key.

    :param body_hash: hash of its request, to detect a key reused for another request.
    """

    job_id: str
    body_hash: str
    at_s: float


def copy_vm_ref(vm_id: str, incarnation: int) -> VmRef | None:
    """Return the VM that keeps a copy, or ``None`` for an empty id."""
    return VmRef(vm_id, incarnation) if vm_id else None


class JobTable:
    """Jobs by id, and the idempotency keys under which they were posted."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._keys: dict[str, JobKey] = {}

    def find_key(self, key_hash: str) -> JobKey | None:
        """Return the job first posted under a key, or ``None``."""
        return self._keys.get(key_hash) if key_hash else None

    def accept(self, entry: JobAccepted) -> Job | None:
        """Apply an accepted job; return ``None`` for a duplicate or a key that is already used."""
        if entry.job_id in self.jobs or not self._register_key(entry):
            return None
        holder = VmRef(entry.holder, entry.holder_incarnation)
        copy = copy_vm_ref(entry.copy_vm_id, entry.copy_incarnation)
        job = self.jobs[entry.job_id] = Job(entry, holder, copy, entry.at_s)
        return job

    def move(self, entry: JobMoved) -> Job | None:
        """Apply a move; return ``None`` if another move came first or the job is unknown."""
        job = self.jobs.get(entry.job_id)
        if job is None or entry.epoch != job.epoch + 1:
            return None
        holder = VmRef(entry.holder, entry.holder_incarnation)
        if holder != job.holder or entry.restarted:
            job.term = entry.epoch
        job.epoch = entry.epoch
        job.holder = holder
        job.copy = copy_vm_ref(entry.copy_vm_id, entry.copy_incarnation)
        if entry.restarted:
            job.generation += 1
            job.status = RUNNING
            job.finished_at_s = None
            job.length = 0
        return job

    def finish(self, entry: JobFinished) -> Job | None:
        """Apply the end of a job; return ``None`` if it moved, already ended or is unknown."""
        job = self.jobs.get(entry.job_id)
        if job is None or entry.epoch != job.epoch or job.status != RUNNING:
            return None
        job.status = DONE if entry.succeeded else FAILED
        job.finished_at_s = entry.at_s
        job.length = entry.length
        return job

    def restore(self, entry: JobSnapshot) -> Job:
        """Apply a snapshot; one without newer moves only updates ``recorded_at_s``."""
        job = self.jobs.get(entry.accepted.job_id)
        if job is None or entry.epoch > job.epoch:
            self._register_key(entry.accepted)
            job = self.jobs[entry.accepted.job_id] = Job(
                accepted=entry.accepted,
                holder=VmRef(entry.holder, entry.holder_incarnation),
                copy=copy_vm_ref(entry.copy_vm_id, entry.copy_incarnation),
                recorded_at_s=entry.at_s,
                epoch=entry.epoch,
                term=entry.term,
                generation=entry.generation,
                status=entry.status,
                finished_at_s=entry.finished_at_s,
                length=entry.length,
            )
        job.recorded_at_s = max(job.recorded_at_s, entry.at_s)
        return job

    def expire(self, settings: CoreSettings, now_s: float) -> list[Job]:
        """Delete finished jobs and keys whose retention has passed; return the deleted jobs."""
        expired = [
            job
            for job in self.jobs.values()
            if job.finished_at_s is not None
            and job.finished_at_s + settings.job_output_keep_s <= now_s
        ]
        for job in expired:
            del self.jobs[job.job_id]
        expired_keys = [
            name for name, key in self._keys.items() if key.at_s + settings.key_window_s <= now_s
        ]
        for name in expired_keys:
            del self._keys[name]
        return expired

    def _register_key(self, entry: JobAccepted) -> bool:
        """Record a job under its key; return false if an earlier job has the key.

        A job without a key is always accepted.
        """
        if not entry.key_hash:
            return True
        key = JobKey(entry.job_id, entry.body_hash, entry.at_s)
        return self._keys.setdefault(entry.key_hash, key).job_id == entry.job_id
