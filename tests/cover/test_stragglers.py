"""Stalled replicas lose streams and new work at once; silent streams resume at the same replica."""

from __future__ import annotations

import random

import pytest

from coriandershelf_core import CoreSettings
from coriandershelf_core.internal.routing.budget import RetryBudget
from coriandershelf_core.internal.routing.hedge import HedgeBudget
from coriandershelf_core.internal.routing.recover import backoff_s
from coriandershelf_rig.internal.bench import Bench, Call, is_whole
from coriandershelf_rig.internal.deployments import consorcio, kingston

SEED = 5


def start_streams(*disabled: str, deployment=kingston, count: int = 20) -> tuple[Bench, list[Call]]:
    bench = Bench(deployment(), SEED, disabled=frozenset(disabled))
    bench.run(1.0)
    customer = bench.deployment.customers[0].name
    entries = sorted(bench.entries)
    calls: list[Call] = []
    for index in range(count):
        entry = entries[index % len(entries)]
        bench.at(
            index * 0.02,
            lambda entry=entry: calls.append(
                bench.send(entry, bench.chat(customer, max_tokens=300))
            ),
        )
    bench.run(1.5)
    return bench, calls


def busiest_replica(bench: Bench) -> str:
    return max(
        (name for name, item in bench.upstreams.items() if item.engine),
        key=lambda name: len(bench.upstreams[name].attempts),
    )


def longest_gap_s(calls: list[Call]) -> float:
    return max(max(call.token_gaps_s) for call in calls)


def assert_all_complete(bench: Bench, calls: list[Call]) -> None:
    for call in calls:
        assert is_whole(call, bench.shapes[call.request.request_id]), f"seed {SEED}: {call}"


def run_with_slow_replica(*disabled: str) -> tuple[Bench, list[Call]]:
    bench, calls = start_streams(*disabled)
    bench.upstreams[busiest_replica(bench)].engine.slow_factor = 100.0
    bench.run(20.0)
    return bench, calls


def test_streams_leave_a_stalled_replica_with_their_kv_cache_and_no_token_comes_twice():
    bench, calls = run_with_slow_replica()
    assert_all_complete(bench, calls)
    assert bench.counters["retry.moved"] > 0
    assert sum(item.engine.counters.tokens_recomputed for item in engines(bench)) == 0
    assert longest_gap_s(calls) < longest_gap_s(run_with_slow_replica("move")[1])


def engines(bench: Bench):
    return [item for item in bench.upstreams.values() if item.engine]


@pytest.mark.parametrize(("disabled", "kept_away"), [((), True), (("ejection",), False)])
def test_a_stalled_replica_gets_no_new_work_but_probes(disabled, kept_away):
    bench, _ = start_streams(*disabled)
    name = busiest_replica(bench)
    bench.upstreams[name].engine.slow_factor = 100.0
    bench.run(0.5)
    cores = [entry.core.dispatcher for entry in bench.entries.values()]
    assert all(core.replicas.get(name).health.ejected is kept_away for core in cores)


def test_a_replica_in_order_again_is_readmitted_everywhere():
    bench, _ = start_streams()
    name = busiest_replica(bench)
    bench.upstreams[name].engine.slow_factor = 30.0
    bench.run(1.0)
    bench.upstreams[name].engine.slow_factor = 1.0
    bench.run(2.0)
    cores = [entry.core.dispatcher for entry in bench.entries.values()]
    assert not any(core.replicas.get(name).health.ejected for core in cores)


@pytest.mark.parametrize("without_floor", [False, True])
def test_no_more_than_half_of_a_services_slots_is_ejected(without_floor):
    disabled = ("ejection-floor",) if without_floor else ()
    bench, _ = start_streams(*disabled, count=40)
    for item in engines(bench):
        item.engine.slow_factor = 50.0
    bench.run(1.0)
    shares = []
    for entry in bench.entries.values():
        pool = entry.core.dispatcher.replicas.of_service(bench.deployment.model)
        slots = [state.replica.slots for state in pool]
        ejected = [state.replica.slots for state in pool if state.health.ejected]
        shares.append(sum(ejected) / sum(slots))
    assert (max(shares) > 0.5) is without_floor


def test_a_pause_of_this_vm_ejects_nobody():
    bench, calls = start_streams()
    bench.pause_entry("entry-1")
    bench.run(1.0)
    bench.resume_entry("entry-1")
    bench.run(20.0)
    assert "ejections" not in bench.counters
    assert_all_complete(bench, calls)


def test_hedges_stay_within_their_share_of_work_and_stop_under_overload():
    budget = HedgeBudget(CoreSettings(hedge_share=0.02, hedge_reserve_tokens=500))
    budget.tokens = 0.0
    budget.earn(10_000)
    assert not budget.spend(100, overloaded=True)
    assert budget.spend(200, overloaded=False)
    assert not budget.spend(1, overloaded=False)


def test_retries_are_bounded_by_successes_for_each_customer_and_upstream():
    budget = RetryBudget(CoreSettings(retry_share=0.5, retry_reserve_count=3))
    assert [budget.spend("a", "m1") for _ in range(4)] == [True, True, True, False]
    assert not budget.spend("b", "m1")
    assert budget.spend("b", "m2")
    for _ in range(2):
        budget.on_success("a", "m1", overloaded=True)
    assert not budget.spend("a", "m1")
    for _ in range(2):
        budget.on_success("a", "m1", overloaded=False)
    assert budget.spend("a", "m1")


def test_the_first_retry_is_immediate_and_later_ones_wait_longer_with_jitter():
    settings = CoreSettings()
    waits = [backoff_s(count, settings, random.Random(SEED)) for count in range(1, 5)]
    assert waits[0] == 0.0
    assert waits == sorted(waits)
    assert len({backoff_s(3, settings, random.Random(seed)) for seed in range(5)}) == 5


def silence_one_stream(*disabled: str) -> tuple[Bench, list[Call], str]:
    bench, calls = start_streams(*disabled)
    name = busiest_replica(bench)
    upstream = bench.upstreams[name]
    attempt_id = next(iter(upstream.attempts))
    upstream.muted_attempts.add(attempt_id)
    bench.run(40.0)
    assert_all_complete(bench, calls)
    return bench, calls, attempt_id


def test_a_silent_stream_goes_on_at_the_same_replica_before_any_other():
    bench, calls, attempt_id = silence_one_stream()
    assert bench.counters["retry.reconnected"] == 1
    steps = [
        (step.step, step.detail)
        for entry in bench.entries.values()
        for trace in entry.core.context.traces.values()
        if any(step.step == "reconnect" for step in trace)
        for step in trace
        if step.step in ("dispatched", "reconnect")
    ]
    assert steps[0][1] == steps[1][1], f"seed {SEED}: {steps}"
    assert sum(item.engine.counters.tokens_recomputed for item in engines(bench)) == 0
    assert longest_gap_s(calls) < longest_gap_s(silence_one_stream("reconnect")[1])


def test_a_stream_silent_from_the_start_is_answered_whole():
    bench = Bench(consorcio(), SEED)
    bench.run(1.0)
    call = bench.send("entry-1", bench.chat("limpiatechos", max_tokens=50))
    bench.run(0.001)
    for upstream in bench.upstreams.values():
        upstream.muted_attempts.update(upstream.attempts)
    bench.run(15.0)
    assert_all_complete(bench, [call])
