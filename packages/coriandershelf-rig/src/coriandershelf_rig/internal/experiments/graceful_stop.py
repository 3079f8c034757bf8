"""Entry VMs are stopped one after another under load: nothing in flight may be cut."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import click

from coriandershelf_core import CoreSettings, Done, NotRun
from coriandershelf_core.internal.vocabulary.events import ReclaimNotice, StopAsked, VmState
from coriandershelf_rig.internal.bench import Bench, Call, is_whole
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.job_callers import Balancer, JobCallers
from coriandershelf_rig.internal.report import Report

NAME = "graceful-stop"
TARGET = 0.0
STOP_LIMIT_S = 600.0
NOTICE_S = 4.0
BALANCER_LAG_S = 2.0
LOAD_S = 18.0
TAIL_S = 40.0
STOP_EVERY_S = 3.0
STOPS_COUNT = 5
CHATS_PER_S = 5.0
JOBS_PER_S = 1.0
PLAIN_WAY = frozenset({"finish-in-flight", "readiness-lag", "job-handover", "job-takeover"})


@dataclass(slots=True)
class StopResult:
    """What came of one run.

    :param cut: answers that were neither whole nor refused as not run.
    :param sent_away: requests refused although another entry VM would have served them.
    """

    cut: int = 0
    lost_jobs: int = 0
    sent_away: int = 0
    stopped: int = 0
    chats: int = 0
    jobs: int = 0
    counters: dict[str, int] = field(default_factory=dict)


class Stops:
    """The load, the stops and the judge of one run.

    :param settings: of every core.
    """

    def __init__(
        self, seed: int, disabled: frozenset[str], settings: CoreSettings | None = None
    ) -> None:
        self.bench = Bench(kingston(), seed, settings, disabled)
        self._rng = random.Random(seed)
        self.bench.run(1.0)
        balancer = Balancer(self.bench, BALANCER_LAG_S)
        balancer.watch()
        self._choose = balancer.choose
        self._jobs = JobCallers(self.bench, self._choose)
        self._chats: list[Call] = []

    def run(self) -> StopResult:
        """Run it and judge."""
        self._plan(CHATS_PER_S, self._send_chat)
        self._plan(JOBS_PER_S, self._post_job)
        names = self._rng.sample(sorted(self.bench.entries), STOPS_COUNT)
        for index, vm_id in enumerate(names):
            stop = self._stop if index % 2 == 0 else self._reclaim
            at_s = STOP_EVERY_S * (index + 1)
            self.bench.at(at_s, lambda s=stop, v=vm_id: s(v))  # type: ignore[misc]
        self.bench.run(LOAD_S + TAIL_S)
        result = StopResult(counters=dict(self.bench.counters))
        result.chats, result.jobs = len(self._chats), len(self._jobs.jobs)
        result.stopped = sum(self.bench.entries[vm_id].stopped_at_s is not None for vm_id in names)
        result.cut = sum(self._is_cut(call) for call in self._chats)
        result.cut += sum(job.call.outcome is None for job in self._jobs.jobs)
        result.sent_away = sum(isinstance(call.outcome, NotRun) for call in self._chats)
        result.lost_jobs = sum(job.broken for job in self._jobs.jobs)
        return result

    def _plan(self, rate_per_s: float, send: Callable[[], None]) -> None:
        at_s = self._rng.expovariate(rate_per_s)
        while at_s < LOAD_S:
            self.bench.at(at_s, send)
            at_s += self._rng.expovariate(rate_per_s)

    def _post_job(self) -> None:
        self._jobs.post("depot", self._rng.randint(100, 900))

    def _send_chat(self) -> None:
        length = self._rng.choice((30, 60, 120, 900))
        request = self.bench.chat("night-crews", 150, length)
        self._chats.append(self.bench.send(self._choose(), request))

    def _stop(self, vm_id: str) -> None:
        """Stop as on SIGTERM or an operator's drain."""
        self.bench.feed(vm_id, StopAsked(self.bench.now_s + STOP_LIMIT_S))

    def _reclaim(self, vm_id: str) -> None:
        """Stop on a notice that is longer than what is in flight there, then take the VM."""
        rest_s = self._longest_rest_s(vm_id)
        taken_at_s = self.bench.now_s + NOTICE_S + rest_s
        self.bench.set_vm_state(vm_id, VmState.LEAVING)
        for observer in self.bench.entries:
            self.bench.feed(observer, ReclaimNotice(vm_id, taken_at_s))
        self.bench.at(taken_at_s - self.bench.now_s, lambda: self.bench.kill_entry(vm_id))

    def _longest_rest_s(self, vm_id: str) -> float:
        rests = [
            self.bench.shapes[call.request.request_id].length - len(call.payloads)
            for call in self._chats
            if call.vm_id == vm_id and call.outcome is None
        ]
        slowest_gap_s = 0.04
        return max(rests, default=0) * slowest_gap_s

    def _is_cut(self, call: Call) -> bool:
        if isinstance(call.outcome, Done):
            return not is_whole(call, self.bench.shapes[call.request.request_id])
        return not isinstance(call.outcome, NotRun) or bool(call.payloads)


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Hold our stop against one that ends at once, on one load and seed."""
    ours = Stops(seed, disabled).run()
    plain = Stops(seed, disabled | PLAIN_WAY).run()
    if verbose:
        for name, result in (("ours", ours), ("at once", plain)):
            click.echo(f"{name}: {result}")
    return Report(
        experiment=NAME,
        seed=seed,
        measure="answers cut and accepted jobs lost",
        baseline=float(plain.cut + plain.lost_jobs),
        candidate=float(ours.cut + ours.lost_jobs),
        target=TARGET,
        violations=ours.cut + ours.lost_jobs + STOPS_COUNT - ours.stopped,
        note=f"sent away {ours.sent_away} of {ours.chats}, at once {plain.sent_away}",
    )
