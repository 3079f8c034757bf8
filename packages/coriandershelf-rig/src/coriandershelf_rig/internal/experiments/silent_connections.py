"""Recomputed tokens and callers' stalls while open connections go silent at random."""

from __future__ import annotations

import random
from dataclasses import dataclass

from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import is_complete, schedule_load, total_work_tokens
from coriandershelf_rig.internal.report import Report, percentile

NAME = "silent-connections"
LOAD_SHARE = 0.5
SILENCED_PER_S = 2.0
DURATION_S = 40.0
DRAIN_S = 60.0
BASELINE_DISABLED = frozenset({"ejection", "move", "hedge", "reconnect", "resume", "kv-move"})


@dataclass(slots=True)
class RunResult:
    """Result of one run."""

    recomputed_share: float
    stall_p99_s: float
    silenced_count: int
    incomplete_count: int
    counters: dict[str, int]


def _silence_at_random(bench: Bench, seed: int, silenced: set[str]) -> None:
    rng = random.Random(seed + 2)
    until_s = bench.now_s + DURATION_S

    def silence() -> None:
        if bench.now_s >= until_s:
            return
        open_attempts = [
            (upstream, attempt_id)
            for upstream in bench.upstreams.values()
            if upstream.engine is not None
            for attempt_id in upstream.attempts
            if attempt_id not in upstream.muted_attempts
        ]
        if open_attempts:
            upstream, attempt_id = rng.choice(open_attempts)
            upstream.muted_attempts.add(attempt_id)
            silenced.add(attempt_id)
        bench.at(rng.expovariate(SILENCED_PER_S), silence)

    bench.at(1.0, silence)


def _measure(deployment: Deployment, seed: int, disabled: frozenset[str]) -> RunResult:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    sent = schedule_load(bench, LOAD_SHARE, DURATION_S, seed)
    silenced: set[str] = set()
    _silence_at_random(bench, seed, silenced)
    bench.run(DURATION_S + DRAIN_S)
    incomplete_count = sum(not is_complete(bench, item) for item in sent)
    needed_tokens = sum(
        item.call.request.prompt_tokens + bench.shapes[item.call.request.request_id].length
        for item in sent
    )
    generated_tokens = sum(bench.shapes[item.call.request.request_id].length for item in sent)
    stalls_s = [max(item.call.token_gaps_s) for item in sent if item.call.token_gaps_s]
    return RunResult(
        (total_work_tokens(bench) - needed_tokens) / generated_tokens,
        percentile(stalls_s, 0.99),
        len(silenced),
        incomplete_count,
        bench.counters,
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    reports = []
    for name, make in DEPLOYMENTS.items():
        candidate = _measure(make(), seed, disabled)
        baseline = _measure(make(), seed, disabled | BASELINE_DISABLED)
        note = (
            f"{name}; load {LOAD_SHARE}; {candidate.silenced_count} connections silenced; "
            f"p99 of a call's longest token gap {candidate.stall_p99_s:.3f} s, "
            f"plain {baseline.stall_p99_s:.3f} s"
        )
        report = Report(
            NAME,
            seed,
            "tokens computed twice ÷ tokens generated",
            baseline.recomputed_share,
            candidate.recomputed_share,
            None,
            candidate.incomplete_count,
            note,
        )
        reports.append(report)
        if verbose:
            print(report.to_json())
            print({key: value for key, value in sorted(candidate.counters.items()) if "." in key})
    return max(reports, key=lambda report: (report.violations, report.candidate))
