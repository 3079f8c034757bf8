"""Workloads in virtual time are reproducible, callers retry, and capacity estimates are bounded."""

from __future__ import annotations

import random

from coriandershelf_core import NotRun
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.plots import plot_latencies
from coriandershelf_rig.internal.workload import (
    LONG,
    SHORT,
    Callers,
    Flow,
    capacity_per_s,
    draw_arrival,
    draw_arrivals,
)

SHORT_FLOW = Flow("depot", SHORT, 10.0, 0.0, 5.0)
LONG_FLOW = Flow("depot", LONG, 1.0, 0.0, 5.0)


def test_the_arrivals_of_a_flow_do_not_depend_on_the_other_flows():
    alone = draw_arrivals([SHORT_FLOW], seed=3)
    mixed = draw_arrivals([SHORT_FLOW, LONG_FLOW], seed=3)
    assert [arrival for arrival in mixed if arrival.kind is SHORT] == alone
    assert alone != draw_arrivals([SHORT_FLOW], seed=4)


def test_a_refused_caller_comes_back_after_the_stated_time():
    bench = Bench(kingston(), 1)
    callers = Callers(bench, 1, retry_max_count=3)
    sent = callers.send(draw_arrival("depot", SHORT, 0.0, random.Random(1)))
    bench.run(30.0)
    refused, answered = sent.calls
    assert isinstance(refused.outcome, NotRun), "no entry VM has a configuration at the start"
    assert answered.sent_at_s >= refused.sent_at_s + refused.outcome.retry_after_s
    assert sent.succeeded


def test_a_closed_loop_never_has_more_requests_open_than_callers():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    callers = Callers(bench, 1)
    callers.start_closed_loop("depot", SHORT, 4, 10.0)
    bench.run(5.0)
    assert sum(sent.last.outcome is None for sent in callers.sent) == 4
    bench.run(60.0)
    assert all(sent.succeeded for sent in callers.sent)


def test_capacity_lies_below_the_engines_full_batches():
    deployment = kingston()
    full = sum(
        shape.slots / (shape.step_base_s + shape.step_per_sequence_s * shape.slots)
        for shape in (item.engine for item in deployment.replicas)
        if shape is not None
    )
    assert 0.5 * full < capacity_per_s(deployment, [SHORT_FLOW, LONG_FLOW], 1) < full


def test_a_plot_is_written(tmp_path):
    file = plot_latencies(str(tmp_path / "plot.png"), "t", {"ours": [0.1, 0.2]}, target_s=0.75)
    assert file.stat().st_size > 0
