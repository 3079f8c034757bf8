"""Entry VMs are stopped one after another under load; no request in flight may be aborted."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import click

from coriandershelf_core import CoreSettings, Done, NotRun
from coriandershelf_core.internal.vocabulary.events import ReclaimNotice, StopAsked, VmState
from coriandershelf_rig.internal.bench import Bench, Call, is_whole
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.job_callers import JobCallers, LoadBalancer
from coriandershelf_rig.internal.report import Report

NAME = "graceful-stop"
TARGET = 0.0
STOP_LIMIT_S = 600.0
NOTICE_S = 4.0
BALANCER_LAG_S = 2.0
LOAD_DURATION_S = 18.0
DRAIN_S = 40.0
STOP_PERIOD_S = 3.0
STOP_COUNT = 5
CHATS_PER_S = 5.0
JOBS_PER_S = 1.0
BASELINE_DISABLED = frozenset({"finish-in-flight", "readiness-lag", "job-handover", "job-takeover"})


@dataclass(slots=True)
class StopResult:
    """Result of one run.

    :param aborted_count: requests that were neither answered completely nor refused as not run.
    :param refused_count: requests refused although another entry VM would have served them.
    """

    aborted_count: int = 0
    lost_job_count: int = 0
    refused_count: int = 0
    stopped_count: int = 0
    chat_count: int = 0
    job_count: int = 0
    counters: dict[str, int] = field(default_factory=dict)


class StopSimulation:
    """The load, the stops and the checks of one run.

    :param settings: settings of every core.
    """

    def __init__(
        self, seed: int, disabled: frozenset[str], settings: CoreSettings | None = None
    ) -> None:
        self.bench = Bench(kingston(), seed, settings, disabled)
        self._rng = random.Random(seed)
        self.bench.run(1.0)
        balancer = LoadBalancer(self.bench, BALANCER_LAG_S)
        balancer.watch()
        self._choose_entry = balancer.choose
        self._jobs = JobCallers(self.bench, self._choose_entry)
        self._chats: list[Call] = []

    def run(self) -> StopResult:
        """Run the simulation and return what it measured."""
        self._schedule_arrivals(CHATS_PER_S, self._send_chat)
        self._schedule_arrivals(JOBS_PER_S, self._post_job)
        stopped_vms = self._rng.sample(sorted(self.bench.entries), STOP_COUNT)
        for index, vm_id in enumerate(stopped_vms):
            stop = self._request_stop if index % 2 == 0 else self._reclaim
            at_s = STOP_PERIOD_S * (index + 1)
            self.bench.at(at_s, lambda s=stop, v=vm_id: s(v))  # type: ignore[misc]
        self.bench.run(LOAD_DURATION_S + DRAIN_S)
        result = StopResult(counters=dict(self.bench.counters))
        result.chat_count, result.job_count = len(self._chats), len(self._jobs.jobs)
        result.stopped_count = sum(
            self.bench.entries[vm_id].stopped_at_s is not None for vm_id in stopped_vms
        )
        result.aborted_count = sum(self._is_aborted(call) for call in self._chats)
        result.aborted_count += sum(job.call.outcome is None for job in self._jobs.jobs)
        result.refused_count = sum(isinstance(call.outcome, NotRun) for call in self._chats)
        result.lost_job_count = sum(job.is_broken for job in self._jobs.jobs)
        return result

    def _schedule_arrivals(self, rate_per_s: float, send: Callable[[], None]) -> None:
        at_s = self._rng.expovariate(rate_per_s)
        while at_s < LOAD_DURATION_S:
            self.bench.at(at_s, send)
            at_s += self._rng.expovariate(rate_per_s)

    def _post_job(self) -> None:
        self._jobs.post("depot", self._rng.randint(100, 900))

    def _send_chat(self) -> None:
        length = self._rng.choice((30, 60, 120, 900))
        request = self.bench.chat("night-crews", 150, length)
        self._chats.append(self.bench.send(self._choose_entry(), request))

    def _request_stop(self, vm_id: str) -> None:
        """Request a stop as SIGTERM or an operator's drain does."""
        self.bench.feed(vm_id, StopAsked(self.bench.now_s + STOP_LIMIT_S))

    def _reclaim(self, vm_id: str) -> None:
        """Announce a reclaim that leaves time for all requests in flight, then kill the VM."""
        remaining_s = self._longest_remaining_s(vm_id)
        reclaimed_at_s = self.bench.now_s + NOTICE_S + remaining_s
        self.bench.set_vm_state(vm_id, VmState.LEAVING)
        for observer in self.bench.entries:
            self.bench.feed(observer, ReclaimNotice(vm_id, reclaimed_at_s))
        self.bench.at(reclaimed_at_s - self.bench.now_s, lambda: self.bench.kill_entry(vm_id))

    def _longest_remaining_s(self, vm_id: str) -> float:
        remaining_tokens = [
            self.bench.shapes[call.request.request_id].length - len(call.payloads)
            for call in self._chats
            if call.vm_id == vm_id and call.outcome is None
        ]
        slowest_gap_s = 0.04
        return max(remaining_tokens, default=0) * slowest_gap_s

    def _is_aborted(self, call: Call) -> bool:
        if isinstance(call.outcome, Done):
            return not is_whole(call, self.bench.shapes[call.request.request_id])
        return not isinstance(call.outcome, NotRun) or bool(call.payloads)


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Compare a graceful stop with an immediate one on the same load and seed."""
    candidate = StopSimulation(seed, disabled).run()
    baseline = StopSimulation(seed, disabled | BASELINE_DISABLED).run()
    if verbose:
        for name, result in (("ours", candidate), ("at once", baseline)):
            click.echo(f"{name}: {result}")
    return Report(
        experiment=NAME,
        seed=seed,
        measure="answers cut and accepted jobs lost",
        baseline=float(baseline.aborted_count + baseline.lost_job_count),
        candidate=float(candidate.aborted_count + candidate.lost_job_count),
        target=TARGET,
        violations=candidate.aborted_count
        + candidate.lost_job_count
        + STOP_COUNT
        - candidate.stopped_count,
        note=f"sent away {candidate.refused_count} of {candidate.chat_count}, "
        f"at once {baseline.refused_count}",
    )
