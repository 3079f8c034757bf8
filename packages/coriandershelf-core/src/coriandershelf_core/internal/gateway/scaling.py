"""Autoscaling: the number of replicas per zone, spot before on-demand and cheap zones first.

Spot replicas ("reclaimable") are cheap, but the provider may reclaim all of a zone at once.
"""

from __future__ import annotations

import dataclasses
import math
from collections import Counter, deque
from statistics import fmean

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.deployment import Replica, ScaleLimits, Service

# Scaling uses the highest load in this window, since replicas take seconds to boot.
LOAD_WINDOW_S = 10.0
# After a refused order no replicas of the same kind are ordered in the zone for this long.
REFUSED_BACKOFF_S = 3.0
# Replicas register one after the other, and load becomes visible only after some seconds. After
# this VM first saw a service, it orders nothing for ``SETTLE_S`` and releases no surplus for
# ``SCALE_IN_HOLD_S``.
SETTLE_S = 5.0
SCALE_IN_HOLD_S = 8.0
# Ordered replicas count as present for their boot time plus this margin.
BOOT_MARGIN_S = 2.0
# A surplus is released once it has lasted this long.
SCALE_IN_DELAY_S = 4.0
# Share of the needed replicas that must remain when the zone with most spot replicas loses them;
# more during a spot shortage, when they could not be replaced.
ZONE_LOSS_SHARE = 0.6
SHORTAGE_ZONE_LOSS_SHARE = 0.85
# Share of the needed replicas that must remain if all zones lose their spot replicas, while new
# ones are refused: a provider that lacks capacity reclaims one zone after the other, faster than
# on-demand replicas boot.
SHORTAGE_LOSS_SHARE = 0.5
# Spot replicas cost little compared to requests queued behind other prompts, so this multiple of
# the needed count is ordered if it exceeds what the loss of a zone requires.
OVERPROVISION_FACTOR = 1.7
# Replicas needed before any load was seen: at least ``INITIAL_COUNT``, and ``INITIAL_SHARE`` of the
# on-demand replicas present at the start, which the operators sized for the day's load.
INITIAL_COUNT = 4
INITIAL_SHARE = 0.6
# Target slot utilization of engines, low enough that short requests find a free slot; higher for
# on-demand replicas, which cost several times as much.
SLOTS_USE_SHARE = 0.6
ON_DEMAND_SLOTS_USE_SHARE = 0.9
# Queueing inflates measured latency; beyond this ratio the cause is load, not replica speed.
LATENCY_RATIO_MAX = 2.0
# While more than ``LATE_HIGH_SHARE`` of the work is late, the number of spot replicas is raised in
# steps above what the load requires, since the rates per replica are estimates; while less than
# ``LATE_LOW_SHARE`` is late, it is lowered again.
LATE_HIGH_SHARE = 0.10
LATE_LOW_SHARE = 0.04
LATE_BOOST_STEP = 1.25
LATE_BOOST_MAX = 1.6
# Time for new replicas to boot and take effect between two steps.
LATE_BOOST_PERIOD_S = 2.5
# After a refusal no spot replicas are released for this long, as they could not be reacquired.
SPOT_SHORTAGE_S = 8.0


class ServiceLoad(Struct, frozen=True):
    """Load of one service over all entry VMs.

    :param tokens_per_s: arriving prompt tokens.
    :param running_count: requests in flight at its replicas.
    :param latency_ratio: median over its replicas of measured ÷ expected latency, where the
        expectation is for a replica of nominal speed.
    :param late_share: share of recent work that missed its latency objective.
    """

    tokens_per_s: float
    running_count: int
    latency_ratio: float = 1.0
    late_share: float = 0.0


class ScalingInputs(Struct, frozen=True):
    """Figures that orders are based on.

    :param load: highest load in the window, but the mean of the noisier ``latency_ratio``.
    :param needed_count: replicas that the load requires if all of them are spot replicas.
    :param on_demand_needed_count: replicas that the load requires at the higher utilization of
        on-demand ones.
    :param late_boost: factor on the number of spot replicas, raised while requests are late.
    """

    load: ServiceLoad
    needed_count: int
    on_demand_needed_count: int
    late_boost: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingOrder:
    """The desired number of spot or on-demand replicas of a service in a zone.

    :param inputs: figures that the order is based on, for the log.
    """

    service: str
    zone: str
    count: int
    reclaimable: bool
    inputs: ScalingInputs = dataclasses.field(compare=False)


