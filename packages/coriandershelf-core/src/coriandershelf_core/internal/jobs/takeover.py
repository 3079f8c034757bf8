"""Jobs whose holder is lost without a word: who takes them over, and when.

The VM that keeps the copy goes first and goes on with its output. Only if it is lost too, a job is
started again by the live VM that comes first in an order all VMs compute alike. All of them only
propose: the first entry in log order decides, so judging wrongly costs work but mixes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.jobs.copies import Copies
from coriandershelf_core.internal.jobs.job_table import FAILED, Job, JobTable, VmRef
from coriandershelf_core.internal.jobs.placement import restart_rank
from coriandershelf_core.internal.jobs.replication import Tell
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmState
from coriandershelf_core.internal.vocabulary.messages import JobFound, JobHandover, JobSought
from coriandershelf_core.internal.vocabulary.records import LEDGER_STREAM, JobMoved

SCAN_PERIOD_S = 0.25
ABSENT_LIMIT_S = 30.0
RESTART_STEP_S = 2.0
COPY_KEEPER_FACTOR = 4.0
SEEK_WAIT_S = 1.0
SEEK_AGAIN_S = 10.0


@dataclass(slots=True)
class _Seeking:
    """A question to all VMs for one term of a job."""

    term: int
    asked_at_s: float
    found_at_s: float | None = None


class Takeover:
    """Proposes moves of jobs to this VM."""

    def __init__(
        self,
        context: Context,
        ledger: Ledger,
        membership: Membership,
        table: JobTable,
        copies: Copies,
        tell: Tell,
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._membership = membership
        self._table = table
        self._copies = copies
        self._tell = tell
        self._scan_at_s = 0.0
        self._seeking: dict[str, _Seeking] = {}
        self._lost_since_s: dict[str, float] = {}
        self._absent_since_s: dict[str, float] = {}
        self._proposed: dict[str, int] = {}
        self._newest: dict[str, int] = {}
        self._me = VmRef(context.identity.vm_id, context.identity.incarnation)

    def on_heartbeat(self, vm_id: str, incarnation: int) -> None:
        """Learn a peer's incarnation from itself."""
        self._newest[vm_id] = max(incarnation, self._newest.get(vm_id, 0))

    def on_handover(self, sender: str, message: JobHandover, now_s: float) -> None:
        """Take a job from its leaving holder, if this VM has all of its output."""
        job = self._table.jobs.get(message.job_id)
        if job is None or self._context.stopping or job.holder.vm_id != sender:
            return
        if (job.epoch, job.term) != (message.epoch, message.term):
            return
        copy = self._copies.on_handover(sender, message, now_s)
        if copy.handed_over:
            self._propose(job, False, now_s)

    def on_sought(self, message: JobSought) -> JobFound | None:
        """Answer a VM that would make a job anew, if its holder handed it over to this one."""
        job = self._table.jobs.get(message.job_id)
        copy = self._copies.find(job) if job is not None else None
        if copy is None or copy.term != message.term or not copy.handed_over:
            return None
        return JobFound(message.job_id, message.term)

    def on_found(self, message: JobFound, now_s: float) -> None:
        """Leave a job to the VM that its holder handed it over to."""
        seeking = self._seeking.get(message.job_id)
        if seeking is not None and seeking.term == message.term:
            seeking.found_at_s = now_s

    def on_moved(self, job: Job) -> None:
        """Forget what was judged of the former holder."""
        self._lost_since_s.pop(job.job_id, None)
        self._seeking.pop(job.job_id, None)

    def on_tick(self, now_s: float) -> None:
        """Propose to take over what is lost."""
        if now_s < self._scan_at_s or not self._context.enabled("job-takeover"):
            return
        self._scan_at_s = now_s + SCAN_PERIOD_S
        for name in [name for name in self._proposed if name not in self._table.jobs]:
            del self._proposed[name]
        for job in self._table.jobs.values():
            if job.holder != self._me and job.status != FAILED:
                self._consider(job, now_s)

    def _consider(self, job: Job, now_s: float) -> None:
        lost = self._is_lost(job.holder, now_s)
        if job.copy == self._me:
            silent_s = self._copies.silent_s(job.holder.vm_id, now_s)
            if lost or silent_s > self._context.settings.peer_lost_s:
                self._propose(job, False, now_s)
            return
        if not lost:
            self._lost_since_s.pop(job.job_id, None)
            return
        if self._context.stopping:
            return
        since_s = self._lost_since_s.setdefault(job.job_id, now_s)
        if now_s - since_s >= self._restart_delay_s(job, now_s):
            self._seek_or_restart(job, now_s)

    def _seek_or_restart(self, job: Job, now_s: float) -> None:
        """Ask every VM for a handed-over job, and make it anew only if none has it.

        A handover's entry may wait for a log that is down, while its receiver has all the output.
        """
        seeking = self._seeking.get(job.job_id)
        known = seeking is not None and seeking.term == job.term
        if seeking is None or not known or now_s >= seeking.asked_at_s + SEEK_AGAIN_S:
            self._seeking[job.job_id] = _Seeking(job.term, now_s)
            for peer in self._membership.peers(self._context.identity):
                self._tell(peer.vm_id, JobSought(job.job_id, job.term))
        elif seeking.found_at_s is None and now_s >= seeking.asked_at_s + SEEK_WAIT_S:
            self._propose(job, True, now_s)

    def _restart_delay_s(self, job: Job, now_s: float) -> float:
        """Return how long after the holder's loss this VM may start a job again."""
        settings = self._context.settings
        peers = self._membership.live_peers(self._context.identity)
        delay_s = RESTART_STEP_S * restart_rank(job.job_id, self._me.vm_id, peers)
        if job.copy is not None and not self._is_lost(job.copy, now_s):
            delay_s += COPY_KEEPER_FACTOR * settings.peer_lost_s
        return delay_s

    def _is_lost(self, vm: VmRef, now_s: float) -> bool:
        if vm == self._me:
            return False
        if vm.vm_id == self._me.vm_id:
            return True
        known = self._membership.incarnation_of(vm.vm_id)
        if known is None:
            since_s = self._absent_since_s.setdefault(vm.vm_id, now_s)
            return now_s - since_s > ABSENT_LIMIT_S
        self._absent_since_s.pop(vm.vm_id, None)
        newest = max(known, self._newest.get(vm.vm_id, 0))
        gone = self._membership.state_of(vm.vm_id) is VmState.GONE
        return newest > vm.incarnation or (gone and known == vm.incarnation)

    def _propose(self, job: Job, restarted: bool, now_s: float) -> None:
        if self._proposed.get(job.job_id) == job.epoch + 1:
            return
        if not restarted and self._copies.find(job) is None:
            # Nothing was copied before the holder was lost, so nothing was shown either.
            restarted = job.status != "running"
        self._proposed[job.job_id] = job.epoch + 1
        entry = JobMoved(
            job_id=job.job_id,
            holder=self._me.vm_id,
            epoch=job.epoch + 1,
            holder_incarnation=self._me.incarnation,
            restarted=restarted,
        )
        self._ledger.add(LEDGER_STREAM, entry, now_s)
