"""Crashes caused by a request that crashes every upstream that runs it and is sent repeatedly."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.bench import Bench, Call, Shape
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import SentCall, is_complete, schedule_load
from coriandershelf_rig.internal.report import Report

NAME = "poison"
TARGET = 2.0
LOAD_SHARE = 0.4
POISON_COUNT = 4
REPEAT_COUNT = 4
POISON_PERIOD_S = 10.0
REPEAT_PERIOD_S = (0.5, 2.0)
RESTART_DELAY_S = 3.0
DURATION_S = 45.0
DRAIN_S = 60.0
BASELINE_DISABLED = frozenset({"quarantine"})


@dataclass(slots=True)
class RunResult:
    """Result of one run."""

    crash_count_max: int
    other_unanswered_count: int
    other_refused_count: int
    poison_answered_count: int
    counters: dict[str, int]


class _PoisonCaller:
    """Sends one prompt repeatedly, each time with a new request id to a random entry VM."""

    def __init__(self, bench: Bench, rng: random.Random, number: int) -> None:
        self._bench = bench
        self._rng = rng
        self._body = b"poison %d" % number
        self.calls: list[Call] = []

    def send(self) -> None:
        """Send the prompt and schedule the next repeat."""
        bench = self._bench
        customer = bench.deployment.customers[0].name
        request = replace(bench.chat(customer, 100, 50), body=self._body)
        entry = self._rng.choice(list(bench.entries))
        self.calls.append(bench.send(entry, request, Shape(50, crashes=True)))
        if len(self.calls) <= REPEAT_COUNT:
            bench.at(self._rng.uniform(*REPEAT_PERIOD_S), self.send)


def _restart_crashed(bench: Bench, crashes: list[str]) -> None:
    """Record each crash and restart the upstream after a delay."""
    down_names: set[str] = set()

    def poll() -> None:
        for name, upstream in bench.upstreams.items():
            if not upstream.alive and name not in down_names:
                down_names.add(name)
                crashes.append(name)

                def restart(name: str = name) -> None:
                    bench.restart_upstream(name)
                    down_names.discard(name)

                bench.at(RESTART_DELAY_S, restart)
        bench.at(0.01, poll)

    poll()


def _measure(deployment: Deployment, seed: int, disabled: frozenset[str]) -> RunResult:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    rng = random.Random(seed + 3)
    sent = schedule_load(bench, LOAD_SHARE, DURATION_S, seed)
    crashes: list[str] = []
    _restart_crashed(bench, crashes)
    callers = [_PoisonCaller(bench, rng, number) for number in range(POISON_COUNT)]
    for number, caller in enumerate(callers):
        bench.at(5.0 + number * POISON_PERIOD_S, caller.send)
    crash_counts: list[int] = []
    for number in range(POISON_COUNT):
        crashes_before = len(crashes)
        bench.run((5.0 if number == 0 else 0.0) + POISON_PERIOD_S)
        crash_counts.append(len(crashes) - crashes_before)
    bench.run(DRAIN_S)
    other_refused_count = sum(isinstance(item.call.outcome, NotRun) for item in sent)
    other_unanswered_count = (
        sum(not is_complete(bench, item) for item in sent) - other_refused_count
    )
    poison_answered_count = sum(
        is_complete(bench, SentCall(call, "poison")) for caller in callers for call in caller.calls
    )
    return RunResult(
        max(crash_counts),
        other_unanswered_count,
        other_refused_count,
        poison_answered_count,
        bench.counters,
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    reports = []
    for name, make in DEPLOYMENTS.items():
        candidate = _measure(make(), seed, disabled)
        baseline = _measure(make(), seed, disabled | BASELINE_DISABLED)
        note = (
            f"{name}; load {LOAD_SHARE}; "
            f"each of {POISON_COUNT} prompts sent {REPEAT_COUNT + 1} times; "
            f"innocents unanswered {candidate.other_unanswered_count}, plain "
            f"{baseline.other_unanswered_count}; refused {candidate.other_refused_count}, plain "
            f"{baseline.other_refused_count}"
        )
        report = Report(
            NAME,
            seed,
            "most upstream crashes caused by one prompt",
            float(baseline.crash_count_max),
            float(candidate.crash_count_max),
            TARGET,
            candidate.other_unanswered_count + candidate.poison_answered_count,
            note,
        )
        reports.append(report)
        if verbose:
            print(report.to_json())
            print(dict(sorted(candidate.counters.items())))
    return max(reports, key=lambda report: (report.violations, report.candidate))
