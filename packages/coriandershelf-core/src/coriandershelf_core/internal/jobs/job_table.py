"""The jobs of all entry VMs as the log tells them, the same at every reader.

A job's epoch counts its moves. An entry that names a move applies only if its epoch follows the
job's, and an end only in the job's epoch. So the log's order alone decides who holds a job, and
whatever a former holder still writes has no effect.
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
    """One incarnation of an entry VM; one that starts again is another."""

    vm_id: str
    incarnation: int


@dataclass(slots=True)
class Job:
    """One job as the log tells it.

    :param epoch: moves so far.
    :param term: epoch in which the present holder began; it names whose output a copy is.
    :param generation: times its output was lost and made anew.
    :param copy: who keeps a copy of the output; ``None`` where nobody does.
    :param length: payloads of the whole output once it is finished.
    :param recorded_at_s: when its newest whole record was written.
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
        """Return the entry that writes the job forward."""
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
    """What an idempotency key stands for."""

    job_id: str
    body_hash: str
    at_s: float


def copy_of(vm_id: str, incarnation: int) -> VmRef | None:
    """Return who keeps a copy; an empty name stands for nobody."""
    return VmRef(vm_id, incarnation) if vm_id else None


class JobTable:
    """Jobs by id, and the keys under which they were posted."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._keys: dict[str, JobKey] = {}

    def key(self, key_hash: str) -> JobKey | None:
        """Return the job first posted under a key, or ``None``."""
        return self._keys.get(key_hash) if key_hash else None

    def accept(self, entry: JobAccepted) -> Job | None:
        """Apply an accepted job; ``None`` where its key stands for an earlier one."""
        if entry.job_id in self.jobs or not self._take_key(entry):
            return None
        holder = VmRef(entry.holder, entry.holder_incarnation)
        copy = copy_of(entry.copy_vm_id, entry.copy_incarnation)
        job = self.jobs[entry.job_id] = Job(entry, holder, copy, entry.at_s)
        return job

    def move(self, entry: JobMoved) -> Job | None:
        """Apply a move; ``None`` where another came first or the job is not known."""
        job = self.jobs.get(entry.job_id)
        if job is None or entry.epoch != job.epoch + 1:
            return None
        holder = VmRef(entry.holder, entry.holder_incarnation)
        if holder != job.holder or entry.restarted:
            job.term = entry.epoch
        job.epoch = entry.epoch
        job.holder = holder
        job.copy = copy_of(entry.copy_vm_id, entry.copy_incarnation)
        if entry.restarted:
            job.generation += 1
            job.status = RUNNING
            job.finished_at_s = None
            job.length = 0
        return job

    def finish(self, entry: JobFinished) -> Job | None:
        """Apply an end; ``None`` where the job has moved on or is not known."""
        job = self.jobs.get(entry.job_id)
        if job is None or entry.epoch != job.epoch or job.status != RUNNING:
            return None
        job.status = DONE if entry.succeeded else FAILED
        job.finished_at_s = entry.at_s
        job.length = entry.length
        return job

    def restore(self, entry: JobSnapshot) -> Job:
        """Apply a job written forward; an older state than the known one changes nothing."""
        job = self.jobs.get(entry.accepted.job_id)
        if job is None or entry.epoch > job.epoch:
            self._take_key(entry.accepted)
            job = self.jobs[entry.accepted.job_id] = Job(
                accepted=entry.accepted,
                holder=VmRef(entry.holder, entry.holder_incarnation),
                copy=copy_of(entry.copy_vm_id, entry.copy_incarnation),
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
        """Forget jobs whose output need not be kept, and keys past their window."""
        expired = [
            job
            for job in self.jobs.values()
            if job.finished_at_s is not None
            and job.finished_at_s + settings.job_output_keep_s <= now_s
        ]
        for job in expired:
            del self.jobs[job.job_id]
        old = [
            name for name, key in self._keys.items() if key.at_s + settings.key_window_s <= now_s
        ]
        for name in old:
            del self._keys[name]
        return expired

    def _take_key(self, entry: JobAccepted) -> bool:
        """Return whether a job is the first under its key; a job without a key always is."""
        if not entry.key_hash:
            return True
        key = JobKey(entry.job_id, entry.body_hash, entry.at_s)
        return self._keys.setdefault(entry.key_hash, key).job_id == entry.job_id
