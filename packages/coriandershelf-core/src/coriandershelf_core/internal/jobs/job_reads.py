"""Reads of jobs by callers, answered from this VM, the job's holder or the VM with its copy."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from coriandershelf_core.internal.jobs.copies import Copies
from coriandershelf_core.internal.jobs.job_table import FAILED, RUNNING, Job, JobTable, VmRef
from coriandershelf_core.internal.jobs.replication import Replication, SendMessage
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.messages import JobQuery, JobReply
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason

READ_MAX_COUNT = 2000
HOLDER_WAIT_SHARE = 0.5


@dataclass(slots=True)
class _PendingRead:
    """A read that is not answered yet.

    :param position: index of the first payload to return.
    :param queried_vm: the VM queried last, or ``None``.
    """

    customer: str
    job_id: str
    position: int
    started_at_s: float
    queried_vm: VmRef | None = None


def job_document(
    job_id: str, status: str, position: int, payloads: Sequence[bytes], generation: int
) -> bytes:
    """Return the JSON document with a job's status and output.

    ``generation`` increases when output was lost and is generated again; a caller that sees it
    increase must read again from position 0.
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
        send_message: SendMessage,
    ) -> None:
        self._context = context
        self._table = table
        self._copies = copies
        self._replication = replication
        self._send_message = send_message
        self._reads: dict[str, _PendingRead] = {}

    def read(
        self, request_id: str, customer: str, job_id: str, position: int, now_s: float
    ) -> None:
        """Answer a read, or keep it pending until the job is known and its holder replies."""
        self._reads[request_id] = _PendingRead(customer, job_id, position, now_s)
        self._advance(request_id, now_s)

    def answer_query(self, query: JobQuery) -> JobReply:
        """Return the status and output of a job that this VM may show to callers."""
        job = self._table.jobs.get(query.job_id)
        if job is None or job.accepted.customer != query.customer:
            return JobReply(query.query_id, "", 0, ())
        visible_payloads = self._visible_payloads(job)
        if visible_payloads is None:
            return JobReply(query.query_id, "", 0, ())
        payloads = tuple(visible_payloads[query.position : query.position + READ_MAX_COUNT])
        is_complete = job.status != RUNNING and query.position + len(payloads) >= job.length
        status = job.status if is_complete else RUNNING
        return JobReply(query.query_id, status, query.position, payloads, job.generation)

    def on_reply(self, reply: JobReply, now_s: float) -> None:
        """Answer the read for which a VM was queried."""
        read = self._reads.get(reply.query_id)
        if read is None or not reply.status or read.position != reply.position:
            return
        del self._reads[reply.query_id]
        body = job_document(
            read.job_id, reply.status, reply.position, reply.payloads, reply.generation
        )
        self._context.finish_request(reply.query_id, Done(200, body), now_s)

    def on_tick(self, now_s: float) -> None:
        """Query a new holder or the VM with the copy where needed; refuse timed-out reads."""
        for request_id, read in list(self._reads.items()):
            if read.started_at_s + self._context.settings.claim_wait_s <= now_s:
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
            self._context.finish_request(request_id, NotRun(RefusalReason.UNKNOWN_JOB), now_s)
            return
        query = JobQuery(request_id, read.job_id, read.customer, read.position)
        if job.status == FAILED or read.job_id in self._replication.held:
            self.on_reply(self.answer_query(query), now_s)
            return
        target = self._query_target(job, read, now_s)
        if target is None or target == read.queried_vm:
            return
        read.queried_vm = target
        if target.vm_id == self._context.identity.vm_id:
            self.on_reply(self.answer_query(query), now_s)
        else:
            self._send_message(target.vm_id, query)

    def _query_target(self, job: Job, read: _PendingRead, now_s: float) -> VmRef | None:
        holder_wait_s = self._context.settings.claim_wait_s * HOLDER_WAIT_SHARE
        return job.holder if now_s < read.started_at_s + holder_wait_s else job.copy

    def _visible_payloads(self, job: Job) -> Sequence[bytes] | None:
        held = self._replication.held.get(job.job_id)
        if held is not None:
            return held.payloads[: held.visible_count]
        return () if job.status == FAILED else self._copies.visible_payloads(job)

    def _refuse(self, request_id: str, read: _PendingRead, now_s: float) -> None:
        outcome = NotRun(RefusalReason.NO_UPSTREAM, 1.0, "the job's holder did not answer")
        if read.job_id not in self._table.jobs:
            outcome = NotRun(RefusalReason.UNKNOWN_JOB)
        self._context.finish_request(request_id, outcome, now_s)
