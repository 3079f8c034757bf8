"""Crashes that a request causes which crashes each upstream that runs it, and is sent again."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.bench import Bench, Call, Shape
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import SentCall, schedule_load, whole
from coriandershelf_rig.internal.report import Report

NAME = "poison"
TARGET = 2.0
LOAD = 0.4
POISONS_COUNT = 4
REPEATS_COUNT = 4
POISON_PERIOD_S = 10.0
REPEAT_PERIOD_S = (0.5, 2.0)
RESTART_AFTER_S = 3.0
DURATION_S = 45.0
DRAIN_S = 60.0
PLAIN = frozenset({"quarantine"})


@dataclass(slots=True)
class Outcome:
    """What one run measured."""

    crashes_max: int
    innocents_unanswered: int
    innocents_refused: int
    poison_answered: int
    counters: dict[str, int]


class _PoisonCaller:
    """Sends one prompt again and again, under fresh ids, at any entry VM."""

    def __init__(self, bench: Bench, rng: random.Random, number: int) -> None:
        self._bench = bench
        self._rng = rng
        self._body = b"poison %d" % number
        self.calls: list[Call] = []

    def send(self) -> None:
        """Send the prompt once, and plan to send it again."""
        bench = self._bench
        customer = bench.deployment.customers[0].name
        request = replace(bench.chat(customer, 100, 50), body=self._body)
        entry = self._rng.choice(list(bench.entries))
        self.calls.append(bench.send(entry, request, Shape(50, crashes=True)))
        if len(self.calls) <= REPEATS_COUNT:
            bench.at(self._rng.uniform(*REPEAT_PERIOD_S), self.send)


def _restart_crashed(bench: Bench, crashes: list[str]) -> None:
    """Note each crash and start the upstream again some seconds later."""
    down: set[str] = set()

    def look() -> None:
        for name, upstream in bench.upstreams.items():
            if not upstream.alive and name not in down:
                down.add(name)
                crashes.append(name)

                def start(name: str = name) -> None:
                    bench.restart_upstream(name)
                    down.discard(name)

                bench.at(RESTART_AFTER_S, start)
        bench.at(0.01, look)

    look()


def _measure(deployment: Deployment, seed: int, disabled: frozenset[str]) -> Outcome:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    rng = random.Random(seed + 3)
    sent = schedule_load(bench, LOAD, DURATION_S, seed)
    crashes: list[str] = []
    _restart_crashed(bench, crashes)
    callers = [_PoisonCaller(bench, rng, number) for number in range(POISONS_COUNT)]
    for number, caller in enumerate(callers):
        bench.at(5.0 + number * POISON_PERIOD_S, caller.send)
    counts: list[int] = []
    for number in range(POISONS_COUNT):
        before = len(crashes)
        bench.run((5.0 if number == 0 else 0.0) + POISON_PERIOD_S)
        counts.append(len(crashes) - before)
    bench.run(DRAIN_S)
    refused = sum(isinstance(item.call.outcome, NotRun) for item in sent)
    unanswered = sum(not whole(bench, item) for item in sent) - refused
    answered = sum(
        whole(bench, SentCall(call, "poison")) for caller in callers for call in caller.calls
    )
    return Outcome(max(counts), unanswered, refused, answered, bench.counters)


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments; the worse one is reported."""
    reports = []
    for name, make in DEPLOYMENTS.items():
        ours = _measure(make(), seed, disabled)
        plain = _measure(make(), seed, disabled | PLAIN)
        note = (
            f"{name}; load {LOAD}; each of {POISONS_COUNT} prompts sent {REPEATS_COUNT + 1} times; "
            f"innocents unanswered {ours.innocents_unanswered}, plain "
            f"{plain.innocents_unanswered}; refused {ours.innocents_refused}, plain "
            f"{plain.innocents_refused}"
        )
        report = Report(
            NAME,
            seed,
            "most upstream crashes caused by one prompt",
            float(plain.crashes_max),
            float(ours.crashes_max),
            TARGET,
            ours.innocents_unanswered + ours.poison_answered,
            note,
        )
        reports.append(report)
        if verbose:
            print(report.to_json())
            print(dict(sorted(ours.counters.items())))
    return max(reports, key=lambda report: (report.violations, report.candidate))