class _ReplicaGroup(Struct):
    """Spot or on-demand replicas of a service in a zone.

    :param ordered_count: count of the last accepted order, ``None`` if there is none.
    :param refused_until_s: end of the back-off after a refused order.
    :param surplus_since_s: since when there are more replicas than desired.
    """

    present_count: int = 0
    ordered_count: int | None = None
    ordered_at_s: float = -math.inf
    refused_until_s: float = -math.inf
    surplus_since_s: float | None = None

    def expected_count(self, boot_s: float, now_s: float) -> int:
        """Return the replicas that are present, or booting after an accepted order."""
        booting = now_s - self.ordered_at_s < boot_s + BOOT_MARGIN_S
        if booting and self.ordered_count is not None:
            return max(self.present_count, self.ordered_count)
        return self.present_count


class _LateBoost(Struct):
    """Factor on the number of spot replicas, raised while requests are late."""

    factor: float = 1.0
    changed_at_s: float = -math.inf

    def update(self, late_share: float, now_s: float) -> None:
        """Raise or lower the factor by one step if due."""
        if now_s - self.changed_at_s < LATE_BOOST_PERIOD_S:
            return
        if late_share > LATE_HIGH_SHARE and self.factor < LATE_BOOST_MAX:
            self.factor = min(LATE_BOOST_MAX, self.factor * LATE_BOOST_STEP)
            self.changed_at_s = now_s
        elif late_share < LATE_LOW_SHARE and self.factor > 1.0:
            self.factor = max(1.0, self.factor / LATE_BOOST_STEP)
            self.changed_at_s = now_s


