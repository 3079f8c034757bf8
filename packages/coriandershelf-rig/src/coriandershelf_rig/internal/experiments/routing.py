"""Routing over replicas of very different speeds, compared with round robin and sorting by load."""

from __future__ import annotations

from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import is_complete, schedule_load
from coriandershelf_rig.internal.report import Report, percentile

NAME = "routing"
LOAD_SHARE = 0.6
WARM_UP_S = 5.0
DURATION_S = 40.0
DRAIN_S = 90.0
BASELINE_DISABLED = frozenset({"ejection", "move", "hedge"})


def _completion_p99_s(
    deployment: Deployment, seed: int, disabled: frozenset[str]
) -> tuple[float, int]:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    sent = schedule_load(bench, LOAD_SHARE, DURATION_S, seed)
    start_s = bench.now_s + WARM_UP_S
    bench.run(DURATION_S + DRAIN_S)
    incomplete_count = sum(not is_complete(bench, item) for item in sent)
    completions_s = [
        item.latency_s
        for item in sent
        if item.class_name != "long" and item.call.sent_at_s >= start_s and item.call.ended_at_s
    ]
    return percentile(completions_s, 0.99), incomplete_count


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure p99 completion time on both deployments and report the one with the worse ratio."""
    worst: Report | None = None
    for name, make in DEPLOYMENTS.items():
        candidate, incomplete_count = _completion_p99_s(make(), seed, disabled)
        baseline, _ = _completion_p99_s(make(), seed, disabled | BASELINE_DISABLED | {"routing"})
        sorted_p99_s, _ = _completion_p99_s(
            make(), seed, disabled | BASELINE_DISABLED | {"sampling"}
        )
        report = Report(
            NAME,
            seed,
            "p99 completion of short and medium requests, s",
            baseline,
            candidate,
            None,
            incomplete_count,
            f"{name}; sorted by report {sorted_p99_s:.3f} s; load {LOAD_SHARE}",
        )
        if verbose:
            print(report.to_json())
        if worst is None or (report.ratio or 0.0) > (worst.ratio or 0.0):
            worst = report
    assert worst is not None
    return worst
