"""A large customer floods: what the small customers' questions wait."""

from __future__ import annotations

from dataclasses import dataclass

import click

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.experiments.head_of_line import flows_of
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.report import Report, percentile
from coriandershelf_rig.internal.ways import PLAIN_WAY
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
QUIET_LOAD = 0.4
FLOOD_LOAD = 1.5
WARM_UP_S = 15.0
MEASURED_S = 30.0
DRAIN_S = 20.0
RETRIES_MAX_COUNT = 3


@dataclass(frozen=True, slots=True)
class Run:
    """What one way gave the small customers.

    :param flood_tokens_per_s: what the large customer got, as evidence that nothing lay idle.
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
) -> Run:
    """Serve the flows in one way."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    callers = Callers(bench, seed, RETRIES_MAX_COUNT)
    callers.schedule(draw_arrivals(flows, seed))
    bench.run(WARM_UP_S + MEASURED_S)
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
    refused = sum(isinstance(sent.calls[0].outcome, NotRun) for sent in small)
    # From the first call on: coming back after a refusal is waiting too. Without any token the
    # wait is at least what has passed until the end of the run.
    waits = [
        (sent.last.first_token_at_s or bench.now_s) - sent.calls[0].sent_at_s for sent in small
    ]
    return Run(waits, refused, flood / (WARM_UP_S + MEASURED_S))


def describe(name: str, way: str, flood: Run, quiet: Run) -> str:
    """Return one line for the reader."""
    return (
        f"{name} {way}: small customers' p95 {flood.p95_s:.4f} s in the flood, {quiet.p95_s:.4f} s "
        f"quiet, ratio {flood.p95_s / quiet.p95_s:.3f}; {flood.refused_count} of "
        f"{len(flood.first_token_s)} refused at first; flooder {flood.flood_tokens_per_s:.0f} "
        "tokens/s"
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    worst: Report | None = None
    for name, make in sorted(DEPLOYMENTS.items()):
        deployment = make()
        large = max(deployment.customers, key=lambda customer: customer.share).name
        mix = flows_of(deployment, SHORT, 1.0)
        capacity = capacity_per_s(deployment, mix, seed)
        quiet_flows = scale_flows(mix, QUIET_LOAD * capacity)
        rate = FLOOD_LOAD * capacity / SHORT.mean_length_tokens
        others = [flow for flow in quiet_flows if flow.customer != large]
        flood_flows = [*others, Flow(large, SHORT, rate, 0.0, WARM_UP_S + MEASURED_S)]
        runs = {}
        for way, out in (("ours", disabled), ("plain", PLAIN_WAY)):
            flood = run_once(deployment, flood_flows, large, seed, out)
            quiet = run_once(deployment, quiet_flows, large, seed, out)
            runs[way] = (flood, quiet)
            if verbose:
                click.echo(describe(name, way, flood, quiet))
        ours, ours_quiet = runs["ours"]
        plain, plain_quiet = runs["plain"]
        report = Report(
            experiment=NAME,
            seed=seed,
            measure=f"{name}: small customers' p95 first token in a flood ÷ quiet",
            baseline=plain.p95_s / plain_quiet.p95_s,
            candidate=ours.p95_s / ours_quiet.p95_s,
            target=TARGET,
            violations=0,
            note=f"p95 {ours.p95_s:.4f} s, plain {plain.p95_s:.4f} s",
        )
        if worst is None or report.candidate > worst.candidate:
            worst = report
            if plot is not None:
                series = {
                    "ours in the flood": ours.first_token_s,
                    "ours quiet": ours_quiet.first_token_s,
                    "plain in the flood": plain.first_token_s,
                    "plain quiet": plain_quiet.first_token_s,
                }
                plot_latencies(plot, f"{NAME} {name}", series, target_s=0.75)
    assert worst is not None, "there is no deployment"
    return worst
