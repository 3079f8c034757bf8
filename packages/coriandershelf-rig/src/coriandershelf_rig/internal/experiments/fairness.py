"""First-token latency of small customers while a large customer floods the system."""

from __future__ import annotations

from dataclasses import dataclass

import click

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.baseline import BASELINE_DISABLED
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.experiments.head_of_line import flows_of
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.report import Report, percentile
from coriandershelf_rig.internal.workload import (
    SHORT,
    Callers,
    Flow,
    capacity_per_s,
    draw_arrivals,
    scale_flows,
)

NAME = "fairness"
TARGET = 1.2
QUIET_LOAD_SHARE = 0.4
FLOOD_LOAD_SHARE = 1.5
WARM_UP_S = 15.0
MEASURE_S = 30.0
DRAIN_S = 20.0
RETRIES_MAX_COUNT = 3


@dataclass(frozen=True, slots=True)
class RunResult:
    """The small customers' results under one variant.

    :param flood_tokens_per_s: the large customer's throughput, to show that no capacity was left
        idle.
    """

    first_token_s: list[float]
    refused_count: int
    flood_tokens_per_s: float

    @property
    def p95_s(self) -> float:
        """Return the 95th percentile of the first-token time."""
        return percentile(self.first_token_s, 0.95)


def run_once(
    deployment: Deployment, flows: list[Flow], large: str, seed: int, disabled: frozenset[str]
) -> RunResult:
    """Serve the flows with one variant."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    callers = Callers(bench, seed, RETRIES_MAX_COUNT)
    callers.schedule(draw_arrivals(flows, seed))
    bench.run(WARM_UP_S + MEASURE_S)
    flood = sum(
        len(call.payloads)
        for sent in callers.sent
        if sent.arrival.customer == large
        for call in sent.calls
    )
    bench.run(DRAIN_S)
    small = [
        sent
        for sent in callers.sent
        if sent.arrival.customer != large and sent.arrival.at_s >= WARM_UP_S
    ]
    refused_count = sum(isinstance(sent.calls[0].outcome, NotRun) for sent in small)
    # Latency counts from the first call, so that it includes retries after a refusal. Without any
    # token it is at least the time until the end of the run.
    latencies_s = [
        (sent.last.first_token_at_s or bench.now_s) - sent.calls[0].sent_at_s for sent in small
    ]
    return RunResult(latencies_s, refused_count, flood / (WARM_UP_S + MEASURE_S))


def describe(name: str, variant: str, flood: RunResult, quiet: RunResult) -> str:
    """Return a one-line summary."""
    return (
        f"{name} {variant}: small customers' p95 {flood.p95_s:.4f} s in the flood, "
        f"{quiet.p95_s:.4f} s quiet, ratio {flood.p95_s / quiet.p95_s:.3f}; "
        f"{flood.refused_count} of {len(flood.first_token_s)} refused at first; "
        f"flooder {flood.flood_tokens_per_s:.0f} tokens/s"
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    worst: Report | None = None
    for name, make in sorted(DEPLOYMENTS.items()):
        deployment = make()
        large = max(deployment.customers, key=lambda customer: customer.share).name
        mix = flows_of(deployment, SHORT, 1.0)
        capacity = capacity_per_s(deployment, mix, seed)
        quiet_flows = scale_flows(mix, QUIET_LOAD_SHARE * capacity)
        flood_rate_per_s = FLOOD_LOAD_SHARE * capacity / SHORT.mean_length_tokens
        others = [flow for flow in quiet_flows if flow.customer != large]
        flood_flows = [*others, Flow(large, SHORT, flood_rate_per_s, 0.0, WARM_UP_S + MEASURE_S)]
        runs = {}
        for variant, variant_disabled in (("ours", disabled), ("plain", BASELINE_DISABLED)):
            flood = run_once(deployment, flood_flows, large, seed, variant_disabled)
            quiet = run_once(deployment, quiet_flows, large, seed, variant_disabled)
            runs[variant] = (flood, quiet)
            if verbose:
                click.echo(describe(name, variant, flood, quiet))
        candidate, candidate_quiet = runs["ours"]
        baseline, baseline_quiet = runs["plain"]
        report = Report(
            experiment=NAME,
            seed=seed,
            measure=f"{name}: small customers' p95 first token in a flood ÷ quiet",
            baseline=baseline.p95_s / baseline_quiet.p95_s,
            candidate=candidate.p95_s / candidate_quiet.p95_s,
            target=TARGET,
            violations=0,
            note=f"p95 {candidate.p95_s:.4f} s, plain {baseline.p95_s:.4f} s",
        )
        if worst is None or report.candidate > worst.candidate:
            worst = report
            if plot is not None:
                series = {
                    "ours in the flood": candidate.first_token_s,
                    "ours quiet": candidate_quiet.first_token_s,
                    "plain in the flood": baseline.first_token_s,
                    "plain quiet": baseline_quiet.first_token_s,
                }
                plot_latencies(plot, f"{NAME} {name}", series, target_s=0.75)
    assert worst is not None, "no deployment is defined"
    return worst
