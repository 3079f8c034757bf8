"""Head-of-line blocking: how much long requests delay the first tokens of short ones."""

from __future__ import annotations

from dataclasses import dataclass

import click

from coriandershelf_rig.internal.baseline import BASELINE_DISABLED
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.report import Report, percentile
from coriandershelf_rig.internal.workload import (
    LONG,
    SHORT,
    Callers,
    Flow,
    RequestProfile,
    capacity_per_s,
    draw_arrivals,
    scale_flows,
)

NAME = "head-of-line"
LOAD_SHARE = 0.8
TARGET = 1.10
LONG_LOSS_MAX_SHARE = 0.05
WARM_UP_S = 20.0
MEASURE_S = 40.0
DRAIN_S = 15.0
STARTUP_S = 1.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one variant under one load."""

    first_token_s: list[float]
    unanswered_count: int
    long_tokens_per_s: float

    @property
    def p99_s(self) -> float:
        """Return the 99th percentile of the short requests' time to first token."""
        return percentile(self.first_token_s, 0.99)


@dataclass(frozen=True, slots=True)
class Comparison:
    """One variant with and without long requests."""

    mixed: RunResult
    short_only: RunResult

    @property
    def ratio(self) -> float:
        """Return the 99th percentile with long requests ÷ without."""
        return self.mixed.p99_s / self.short_only.p99_s


def flows_of(deployment: Deployment, kind: RequestProfile, tokens_per_s: float) -> list[Flow]:
    """Return one flow per customer, by its share, with ``tokens_per_s`` in total."""
    share_total = sum(customer.share for customer in deployment.customers)
    rate_per_s = tokens_per_s / kind.mean_length_tokens
    end_s = WARM_UP_S + MEASURE_S
    return [
        Flow(customer.name, kind, rate_per_s * customer.share / share_total, 0.0, end_s)
        for customer in deployment.customers
    ]


def run_once(
    deployment: Deployment, flows: list[Flow], seed: int, disabled: frozenset[str]
) -> RunResult:
    """Serve the flows with one variant."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(STARTUP_S)
    callers = Callers(bench, seed)
    callers.schedule(draw_arrivals(flows, seed))
    bench.run(WARM_UP_S)
    tokens_before = long_tokens(callers)
    bench.run(MEASURE_S)
    tokens_after = long_tokens(callers)
    bench.run(DRAIN_S)
    short = [
        sent
        for sent in callers.sent
        if sent.arrival.kind is SHORT and sent.arrival.at_s >= WARM_UP_S
    ]
    latencies_s = [sent.last.first_token_s for sent in short]
    answered_s = [latency_s for latency_s in latencies_s if latency_s is not None]
    return RunResult(
        answered_s, len(latencies_s) - len(answered_s), (tokens_after - tokens_before) / MEASURE_S
    )


def long_tokens(callers: Callers) -> int:
    """Return the tokens of long requests that callers have received."""
    return sum(len(sent.last.payloads) for sent in callers.sent if sent.arrival.kind is LONG)


def compare(deployment: Deployment, seed: int, disabled: frozenset[str]) -> Comparison:
    """Serve the short requests with and without long ones, with one variant."""
    short = flows_of(deployment, SHORT, 0.5)
    long = flows_of(deployment, LONG, 0.5)
    tokens_per_s = LOAD_SHARE * capacity_per_s(deployment, short + long, seed)
    short = scale_flows(short, tokens_per_s)
    long = scale_flows(long, tokens_per_s)
    mixed = run_once(deployment, short + long, seed, disabled)
    return Comparison(mixed, run_once(deployment, short, seed, disabled))


def describe(name: str, variant: str, result: Comparison) -> str:
    """Return a one-line summary."""
    mixed, short_only = result.mixed, result.short_only
    return (
        f"{name} {variant}: p99 {mixed.p99_s:.4f} s with plans, {short_only.p99_s:.4f} s without, "
        f"ratio {result.ratio:.3f}; p95 {percentile(mixed.first_token_s, 0.95):.4f} s; "
        f"plans {mixed.long_tokens_per_s:.0f} tokens/s; unanswered {mixed.unanswered_count}"
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    worst: tuple[float, Report] | None = None
    for name, make in sorted(DEPLOYMENTS.items()):
        candidate = compare(make(), seed, disabled)
        baseline = compare(make(), seed, BASELINE_DISABLED)
        loss_share = 1.0 - candidate.mixed.long_tokens_per_s / baseline.mixed.long_tokens_per_s
        if verbose:
            click.echo(describe(name, "ours", candidate))
            click.echo(describe(name, "plain", baseline))
            click.echo(f"{name}: plans' throughput lost {loss_share:.1%}")
        report = Report(
            experiment=NAME,
            seed=seed,
            measure=f"{name}: questions' p99 first token with plans ÷ without",
            baseline=baseline.ratio,
            candidate=candidate.ratio,
            target=TARGET,
            violations=int(loss_share > LONG_LOSS_MAX_SHARE) + candidate.mixed.unanswered_count,
            note=f"p99 {candidate.mixed.p99_s:.4f} s; plans' throughput lost {loss_share:.1%}",
        )
        if worst is None or candidate.ratio > worst[0]:
            worst = (candidate.ratio, report)
            if plot is not None:
                series = {
                    "ours with plans": candidate.mixed.first_token_s,
                    "ours without": candidate.short_only.first_token_s,
                    "plain with plans": baseline.mixed.first_token_s,
                    "plain without": baseline.short_only.first_token_s,
                }
                plot_latencies(plot, f"{NAME} {name}", series, target_s=0.75)
    assert worst is not None, "no deployment is defined"
    return worst[1]
