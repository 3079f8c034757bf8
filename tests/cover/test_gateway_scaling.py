"""Autoscaling: spot replicas spread over zones, on-demand ones during a spot shortage.

Test names call spot replicas reclaimable, on-demand ones lasting, a spot shortage a drought and the
spot replicas added while requests are late the reserve.
"""

from __future__ import annotations

from coriandershelf_core.internal.gateway.deployment import Replica, ScaleLimits, Service
from coriandershelf_core.internal.gateway.scaling import (
    INITIAL_COUNT,
    LATE_BOOST_MAX,
    LATE_BOOST_PERIOD_S,
    LATE_BOOST_STEP,
    LATE_HIGH_SHARE,
    SETTLE_S,
    SHORTAGE_LOSS_SHARE,
    ZONE_LOSS_SHARE,
    Autoscaler,
    ScalingOrder,
    ServiceLoad,
)

SCALE = ScaleLimits(1, 6, 4.0, 0.18, {"a": 0.85, "b": 1.0, "c": 1.2})
SERVICE = Service("engine", 100, engine_slots_count=64, scale=SCALE)
RATE = 1000.0


class FakeCloud:
    """A cloud that boots ordered replicas and can run out of spot replicas."""

    def __init__(self, first_start: bool = False) -> None:
        self.scaling = Autoscaler(RATE, RATE, first_start)
        self.counts = {(zone, reclaimable): 0 for zone in "abc" for reclaimable in (True, False)}
        self.booting: list[tuple[float, tuple[str, bool], int]] = []
        self.spot_shortage = False
        self.running = 0
        self.late_share = 0.0
        self.now_s = 0.0
        self.orders: list[tuple[float, ScalingOrder]] = []

    def replicas(self) -> list[Replica]:
        return [
            Replica(
                f"{zone}{reclaimable}{index}", "engine", "x:1", zone, 64, reclaimable=reclaimable
            )
            for (zone, reclaimable), count in self.counts.items()
            for index in range(count)
        ]

    def run(self, duration_s: float, tokens_per_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.5
            for item in [item for item in self.booting if item[0] <= self.now_s]:
                self.booting.remove(item)
                self.counts[item[1]] = max(self.counts[item[1]], item[2])
            load = ServiceLoad(tokens_per_s, self.running, late_share=self.late_share)
            if self.order_all(load):
                self.order_all(load)

    def order_all(self, load: ServiceLoad) -> bool:
        orders = self.scaling.orders(SERVICE, self.replicas(), load, self.now_s)
        refused = [self.handle_order(order) for order in orders]
        return any(refused)

    def handle_order(self, order: ScalingOrder) -> bool:
        """Handle an order; return whether it is refused."""
        self.orders.append((self.now_s, order))
        key = (order.zone, order.reclaimable)
        if self.spot_shortage and order.reclaimable and order.count > self.counts[key]:
            self.scaling.on_refused(order, self.now_s)
            return True
        self.scaling.on_accepted(order, self.now_s)
        if order.count < self.counts[key]:
            # A zone keeps its minimum, both kinds together and including booting ones.
            other_kind_count = self.counts[(order.zone, not order.reclaimable)]
            booting = sum(1 for item in self.booting if item[1][0] == order.zone)
            minimum = max(0, SCALE.min_count - other_kind_count - booting)
            self.counts[key] = max(order.count, minimum)
        else:
            self.booting.append((self.now_s + SCALE.boot_s, key, order.count))
        return False

    def reclaim_zone(self, zone: str) -> None:
        self.counts[(zone, True)] = 0

    def spot_count(self) -> int:
        return sum(count for (_, reclaimable), count in self.counts.items() if reclaimable)

    def count_after_zone_loss(self) -> int:
        largest = max(self.counts[(zone, True)] for zone in "abc")
        return self.spot_count() + self.on_demand_count() - largest

    def on_demand_count(self) -> int:
        return sum(count for (_, reclaimable), count in self.counts.items() if not reclaimable)


def test_only_reclaimable_replicas_serve_a_steady_load_that_survives_a_zone():
    cloud = FakeCloud()
    cloud.run(30.0, 4.0 * RATE)
    assert cloud.on_demand_count() == 0
    assert cloud.spot_count() - max(cloud.counts[(zone, True)] for zone in "abc") >= 4


def test_replicas_are_there_before_any_load():
    cloud = FakeCloud()
    cloud.run(10.0, 0.0)
    assert cloud.spot_count() >= INITIAL_COUNT


def test_lasting_replicas_of_the_start_are_kept_until_reclaimable_ones_serve():
    cloud = FakeCloud()
    cloud.counts[("a", False)] = 3
    cloud.counts[("b", False)] = 3
    minimum = 99
    for _ in range(60):
        cloud.run(0.5, 4.0 * RATE)
        minimum = min(minimum, cloud.spot_count() + cloud.on_demand_count())
    assert minimum >= 4
    assert cloud.on_demand_count() == 0


def test_before_any_traffic_lasting_replicas_go_as_soon_as_reclaimable_ones_are_ordered():
    cloud = FakeCloud(first_start=True)
    for zone in "abc":
        cloud.counts[(zone, False)] = 6
    cloud.run(SETTLE_S + 0.5, 0.0)
    # A zone's limits cover both kinds, so on-demand replicas are released first, to the minimum.
    first = [(order.reclaimable, order.count) for _, order in cloud.orders]
    assert first == [(False, SCALE.min_count)] * 3 + [(True, 6)] * 3
    cloud.run(1.0, 0.0)
    assert cloud.on_demand_count() == 0
    cloud.run(SCALE.boot_s, 0.0)
    assert cloud.count_after_zone_loss() >= 11


def test_before_any_traffic_lasting_replicas_stay_where_no_reclaimable_ones_are_to_be_had():
    cloud = FakeCloud(first_start=True)
    cloud.spot_shortage = True
    for zone in "abc":
        cloud.counts[(zone, False)] = 6
    cloud.run(SETTLE_S + SCALE.boot_s + 2.0, 0.0)
    assert cloud.on_demand_count() >= 11


def test_in_a_drought_what_is_there_is_kept_and_lasting_ones_make_up_for_the_rest():
    cloud = FakeCloud()
    cloud.run(20.0, 4.0 * RATE)
    cloud.spot_shortage = True
    cloud.reclaim_zone("a")
    cloud.run(6.0, 4.0 * RATE)
    assert cloud.spot_count() == 4
    assert cloud.count_after_zone_loss() >= ZONE_LOSS_SHARE * 4
    cloud.reclaim_zone("b")
    cloud.run(6.0, 4.0 * RATE)
    assert cloud.spot_count() + cloud.on_demand_count() >= 4
    assert cloud.count_after_zone_loss() >= ZONE_LOSS_SHARE * 4
    released = [o for at_s, o in cloud.orders if at_s > 20.0 and o.reclaimable and o.count < 2]
    assert not released


def test_after_a_drought_lasting_ones_are_given_back():
    cloud = FakeCloud()
    cloud.run(20.0, 4.0 * RATE)
    cloud.spot_shortage = True
    cloud.reclaim_zone("a")
    cloud.run(10.0, 4.0 * RATE)
    cloud.spot_shortage = False
    cloud.run(30.0, 4.0 * RATE)
    assert cloud.on_demand_count() == 0
    assert cloud.spot_count() == 6


def test_a_steady_load_sends_no_further_orders():
    cloud = FakeCloud()
    cloud.run(30.0, 4.0 * RATE)
    before = len(cloud.orders)
    cloud.run(60.0, 4.0 * RATE)
    assert len(cloud.orders) == before


def test_taken_slots_call_for_replicas_as_well_as_tokens():
    cloud = FakeCloud()
    cloud.running = 320
    cloud.run(30.0, RATE)
    assert cloud.count_after_zone_loss() >= 10


def test_replicas_that_register_late_are_not_given_back_at_the_start():
    cloud = FakeCloud()
    cloud.counts[("a", False)] = 2
    cloud.run(2.0, 0.0)
    for zone in "abc":
        cloud.counts[(zone, False)] = 10
    minimum = 99
    for _ in range(40):
        cloud.run(0.5, 0.0)
        minimum = min(minimum, cloud.spot_count() + cloud.on_demand_count())
    assert minimum >= 18
    assert cloud.count_after_zone_loss() >= 12


def test_what_was_there_at_the_start_sets_the_first_count():
    cloud = FakeCloud()
    for zone in "abc":
        cloud.counts[(zone, False)] = 6
    cloud.run(10.0, 0.0)
    assert cloud.count_after_zone_loss() >= 11


def test_replicas_of_half_the_speed_are_needed_as_for_twice_the_load():
    double_load, slow = Autoscaler(RATE, RATE), Autoscaler(RATE, RATE)
    for now_s in (1.0, 1.0 + SETTLE_S):
        orders_double_load = double_load.orders(SERVICE, [], ServiceLoad(8.0 * RATE, 0), now_s)
        orders_slow = slow.orders(SERVICE, [], ServiceLoad(4.0 * RATE, 0, 2.0), now_s)
        assert orders_slow == orders_double_load
    assert orders_slow


def test_a_falling_load_gives_back_no_reclaimable_replica_in_a_drought():
    cloud = FakeCloud()
    cloud.run(20.0, 6.0 * RATE)
    cloud.spot_shortage = True
    cloud.reclaim_zone("a")
    cloud.run(8.0, 6.0 * RATE)
    assert cloud.spot_count() == 6
    cloud.run(20.0, 2.0 * RATE)
    assert cloud.spot_count() == 6
    cloud.spot_shortage = False
    cloud.run(30.0, 2.0 * RATE)
    assert cloud.spot_count() == 3


def test_ordered_replicas_do_not_raise_the_first_count():
    cloud = FakeCloud()
    for zone in "abc":
        cloud.counts[(zone, False)] = 2
    cloud.run(30.0, 0.0)
    assert cloud.spot_count() == 6


def test_work_served_late_calls_for_more_reclaimable_replicas_and_no_lasting_ones():
    cloud = FakeCloud()
    cloud.run(20.0, 3.0 * RATE)
    before = cloud.spot_count()
    cloud.late_share = 2.0 * LATE_HIGH_SHARE
    cloud.run(20.0, 3.0 * RATE)
    assert cloud.spot_count() >= 1.5 * before
    assert cloud.on_demand_count() == 0


def test_the_reserve_is_given_back_once_work_is_served_in_time():
    cloud = FakeCloud()
    cloud.run(20.0, 3.0 * RATE)
    before = cloud.spot_count()
    cloud.late_share = 2.0 * LATE_HIGH_SHARE
    cloud.run(20.0, 3.0 * RATE)
    cloud.late_share = 0.0
    cloud.run(40.0, 3.0 * RATE)
    assert cloud.spot_count() == before


def test_the_reserve_is_bounded_and_grows_no_faster_than_new_replicas_show():
    cloud = FakeCloud()
    cloud.run(20.0, 2.0 * RATE)
    before = cloud.spot_count()
    cloud.late_share = 1.0
    cloud.run(LATE_BOOST_PERIOD_S - 0.5, 2.0 * RATE)
    late_boosts = {order.inputs.late_boost for _, order in cloud.orders}
    assert max(late_boosts) <= LATE_BOOST_STEP
    cloud.run(60.0, 2.0 * RATE)
    assert cloud.spot_count() <= LATE_BOOST_MAX * before + 3


def test_during_a_roll_out_the_new_replicas_are_no_surplus():
    """Fails if the replicas of a new version, or the old ones beside them, are released."""
    steady = FakeCloud()
    steady.run(20.0, 4000.0)
    cloud = FakeCloud()
    cloud.counts = dict(steady.counts)
    cloud.run(20.0, 4000.0)
    cloud.scaling.held_services = {"engine"}
    cloud.counts = {key: 2 * value for key, value in steady.counts.items()}
    cloud.run(20.0, 4000.0)
    assert cloud.orders == []
    cloud.scaling.held_services = set()
    cloud.run(20.0, 4000.0)
    assert cloud.counts == steady.counts


# Guards against seconds without orders at each change of the lease holder, and against a new one
# that knows nothing of a peak some seconds ago.
def test_a_new_holder_that_observed_the_load_orders_at_once_and_for_the_peak():
    replicas = [Replica("a0", "engine", "x:1", "a", 64, reclaimable=True)]
    observer, started = Autoscaler(RATE, RATE), Autoscaler(RATE, RATE)
    for second in range(100, 110):
        tokens_per_s = (10.0 if second < 104 else 2.0) * RATE
        observer.observe("engine", ServiceLoad(tokens_per_s, 0), float(second))
    orders = observer.orders(SERVICE, replicas, ServiceLoad(2.0 * RATE, 0), 110.0)
    assert orders[0].inputs.needed_count == 10
    assert not started.orders(SERVICE, replicas, ServiceLoad(2.0 * RATE, 0), 110.0)


# Guards against a reclaim shortly after an order: the reclaimed replicas were expected to boot for
# seconds, and neither reclaimable nor lasting ones were ordered in their place.
def test_a_reclaim_right_after_an_order_is_made_up_for_at_once():
    scaling = Autoscaler(RATE, RATE)
    load = ServiceLoad(4.0 * RATE, 0)
    present = [
        Replica(f"{zone}{index}", "engine", "x:1", zone, 64, reclaimable=True)
        for zone in "abc"
        for index in range(2)
    ]
    scaling.observe("engine", load, 0.0)
    for order in scaling.orders(SERVICE, present[:5], load, 20.0):
        scaling.on_accepted(order, 20.0)
    assert not scaling.orders(SERVICE, present, load, 20.5)
    reclaimed = [item for item in present if item.zone != "c"]
    orders = scaling.orders(SERVICE, reclaimed, load, 21.0)
    assert ("c", 2, True) in [(order.zone, order.count, order.reclaimable) for order in orders]


# Guards against a wave of reclaims through all zones while nothing can be ordered: what made up for
# the first zone counted on the others, and on-demand replicas boot slower than the wave moves.
def test_in_a_drought_the_other_zones_may_be_reclaimed_as_well():
    cloud = FakeCloud()
    cloud.run(20.0, 4.0 * RATE)
    cloud.spot_shortage = True
    cloud.reclaim_zone("a")
    cloud.run(SCALE.boot_s + 1.0, 4.0 * RATE)
    cloud.reclaim_zone("b")
    cloud.reclaim_zone("c")
    assert cloud.on_demand_count() >= SHORTAGE_LOSS_SHARE * 4


# Guards against on-demand replicas, at several times the price, that are ordered for seconds beside
# the reclaimable ones that replace what was reclaimed.
def test_lasting_ones_are_ordered_only_where_reclaimable_ones_are_refused():
    cloud = FakeCloud()
    cloud.run(20.0, 4.0 * RATE)
    cloud.reclaim_zone("a")
    cloud.run(SCALE.boot_s + 1.0, 4.0 * RATE)
    assert cloud.spot_count() == 6
    assert not [order for _, order in cloud.orders if not order.reclaimable and order.count]
    cloud.spot_shortage = True
    cloud.reclaim_zone("a")
    cloud.run(0.5, 4.0 * RATE)
    at_s = [at_s for at_s, order in cloud.orders if not order.reclaimable and order.count]
    assert at_s and min(at_s) == cloud.now_s, "in the same step as the refusal"
