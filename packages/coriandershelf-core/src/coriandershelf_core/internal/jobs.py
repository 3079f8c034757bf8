"""Jobs: accepted when their record is read back, then finished by some entry VM."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.context import Context
from coriandershelf_core.internal.ledger import Ledger
from coriandershelf_core.internal.messages import JobQuery, JobReply
from coriandershelf_core.internal.outcome import Done, NotRun, Outcome
from coriandershelf_core.internal.reasons import RefusalReason
from coriandershelf_core.internal.records import LEDGER_STREAM, JobAccepted, JobFinished
from coriandershelf_core.internal.work import Work

RUNNING = "running"
DONE = "done"
FAILED = "failed"


@dataclass(slots=True)
class Job:
    """One job as this VM knows it; the holder's has the output."""

    job_id: str
    customer: str
    holder: str
    status: str = RUNNING
    payloads: list[bytes] = field(default_factory=list)
    finished_at_s: float | None = None


@dataclass(slots=True)
class _WaitingJob:
    work: Work
    give_up_at_s: float


def job_document(job_id: str, status: str, position: int, payloads: tuple[bytes, ...]) -> bytes:
    """Return the JSON document that tells a caller a job's status and output."""
    chunks = [json.loads(payload) for payload in payloads]
    document = {"id": job_id, "status": status, "position": position, "output": chunks}
    return json.dumps(document, separators=(",", ":")).encode()


class Jobs:
    """Jobs read from the log, and those that wait for their record.

    :param start: called with the work of a job that this VM holds.
    :param ask: sends a query to the holder; false where the holder is not known.
    """

    def __init__(
        self,
        context: Context,
        ledger: Ledger,
        start: Callable[[Work, float], None],
        ask: Callable[[str, JobQuery], bool],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._start = start
        self._ask = ask
        self._jobs: dict[str, Job] = {}
        self._waiting: dict[str, _WaitingJob] = {}
        self._queries: dict[str, float] = {}

    def request(self, work: Work, now_s: float) -> None:
        """Write a job's record; it is accepted when read back."""
        request = work.request
        entry = JobAccepted(
            job_id=request.request_id,
            customer=work.customer,
            service=request.service,
            body=request.body,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            holder=self._context.identity.vm_id,
            at_s=now_s,
        )
        give_up_at_s = now_s + self._context.settings.claim_wait_s
        self._waiting[work.work_id] = _WaitingJob(work, give_up_at_s)
        self._ledger.add(LEDGER_STREAM, entry, now_s)

    def on_accepted(self, entry: JobAccepted, now_s: float) -> None:
        """Apply an accepted job; its holder starts it and answers the caller."""
        waiting = self._waiting.pop(entry.job_id, None)
        mine = entry.holder == self._context.identity.vm_id
        if mine and waiting is None:
            self._ledger.add(
                LEDGER_STREAM, JobFinished(entry.job_id, entry.holder, False, now_s), now_s
            )
            return
        self._jobs[entry.job_id] = Job(entry.job_id, entry.customer, entry.holder)
        if waiting is not None:
            body = job_document(entry.job_id, RUNNING, 0, ())
            self._context.finish(entry.job_id, Done(202, body), now_s)
            self._start(waiting.work, now_s)

    def on_finished(self, entry: JobFinished) -> None:
        """Apply a job's end."""
        job = self._jobs.get(entry.job_id)
        if job is not None:
            job.status = DONE if entry.succeeded else FAILED
            job.finished_at_s = entry.at_s

    def deliver(self, work: Work, payloads: tuple[bytes, ...]) -> None:
        """Keep output for callers that re-attach."""
        self._jobs[work.work_id].payloads.extend(payloads)

    def finish(self, work: Work, outcome: Outcome, now_s: float) -> None:
        """Write a job's end."""
        job = self._jobs[work.work_id]
        succeeded = isinstance(outcome, Done)
        job.status = DONE if succeeded else FAILED
        job.finished_at_s = now_s
        entry = JobFinished(work.work_id, self._context.identity.vm_id, succeeded, now_s)
        self._ledger.add(LEDGER_STREAM, entry, now_s)

    def read(
        self, request_id: str, customer: str, job_id: str, position: int, now_s: float
    ) -> None:
        """Answer a caller that reads a job, asking the holder where needed."""
        job = self._jobs.get(job_id)
        if job is None or job.customer != customer:
            self._context.finish(request_id, NotRun(RefusalReason.UNKNOWN_JOB), now_s)
            return
        if job.holder == self._context.identity.vm_id:
            payloads = tuple(job.payloads[position:])
            body = job_document(job_id, job.status, position, payloads)
            self._context.finish(request_id, Done(200, body), now_s)
            return
        query = JobQuery(request_id, job_id, customer, position)
        if self._ask(job.holder, query):
            self._queries[request_id] = now_s + self._context.settings.claim_wait_s
        else:
            self._refuse_read(request_id, now_s)

    def answer_query(self, query: JobQuery) -> JobReply:
        """Return what this VM knows of a job it holds."""
        job = self._jobs.get(query.job_id)
        if job is None or job.customer != query.customer:
            return JobReply(query.query_id, "", 0, ())
        payloads = tuple(job.payloads[query.position :])
        return JobReply(query.query_id, job.status, query.position, payloads)

    def on_reply(self, reply: JobReply, now_s: float) -> None:
        """Answer the caller for whom a holder was asked."""
        if self._queries.pop(reply.query_id, None) is None:
            return
        if not reply.status:
            self._refuse_read(reply.query_id, now_s)
            return
        body = job_document(reply.query_id, reply.status, reply.position, reply.payloads)
        self._context.finish(reply.query_id, Done(200, body), now_s)

    def on_tick(self, now_s: float) -> None:
        """Give up on records and queries that were not answered; forget old outputs."""
        for job_id, waiting in list(self._waiting.items()):
            if waiting.give_up_at_s <= now_s:
                del self._waiting[job_id]
                outcome = NotRun(RefusalReason.LOG_UNAVAILABLE, retry_after_s=5.0)
                self._context.finish(job_id, outcome, now_s)
        for request_id, give_up_at_s in list(self._queries.items()):
            if give_up_at_s <= now_s:
                del self._queries[request_id]
                self._refuse_read(request_id, now_s)
        keep_s = self._context.settings.job_output_keep_s
        for job in list(self._jobs.values()):
            if job.finished_at_s is not None and job.finished_at_s + keep_s <= now_s:
                del self._jobs[job.job_id]

    @property
    def idle(self) -> bool:
        """Return whether no job waits for its record."""
        return not self._waiting

    def _refuse_read(self, request_id: str, now_s: float) -> None:
        outcome = NotRun(RefusalReason.NO_UPSTREAM, 2.0, "the job's holder does not answer")
        self._context.finish(request_id, outcome, now_s)
