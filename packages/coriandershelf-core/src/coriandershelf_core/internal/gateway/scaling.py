"""How many replicas to order in each zone: reclaimable ones first, cheap zones first."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from statistics import fmean

from coriandershelf_core.internal.gateway.deployment import Replica, ScaleLimits, Service

# The load that counts is the highest of this time: a replica takes seconds to boot.
LOAD_MEMORY_S = 10.0
# After a refusal none of the kind is asked for in the zone for this long.
REFUSED_PAUSE_S = 3.0
# Replicas register one after the other, and load shows only after some seconds: nothing is ordered
# for the first time, and nothing given back for the second, after a VM first looks.
SETTLE_S = 3.5
HOLD_S = 8.0
# Replicas that were ordered count as present for their boot time and this.
BOOT_SLACK_S = 2.0
# A surplus is given back once it has lasted this long.
SURPLUS_S = 4.0
# Part of the needed replicas that must be left when the largest zone's reclaimable ones go; more in
# a drought, when none would come in their place.
AFTER_LOSS_SHARE = 0.6
DROUGHT_AFTER_LOSS_SHARE = 0.85
# Reclaimable replicas are cheap beside the work that waits for others' prompts: so many times the
# needed ones are ordered, where that is more than surviving a zone asks for.
AMPLE_FACTOR = 1.7
# Replicas that are wanted before any load was seen: at least so many, and this part of those that
# were there at the start, which the operators sized for the day.
FIRST_COUNT = 4
FIRST_SHARE = 0.6
# Part of an engine's slots that may be taken on average, so that short work finds one free; and
# where the replicas are lasting ones, which cost several times as much.
SLOTS_USE_SHARE = 0.6
TIGHT_SLOTS_USE_SHARE = 0.9
# Queues make replicas look slow; beyond this the cause is the load and not their speed.
SLOWNESS_MAX = 2.0
# While more than the first part of the work is late, more reclaimable replicas than the load asks
# for are ordered, step by step, since the figures of a replica's speed are estimates; while less
# than the second part is late, fewer again.
LATE_HIGH_SHARE = 0.10
LATE_LOW_SHARE = 0.04
RESERVE_STEP = 1.25
RESERVE_MAX = 1.6
# Between two steps new replicas boot and show what they change.
RESERVE_PERIOD_S = 2.5
# After a refusal, reclaimable replicas are not given back for this long: they would not come back.
DROUGHT_S = 8.0


@dataclass(frozen=True, slots=True)
class Load:
    """What all entry VMs are asked for, of one service.

    :param running_count: requests at its replicas.
    :param slowness: median of its replicas' time for a prompt ÷ that of a replica of usual speed.
    :param late_share: part of the work whose objective was missed of late.
    """

    tokens_per_s: float
    running_count: int
    slowness: float = 1.0
    late_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Basis:
    """What orders are decided from.

    :param load: the highest of the last seconds, with the mean slowness, which is the noisier one.
    :param needed_count: replicas that the load needs, were all of them reclaimable.
    :param tight_count: replicas that it needs where lasting ones make up.
    :param reserve: multiple of the needed reclaimable ones that lateness has called for.
    """

    load: Load
    needed_count: int
    tight_count: int
    reserve: float = 1.0


@dataclass(frozen=True, slots=True)
class Order:
    """The number of replicas of one kind that a zone is to have.

    :param basis: what it was decided from, for the log.
    """

    service: str
    zone: str
    count: int
    reclaimable: bool
    basis: Basis = field(compare=False)


@dataclass(slots=True)
class _Kind:
    """One kind of replica in one zone, as the holder of the duties knows it.

    :param ordered_count: what was last ordered and taken; ``None`` before the first order.
    :param surplus_since_s: since when more are there than wanted.
    """

    present_count: int = 0
    ordered_count: int | None = None
    ordered_at_s: float = -math.inf
    refused_until_s: float = -math.inf
    surplus_since_s: float | None = None

    def expected_count(self, boot_s: float, now_s: float) -> int:
        """Return the replicas that are there or boot after an order that was taken."""
        booting = now_s - self.ordered_at_s < boot_s + BOOT_SLACK_S
        if booting and self.ordered_count is not None:
            return max(self.present_count, self.ordered_count)
        return self.present_count


@dataclass(slots=True)
class _Reserve:
    """The multiple of the needed reclaimable replicas that lateness has called for."""

    factor: float = 1.0
    changed_at_s: float = -math.inf

    def update(self, late_share: float, now_s: float) -> None:
        """Take a step if one is due."""
        if now_s - self.changed_at_s < RESERVE_PERIOD_S:
            return
        if late_share > LATE_HIGH_SHARE and self.factor < RESERVE_MAX:
            self.factor = min(RESERVE_MAX, self.factor * RESERVE_STEP)
            self.changed_at_s = now_s
        elif late_share < LATE_LOW_SHARE and self.factor > 1.0:
            self.factor = max(1.0, self.factor / RESERVE_STEP)
            self.changed_at_s = now_s


@dataclass(slots=True)
class Scaling:
    """Compares what is there with what the load needs; used by the holder of the duties only.

    Reclaimable replicas are spread so that the rest serve when a zone loses all of its own at once.
    Where not enough of them are to be had, lasting ones make up for it, at once and dearly, until
    reclaimable ones are back.

    :param rate_per_replica: prompt tokens a second that a replica of usual speed serves in time.
    :param tight_rate_per_replica: the same for lasting ones, which cost several times as much.
    :param settle_s: how long replicas may take to register, after this VM first looks.
    :param first_start: whether the whole system starts for the first time, so that no traffic can
        be under way before this VM has seen some.
    """

    rate_per_replica: float
    tight_rate_per_replica: float
    first_start: bool = False
    settle_s: float = SETTLE_S
    _kinds: dict[tuple[str, str, bool], _Kind] = field(default_factory=dict)
    _loads: dict[str, deque[tuple[float, Load]]] = field(default_factory=dict)
    _first_counts: dict[str, int] = field(default_factory=dict)
    _began_at_s: dict[str, float] = field(default_factory=dict)
    _had_load: bool = False
    _reserves: dict[str, _Reserve] = field(default_factory=dict)

    def on_taken(self, order: Order, now_s: float) -> None:
        """Note an order that was taken."""
        kind = self._kind(order.service, order.zone, order.reclaimable)
        kind.ordered_count = order.count
        kind.ordered_at_s = now_s
        kind.surplus_since_s = None

    def on_refused(self, order: Order, now_s: float) -> None:
        """Note that none of the kind is to be had in the zone, or that no order is taken now."""
        kind = self._kind(order.service, order.zone, order.reclaimable)
        kind.refused_until_s = now_s + REFUSED_PAUSE_S
        kind.ordered_count = None

    def orders(
        self, service: Service, replicas: list[Replica], load: Load, now_s: float
    ) -> list[Order]:
        """Return the orders that bring a service to what its load needs."""
        scale = service.scale
        if scale is None or not scale.zone_prices:
            return []
        self._count(service.name, scale, replicas)
        highest = self._highest_load(service.name, load, now_s)
        needed = self._needed_count(
            service, highest, self.rate_per_replica, SLOTS_USE_SHARE, replicas
        )
        tight = self._needed_count(
            service, highest, self.tight_rate_per_replica, TIGHT_SLOTS_USE_SHARE, replicas
        )
        if now_s - self._began_at_s.setdefault(service.name, now_s) < self.settle_s:
            return []
        zones = sorted(scale.zone_prices, key=lambda zone: scale.zone_prices[zone])
        reserve = self._reserves.setdefault(service.name, _Reserve())
        reserve.update(load.late_share, now_s)
        spots = self._wanted_spots(scale, zones, math.ceil(needed * reserve.factor))
        lasting = self._wanted_lasting(service.name, scale, zones, spots, tight, now_s)
        for zone in zones:
            least = self._keep_least(service.name, scale, zone, spots[zone], now_s)
            lasting[zone] = max(lasting[zone], least)
        basis = Basis(highest, needed, tight, reserve.factor)
        orders = []
        for zone in zones:
            for reclaimable, count in ((True, spots[zone]), (False, lasting[zone])):
                order = Order(service.name, zone, count, reclaimable, basis)
                if self._is_due(order, scale, now_s):
                    orders.append(order)
        if self._is_before_traffic:
            # A zone's limit is on both kinds: lasting ones make room first.
            orders.sort(key=lambda order: order.reclaimable)
        return orders

    def _keep_least(
        self, service: str, scale: ScaleLimits, zone: str, spots_count: int, now_s: float
    ) -> int:
        """Return the lasting replicas that stay in a zone until its reclaimable ones are ordered.

        An order below a zone's least number, both kinds together, is not carried out later either.
        """
        expected = self._kind(service, zone, True).expected_count(scale.boot_s, now_s)
        return scale.min_count if expected < min(spots_count, scale.min_count) else 0

    @property
    def _is_before_traffic(self) -> bool:
        return self.first_start and not self._had_load

    def _needed_count(
        self,
        service: Service,
        load: Load,
        rate: float,
        slots_share: float,
        replicas: list[Replica],
    ) -> int:
        if load.tokens_per_s <= 0.0:
            lasting = [item for item in replicas if item.service == service.name]
            present = sum(1 for item in lasting if not item.reclaimable)
            known = max(self._first_counts.get(service.name, 0), present)
            self._first_counts[service.name] = known
            return max(FIRST_COUNT, math.ceil(FIRST_SHARE * known))
        by_slots = load.running_count / (slots_share * max(1, service.engine_slots_count))
        by_tokens = load.tokens_per_s * load.slowness / rate
        return max(1, math.ceil(by_tokens), math.ceil(by_slots))

    def _highest_load(self, service: str, load: Load, now_s: float) -> Load:
        loads = self._loads.setdefault(service, deque())
        loads.append((now_s, load))
        self._had_load = self._had_load or load.tokens_per_s > 0.0 or load.running_count > 0
        while loads[0][0] < now_s - LOAD_MEMORY_S:
            loads.popleft()
        return Load(
            max(item.tokens_per_s for _, item in loads),
            max(item.running_count for _, item in loads),
            fmean(min(SLOWNESS_MAX, item.slowness) for _, item in loads),
            load.late_share,
        )

    def _wanted_spots(self, scale: ScaleLimits, zones: list[str], needed: int) -> dict[str, int]:
        """Spread the reclaimable ones so that any one zone's may go."""
        each = math.ceil(needed / max(1, len(zones) - 1))
        each = max(each, round(AMPLE_FACTOR * needed / len(zones)))
        return {zone: max(scale.min_count, min(scale.max_count, each)) for zone in zones}

    def _wanted_lasting(
        self,
        service: str,
        scale: ScaleLimits,
        zones: list[str],
        spots: dict[str, int],
        needed: int,
        now_s: float,
    ) -> dict[str, int]:
        """Make up for reclaimable ones that are not there, over the zones in turn."""
        there = {
            zone: min(spots[zone], self._expected_spots(service, zone, spots[zone], scale, now_s))
            for zone in zones
        }
        total, largest = sum(there.values()), max(there.values())
        # With one zone's gone, the rest must serve most of the load until lasting ones have booted.
        drought = self._is_drought(service, now_s)
        share = DROUGHT_AFTER_LOSS_SHARE if drought else AFTER_LOSS_SHARE
        missing = max(needed - total, math.ceil(share * needed) - (total - largest))
        lasting = dict.fromkeys(zones, 0)
        while missing > 0:
            open_zones = [zone for zone in zones if lasting[zone] + there[zone] < scale.max_count]
            if not open_zones:
                break
            # The zone with the fewest replicas gets the next one, the cheapest of those first.
            zone = min(open_zones, key=lambda name: lasting[name] + there[name])
            lasting[zone] += 1
            missing -= 1
        return lasting

    def _expected_spots(
        self, service: str, zone: str, wanted: int, scale: ScaleLimits, now_s: float
    ) -> int:
        kind = self._kind(service, zone, True)
        if self._is_before_traffic and now_s >= kind.refused_until_s:
            return wanted
        return kind.expected_count(scale.boot_s, now_s)

    def _is_due(self, order: Order, scale: ScaleLimits, now_s: float) -> bool:
        kind = self._kind(order.service, order.zone, order.reclaimable)
        expected = kind.expected_count(scale.boot_s, now_s)
        if order.count > expected:
            kind.surplus_since_s = None
            return now_s >= kind.refused_until_s
        if order.count == kind.present_count or order.count == kind.ordered_count:
            kind.surplus_since_s = None
            return False
        if order.reclaimable and self._is_drought(order.service, now_s):
            kind.surplus_since_s = None
            return False
        if kind.surplus_since_s is None:
            kind.surplus_since_s = now_s
        if self._is_before_traffic:
            # Nobody uses them yet; a load that is under way elsewhere is excluded.
            return now_s >= kind.refused_until_s
        held = now_s - self._began_at_s[order.service] < HOLD_S
        lasted = now_s - kind.surplus_since_s >= SURPLUS_S
        return lasted and not held and now_s >= kind.refused_until_s

    def _is_drought(self, service: str, now_s: float) -> bool:
        """Return whether reclaimable replicas were refused of late, in any zone."""
        return any(
            now_s < kind.refused_until_s + DROUGHT_S
            for (name, _, reclaimable), kind in self._kinds.items()
            if name == service and reclaimable
        )

    def _count(self, service: str, scale: ScaleLimits, replicas: list[Replica]) -> None:
        for zone in scale.zone_prices:
            for reclaimable in (True, False):
                self._kind(service, zone, reclaimable).present_count = 0
        for replica in replicas:
            if replica.service == service and not replica.leaving:
                self._kind(service, replica.zone, replica.reclaimable).present_count += 1

    def _kind(self, service: str, zone: str, reclaimable: bool) -> _Kind:
        return self._kinds.setdefault((service, zone, reclaimable), _Kind())
