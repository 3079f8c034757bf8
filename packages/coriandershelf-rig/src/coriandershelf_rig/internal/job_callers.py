"""Callers of jobs in virtual time: they post to and read from any entry VM and check each token."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core import Done, RequestKind
from coriandershelf_core.internal.vocabulary.events import JobRead
from coriandershelf_rig.internal.bench import LAST_PAYLOAD, Bench, Call
from coriandershelf_rig.internal.deployments import key_hash

POLL_INTERVAL_S = 0.3
PROBE_INTERVAL_S = 0.1


@dataclass(slots=True)
class JobCaller:
    """One job as its caller sees it.

    :param restarted: whether the job's output was lost after the caller had read part of it.
    :param inconsistent: whether an answer to a read did not continue where the caller had stopped.
    """

    customer: str
    length: int
    call: Call
    chunks: list[object] = field(default_factory=list)
    generation: int = 0
    status: str = "posted"
    restarted: bool = False
    inconsistent: bool = False
    finished_at_s: float | None = None

    @property
    def accepted(self) -> bool:
        """Return whether the job was answered with 202."""
        return isinstance(self.call.outcome, Done) and self.call.outcome.status == 202

    @property
    def is_complete(self) -> bool:
        """Return whether the caller has read each token once, in order, and the final chunk."""
        expected = [*range(self.length), json.loads(LAST_PAYLOAD)]
        return self.status == "done" and self.chunks == expected

    @property
    def is_broken(self) -> bool:
        """Return whether a guarantee for an accepted job was broken."""
        return self.accepted and (not self.is_complete or self.restarted or self.inconsistent)


class LoadBalancer:
    """Chooses entry VMs that are ready or were until recently, like the platform's load balancer.

    :param lag_s: how long a VM is still chosen after it stopped being ready.
    """

    def __init__(self, bench: Bench, lag_s: float) -> None:
        self._bench = bench
        self._lag_s = lag_s
        self._unready_since_s: dict[str, float] = {}

    def choose(self) -> str:
        """Return an entry VM for a new connection."""
        return self._bench.rng.choice(self._ready_vm_ids())

    def watch(self) -> None:
        """Probe readiness now and periodically from then on."""
        for vm_id, entry in self._bench.entries.items():
            if entry.alive and entry.core.ready:
                self._unready_since_s.pop(vm_id, None)
            else:
                self._unready_since_s.setdefault(vm_id, self._bench.now_s)
        self._bench.at(PROBE_INTERVAL_S, self.watch)

    def _ready_vm_ids(self) -> list[str]:
        now_s = self._bench.now_s
        since_s = self._unready_since_s
        return [
            vm_id
            for vm_id, entry in self._bench.entries.items()
            # Only live VMs: the load balancer retries a refused connection elsewhere by itself.
            if entry.alive and now_s - since_s.get(vm_id, now_s) <= self._lag_s
        ]


class JobCallers:
    """Posts jobs to entry VMs, then reads each at any entry VM until it ends.

    :param choose_entry: the load balancer's choice of an entry VM.
    """

    def __init__(self, bench: Bench, choose_entry: Callable[[], str]) -> None:
        self._bench = bench
        self._choose_entry = choose_entry
        self.jobs: list[JobCaller] = []

    def post(self, customer: str, length: int, prompt_tokens: int = 500) -> JobCaller:
        """Post a job now."""
        request = self._bench.chat(customer, prompt_tokens, length, kind=RequestKind.JOB)
        call = self._bench.send(self._choose_entry(), request)
        job = JobCaller(customer, length, call)
        self.jobs.append(job)
        self._bench.at(POLL_INTERVAL_S, lambda: self._poll(job))
        return job

    def read(self, job: JobCaller, vm_id: str) -> Call:
        """Read a job at an entry VM from the position that its caller has reached."""
        bench = self._bench
        request = bench.chat(job.customer)
        call = Call(request, vm_id, bench.now_s)
        bench.calls[request.request_id] = call
        job_id = job.call.request.request_id
        credential_hash = key_hash(f"{job.customer}-demo-key")
        bench.feed(vm_id, JobRead(request.request_id, credential_hash, job_id, len(job.chunks)))
        return call

    def _poll(self, job: JobCaller) -> None:
        if job.call.outcome is None or not job.accepted or job.status in ("done", "failed"):
            if job.call.outcome is None:
                self._bench.at(POLL_INTERVAL_S, lambda: self._poll(job))
            return
        call = self.read(job, self._choose_entry())
        self._await_answer(job, call)

    def _await_answer(self, job: JobCaller, call: Call) -> None:
        waited_s = self._bench.now_s - call.sent_at_s
        if call.outcome is None and waited_s < 5.0:
            self._bench.at(0.05, lambda: self._await_answer(job, call))
            return
        if isinstance(call.outcome, Done):
            self._apply_answer(job, json.loads(call.outcome.body))
        self._bench.at(POLL_INTERVAL_S, lambda: self._poll(job))

    def _apply_answer(self, job: JobCaller, document: dict[str, object]) -> None:
        output = document["output"]
        generation = document["generation"]
        assert isinstance(output, list) and isinstance(generation, int)
        if generation != job.generation and job.chunks:
            job.restarted = True
        job.generation = generation
        if document["position"] != len(job.chunks):
            job.inconsistent = True
        job.chunks += output
        job.status = str(document["status"])
        if job.status == "done":
            job.finished_at_s = self._bench.now_s
