"""Takeover of jobs whose holder failed without handing them over.

The VM that keeps the copy takes the job over first and continues from the copied output. Only if
that VM is lost too is the job restarted, by the first live VM in a rendezvous order that all VMs
compute identically. A VM only proposes a takeover and the first entry in log order wins, so a
wrong failure detection costs repeated work but never mixes outputs.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.jobs.copies import Copies
from coriandershelf_core.internal.jobs.job_table import FAILED, Job, JobTable, VmRef
from coriandershelf_core.internal.jobs.placement import restart_rank
from coriandershelf_core.internal.jobs.replication import SendMessage
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmState
from coriandershelf_core.internal.vocabulary.messages import JobFound, JobHandover, JobSought
from coriandershelf_core.internal.vocabulary.records import LEDGER_STREAM, JobMoved

SCAN_PERIOD_S = 0.25
ABSENT_LIMIT_S = 30.0
RESTART_RANK_DELAY_S = 2.0
COPY_VM_DELAY_FACTOR = 4.0
HANDOVER_QUERY_WAIT_S = 1.0
HANDOVER_QUERY_PERIOD_S = 10.0


@dataclass(slots=True)
class _HandoverQuery:
    """A query to all VMs whether one of them was handed a job in a term.

    :param found_at_s: when a VM confirmed the handover, or ``None``.
    """

    term: int
    sent_at_s: float
    found_at_s: float | None = None


class Takeover:
    """Detects lost holders and proposes to move their jobs to this VM."""

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        membership: Membership,
        table: JobTable,
        copies: Copies,
        send_message: SendMessage,
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self._membership = membership
        self._table = table
        self._copies = copies
        self._send_message = send_message
        self._next_scan_at_s = 0.0
        self._handover_queries: dict[str, _HandoverQuery] = {}
        self._lost_since_s: dict[str, float] = {}
        self._absent_since_s: dict[str, float] = {}
        self._proposed_epochs: dict[str, int] = {}
        self._newest_incarnations: dict[str, int] = {}
        self._own_ref = VmRef(context.identity.vm_id, context.identity.incarnation)

    def on_heartbeat(self, vm_id: str, incarnation: int) -> None:
        """Record the incarnation that a peer reports of itself."""
        self._newest_incarnations[vm_id] = max(incarnation, self._newest_incarnations.get(vm_id, 0))

    def on_handover(self, sender: str, message: JobHandover, now_s: float) -> None:
        """Propose to take a job over from its stopping holder, if this VM has all of its output."""
        job = self._table.jobs.get(message.job_id)
        if job is None or self._context.stopping or job.holder.vm_id != sender:
            return
        if (job.epoch, job.term) != (message.epoch, message.term):
            return
        copy = self._copies.on_handover(sender, message, now_s)
        if copy.handed_over:
            self._propose(job, False, now_s)

    def on_sought(self, message: JobSought) -> JobFound | None:
        """Answer a VM that is about to restart a job.

        ``None`` means that the job's holder did not hand it over to this VM.
        """
        job = self._table.jobs.get(message.job_id)
        copy = self._copies.find(job) if job is not None else None
        if copy is None or copy.term != message.term or not copy.handed_over:
            return None
        return JobFound(message.job_id, message.term)

    def on_found(self, message: JobFound, now_s: float) -> None:
        """Record that a peer received a job by handover, so that the job is not restarted."""
        query = self._handover_queries.get(message.job_id)
        if query is not None and query.term == message.term:
            query.found_at_s = now_s

    def on_moved(self, job: Job) -> None:
        """Discard failure detection state about the previous holder of a job."""
        self._lost_since_s.pop(job.job_id, None)
        self._handover_queries.pop(job.job_id, None)

    def on_tick(self, now_s: float) -> None:
        """Propose to take over jobs whose holder is lost."""
        if now_s < self._next_scan_at_s or not self._context.is_enabled("job-takeover"):
            return
        self._next_scan_at_s = now_s + SCAN_PERIOD_S
        for job_id in [
            job_id for job_id in self._proposed_epochs if job_id not in self._table.jobs
        ]:
            del self._proposed_epochs[job_id]
        for job in self._table.jobs.values():
            if job.holder != self._own_ref and job.status != FAILED:
                self._check_holder(job, now_s)

    def _check_holder(self, job: Job, now_s: float) -> None:
        lost = self._is_lost(job.holder, now_s)
        if job.copy == self._own_ref:
            since_contact_s = self._copies.since_contact_s(job.holder.vm_id, now_s)
            if lost or since_contact_s > self._context.settings.peer_lost_s:
                self._propose(job, False, now_s)
            return
        if not lost:
            self._lost_since_s.pop(job.job_id, None)
            return
        if self._context.stopping:
            return
        since_s = self._lost_since_s.setdefault(job.job_id, now_s)
        if now_s - since_s >= self._restart_delay_s(job, now_s):
            self._query_or_restart(job, now_s)

    def _query_or_restart(self, job: Job, now_s: float) -> None:
        """Ask all VMs whether the job was handed over to them; restart it only if none confirms.

        While the log is unavailable, the entry of a handover may be pending although the receiver
        has the complete output.
        """
        query = self._handover_queries.get(job.job_id)
        is_current = query is not None and query.term == job.term
        if query is None or not is_current or now_s >= query.sent_at_s + HANDOVER_QUERY_PERIOD_S:
            self._handover_queries[job.job_id] = _HandoverQuery(job.term, now_s)
            for peer in self._membership.peers(self._context.identity):
                self._send_message(peer.vm_id, JobSought(job.job_id, job.term))
        elif query.found_at_s is None and now_s >= query.sent_at_s + HANDOVER_QUERY_WAIT_S:
            self._propose(job, True, now_s)

    def _restart_delay_s(self, job: Job, now_s: float) -> float:
        """Return how long after the loss of the holder this VM may restart a job.

        The VM that keeps the copy, unless it is lost too, gets more time to take the job over.
        """
        settings = self._context.settings
        peers = self._membership.live_peers(self._context.identity)
        delay_s = RESTART_RANK_DELAY_S * restart_rank(job.job_id, self._own_ref.vm_id, peers)
        if job.copy is not None and not self._is_lost(job.copy, now_s):
            delay_s += COPY_VM_DELAY_FACTOR * settings.peer_lost_s
        return delay_s

    def _is_lost(self, vm: VmRef, now_s: float) -> bool:
        if vm == self._own_ref:
            return False
        if vm.vm_id == self._own_ref.vm_id:
            # It is a previous process of this VM.
            return True
        known_incarnation = self._membership.incarnation_of(vm.vm_id)
        if known_incarnation is None:
            since_s = self._absent_since_s.setdefault(vm.vm_id, now_s)
            return now_s - since_s > ABSENT_LIMIT_S
        self._absent_since_s.pop(vm.vm_id, None)
        newest = max(known_incarnation, self._newest_incarnations.get(vm.vm_id, 0))
        gone = self._membership.state_of(vm.vm_id) is VmState.GONE
        return newest > vm.incarnation or (gone and known_incarnation == vm.incarnation)

    def _propose(self, job: Job, restarted: bool, now_s: float) -> None:
        if self._proposed_epochs.get(job.job_id) == job.epoch + 1:
            return
        if not restarted and self._copies.find(job) is None:
            # Nothing was copied before the holder was lost, so callers have seen no output.
            restarted = job.status != "running"
        self._proposed_epochs[job.job_id] = job.epoch + 1
        entry = JobMoved(
            job_id=job.job_id,
            holder=self._own_ref.vm_id,
            epoch=job.epoch + 1,
            holder_incarnation=self._own_ref.incarnation,
            restarted=restarted,
        )
        self._log_appender.add(LEDGER_STREAM, entry, now_s)
