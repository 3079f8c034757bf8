"""Pure functions that plan which VMs to buy and release from demand, fleet and offers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.inventory import PurchaseModel

UTILIZATION_TARGET = 0.85
RELEASE_HYSTERESIS = 1.15
ZONE_CONCENTRATION_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class Offer:
    """A type of VM that the cloud offers in one availability zone."""

    zone: str
    machine_class: str
    purchase: PurchaseModel
    price_per_hour: float
    slots: int

    @property
    def price_per_slot(self) -> float:
        """Return the hourly price per slot."""
        return self.price_per_hour / self.slots


@dataclass(frozen=True, slots=True)
class FleetVm:
    """A VM of the fleet.

    :param token: token of its purchase; empty for a VM that this system did not buy.
    :param ready: whether it already serves requests.
    """

    token: str
    zone: str
    purchase: PurchaseModel
    price_per_hour: float
    slots: int
    ready: bool


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Slots currently demanded by all callers and by priority callers."""

    demand_slots: float
    priority_slots: float

    @property
    def target_slots(self) -> float:
        """Return the slots needed to serve all callers at the target utilization."""
        return self.demand_slots / UTILIZATION_TARGET

    @property
    def required_surviving_slots(self) -> float:
        """Return the slots that must remain if any one zone's reclaimable VMs are reclaimed."""
        return self.priority_slots / UTILIZATION_TARGET


@dataclass(frozen=True, slots=True)
class PurchaseDecision:
    """A VM to buy, and why."""

    offer: Offer
    reason: str


@dataclass(frozen=True, slots=True)
class ReleaseDecision:
    """A bought VM to release, and why."""

    token: str
    reason: str


def _slots(fleet: Sequence[FleetVm]) -> int:
    return sum(vm.slots for vm in fleet)


def _slots_at_risk(fleet: Sequence[FleetVm]) -> dict[str, int]:
    """Return the reclaimable slots of each availability zone."""
    slots: dict[str, int] = {}
    for vm in fleet:
        if vm.purchase is PurchaseModel.RECLAIMABLE:
            slots[vm.zone] = slots.get(vm.zone, 0) + vm.slots
    return slots


def _most_exposed_zone(fleet: Sequence[FleetVm]) -> str:
    """Return the zone with the most reclaimable slots, or an empty string."""
    slots = _slots_at_risk(fleet)
    return max(slots, key=lambda zone: slots[zone], default="")


def surviving_slots(fleet: Sequence[FleetVm]) -> int:
    """Return the slots that remain if the most exposed zone's reclaimable VMs are reclaimed."""
    return _slots(fleet) - max(_slots_at_risk(fleet).values(), default=0)


def _cheapest(
    offers: Sequence[Offer], fleet: Sequence[FleetVm], purchase: PurchaseModel, spread_zones: bool
) -> Offer | None:
    """Return the offer with the lowest price per slot; zones with many slots get a surcharge."""
    total = max(1, _slots(fleet))

    def score(offer: Offer) -> float:
        if not spread_zones:
            return offer.price_per_slot
        in_zone = sum(vm.slots for vm in fleet if vm.zone == offer.zone)
        return offer.price_per_slot * (1 + ZONE_CONCENTRATION_WEIGHT * 3 * in_zone / total)

    return min((offer for offer in offers if offer.purchase is purchase), key=score, default=None)


def plan_purchase(
    demand: SlotDemand,
    fleet: Sequence[FleetVm],
    offers: Sequence[Offer],
    spread_zones: bool = True,
    preferred: PurchaseModel = PurchaseModel.RECLAIMABLE,
) -> PurchaseDecision | None:
    """Return the next VM to buy, or ``None`` if none is needed.

    Reclaimable VMs are preferred. On-demand VMs are bought only while the latency target of
    priority callers is at risk because the ready VMs do not have enough slots for them.

    :param spread_zones: whether to spread VMs over zones to limit the loss if one is reclaimed.
    :param preferred: purchase model that is used while no target is at risk.
    """
    ready = [vm for vm in fleet if vm.ready]
    at_risk = _slots(ready) < demand.required_surviving_slots
    if at_risk:
        starting = [vm for vm in fleet if not vm.ready and vm.purchase is PurchaseModel.ON_DEMAND]
        offer = _cheapest(offers, fleet, PurchaseModel.ON_DEMAND, spread_zones)
        if offer is not None and _slots(ready) + _slots(starting) < demand.required_surviving_slots:
            return PurchaseDecision(offer, "priority-at-risk")
    # Bought on-demand VMs do not count: reclaimable ones replace them, then they are released.
    base_fleet = [vm for vm in fleet if not vm.token or vm.purchase is preferred]
    if _slots(base_fleet) < demand.target_slots:
        offer = _cheapest(offers, fleet, preferred, spread_zones)
        return None if offer is None else PurchaseDecision(offer, "short-of-slots")
    if surviving_slots(base_fleet) < demand.required_surviving_slots:
        # Another VM in the most exposed zone would be reclaimed together with it.
        exposed_zone = _most_exposed_zone(base_fleet)
        elsewhere = [offer for offer in offers if offer.zone != exposed_zone]
        offer = _cheapest(elsewhere, fleet, preferred, spread_zones)
        return None if offer is None else PurchaseDecision(offer, "zone-reclaim-not-survivable")
    return None


def plan_release(demand: SlotDemand, fleet: Sequence[FleetVm]) -> ReleaseDecision | None:
    """Return the next VM to release, or ``None``; on-demand and expensive VMs come first."""
    bought = [vm for vm in fleet if vm.token and vm.ready]
    most_expensive_first = sorted(
        bought,
        key=lambda vm: (vm.purchase is PurchaseModel.ON_DEMAND, vm.price_per_hour / vm.slots),
        reverse=True,
    )
    for vm in most_expensive_first:
        remaining = [other for other in fleet if other is not vm and other.ready]
        hysteresis = 1.0 if vm.purchase is PurchaseModel.ON_DEMAND else RELEASE_HYSTERESIS
        if _slots(remaining) < demand.target_slots * hysteresis:
            continue
        if surviving_slots(remaining) < demand.required_surviving_slots * hysteresis:
            continue
        return ReleaseDecision(vm.token, "not-needed")
    return None
