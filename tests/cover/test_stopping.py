"""Graceful stop: not ready first, serving during the load balancer's lag, then draining."""

from __future__ import annotations

import pytest

from coriandershelf_core import Done, NotRun, RefusalReason, Unknown
from coriandershelf_core.internal.vocabulary.events import ReclaimNotice, StopAsked
from coriandershelf_rig.internal.bench import Bench, is_whole
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.experiments.graceful_stop import STOP_COUNT, StopSimulation


def stopping_bench(urgent: bool = False) -> Bench:
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    bench.feed("entry-1", StopAsked(bench.now_s + 600.0, urgent))
    return bench


def test_readiness_goes_first_and_new_requests_are_served_during_the_balancers_lag():
    bench = stopping_bench()
    assert not bench.entries["entry-1"].core.ready
    bench.run(1.0)
    call = bench.send("entry-1", bench.chat("depot", max_tokens=20))
    bench.run(10.0)
    assert is_whole(call, bench.shapes[call.request.request_id])


def test_new_requests_are_refused_as_not_run_after_the_balancers_lag():
    bench = stopping_bench()
    bench.send("entry-1", bench.chat("depot", max_tokens=900))
    bench.run(4.0)
    late = bench.send("entry-1", bench.chat("depot", max_tokens=20))
    assert late.outcome == NotRun(RefusalReason.STOPPING, retry_after_s=0.0)


def test_a_second_signal_ends_the_lag_and_cuts_nothing():
    bench = stopping_bench()
    call = bench.send("entry-1", bench.chat("depot", max_tokens=200))
    bench.feed("entry-1", StopAsked(bench.now_s + 600.0, urgent=True))
    late = bench.send("entry-1", bench.chat("depot", max_tokens=20))
    bench.run(30.0)
    assert isinstance(late.outcome, NotRun)
    assert is_whole(call, bench.shapes[call.request.request_id])
    assert bench.entries["entry-1"].stopped_at_s is not None


def test_a_caller_cut_by_a_short_notice_is_told_so_before_the_end():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    call = bench.send("entry-1", bench.chat("depot", max_tokens=900))
    bench.run(1.0)
    bench.feed("entry-1", ReclaimNotice("entry-1", bench.now_s + 2.0))
    refused = bench.send("entry-1", bench.chat("depot", max_tokens=900))
    bench.run(1.0)
    assert call.outcome is None
    bench.run(1.0)
    assert call.outcome == Unknown(RefusalReason.STOPPING, retry_after_s=0.0)
    assert refused.outcome == NotRun(RefusalReason.STOPPING, retry_after_s=0.0)


def test_a_notice_meant_for_an_earlier_vm_of_the_same_name_stops_nothing():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    bench.feed("entry-1", ReclaimNotice("entry-1", bench.now_s - 5.0))
    assert bench.entries["entry-1"].core.ready


def test_stopping_entry_vms_under_load_cuts_and_loses_nothing():
    result = StopSimulation(1, frozenset()).run()
    assert (result.aborted_count, result.lost_job_count, result.stopped_count) == (
        0,
        0,
        STOP_COUNT,
    ), result


@pytest.mark.parametrize("mechanism", ["finish-in-flight", "job-handover,job-takeover"])
def test_a_stop_cuts_or_loses_work_with_a_mechanism_out(mechanism):
    result = StopSimulation(1, frozenset(mechanism.split(","))).run()
    assert result.aborted_count + result.lost_job_count > 0


def test_a_plain_call_in_flight_is_finished_before_the_stop():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    call = bench.send("entry-1", bench.plain_call("depot", "orders/new", b"pole", "k1"))
    bench.feed("entry-1", StopAsked(bench.now_s + 600.0, urgent=True))
    bench.run(5.0)
    assert isinstance(call.outcome, Done)
