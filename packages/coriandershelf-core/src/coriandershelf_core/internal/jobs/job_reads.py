"""Callers that read a job: answered here, or by the holder, or by who keeps its copy."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from coriandershelf_core.internal.jobs.copies import Copies
from coriandershelf_core.internal.jobs.job_table import FAILED, RUNNING, Job, JobTable, VmRef
from coriandershelf_core.internal.jobs.replication import Replication, Tell
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.messages import JobQuery, JobReply
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason

READ_MAX_COUNT = 2000
HOLDER_SHARE = 0.5


@dataclass(slots=True)
class _Read:
    """A caller's question that is not answered yet.

    :param asked: the VM asked last, or ``None``.
    """

    customer: str
    job_id: str
    position: int
    asked_at_s: float
    asked: VmRef | None = None


def job_document(
    job_id: str, status: str, position: int, payloads: Sequence[bytes], generation: int
) -> bytes:
    """Return the JSON document that tells a caller a job's status and output.

    ``generation`` rises where output was lost and is made anew; a caller that sees it rise reads
    again from 0.
    """
    chunks = [json.loads(payload) for payload in payloads]
    document = {
        "id": job_id,
        "status": status,
        "position": position,
        "generation": generation,
        "output": chunks,
    }
    return json.dumps(document, separators=(",", ":")).encode()


class JobReads:
    """Answers reads of any job at any entry VM."""

    def __init__(
        self,
        context: Context,
        table: JobTable,
        copies: Copies,
        replication: Replication,
        tell: Tell,
    ) -> None:
        self._context = context
        self._table = table
        self._copies = copies
        self._replication = replication
        self._tell = tell
        self._reads: dict[str, _Read] = {}

    def read(
        self, request_id: str, customer: str, job_id: str, position: int, now_s: float
    ) -> None:
        """Answer a caller, or keep its question until its job is known and its holder answers."""
        self._reads[request_id] = _Read(customer, job_id, position, now_s)
        self._advance(request_id, now_s)

    def answer_query(self, query: JobQuery) -> JobReply:
        """Return what this VM may show of a job."""
        job = self._table.jobs.get(query.job_id)
        if job is None or job.accepted.customer != query.customer:
            return JobReply(query.query_id, "", 0, ())
        visible = self._visible(job)
        if visible is None:
            return JobReply(query.query_id, "", 0, ())
        payloads = tuple(visible[query.position : query.position + READ_MAX_COUNT])
        whole = job.status != RUNNING and query.position + len(payloads) >= job.length
        status = job.status if whole else RUNNING
        return JobReply(query.query_id, status, query.position, payloads, job.generation)

    def on_reply(self, reply: JobReply, now_s: float) -> None:
        """Answer the caller for whom a VM was asked."""
        read = self._reads.get(reply.query_id)
        if read is None or not reply.status or read.position != reply.position:
            return
        del self._reads[reply.query_id]
        body = job_document(
            read.job_id, reply.status, reply.position, reply.payloads, reply.generation
        )
        self._context.finish(reply.query_id, Done(200, body), now_s)

    def on_tick(self, now_s: float) -> None:
        """Ask again where the holder has changed, ask for the copy, and give up in the end."""
        for request_id, read in list(self._reads.items()):
            if read.asked_at_s + self._context.settings.claim_wait_s <= now_s:
                del self._reads[request_id]
                self._refuse(request_id, read, now_s)
            else:
                self._advance(request_id, now_s)

    def _advance(self, request_id: str, now_s: float) -> None:
        read = self._reads[request_id]
        job = self._table.jobs.get(read.job_id)
        if job is None:
            return
        if job.accepted.customer != read.customer:
            del self._reads[request_id]
            self._context.finish(request_id, NotRun(RefusalReason.UNKNOWN_JOB), now_s)
            return
        query = JobQuery(request_id, read.job_id, read.customer, read.position)
        if job.status == FAILED or read.job_id in self._replication.held:
            self.on_reply(self.answer_query(query), now_s)
            return
        target = self._whom_to_ask(job, read, now_s)
        if target is None or target == read.asked:
            return
        read.asked = target
        if target.vm_id == self._context.identity.vm_id:
            self.on_reply(self.answer_query(query), now_s)
        else:
            self._tell(target.vm_id, query)

    def _whom_to_ask(self, job: Job, read: _Read, now_s: float) -> VmRef | None:
        patience_s = self._context.settings.claim_wait_s * HOLDER_SHARE
        return job.holder if now_s < read.asked_at_s + patience_s else job.copy

    def _visible(self, job: Job) -> Sequence[bytes] | None:
        held = self._replication.held.get(job.job_id)
        if held is not None:
            return held.payloads[: held.visible_count]
        return () if job.status == FAILED else self._copies.visible(job)

    def _refuse(self, request_id: str, read: _Read, now_s: float) -> None:
        outcome = NotRun(RefusalReason.NO_UPSTREAM, 1.0, "the job's holder does not answer")
        if read.job_id not in self._table.jobs:
            outcome = NotRun(RefusalReason.UNKNOWN_JOB)
        self._context.finish(request_id, outcome, now_s)
