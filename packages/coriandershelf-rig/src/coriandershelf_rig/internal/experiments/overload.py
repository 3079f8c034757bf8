"""Goodput at twice the capacity, with callers that retry refused requests."""

from __future__ import annotations

from dataclasses import dataclass

import click

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.baseline import BASELINE_DISABLED
from coriandershelf_rig.internal.bench import Bench, Call
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.experiments.head_of_line import flows_of
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.report import Report, percentile
from coriandershelf_rig.internal.workload import (
    LONG,
    SHORT,
    Callers,
    Flow,
    SentRequest,
    capacity_per_s,
    draw_arrivals,
    scale_flows,
)

NAME = "overload"
TARGET = 0.95
FIRST_TOKEN_TARGET_S = 0.75
TOKEN_GAP_TARGET_S = 0.026
IN_TIME_SHARE_MIN = 0.95
REFUSAL_LIMIT_S = 0.050
RECOVERY_LIMIT_S = 5.0
NORMAL_LOAD_SHARE = 0.5
OVERLOAD_SHARE = 2.0
OVERLOAD_START_S = 20.0
MEASURE_START_S = 30.0
OVERLOAD_END_S = 60.0
END_S = 75.0
DRAIN_S = 45.0
RETRIES_MAX_COUNT = 3
SHORT_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one variant under overload.

    :param goodput: tokens of answers completed in time ÷ capacity, during the overload.
    :param priority_first_token_s: times to first token of priority customers' accepted short
        requests during the overload.
    :param refusal_s: times from a request to its refusal.
    :param recovery_s: time from the end of the overload to the last short request that missed the
        first-token target.
    """

    goodput: float
    priority_first_token_s: list[float]
    priority_gap_p95_s: float
    refusal_s: list[float]
    recovery_s: float

    @property
    def priority_in_time_share(self) -> float:
        """Return the share of priority customers' short requests within the target."""
        latencies_s = self.priority_first_token_s
        return sum(latency_s <= FIRST_TOKEN_TARGET_S for latency_s in latencies_s) / max(
            1, len(latencies_s)
        )

    @property
    def violations(self) -> list[str]:
        """Return the conditions that are violated."""
        violations = []
        if self.priority_in_time_share < IN_TIME_SHARE_MIN:
            violations.append(f"priority first token in time for {self.priority_in_time_share:.1%}")
        if self.priority_gap_p95_s > TOKEN_GAP_TARGET_S:
            violations.append(f"priority token gap p95 {self.priority_gap_p95_s:.4f} s")
        if self.refusal_s and max(self.refusal_s) > REFUSAL_LIMIT_S:
            violations.append(f"slowest refusal {max(self.refusal_s):.3f} s")
        if self.recovery_s > RECOVERY_LIMIT_S:
            violations.append(f"recovery {self.recovery_s:.1f} s")
        return violations


def run_once(
    deployment: Deployment, flows: list[Flow], capacity: float, seed: int, disabled: frozenset[str]
) -> RunResult:
    """Serve normal load, overload and normal load again with one variant."""
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    start_s = bench.now_s
    callers = Callers(bench, seed, RETRIES_MAX_COUNT)
    callers.schedule(draw_arrivals(flows, seed))
    bench.run(MEASURE_START_S)
    tokens_before = received_tokens(callers)
    bench.run(OVERLOAD_END_S - MEASURE_START_S)
    tokens_after = received_tokens(callers)
    bench.run(END_S - OVERLOAD_END_S + DRAIN_S)
    # An answer counts only if it completed in time, which is known only at the end of the run.
    late_tokens = sum(
        token_count
        for sent, token_count in tokens_after.items()
        if not callers.sent[sent].succeeded
    ) - sum(
        token_count
        for sent, token_count in tokens_before.items()
        if not callers.sent[sent].succeeded
    )
    tokens = sum(tokens_after.values()) - sum(tokens_before.values()) - late_tokens
    priority_customers = {item.name for item in deployment.customers if item.priority == 0}
    accepted = [
        sent.last
        for sent in callers.sent
        if sent.arrival.kind is SHORT
        and sent.arrival.customer in priority_customers
        and MEASURE_START_S <= sent.last.sent_at_s - start_s < OVERLOAD_END_S
        and not isinstance(sent.last.outcome, NotRun)
    ]
    gaps = [gap_s for call in accepted for gap_s in call.token_gaps_s]
    return RunResult(
        goodput=tokens / (OVERLOAD_END_S - MEASURE_START_S) / capacity,
        priority_first_token_s=[first_token_s_or_inf(call) for call in accepted],
        priority_gap_p95_s=percentile(gaps, IN_TIME_SHARE_MIN) if gaps else float("inf"),
        refusal_s=refusal_times_s(bench.calls.values()),
        recovery_s=recovery_s(callers.sent, start_s),
    )


