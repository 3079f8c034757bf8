"""Jobs: accepted when their record is read back, then completed by some entry VM.

An accepted job is never dropped for lack of replicas or time; it fails only if its request is
invalid or crashes upstreams.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from coriandershelf_core.internal.admission.classify import make_work
from coriandershelf_core.internal.claims.claim_keys import body_hash, claim_key
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.jobs.copies import Copies
from coriandershelf_core.internal.jobs.job_reads import JobReads, job_document
from coriandershelf_core.internal.jobs.job_table import RUNNING, Job, JobTable, VmRef
from coriandershelf_core.internal.jobs.placement import choose_copy_vm
from coriandershelf_core.internal.jobs.replication import HeldJob, Replication, SendMessage
from coriandershelf_core.internal.jobs.takeover import Takeover
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import Customer
from coriandershelf_core.internal.vocabulary.messages import (
    Heartbeat,
    JobCopied,
    JobCopy,
    JobFound,
    JobHandover,
    JobQuery,
    JobReply,
    JobSought,
    Message,
)
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    JobAccepted,
    JobFinished,
    JobMoved,
    JobSnapshot,
)
from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
from coriandershelf_core.internal.vocabulary.work import WorkItem, WorkOwner

NO_DEADLINE_S = 1e9
RETRY_MAX_S = 30.0
EXPIRY_PERIOD_S = 1.0
PERMANENT_FAILURE_REASONS = frozenset({RefusalReason.POISON, RefusalReason.BAD_REQUEST})


@dataclass(slots=True)
class _PendingJob:
    """A submitted job whose record has not been read back yet."""

    work: WorkItem
    entry: JobAccepted
    timeout_at_s: float


@dataclass(slots=True)
class _Retry:
    """The latest retry of a job.

    :param at_s: when it starts; infinite once it has started.
    :param delay_s: delay before it; kept so that a further retry can double it.
    :param position: number of payloads when it was scheduled.
    """

    at_s: float
    delay_s: float
    position: int


class Jobs:
    """Accepts jobs, runs those that this VM holds, and applies the log's entries about jobs.

    :param start_work: dispatches the work item of a job that this VM holds.
    :param cancel: cancels a work item by id and returns it, or ``None`` if it is unknown.
    :param send_message: sends a message to a peer; returns false if the peer is unknown.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        membership: Membership,
        start_work: Callable[[WorkItem, float], None],
        cancel: Callable[[str], WorkItem | None],
        send_message: SendMessage,
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self._membership = membership
        self._start_work = start_work
        self._cancel = cancel
        self._send_message = send_message
        self._own_ref = VmRef(context.identity.vm_id, context.identity.incarnation)
        self._pending_jobs: dict[str, _PendingJob] = {}
        self._retries: dict[str, _Retry] = {}
        self._next_expiry_at_s = 0.0
        self.table = JobTable()
        self.copies = Copies(context, self.table)
        self.replication = Replication(
            context, log_appender, membership, send_message, self._suspend
        )
        self.takeover = Takeover(
            context, log_appender, membership, self.table, self.copies, send_message
        )
        self.reads = JobReads(context, self.table, self.copies, self.replication, send_message)

    def submit(self, work: WorkItem, now_s: float) -> None:
        """Append a job's record; the job is accepted once the record is read back."""
        key_hash = claim_key(work.customer, work.request) if work.request.idempotency_key else ""
        if self._answer_repeat(work, key_hash, now_s):
            return
        if self._log_appender.is_down(LEDGER_STREAM):
            outcome = NotRun(RefusalReason.LOG_UNAVAILABLE, retry_after_s=5.0)
            self._context.finish_request(work.work_id, outcome, now_s)
            return
        timeout_at_s = now_s + self._context.settings.claim_wait_s
        entry = self._accepted_entry(work, key_hash, now_s)
        self._pending_jobs[work.work_id] = _PendingJob(work, entry, timeout_at_s)
        self._log_appender.add(LEDGER_STREAM, entry, now_s)

    def on_accepted(self, entry: JobAccepted, now_s: float) -> None:
        """Apply an accepted job; its holder starts it and answers the caller."""
        pending = self._pending_jobs.pop(entry.job_id, None)
        job = self.table.accept(entry)
        if job is None:
            if pending is not None:
                self._answer_repeat(pending.work, entry.key_hash, now_s)
            return
        if pending is not None:
            body = job_document(job.job_id, RUNNING, 0, (), 0)
            self._context.finish_request(job.job_id, Done(202, body), now_s)
        if job.holder == self._own_ref:
            held = self.replication.hold(job, [], "", now_s)
            if self._context.stopping and self._membership.live_peers(self._context.identity):
                # The job is handed over without being started here.
                held.suspended = True
                return
            prefix_hashes = pending.work.request.prefix_hashes if pending is not None else ()
            self._run(held, prefix_hashes, now_s)

    def on_moved(self, entry: JobMoved, now_s: float) -> None:
        """Apply a move: stop a job that another VM holds now, start one that this VM holds now."""
        job = self.table.move(entry)
        if job is None:
            return
        self.takeover.on_moved(job)
        held = self.replication.held.get(job.job_id)
        if job.holder != self._own_ref:
            if held is not None:
                self._drop_held(held)
        elif held is None or entry.restarted:
            if held is not None:
                self._drop_held(held)
            self._take_over(job, entry.restarted, now_s)

    def on_finished(self, entry: JobFinished) -> None:
        """Apply the end of a job."""
        self.table.finish(entry)

    def on_snapshot(self, entry: JobSnapshot, now_s: float) -> None:
        """Apply a snapshot; if newer entries preceded it, the holder appends a current one."""
        job = self.table.restore(entry)
        outdated = (entry.epoch, entry.status) != (job.epoch, job.status)
        if outdated and job.holder == self._own_ref:
            self._log_appender.add(LEDGER_STREAM, job.snapshot(now_s), now_s)

    def deliver(self, work: WorkItem, payloads: tuple[bytes, ...]) -> None:
        """Store new output of a job, from which callers read."""
        replica_id = work.tried_replicas[-1] if work.tried_replicas else ""
        self.replication.deliver(work.work_id, payloads, replica_id)

    def finish(self, work: WorkItem, outcome: Outcome, now_s: float) -> None:
        """Record that generation ended, or schedule a retry unless the failure is permanent."""
        if isinstance(outcome, Done):
            self.replication.end_output(work.work_id, True, now_s)
        elif outcome.reason in PERMANENT_FAILURE_REASONS:
            self.replication.end_output(work.work_id, False, now_s)
        else:
            self._retry_later(work.work_id, now_s)

    def read(
        self, request_id: str, customer: str, job_id: str, position: int, now_s: float
    ) -> None:
        """Read a job's status and its output from a position on."""
        self.reads.read(request_id, customer, job_id, position, now_s)

    def on_message(self, sender: str, message: Message, now_s: float) -> None:
        """Handle a message from a peer."""
        self.copies.record_contact(sender, now_s)
        match message:
            case Heartbeat():
                self.takeover.on_heartbeat(sender, message.incarnation)
            case JobQuery():
                self._send_message(sender, self.reads.answer_query(message))
            case JobReply():
                self.reads.on_reply(message, now_s)
            case JobCopy():
                acknowledgement = self.copies.on_copy(sender, message, now_s)
                if acknowledgement is not None:
                    self._send_message(sender, acknowledgement)
            case JobCopied():
                self.replication.on_copied(sender, message, now_s)
            case JobHandover():
                self.takeover.on_handover(sender, message, now_s)
            case JobSought():
                found = self.takeover.on_sought(message)
                if found is not None:
                    self._send_message(sender, found)
            case JobFound():
                self.takeover.on_found(message, now_s)

    def on_tick(self, now_s: float) -> None:
        """Time out records that were not read back, and run all periodic work."""
        for job_id, pending in list(self._pending_jobs.items()):
            if pending.timeout_at_s <= now_s:
                del self._pending_jobs[job_id]
                self._context.finish_request(job_id, self._unread_outcome(pending), now_s)
        self.copies.on_tick(self._own_ref, now_s)
        self._start_retries(now_s)
        self.replication.on_tick(now_s)
        self.takeover.on_tick(now_s)
        self.reads.on_tick(now_s)
        if now_s >= self._next_expiry_at_s:
            self._next_expiry_at_s = now_s + EXPIRY_PERIOD_S
            self._expire(now_s)

    @property
    def idle(self) -> bool:
        """Return whether no job waits for its record or must be handed over."""
        return not self._pending_jobs and self.replication.idle

    def _unread_outcome(self, pending: _PendingJob) -> Outcome:
        """Return the outcome for a job whose record was not read back in time."""
        if self._log_appender.discard(LEDGER_STREAM, pending.entry):
            return NotRun(RefusalReason.LOG_UNAVAILABLE, retry_after_s=5.0)
        # The record may still reach the log, and then the job runs.
        job_id = pending.work.work_id
        detail = f"check GET /v1/jobs/{job_id}, or retry with the same Idempotency-Key"
        return Unknown(RefusalReason.LOG_UNAVAILABLE, 5.0, detail)

    def _accepted_entry(self, work: WorkItem, key_hash: str, now_s: float) -> JobAccepted:
        request = work.request
        identity = self._context.identity
        peers = self._membership.live_peers(identity)
        copying = self._context.is_enabled("job-copy")
        copy = choose_copy_vm(work.work_id, identity.zone, peers) if copying else None
        return JobAccepted(
            job_id=request.request_id,
            customer=work.customer,
            service=request.service,
            body=request.body,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            holder=identity.vm_id,
            at_s=now_s,
            key_hash=key_hash,
            body_hash=body_hash(request) if key_hash else "",
            holder_incarnation=identity.incarnation,
            copy_vm_id=copy.vm_id if copy else "",
            copy_incarnation=copy.incarnation if copy else 0,
        )

    def _answer_repeat(self, work: WorkItem, key_hash: str, now_s: float) -> bool:
        """Answer a repeated key with the first job under it; return whether the key is known."""
        key = self.table.find_key(key_hash)
        if key is None:
            return False
        outcome: Outcome = NotRun(RefusalReason.KEY_REUSED)
        if key.body_hash == body_hash(work.request):
            job = self.table.jobs.get(key.job_id)
            status = job.status if job is not None else "expired"
            outcome = Done(202, job_document(key.job_id, status, 0, (), 0))
        self._context.finish_request(work.work_id, outcome, now_s)
        return True

    def _take_over(self, job: Job, restarted: bool, now_s: float) -> None:
        """Hold a job that was taken over from another VM."""
        copy = self.copies.pop(job.job_id)
        payloads = copy.payloads if copy is not None and not restarted else []
        replica_id = copy.replica_id if copy is not None else ""
        self._context.count(Counter.JOBS_RESTARTED if restarted else Counter.JOBS_TAKEN_OVER)
        held = self.replication.hold(job, payloads, replica_id, now_s)
        if held.succeeded is None:
            self._run(held, (), now_s)

    def _drop_held(self, held: HeldJob) -> None:
        """Stop a job that another VM now holds according to the log."""
        job_id = held.job.job_id
        self._context.count(Counter.JOBS_HANDED_OVER if held.suspended else Counter.JOBS_FENCED)
        self._suspend(job_id)
        self.replication.release(job_id)

    def _suspend(self, job_id: str) -> str:
        """Stop generation; return the id of the replica that ran the job, or an empty string."""
        work = self._cancel(job_id)
        self._retries.pop(job_id, None)
        return work.tried_replicas[-1] if work is not None and work.tried_replicas else ""

    def _run(self, held: HeldJob, prefix_hashes: tuple[int, ...], now_s: float) -> None:
        """Generate the rest of a job's output."""
        accepted = held.job.accepted
        inventory = self._context.inventory
        if inventory is None or inventory.service(accepted.service) is None:
            self._retry_later(accepted.job_id, now_s)
            return
        request = Request(
            request_id=accepted.job_id,
            kind=RequestKind.JOB,
            credential_hash="",
            service=accepted.service,
            deadline_s=now_s + NO_DEADLINE_S,
            body=accepted.body,
            prompt_tokens=accepted.prompt_tokens,
            max_tokens=accepted.max_tokens,
            prefix_hashes=prefix_hashes,
        )
        matches = (item for item in inventory.customers if item.name == accepted.customer)
        customer = next(matches, Customer(accepted.customer, ()))
        work = make_work(request, customer, inventory, WorkOwner.JOB, now_s)
        work.payloads = list(held.payloads)
        work.kv_replica_id = held.replica_id
        self._start_work(work, now_s)

    def _retry_later(self, job_id: str, now_s: float) -> None:
        """Retry a job after a delay that doubles as long as no new output is generated."""
        held = self.replication.held[job_id]
        previous = self._retries.get(job_id)
        delay_s = self._context.settings.job_retry_s
        if previous is not None and previous.position == len(held.payloads):
            delay_s = min(RETRY_MAX_S, previous.delay_s * 2)
        self._retries[job_id] = _Retry(now_s + delay_s, delay_s, len(held.payloads))

    def _start_retries(self, now_s: float) -> None:
        for job_id, retry in list(self._retries.items()):
            if retry.at_s <= now_s:
                self._retries[job_id] = replace(retry, at_s=float("inf"))
                self._context.count(Counter.JOBS_RETRIED)
                self._run(self.replication.held[job_id], (), now_s)

    def _expire(self, now_s: float) -> None:
        """Delete expired jobs; append snapshots before the log's retention drops older entries."""
        for job in self.table.expire(self._context.settings, now_s):
            if job.job_id in self.replication.held:
                self.replication.release(job.job_id)
                self._retries.pop(job.job_id, None)
        for held in self.replication.held.values():
            job = held.job
            if now_s - job.recorded_at_s > self._context.settings.job_snapshot_s:
                job.recorded_at_s = now_s
                self._log_appender.add(LEDGER_STREAM, job.snapshot(now_s), now_s)
