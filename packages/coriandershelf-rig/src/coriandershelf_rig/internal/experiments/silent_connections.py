"""Tokens recomputed while open connections go silent at random, and the callers' stalls."""

from __future__ import annotations

import random
from dataclasses import dataclass

from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import schedule_load, total_work_tokens, whole
from coriandershelf_rig.internal.report import Report, percentile

NAME = "silent-connections"
LOAD = 0.5
SILENCED_PER_S = 2.0
DURATION_S = 40.0
DRAIN_S = 60.0
PLAIN = frozenset({"ejection", "move", "hedge", "reconnect", "resume", "kv-move"})


@dataclass(slots=True)
class Outcome:
    """What one run measured."""

    recomputed_share: float
    stall_p99_s: float
    silenced_count: int
    broken: int
    counters: dict[str, int]


def _silence_at_random(bench: Bench, seed: int, silenced: set[str]) -> None:
    rng = random.Random(seed + 2)
    until_s = bench.now_s + DURATION_S

    def silence() -> None:
        if bench.now_s >= until_s:
            return
        live = [
            (upstream, attempt_id)
            for upstream in bench.upstreams.values()
            if upstream.engine is not None
            for attempt_id in upstream.attempts
            if attempt_id not in upstream.silent
        ]
        if live:
            upstream, attempt_id = rng.choice(live)
            upstream.silent.add(attempt_id)
            silenced.add(attempt_id)
        bench.at(rng.expovariate(SILENCED_PER_S), silence)

    bench.at(1.0, silence)


def _measure(deployment: Deployment, seed: int, disabled: frozenset[str]) -> Outcome:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    sent = schedule_load(bench, LOAD, DURATION_S, seed)
    silenced: set[str] = set()
    _silence_at_random(bench, seed, silenced)
    bench.run(DURATION_S + DRAIN_S)
    broken = sum(not whole(bench, item) for item in sent)
    needed = sum(
        item.call.request.prompt_tokens + bench.shapes[item.call.request.request_id].length
        for item in sent
    )
    generated = sum(bench.shapes[item.call.request.request_id].length for item in sent)
    stalls_s = [max(item.call.token_gaps_s) for item in sent if item.call.token_gaps_s]
    return Outcome(
        (total_work_tokens(bench) - needed) / generated,
        percentile(stalls_s, 0.99),
        len(silenced),
        broken,
        bench.counters,
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments; the worse one is reported."""
    reports = []
    for name, make in DEPLOYMENTS.items():
        ours = _measure(make(), seed, disabled)
        plain = _measure(make(), seed, disabled | PLAIN)
        note = (
            f"{name}; load {LOAD}; {ours.silenced_count} connections silenced; p99 of a call's "
            f"longest token gap {ours.stall_p99_s:.3f} s, plain {plain.stall_p99_s:.3f} s"
        )
        report = Report(
            NAME,
            seed,
            "tokens computed twice ÷ tokens generated",
            plain.recomputed_share,
            ours.recomputed_share,
            None,
            ours.broken,
            note,
        )
        reports.append(report)
        if verbose:
            print(report.to_json())
            print({key: value for key, value in sorted(ours.counters.items()) if "." in key})
    return max(reports, key=lambda report: (report.violations, report.candidate))
