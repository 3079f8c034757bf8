"""How many replicas to order in each zone: reclaimable ones first, cheap zones first."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.deployment import Replica, Service

# Requests in flight per slot, or waiting prompt time, at which one more replica is worth its price.
REORDER_S = 3.0
REFUSED_PAUSE_S = 4.0
SETTLE_S = 8.0


@dataclass(frozen=True, slots=True)
class Order:
    """The number of replicas of one kind that a zone is to have."""

    service: str
    zone: str
    count: int
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class Wanted:
    """The plan for one zone."""

    reclaimable_count: int
    lasting_count: int


@dataclass(slots=True)
class _Sent:
    count: int
    at_s: float


@dataclass(slots=True)
class Scaling:
    """Compares what is there with what the load needs; used by the holder of the duties only.

    :param rate_per_replica: prompt tokens a second that one replica serves in time.
    """

    rate_per_replica: float
    _sent: dict[tuple[str, str, bool], _Sent] = field(default_factory=dict)
    _refused_until_s: dict[tuple[str, str, bool], float] = field(default_factory=dict)

    def on_refused(self, order: Order, now_s: float) -> None:
        """Note that none of the kind is to be had in the zone at the moment."""
        key = (order.service, order.zone, order.reclaimable)
        self._refused_until_s[key] = now_s + REFUSED_PAUSE_S
        self._sent.pop(key, None)

    def on_lost(self, order: Order) -> None:
        """Forget an order whose answer was lost, so that it is sent again."""
        self._sent.pop((order.service, order.zone, order.reclaimable), None)

    def orders(
        self, service: Service, replicas: list[Replica], tokens_per_s: float, now_s: float
    ) -> list[Order]:
        """Return the orders that bring a service to its plan."""
        scale = service.scale
        if scale is None or not scale.zone_prices:
            return []
        zones = sorted(scale.zone_prices, key=lambda zone: scale.zone_prices[zone])
        present = _count(service.name, replicas)
        plan = self._plan(service, zones, tokens_per_s, now_s)
        ready = sum(1 for item in replicas if item.service == service.name and not item.leaving)
        planned = sum(item.reclaimable_count + item.lasting_count for item in plan.values())
        orders = []
        for zone in zones:
            for reclaimable in (True, False):
                wanted = plan[zone]
                count = wanted.reclaimable_count if reclaimable else wanted.lasting_count
                have = present.get((zone, reclaimable), 0)
                if count < have and ready < planned + (have - count):
                    # Nothing is given back before what takes its place serves.
                    continue
                order = Order(service.name, zone, count, reclaimable)
                if self._is_due(order, have, now_s):
                    orders.append(order)
        return orders

    def _plan(
        self, service: Service, zones: list[str], tokens_per_s: float, now_s: float
    ) -> dict[str, Wanted]:
        scale = service.scale
        assert scale is not None
        needed = max(1, math.ceil(tokens_per_s / self.rate_per_replica))
        each = max(1, math.ceil(needed / max(1, len(zones) - 1)))
        plan = {}
        for zone in zones:
            refused_s = self._refused_until_s.get((service.name, zone, True), -math.inf)
            spots = min(scale.max_count, each) if now_s >= refused_s else 0
            lasting = 1 if zone == zones[0] else 0
            lasting = max(lasting, scale.min_count - spots)
            plan[zone] = Wanted(min(spots, scale.max_count - lasting), lasting)
        return plan

    def _is_due(self, order: Order, have: int, now_s: float) -> bool:
        key = (order.service, order.zone, order.reclaimable)
        sent = self._sent.get(key)
        if order.count == have:
            self._sent.pop(key, None)
            return False
        if now_s < self._refused_until_s.get(key, -math.inf) and order.count > have:
            return False
        if sent is not None and sent.count == order.count and now_s - sent.at_s < SETTLE_S:
            return False
        self._sent[key] = _Sent(order.count, now_s)
        return True


def _count(service: str, replicas: list[Replica]) -> dict[tuple[str, bool], int]:
    counts: dict[tuple[str, bool], int] = {}
    for replica in replicas:
        if replica.service == service and not replica.leaving:
            key = (replica.zone, replica.reclaimable)
            counts[key] = counts.get(key, 0) + 1
    return counts
