"""Length estimates, concurrency limits, immediate refusals, fair shares and preemption."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from coriandershelf_core import CoreSettings, NotRun, RefusalReason
from coriandershelf_core.internal.admission.lengths import PRIOR_TOKENS, LengthEstimator, observe
from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.inventory import Replica
from coriandershelf_rig.internal.bench import Bench, Shape
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.workload import LONG, SHORT, Callers, Flow, draw_arrivals

ENTRY_VMS = tuple(f"entry-{index}" for index in range(1, 10))
REFUSAL_LIMIT_S = 0.050


def make_request(prompt_tokens=100, max_tokens=4096):
    return Bench(kingston(), 1).chat("depot", prompt_tokens, max_tokens)


def test_a_length_is_learnt_from_answers_and_never_exceeds_the_bound():
    lengths = LengthEstimator()
    request = make_request()
    assert lengths.expect_tokens("depot", request) == PRIOR_TOKENS
    for _ in range(20):
        lengths.learn(observe("depot", request, 60))
    assert 50 < lengths.expect_tokens("depot", request) < 70
    bounded = make_request(max_tokens=16)
    assert lengths.expect_tokens("depot", bounded) <= 16


def test_one_customers_lengths_serve_for_another_until_it_has_its_own():
    lengths = LengthEstimator()
    request = make_request(prompt_tokens=800)
    for _ in range(5):
        lengths.learn(observe("tram-authority", request, 2000))
    assert lengths.expect_tokens("depot", request) > 1000
    for _ in range(5):
        lengths.learn(observe("depot", request, 40))
    assert lengths.expect_tokens("depot", request) < 100


@pytest.mark.parametrize("slots", [1, 8, 16, 24])
def test_the_floors_of_all_entry_vms_sum_to_the_floor_of_the_replica(slots):
    settings = CoreSettings()
    state = ReplicaState(Replica("route-1", "m", "a", "x", slots))
    owned = 0
    for vm_id in ENTRY_VMS:
        limits = Limits(settings, vm_id, random.Random(1))
        limits.set_entry_vms(ENTRY_VMS)
        limits.on_digests(state, 0, 0.0)
        owned += limits._limit_of(state).long_owned_count
    assert owned == round(settings.long_floor_share * slots) <= slots


def test_credit_for_long_work_leaves_the_reserve_free():
    settings = CoreSettings()
    limits = Limits(settings, "entry-1", random.Random(1))
    limits.set_entry_vms(ENTRY_VMS)
    state = ReplicaState(Replica("route-1", "m", "a", "x", 24))
    open_count = int(24 * (1.0 - settings.long_reserve_share)) + 1
    for step in range(200):
        limits.on_digests(state, open_count, step * 1.0)
        assert limits._limit_of(state).long_credit_count == 0


def overloaded_bench(disabled=frozenset()):
    bench = Bench(kingston(), 1, disabled=disabled)
    bench.run(1.0)
    callers = Callers(bench, 1)
    flows = [Flow(item.name, SHORT, 40.0, 0.0, 3.0) for item in bench.deployment.customers]
    callers.schedule(draw_arrivals(flows, 1))
    bench.run(8.0)
    return bench


def refusals(bench):
    return [call for call in bench.calls.values() if isinstance(call.outcome, NotRun)]


def test_under_overload_each_refusal_comes_at_once_with_a_reason_and_a_time():
    bench = overloaded_bench()
    refused = refusals(bench)
    assert refused
    for call in refused:
        assert call.ended_at_s - call.sent_at_s <= REFUSAL_LIMIT_S
        assert call.outcome.reason in (RefusalReason.OVERLOADED, RefusalReason.OVER_SHARE)
        assert call.outcome.retry_after_s > 0.0
        steps = bench.entries[call.vm_id].core.context.traces[call.request.request_id]
        assert steps[-1].detail == call.outcome.reason.code
    counted = sum(count for name, count in bench.counters.items() if name.startswith("refusal."))
    assert counted == len(refused)


def test_without_admission_nothing_is_refused_at_once():
    assert not refusals(overloaded_bench(frozenset({"admission"})))


# Long enough for about a hundred requests: of only twenty, the 95th percentile is the maximum.
FLOOD_S = 15.0


def small_customer_waits_in_flood(disabled=frozenset()):
    """Return a small customer's sorted first-token times while a large one floods the fleet."""
    bench = Bench(kingston(), 1, disabled=disabled)
    bench.run(1.0)
    callers = Callers(bench, 1)
    flows = [
        Flow("tram-authority", SHORT, 150.0, 0.0, FLOOD_S),
        Flow("training", SHORT, 8.0, 0.0, FLOOD_S),
    ]
    callers.schedule(draw_arrivals(flows, 1))
    bench.run(FLOOD_S + 6.0)
    small = [s for s in callers.sent if s.arrival.customer == "training" and s.arrival.at_s > 2.0]
    return sorted(s.last.first_token_s or float("inf") for s in small)


def test_a_small_customer_is_within_the_target_while_a_large_one_floods():
    waits = small_customer_waits_in_flood()
    assert waits[int(0.95 * len(waits))] <= 0.75


def test_without_shares_and_preemption_the_flood_takes_the_small_customer_along():
    disabled = frozenset({"fair-queue", "preemption", "limits", "admission", "engine-priority"})
    waits = small_customer_waits_in_flood(disabled)
    assert waits[int(0.95 * len(waits))] > 0.75


def test_a_preempted_answer_is_whole_and_long_work_ends():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    callers = Callers(bench, 1)
    long_kind = replace(LONG, length_median_tokens=600.0, length_sigma=0.1)
    long = [Flow("night-crews", long_kind, 25.0, 0.0, 3.0)]
    short = [Flow("depot", SHORT, 40.0, 4.0, 8.0)]
    callers.schedule(draw_arrivals(long + short, 1))
    bench.run(50.0)
    assert bench.counters["preempted"] > 0
    long_requests = [sent for sent in callers.sent if sent.arrival.kind is long_kind]
    assert long_requests and all(sent.succeeded for sent in long_requests)


def test_a_work_that_runs_past_its_guess_counts_as_long():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    call = bench.send("entry-1", bench.chat("depot", 50, 4096), Shape(900))
    bench.run(40.0)
    assert call.ended_at_s is not None
    assert bench.counters["length-misjudged"] == 1
