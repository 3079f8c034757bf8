"""Tests of leases, orders and purchases.

The faults are pauses, lost responses, refused starts and expired log records.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coriandershelf_core import CoreSettings
from coriandershelf_core.internal.control.purchase_planning import (
    FleetVm,
    Offer,
    SlotDemand,
    plan_purchase,
    plan_release,
    surviving_slots,
)
from coriandershelf_core.internal.vocabulary.actions import SendOrder
from coriandershelf_core.internal.vocabulary.inventory import PurchaseModel, Replica
from coriandershelf_rig.internal.control_bench import ControlBench, make_offers
from coriandershelf_rig.internal.experiments import cost

ZONES = ("zone-a", "zone-b", "zone-c")
PRICES = dict.fromkeys(ZONES, 0.3)
OFFERS = make_offers(ZONES, PRICES, 1.0, 16)


USUAL_DEMAND = SlotDemand(60.0, 30.0)


def make_bench(demand=USUAL_DEMAND, budget=10.0, disabled=frozenset(), **options) -> ControlBench:
    bench = ControlBench(ZONES, 1, lambda now_s: demand, budget, frozenset(disabled), **options)
    bench.offers = OFFERS
    return bench


def run_steps(bench: ControlBench, count: int, step_s: float = 1.0) -> None:
    for _ in range(count):
        bench.step(step_s)


def count_holders(bench: ControlBench) -> int:
    return sum(node.control.spending_lease.is_held(bench.now_s) for node in bench.nodes.values())


@settings(max_examples=40)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["entry-1", "entry-2", "entry-3"]),
            st.sampled_from(["pause", "wake", "restart", "lose", "down", "up"]),
            st.integers(1, 30),
        ),
        max_size=25,
    )
)
def test_at_most_one_vm_holds_a_lease_at_any_time(faults):
    bench = make_bench()
    run_steps(bench, 5)
    zones = dict(zip(bench.nodes, ZONES, strict=True))
    for vm_id, fault, steps in faults:
        node = bench.nodes[vm_id]
        if fault in ("pause", "wake"):
            node.paused = fault == "pause"
        elif fault == "restart":
            bench.start_node(vm_id, zones[vm_id])
        elif fault == "lose":
            bench.log.lost_answer_share = 0.5
        else:
            bench.log.down = fault == "down"
        for _ in range(steps):
            bench.step(1.0)
            assert count_holders(bench) <= 1


def test_a_lease_passes_on_after_its_holder_stops_renewing():
    bench = make_bench()
    run_steps(bench, 5)
    first = bench.lease_holder("spending")
    assert first is not None
    first.paused = True
    run_steps(bench, 20)
    second = bench.lease_holder("spending")
    assert second is not None and second is not first
    assert (
        second.control.spending_lease.fencing_number > first.control.spending_lease.fencing_number
    )


def test_a_stopping_holder_gives_its_lease_back_at_once():
    bench = make_bench()
    run_steps(bench, 5)
    first = bench.lease_holder("spending")
    first.context.stopping = True
    run_steps(bench, 4)
    second = bench.lease_holder("spending")
    assert second is not None and second is not first


def replica(checks_fencing: bool) -> Replica:
    return Replica("r-1", "model", "zone-a", "127.0.0.1:1", 16, checks_fencing=checks_fencing)


def run_orders_with_paused_holder(disabled=frozenset(), checks_fencing=False) -> ControlBench:
    """Pause a lease holder before it sends an order; resume it once another VM holds the lease."""
    bench = ControlBench(
        ("zone-a", "zone-a"),
        1,
        lambda now_s: SlotDemand(0.0, 0.0),
        0.0,
        frozenset(disabled),
        CoreSettings(order_limit_s=15.0),
        (replica(checks_fencing),),
        "weights-1",
    )
    run_steps(bench, 3)
    holder = bench.lease_holder("orders/zone-a")
    number = holder.control.orders_lease.fencing_number
    holder.paused = True
    run_steps(bench, 60)
    successor = bench.lease_holder("orders/zone-a")
    assert successor is not None and successor is not holder
    assert bench.upstreams["r-1"].fencing_number > number
    holder.paused = False
    holder.context.emit(
        SendOrder("late", "r-1", "127.0.0.1:1", "load old", number, bench.now_s - 30.0)
    )
    bench._perform_all(holder)
    run_steps(bench, 10)
    return bench


def test_a_paused_holder_that_wakes_sends_no_order_under_its_old_lease():
    bench = run_orders_with_paused_holder()
    assert bench.upstreams["r-1"].stale_order_count == 0
    assert bench.upstreams["r-1"].state == "load model weights-1"


def test_without_the_check_before_each_send_an_old_order_is_acted_on():
    bench = run_orders_with_paused_holder({"check-before-send"})
    assert bench.upstreams["r-1"].stale_order_count == 1


def test_an_upstream_that_checks_fencing_refuses_an_old_order():
    bench = run_orders_with_paused_holder({"check-before-send"}, checks_fencing=True)
    assert bench.upstreams["r-1"].stale_order_count == 0
    assert bench.upstreams["r-1"].state == "load model weights-1"


@pytest.mark.parametrize("disabled, waits", [(frozenset(), True), (frozenset({"wait-out"}), False)])
def test_a_new_holder_waits_out_orders_to_upstreams_that_ignore_fencing(disabled, waits):
    bench = ControlBench(
        ("zone-a",),
        1,
        lambda now_s: SlotDemand(0.0, 0.0),
        0.0,
        disabled,
        CoreSettings(order_limit_s=15.0),
        (replica(False),),
        "weights-1",
    )
    run_steps(bench, 10)
    assert (bench.upstreams["r-1"].state == "") is waits
    run_steps(bench, 15)
    assert bench.upstreams["r-1"].state == "load model weights-1"


def highest_price(disabled=frozenset()) -> float:
    """Return the highest hourly price, with a demand far above the budget and paused holders."""
    bench = make_bench(SlotDemand(400.0, 400.0), 3.0, disabled)
    bench.log.lost_answer_share = 0.3
    bench.cloud.lost_answer_share = 0.3
    highest = 0.0
    for index in range(300):
        holder = bench.lease_holder("spending")
        if holder is not None and index % 40 == 20:
            holder.paused = True
        if index % 40 == 0:
            for node in bench.nodes.values():
                node.paused = False
        bench.step(1.0)
        highest = max(highest, bench.price_per_hour())
    return highest


def test_spending_stays_within_the_budget_also_with_paused_holders_and_lost_answers():
    assert 0 < highest_price() <= 3.0


def test_without_the_budget_check_spending_goes_over_it():
    assert highest_price({"budget"}) > 3.0


def test_a_start_whose_answer_was_lost_is_not_ordered_twice():
    bench = make_bench()
    bench.cloud.lost_answer_share = 0.7
    run_steps(bench, 200)
    accepted = {item.token for item in bench.nodes["entry-1"].control.purchases.open()}
    assert {vm.token for vm in bench.cloud.running(bench.now_s)} <= accepted
    assert 60 / 0.85 <= 16 * len(bench.cloud.running(bench.now_s)) <= 60 / 0.85 + 16


def test_after_a_zone_is_reclaimed_the_priority_need_is_served_without_it():
    bench = make_bench()
    run_steps(bench, 200)
    reclaimed_zone = ZONES[0]
    bench.cloud.refuses_start = lambda zone, purchase: zone == reclaimed_zone
    for vm in bench.cloud.running(bench.now_s):
        if vm.zone == reclaimed_zone:
            bench.cloud.reclaim(vm.token, bench.now_s)
    assert 16 * len(bench.serving()) >= 30
    run_steps(bench, 200)
    assert 16 * len(bench.serving()) >= 60 / 0.85


def test_a_vm_that_boots_after_records_expired_learns_the_purchases_from_a_snapshot():
    settings_ = CoreSettings(control_snapshot_s=60.0)
    bench = make_bench(settings=settings_)
    bench.log.retention_s = 200.0
    run_steps(bench, 400)
    late = bench.start_node("entry-9", "zone-a")
    run_steps(bench, 3)
    assert late.control.synced
    assert late.control.purchases.open() == bench.nodes["entry-1"].control.purchases.open()


def test_no_more_is_bought_where_only_the_crowded_zone_is_offered():
    crowded = [FleetVm("t", "zone-a", PurchaseModel.RECLAIMABLE, 0.3, 16, True)] * 4
    demand = SlotDemand(50.0, 25.0)
    offer = Offer("zone-a", "standard", PurchaseModel.RECLAIMABLE, 0.2, 16)
    assert surviving_slots(crowded) < demand.required_surviving_slots
    assert plan_purchase(demand, crowded, [offer]) is None
    elsewhere = Offer("zone-b", "standard", PurchaseModel.RECLAIMABLE, 0.5, 16)
    assert plan_purchase(demand, crowded, [offer, elsewhere]).offer is elsewhere


def test_on_demand_is_bought_only_while_the_priority_target_is_at_risk():
    ready = [FleetVm("t", zone, PurchaseModel.RECLAIMABLE, 0.3, 16, True) for zone in ZONES]
    below_demand = SlotDemand(80.0, 20.0)
    assert plan_purchase(below_demand, ready, OFFERS).offer.purchase is PurchaseModel.RECLAIMABLE
    at_risk = SlotDemand(80.0, 60.0)
    bought = plan_purchase(at_risk, ready, OFFERS)
    assert bought.offer.purchase is PurchaseModel.ON_DEMAND
    assert bought.reason == "priority-at-risk"


def test_on_demand_is_given_back_first():
    fleet = [FleetVm(zone, zone, PurchaseModel.RECLAIMABLE, 0.3, 16, True) for zone in ZONES]
    fleet.append(FleetVm("dear", "zone-a", PurchaseModel.ON_DEMAND, 1.0, 16, True))
    assert plan_release(SlotDemand(30.0, 10.0), fleet).token == "dear"


def test_a_new_holder_takes_over_purchases_without_buying_on_demand():
    bench = make_bench()
    run_steps(bench, 200)
    bench.lease_holder("spending").paused = True
    run_steps(bench, 60)
    kinds = {vm.purchase for vm in bench.cloud.running(bench.now_s)}
    assert kinds == {PurchaseModel.RECLAIMABLE.value}


def test_the_cost_target_is_held_against_all_on_demand():
    report = cost.run(1, frozenset(), verbose=False, plot=None)
    assert report.violations == 0
    assert report.candidate <= cost.TARGET
