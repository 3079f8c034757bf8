"""Short questions beside season plans: how much the plans slow the questions' first tokens."""

from __future__ import annotations

from dataclasses import dataclass

import click

from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.report import Report, percentile
from coriandershelf_rig.internal.ways import PLAIN_WAY
from coriandershelf_rig.internal.workload import (
    LONG,
    SHORT,
    Callers,
    Flow,
    WorkKind,
    capacity_per_s,
    draw_arrivals,
    scale_flows,
)

NAME = "head-of-line"
LOAD = 0.8
TARGET = 1.10
LONG_LOSS_MAX = 0.05
WARM_UP_S = 20.0
MEASURED_S = 40.0
DRAIN_S = 15.0
START_S = 1.0


@dataclass(frozen=True, slots=True)
class Run:
    """What one way made of one load."""

    first_token_s: list[float]
    unanswered_count: int
    long_tokens_per_s: float

    @property
    def p99_s(self) -> float:
        """Return the questions' 99th percentile of first-token time."""
        return percentile(self.first_token_s, 0.99)


@dataclass(frozen=True, slots=True)
class Comparison:
    """One way with and without season plans."""

    mixed: Run
    alone: Run

    @property
    def ratio(self) -> float:
        """Return the percentile with plans ÷ without."""
        return self.mixed.p99_s / self.alone.p99_s


def flows_of(deployment: Deployment, kind: WorkKind, tokens_per_s: float) -> list[Flow]:
    """Return one flow a customer, by its share, that together ask for ``tokens_per_s``."""
    total = sum(customer.share for customer in deployment.customers)
    rate_per_s = tokens_per_s / kind.mean_length_tokens
    end_s = WARM_UP_S + MEASURED_S
    return [
        Flow(customer.name, kind, rate_per_s * customer.share / total, 0.0, end_s)
        for customer in deployment.customers
    ]


def run_once(deployment: Deployment, flows: list[Flow], seed: int, disabled: frozenset[str]) -> Run:
    """Serve the flows in one way."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(START_S)
    callers = Callers(bench, seed)
    callers.schedule(draw_arrivals(flows, seed))
    bench.run(WARM_UP_S)
    before = long_tokens(callers)
    bench.run(MEASURED_S)
    after = long_tokens(callers)
    bench.run(DRAIN_S)
    short = [
        sent
        for sent in callers.sent
        if sent.arrival.kind is SHORT and sent.arrival.at_s >= WARM_UP_S
    ]
    waits = [sent.last.first_token_s for sent in short]
    known = [wait_s for wait_s in waits if wait_s is not None]
    return Run(known, len(waits) - len(known), (after - before) / MEASURED_S)


def long_tokens(callers: Callers) -> int:
    """Return the tokens of long work that callers have received."""
    return sum(len(s.last.payloads) for s in callers.sent if s.arrival.kind is LONG)


def compare(deployment: Deployment, seed: int, disabled: frozenset[str]) -> Comparison:
    """Serve the questions with and without plans in one way."""
    short = flows_of(deployment, SHORT, 0.5)
    long = flows_of(deployment, LONG, 0.5)
    tokens_per_s = LOAD * capacity_per_s(deployment, short + long, seed)
    short = scale_flows(short, tokens_per_s)
    long = scale_flows(long, tokens_per_s)
    mixed = run_once(deployment, short + long, seed, disabled)
    return Comparison(mixed, run_once(deployment, short, seed, disabled))


def describe(name: str, way: str, result: Comparison) -> str:
    """Return one line for the reader."""
    mixed, alone = result.mixed, result.alone
    return (
        f"{name} {way}: p99 {mixed.p99_s:.4f} s with plans, {alone.p99_s:.4f} s without, "
        f"ratio {result.ratio:.3f}; p95 {percentile(mixed.first_token_s, 0.95):.4f} s; "
        f"plans {mixed.long_tokens_per_s:.0f} tokens/s; unanswered {mixed.unanswered_count}"
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    worst: tuple[float, Report] | None = None
    for name, make in sorted(DEPLOYMENTS.items()):
        ours = compare(make(), seed, disabled)
        plain = compare(make(), seed, PLAIN_WAY)
        loss = 1.0 - ours.mixed.long_tokens_per_s / plain.mixed.long_tokens_per_s
        if verbose:
            click.echo(describe(name, "ours", ours))
            click.echo(describe(name, "plain", plain))
            click.echo(f"{name}: plans' throughput lost {loss:.1%}")
        report = Report(
            experiment=NAME,
            seed=seed,
            measure=f"{name}: questions' p99 first token with plans ÷ without",
            baseline=plain.ratio,
            candidate=ours.ratio,
            target=TARGET,
            violations=int(loss > LONG_LOSS_MAX) + ours.mixed.unanswered_count,
            note=f"p99 {ours.mixed.p99_s:.4f} s; plans' throughput lost {loss:.1%}",
        )
        if worst is None or ours.ratio > worst[0]:
            worst = (ours.ratio, report)
            if plot is not None:
                series = {
                    "ours with plans": ours.mixed.first_token_s,
                    "ours without": ours.alone.first_token_s,
                    "plain with plans": plain.mixed.first_token_s,
                    "plain without": plain.alone.first_token_s,
                }
                plot_latencies(plot, f"{NAME} {name}", series, target_s=0.75)
    assert worst is not None, "there is no deployment"
    return worst[1]