class Autoscaler(Struct):
    """Decides orders from the present replicas and the load.

    Only the lease holder orders. The other VMs observe the load, so that each of them knows its
    highest recent value, and need not wait, when it takes the lease.

    Spot replicas are spread over zones so that the rest can serve the load when one zone loses all
    of them at once. If not enough are available, on-demand replicas replace them at once, at higher
    cost, until spot replicas are available again.

    :param rate_per_replica: prompt tokens per second that a spot replica of nominal speed serves in
        time.
    :param on_demand_rate_per_replica: the same for on-demand replicas, which cost several times as
        much.
    :param first_start: whether the whole system starts for the first time, so that there can be no
        traffic that this VM has not seen.
    :param settle_s: how long replicas may take to register after the first call of ``orders``.
    :param held_services: services of which no replicas are released: during a roll-out those of
        the new version serve beside the old ones and are no surplus.
    """

    rate_per_replica: float
    on_demand_rate_per_replica: float
    first_start: bool = False
    settle_s: float = SETTLE_S
    held_services: set[str] = field(default_factory=set)
    _groups: dict[tuple[str, str, bool], _ReplicaGroup] = field(default_factory=dict)
    _loads: dict[str, deque[tuple[float, ServiceLoad]]] = field(default_factory=dict)
    _initial_counts: dict[str, int] = field(default_factory=dict)
    _first_seen_at_s: dict[str, float] = field(default_factory=dict)
    _has_seen_load: bool = False
    _late_boosts: dict[str, _LateBoost] = field(default_factory=dict)

    def on_accepted(self, order: ScalingOrder, now_s: float) -> None:
        """Record an accepted order."""
        group = self._group(order.service, order.zone, order.reclaimable)
        group.ordered_count = order.count
        group.ordered_at_s = now_s
        group.surplus_since_s = None

    def on_refused(self, order: ScalingOrder, now_s: float) -> None:
        """Record a refused order: no capacity of this kind in the zone, or no orders accepted."""
        group = self._group(order.service, order.zone, order.reclaimable)
        group.refused_until_s = now_s + REFUSED_BACKOFF_S
        group.ordered_count = None

    def orders(
        self,
        service: Service,
        replicas: list[Replica],
        load: ServiceLoad,
        now_s: float,
    ) -> list[ScalingOrder]:
        """Return the orders that scale a service to its load.

        Spot replicas are ordered first. If any of these orders is refused, call this again: the
        on-demand replicas that make up for them depend on it.
        """
        scale = service.scale
        if scale is None or not scale.zone_prices:
            return []
        self._count_present(service.name, scale, replicas)
        self.observe(service.name, load, now_s)
        highest = self._highest_load(service.name, load)
        needed = self._needed_count(
            service, highest, self.rate_per_replica, SLOTS_USE_SHARE, replicas
        )
        on_demand_needed = self._needed_count(
            service, highest, self.on_demand_rate_per_replica, ON_DEMAND_SLOTS_USE_SHARE, replicas
        )
        if now_s - self._first_seen_at_s[service.name] < self.settle_s:
            return []
        zones = sorted(scale.zone_prices, key=lambda zone: scale.zone_prices[zone])
        late_boost = self._late_boosts.setdefault(service.name, _LateBoost())
        late_boost.update(load.late_share, now_s)
        spot = self._target_spot(scale, zones, math.ceil(needed * late_boost.factor))
        on_demand = self._target_on_demand(
            service.name, scale, zones, spot, on_demand_needed, now_s
        )
        for zone in zones:
            minimum = self._on_demand_minimum(service.name, scale, zone, spot[zone], now_s)
            on_demand[zone] = max(on_demand[zone], minimum)
        inputs = ScalingInputs(highest, needed, on_demand_needed, late_boost.factor)
        orders = []
        for zone in zones:
            for reclaimable, count in ((True, spot[zone]), (False, on_demand[zone])):
                order = ScalingOrder(service.name, zone, count, reclaimable, inputs)
                if self._is_due(order, scale, now_s):
                    orders.append(order)
        if self._is_before_traffic:
            # A zone's limit covers both kinds, so on-demand replicas are released first.
            orders.sort(key=lambda order: order.reclaimable)
        return orders

    def _on_demand_minimum(
        self, service: str, scale: ScaleLimits, zone: str, spot_count: int, now_s: float
    ) -> int:
        """Return the on-demand replicas to keep in a zone until its spot replicas are ordered.

        An order that takes a zone below its minimum, both kinds together, is never carried out.
        """
        expected = self._group(service, zone, True).expected_count(scale.boot_s, now_s)
        if expected >= min(spot_count, scale.min_count):
            return 0
        return min(scale.min_count, self._group(service, zone, False).present_count)

    @property
    def _is_before_traffic(self) -> bool:
        return self.first_start and not self._has_seen_load

    def _needed_count(
        self,
        service: Service,
        load: ServiceLoad,
        rate: float,
        slots_share: float,
        replicas: list[Replica],
    ) -> int:
        if load.tokens_per_s <= 0.0:
            of_service = [item for item in replicas if item.service == service.name]
            present = sum(1 for item in of_service if not item.reclaimable)
            known = max(self._initial_counts.get(service.name, 0), present)
            self._initial_counts[service.name] = known
            return max(INITIAL_COUNT, math.ceil(INITIAL_SHARE * known))
        by_slots = load.running_count / (slots_share * max(1, service.engine_slots_count))
        by_tokens = load.tokens_per_s * load.latency_ratio / rate
        return max(1, math.ceil(by_tokens), math.ceil(by_slots))

    def observe(self, service: str, load: ServiceLoad, now_s: float) -> None:
        """Record the load of a service."""
        self._first_seen_at_s.setdefault(service, now_s)
        loads = self._loads.setdefault(service, deque())
        loads.append((now_s, load))
        self._has_seen_load = (
            self._has_seen_load or load.tokens_per_s > 0.0 or load.running_count > 0
        )
        while loads[0][0] < now_s - LOAD_WINDOW_S:
            loads.popleft()

    def _highest_load(self, service: str, load: ServiceLoad) -> ServiceLoad:
        loads = self._loads[service]
        return ServiceLoad(
            max(item.tokens_per_s for _, item in loads),
            max(item.running_count for _, item in loads),
            fmean(min(LATENCY_RATIO_MAX, item.latency_ratio) for _, item in loads),
            load.late_share,
        )

    def _target_spot(self, scale: ScaleLimits, zones: list[str], needed: int) -> dict[str, int]:
        """Return the spot replicas per zone that tolerate the loss of any one zone."""
        per_zone = math.ceil(needed / max(1, len(zones) - 1))
        per_zone = max(per_zone, round(OVERPROVISION_FACTOR * needed / len(zones)))
        return {zone: max(scale.min_count, min(scale.max_count, per_zone)) for zone in zones}

    def _target_on_demand(
        self,
        service: str,
        scale: ScaleLimits,
        zones: list[str],
        spot: dict[str, int],
        needed: int,
        now_s: float,
    ) -> dict[str, int]:
        """Return the on-demand replicas per zone that replace unavailable spot replicas."""
        available = {
            zone: min(spot[zone], self._expected_spot(service, zone, spot[zone], scale, now_s))
            for zone in zones
        }
        total, largest = sum(available.values()), max(available.values())
        # After the loss of a zone the rest must serve most of the load until on-demand ones are up.
        shortage = self._is_spot_shortage(service, now_s)
        share = SHORTAGE_ZONE_LOSS_SHARE if shortage else ZONE_LOSS_SHARE
        missing = max(needed - total, math.ceil(share * needed) - (total - largest))
        if self._is_spot_refused(service, now_s):
            missing = max(missing, math.ceil(SHORTAGE_LOSS_SHARE * needed))
        on_demand = dict.fromkeys(zones, 0)
        while missing > 0:
            open_zones = [
                zone for zone in zones if on_demand[zone] + available[zone] < scale.max_count
            ]
            if not open_zones:
                break
            # The next one goes to the zone with the fewest replicas, the cheapest of these first.
            zone = min(open_zones, key=lambda name: on_demand[name] + available[name])
            on_demand[zone] += 1
            missing -= 1
        return on_demand

    def _expected_spot(
        self, service: str, zone: str, wanted: int, scale: ScaleLimits, now_s: float
    ) -> int:
        group = self._group(service, zone, True)
        if now_s >= group.refused_until_s:
            # They are ordered now. If they are refused, the caller asks for the orders again.
            return wanted
        return group.expected_count(scale.boot_s, now_s)

    def _is_due(self, order: ScalingOrder, scale: ScaleLimits, now_s: float) -> bool:
        group = self._group(order.service, order.zone, order.reclaimable)
        expected = group.expected_count(scale.boot_s, now_s)
        if order.count > expected:
            group.surplus_since_s = None
            return now_s >= group.refused_until_s
        if order.count == group.present_count or order.count == group.ordered_count:
            group.surplus_since_s = None
            return False
        if order.reclaimable and self._is_spot_shortage(order.service, now_s):
            group.surplus_since_s = None
            return False
        if order.service in self.held_services:
            group.surplus_since_s = None
            return False
        if group.surplus_since_s is None:
            group.surplus_since_s = now_s
        if self._is_before_traffic:
            # The surplus is unused: ``first_start`` excludes traffic that this VM has not seen.
            return now_s >= group.refused_until_s
        in_hold = now_s - self._first_seen_at_s[order.service] < SCALE_IN_HOLD_S
        lasted = now_s - group.surplus_since_s >= SCALE_IN_DELAY_S
        return lasted and not in_hold and now_s >= group.refused_until_s

    def _is_spot_shortage(self, service: str, now_s: float) -> bool:
        """Return whether spot replicas were recently refused in any zone."""
        return any(
            now_s < group.refused_until_s + SPOT_SHORTAGE_S
            for (name, _, reclaimable), group in self._groups.items()
            if name == service and reclaimable
        )

    def _is_spot_refused(self, service: str, now_s: float) -> bool:
        """Return whether spot replicas were recently refused in a zone, and not accepted since."""
        return any(
            group.ordered_count is None and now_s < group.refused_until_s + SPOT_SHORTAGE_S
            for (name, _, reclaimable), group in self._groups.items()
            if name == service and reclaimable
        )

    def _count_present(self, service: str, scale: ScaleLimits, replicas: list[Replica]) -> None:
        counts = Counter(
            (replica.zone, replica.reclaimable)
            for replica in replicas
            if replica.service == service and not replica.leaving
        )
        for zone in scale.zone_prices:
            for reclaimable in (True, False):
                group = self._group(service, zone, reclaimable)
                before_count, group.present_count = group.present_count, counts[zone, reclaimable]
                lost = group.present_count < min(before_count, group.ordered_count or 0)
                if reclaimable and lost:
                    # A reclaim takes the replicas that boot as well, so none is waited for.
                    group.ordered_count = None

    def _group(self, service: str, zone: str, reclaimable: bool) -> _ReplicaGroup:
        return self._groups.setdefault((service, zone, reclaimable), _ReplicaGroup())
