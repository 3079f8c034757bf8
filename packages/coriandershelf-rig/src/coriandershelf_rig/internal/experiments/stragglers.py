"""Tail latency while a changing quarter of the upstreams runs ten times slower."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from pathlib import Path

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import (
    SentCall,
    is_complete,
    schedule_load,
    total_work_tokens,
)
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.report import Report, percentile

NAME = "stragglers"
TARGET = 1.25
EXTRA_WORK_MAX_SHARE = 0.03
LOAD_SHARE = 0.5
SLOW_FACTOR = 10.0
SLOW_SHARE = 0.25
SLOWDOWN_S = (1.0, 4.0)
WARM_UP_S = 5.0
DURATION_S = 45.0
DRAIN_S = 60.0
COUNTED_CLASSES = ("short", "medium")
BASELINE_DISABLED = frozenset({"ejection", "move", "hedge"})


@dataclass(slots=True)
class RunResult:
    """Result of one run."""

    completion_p99_s: dict[str, float]
    first_tokens_s: list[float]
    gap_p999_s: float
    work_tokens: int
    incomplete_count: int
    refused_count: int
    counters: dict[str, int]


def rotate_slowdowns(bench: Bench, seed: int, duration_s: float) -> None:
    """Keep a quarter of the engines slow, rotating to another engine after a random time."""
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
        bench.at(rng.uniform(*SLOWDOWN_S), lambda: end(name))

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


def _completion_s(bench: Bench, sent: SentCall) -> float:
    """Return a call's completion time, infinite if its answer is incomplete."""
    return sent.latency_s if is_complete(bench, sent) else math.inf


def measure(deployment: Deployment, seed: int, slowed: bool, disabled: frozenset[str]) -> RunResult:
    """Run the load with or without slowed upstreams."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    sent = schedule_load(bench, LOAD_SHARE, DURATION_S, seed)
    start_s = bench.now_s + WARM_UP_S
    if slowed:
        rotate_slowdowns(bench, seed, DURATION_S)
    bench.run(DURATION_S + DRAIN_S)
    refused_count = sum(isinstance(item.call.outcome, NotRun) for item in sent)
    incomplete_count = sum(not is_complete(bench, item) for item in sent) - refused_count
    after_warm_up = [item for item in sent if item.call.sent_at_s >= start_s]
    counted = [item for item in after_warm_up if item.class_name in COUNTED_CLASSES]
    return RunResult(
        {
            name: percentile(
                [_completion_s(bench, item) for item in counted if item.class_name == name], 0.99
            )
            for name in COUNTED_CLASSES
        },
        [item.call.first_token_s for item in counted if item.call.first_token_s is not None],
        percentile([gap_s for item in counted for gap_s in item.call.token_gaps_s], 0.999),
        total_work_tokens(bench),
        incomplete_count,
        refused_count,
        bench.counters,
    )


def _ratio(slowed: RunResult, unslowed: RunResult) -> float:
    """Return the worst class's ratio, so that longer answers do not mask shorter ones."""
    return max(
        slowed.completion_p99_s[name] / unslowed.completion_p99_s[name] for name in COUNTED_CLASSES
    )


def _first_token_p99_s(result: RunResult) -> float:
    return percentile(result.first_tokens_s, 0.99)


def _format_p99(result: RunResult) -> str:
    return " ".join(f"{name} {value:.3f}" for name, value in result.completion_p99_s.items())


def _measure_deployment(
    name: str, seed: int, disabled: frozenset[str], plot: str | None
) -> tuple[Report, RunResult]:
    make = DEPLOYMENTS[name]
    unslowed = measure(make(), seed, False, disabled)
    candidate = measure(make(), seed, True, disabled)
    baseline = measure(make(), seed, True, disabled | BASELINE_DISABLED)
    if plot is not None:
        series = {
            "none slowed": unslowed.first_tokens_s,
            "slowed, ours": candidate.first_tokens_s,
            "slowed, plain": baseline.first_tokens_s,
        }
        plot_path = Path(plot)
        plot_latencies(
            str(plot_path.with_stem(f"{plot_path.stem}-{name}")), f"{NAME} {name}", series
        )
    extra_work_share = candidate.work_tokens / unslowed.work_tokens - 1.0
    violations = (
        unslowed.incomplete_count
        + candidate.incomplete_count
        + int(extra_work_share > EXTRA_WORK_MAX_SHARE)
    )
    note = (
        f"{name}; load {LOAD_SHARE}; p99 completion s quiet {_format_p99(unslowed)}, "
        f"ours {_format_p99(candidate)}, plain {_format_p99(baseline)}; "
        f"first token p99 {_first_token_p99_s(unslowed):.3f} s, "
        f"{_first_token_p99_s(candidate):.3f} s, plain {_first_token_p99_s(baseline):.3f} s; "
        f"gap p99.9 {unslowed.gap_p999_s:.3f} s, {candidate.gap_p999_s:.3f} s, "
        f"plain {baseline.gap_p999_s:.3f} s; extra work {extra_work_share:.4f}; "
        f"refused {unslowed.refused_count} quiet, {candidate.refused_count} ours, "
        f"{baseline.refused_count} plain"
    )
    report = Report(
        NAME,
        seed,
        "p99 completion, slowed ÷ none slowed, worse of short and medium requests",
        _ratio(baseline, unslowed),
        _ratio(candidate, unslowed),
        TARGET,
        violations,
        note,
    )
    return report, candidate


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    reports = []
    for name in DEPLOYMENTS:
        report, candidate = _measure_deployment(name, seed, disabled, plot)
        reports.append(report)
        if verbose:
            print(report.to_json())
            print({key: value for key, value in sorted(candidate.counters.items()) if "." in key})
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
