"""Tail latency while a quarter of the upstreams is slowed tenfold for moments at a time."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import SentCall, schedule_load, total_work_tokens, whole
from coriandershelf_rig.internal.report import Report, percentile

NAME = "stragglers"
TARGET = 1.25
EXTRA_WORK_MAX = 0.03
LOAD = 0.5
SLOW_FACTOR = 10.0
SLOW_SHARE = 0.25
MOMENT_S = (1.0, 4.0)
WARM_UP_S = 5.0
DURATION_S = 45.0
DRAIN_S = 60.0
COUNTED_CLASSES = ("short", "medium")
PLAIN = frozenset({"ejection", "move", "hedge"})


@dataclass(slots=True)
class Outcome:
    """What one run measured."""

    completion_p99_s: dict[str, float]
    first_token_p99_s: float
    gap_p999_s: float
    work_tokens: int
    broken: int
    refused: int
    counters: dict[str, int]


def slow_in_turns(bench: Bench, seed: int, duration_s: float) -> None:
    """Keep a quarter of the engines slow, each for a random moment, then another."""
    rng = random.Random(seed + 1)
    names = [name for name, upstream in bench.upstreams.items() if upstream.engine]
    count = max(1, round(SLOW_SHARE * len(names)))
    until_s = bench.now_s + duration_s
    slowed: set[str] = set()

    def begin() -> None:
        if bench.now_s >= until_s:
            return
        name = rng.choice([name for name in names if name not in slowed])
        slowed.add(name)
        _set_factor(bench, name, SLOW_FACTOR)
        bench.at(rng.uniform(*MOMENT_S), lambda: end(name))

    def end(name: str) -> None:
        _set_factor(bench, name, 1.0)
        begin()
        slowed.discard(name)

    for _ in range(count):
        bench.at(WARM_UP_S, begin)


def _set_factor(bench: Bench, name: str, factor: float) -> None:
    engine = bench.upstreams[name].engine
    assert engine is not None, f"{name} runs no model"
    engine.slow_factor = factor


def _total_s(bench: Bench, sent: SentCall) -> float:
    """Return a call's latency; one without its whole answer counts as endless."""
    return sent.total_s if whole(bench, sent) else math.inf


def measure(deployment: Deployment, seed: int, slowed: bool, disabled: frozenset[str]) -> Outcome:
    """Run one load with or without slowed upstreams."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    sent = schedule_load(bench, LOAD, DURATION_S, seed)
    start_s = bench.now_s + WARM_UP_S
    if slowed:
        slow_in_turns(bench, seed, DURATION_S)
    bench.run(DURATION_S + DRAIN_S)
    refused = sum(isinstance(item.call.outcome, NotRun) for item in sent)
    broken = sum(not whole(bench, item) for item in sent) - refused
    timely = [item for item in sent if item.call.sent_at_s >= start_s]
    counted = [item for item in timely if item.class_name in COUNTED_CLASSES]
    return Outcome(
        {
            name: percentile(
                [_total_s(bench, item) for item in counted if item.class_name == name], 0.99
            )
            for name in COUNTED_CLASSES
        },
        percentile([item.call.first_token_s or 0.0 for item in counted], 0.99),
        percentile([gap for item in counted for gap in item.call.token_gaps_s], 0.999),
        total_work_tokens(bench),
        broken,
        refused,
        bench.counters,
    )


def _ratio(slowed: Outcome, quiet: Outcome) -> float:
    """Return the worse class's ratio, so that long answers do not hide short ones."""
    return max(
        slowed.completion_p99_s[name] / quiet.completion_p99_s[name] for name in COUNTED_CLASSES
    )


def _words(outcome: Outcome) -> str:
    return " ".join(f"{name} {value:.3f}" for name, value in outcome.completion_p99_s.items())


def _report(name: str, seed: int, disabled: frozenset[str]) -> tuple[Report, Outcome]:
    make = DEPLOYMENTS[name]
    quiet = measure(make(), seed, False, disabled)
    ours = measure(make(), seed, True, disabled)
    plain = measure(make(), seed, True, disabled | PLAIN)
    extra = ours.work_tokens / quiet.work_tokens - 1.0
    violations = quiet.broken + ours.broken + int(extra > EXTRA_WORK_MAX)
    note = (
        f"{name}; load {LOAD}; p99 completion s quiet {_words(quiet)}, ours {_words(ours)}, "
        f"plain {_words(plain)}; first token p99 {quiet.first_token_p99_s:.3f} s, "
        f"{ours.first_token_p99_s:.3f} s, plain {plain.first_token_p99_s:.3f} s; gap p99.9 "
        f"{quiet.gap_p999_s:.3f} s, {ours.gap_p999_s:.3f} s, plain {plain.gap_p999_s:.3f} s; "
        f"extra work {extra:.4f}; refused {quiet.refused} quiet, {ours.refused} ours, "
        f"{plain.refused} plain"
    )
    report = Report(
        NAME,
        seed,
        "p99 completion, slowed ÷ none slowed, worse of short and medium requests",
        _ratio(plain, quiet),
        _ratio(ours, quiet),
        TARGET,
        violations,
        note,
    )
    return report, ours


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments; the worse one is reported."""
    reports = []
    for name in DEPLOYMENTS:
        report, ours = _report(name, seed, disabled)
        reports.append(report)
        if verbose:
            print(report.to_json())
            print({key: value for key, value in sorted(ours.counters.items()) if "." in key})
    violations = sum(report.violations for report in reports)
    worst = max(reports, key=lambda report: report.candidate)
    return Report(
        worst.experiment,
        worst.seed,
        worst.measure,
        worst.baseline,
        worst.candidate,
        worst.target,
        violations,
        worst.note,
    )
