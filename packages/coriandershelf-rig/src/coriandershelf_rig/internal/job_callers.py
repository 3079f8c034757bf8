"""Callers of jobs in virtual time: post anywhere, re-attach anywhere, check every token."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from coriandershelf_core import Done, RequestKind
from coriandershelf_core.internal.events import JobRead, VmState
from coriandershelf_rig.internal.bench import LAST_PAYLOAD, Bench, Call
from coriandershelf_rig.internal.deployments import hash_of

POLL_S = 0.3


@dataclass(slots=True)
class JobCaller:
    """One job as its caller sees it.

    :param restarted: its output was lost after the caller had read some of it.
    :param twisted: the answer to a read did not go on where the caller had stopped.
    """

    customer: str
    length: int
    call: Call
    chunks: list[object] = field(default_factory=list)
    generation: int = 0
    status: str = "posted"
    restarted: bool = False
    twisted: bool = False
    finished_at_s: float | None = None

    @property
    def accepted(self) -> bool:
        """Return whether the job was answered with 202."""
        return isinstance(self.call.outcome, Done) and self.call.outcome.status == 202

    @property
    def whole(self) -> bool:
        """Return whether the caller has each token once, in order, and the end."""
        expected = [*range(self.length), json.loads(LAST_PAYLOAD)]
        return self.status == "done" and self.chunks == expected

    @property
    def broken(self) -> bool:
        """Return whether a promise about an accepted job was broken."""
        return self.accepted and (not self.whole or self.restarted or self.twisted)


class JobCallers:
    """Posts jobs to entry VMs that are ready, then reads each at any such VM until its end."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self.jobs: list[JobCaller] = []

    def post(self, customer: str, length: int, prompt_tokens: int = 500) -> JobCaller:
        """Post a job now."""
        request = self._bench.chat(customer, prompt_tokens, length, kind=RequestKind.JOB)
        call = self._bench.send(self.choose_entry(), request)
        job = JobCaller(customer, length, call)
        self.jobs.append(job)
        self._bench.at(POLL_S, lambda: self._poll(job))
        return job

    def choose_entry(self) -> str:
        """Return an entry VM that the balancer would choose."""
        bench = self._bench
        ready = [
            vm_id
            for vm_id, entry in bench.entries.items()
            if entry.alive and not entry.paused and bench.vms[vm_id].state is VmState.LIVE
        ]
        return bench.rng.choice(ready)

    def read(self, job: JobCaller, vm_id: str) -> Call:
        """Read a job at an entry VM from where its caller stopped."""
        bench = self._bench
        request = bench.chat(job.customer)
        call = Call(request, vm_id, bench.now_s)
        bench.calls[request.request_id] = call
        job_id = job.call.request.request_id
        credential_hash = hash_of(f"{job.customer}-demo-key")
        bench.feed(vm_id, JobRead(request.request_id, credential_hash, job_id, len(job.chunks)))
        return call

    def _poll(self, job: JobCaller) -> None:
        if job.call.outcome is None or not job.accepted or job.status in ("done", "failed"):
            if job.call.outcome is None:
                self._bench.at(POLL_S, lambda: self._poll(job))
            return
        call = self.read(job, self.choose_entry())
        self._await(job, call)

    def _await(self, job: JobCaller, call: Call) -> None:
        waited_s = self._bench.now_s - call.sent_at_s
        if call.outcome is None and waited_s < 5.0:
            self._bench.at(0.05, lambda: self._await(job, call))
            return
        if isinstance(call.outcome, Done):
            self._take(job, json.loads(call.outcome.body))
        self._bench.at(POLL_S, lambda: self._poll(job))

    def _take(self, job: JobCaller, document: dict[str, object]) -> None:
        output = document["output"]
        generation = document["generation"]
        assert isinstance(output, list) and isinstance(generation, int)
        if generation != job.generation and job.chunks:
            job.restarted = True
        job.generation = generation
        if document["position"] != len(job.chunks):
            job.twisted = True
        job.chunks += output
        job.status = str(document["status"])
        if job.status == "done":
            job.finished_at_s = self._bench.now_s