def received_tokens(callers: Callers) -> dict[int, int]:
    """Return the tokens received so far for each arrival, by its index."""
    return {
        index: sum(len(call.payloads) for call in sent.calls)
        for index, sent in enumerate(callers.sent)
    }


def first_token_s_or_inf(call: Call) -> float:
    """Return the time to first token, infinite if there was none."""
    return float("inf") if call.first_token_s is None else call.first_token_s


def refusal_times_s(calls: object) -> list[float]:
    """Return how long each refused call waited for its refusal."""
    return [
        call.ended_at_s - call.sent_at_s
        for call in calls  # type: ignore[attr-defined]
        if isinstance(call.outcome, NotRun) and call.ended_at_s is not None
    ]


def recovery_s(sent: list[SentRequest], start_s: float) -> float:
    """Return the time from the end of the overload to the last short request that was late."""
    end_s = start_s + OVERLOAD_END_S
    misses_s = [
        call.sent_at_s - end_s
        for item in sent
        if item.arrival.kind is SHORT
        for call in item.calls
        if call.sent_at_s >= end_s and first_token_s_or_inf(call) > FIRST_TOKEN_TARGET_S
    ]
    return max(misses_s, default=0.0)


def load_flows(deployment: Deployment, seed: int) -> tuple[list[Flow], float]:
    """Return a run's flows and the capacity by which they are scaled."""
    mix = flows_of(deployment, SHORT, SHORT_SHARE) + flows_of(deployment, LONG, 1.0 - SHORT_SHARE)
    capacity = capacity_per_s(deployment, mix, seed)
    normal = scale_flows(mix, NORMAL_LOAD_SHARE * capacity)
    extra = scale_flows(mix, (OVERLOAD_SHARE - NORMAL_LOAD_SHARE) * capacity)
    flows = [Flow(flow.customer, flow.kind, flow.rate_per_s, 0.0, END_S) for flow in normal]
    flows += [
        Flow(flow.customer, flow.kind, flow.rate_per_s, OVERLOAD_START_S, OVERLOAD_END_S)
        for flow in extra
    ]
    return flows, capacity


def describe(name: str, variant: str, result: RunResult) -> str:
    """Return a one-line summary."""
    slowest = max(result.refusal_s, default=0.0)
    return (
        f"{name} {variant}: goodput {result.goodput:.3f} of capacity; priority questions in time "
        f"{result.priority_in_time_share:.1%} of {len(result.priority_first_token_s)}, gap p95 "
        f"{result.priority_gap_p95_s:.4f} s; {len(result.refusal_s)} refusals, slowest "
        f"{slowest:.3f} s; normal {result.recovery_s:.1f} s after the load's end"
    )


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    worst: Report | None = None
    for name, make in sorted(DEPLOYMENTS.items()):
        deployment = make()
        flows, capacity = load_flows(deployment, seed)
        candidate = run_once(deployment, flows, capacity, seed, disabled)
        baseline = run_once(deployment, flows, capacity, seed, BASELINE_DISABLED)
        if verbose:
            click.echo(describe(name, "ours", candidate))
            click.echo(describe(name, "plain", baseline))
        report = Report(
            experiment=NAME,
            seed=seed,
            measure=f"{name}: goodput ÷ capacity at twice capacity",
            baseline=baseline.goodput,
            candidate=candidate.goodput,
            target=TARGET,
            violations=len(candidate.violations),
            note="; ".join(candidate.violations),
        )
        if worst is None or _severity(report) > _severity(worst):
            worst = report
            if plot is not None:
                series = {
                    "ours": candidate.priority_first_token_s,
                    "plain": baseline.priority_first_token_s,
                }
                plot_latencies(plot, f"{NAME} {name}", series, FIRST_TOKEN_TARGET_S)
    assert worst is not None, "no deployment is defined"
    return worst


def _severity(report: Report) -> tuple[int, float]:
    return (report.violations, -report.candidate)
