"""What to buy and what to give back, as a pure function of demand, fleet and offers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.inventory import Purchase

UTILIZATION_TARGET = 0.85
GIVE_BACK_HYSTERESIS = 1.15
ZONE_CONCENTRATION_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class Offer:
    """A kind of VM that the cloud sells in one availability zone."""

    zone: str
    machine_class: str
    purchase: Purchase
    price_per_hour: float
    slots: int

    @property
    def price_per_slot(self) -> float:
        """Return the price an hour of one slot."""
        return self.price_per_hour / self.slots


@dataclass(frozen=True, slots=True)
class FleetVm:
    """A VM of the fleet.

    :param token: of its purchase; empty for a VM that this system did not buy.
    :param ready: whether it serves already.
    """

    token: str
    zone: str
    purchase: Purchase
    price_per_hour: float
    slots: int
    ready: bool


@dataclass(frozen=True, slots=True)
class Need:
    """Slots in use now, of all callers and of those that come first."""

    demand_slots: float
    priority_slots: float

    @property
    def wanted_slots(self) -> float:
        """Return the slots that serve all callers at the utilization that is aimed at."""
        return self.demand_slots / UTILIZATION_TARGET

    @property
    def secure_slots(self) -> float:
        """Return the slots that must remain when any one zone's reclaimable VMs are taken."""
        return self.priority_slots / UTILIZATION_TARGET


@dataclass(frozen=True, slots=True)
class Buy:
    """Start a VM of this offer, for this reason."""

    offer: Offer
    reason: str


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Stop the VM of this purchase, for this reason."""

    token: str
    reason: str


def _slots(fleet: Sequence[FleetVm]) -> int:
    return sum(vm.slots for vm in fleet)


def _slots_at_risk(fleet: Sequence[FleetVm]) -> dict[str, int]:
    """Return the reclaimable slots of each availability zone."""
    slots: dict[str, int] = {}
    for vm in fleet:
        if vm.purchase is Purchase.RECLAIMABLE:
            slots[vm.zone] = slots.get(vm.zone, 0) + vm.slots
    return slots


def _crowded_zone(fleet: Sequence[FleetVm]) -> str:
    """Return the zone whose reclaim would take most, or empty."""
    slots = _slots_at_risk(fleet)
    return max(slots, key=lambda zone: slots[zone], default="")


def secure_slots(fleet: Sequence[FleetVm]) -> int:
    """Return the slots that remain when the worst zone's reclaimable VMs are taken at once."""
    return _slots(fleet) - max(_slots_at_risk(fleet).values(), default=0)


def _cheapest(
    offers: Sequence[Offer], fleet: Sequence[FleetVm], purchase: Purchase, spread: bool
) -> Offer | None:
    """Return the offer with the least price a slot; crowded zones count as dearer."""
    total = max(1, _slots(fleet))

    def score(offer: Offer) -> float:
        if not spread:
            return offer.price_per_slot
        in_zone = sum(vm.slots for vm in fleet if vm.zone == offer.zone)
        return offer.price_per_slot * (1 + ZONE_CONCENTRATION_WEIGHT * 3 * in_zone / total)

    return min((offer for offer in offers if offer.purchase is purchase), key=score, default=None)


def plan_purchase(
    need: Need,
    fleet: Sequence[FleetVm],
    offers: Sequence[Offer],
    spread: bool = True,
    first: Purchase = Purchase.RECLAIMABLE,
) -> Buy | None:
    """Return the next VM to buy, or ``None`` if none is needed.

    Reclaimable VMs come first. On-demand is bought only while the priority latency target is at
    risk: the VMs that are ready cannot carry the callers that come first.

    :param spread: whether VMs are spread over zones against a zone's reclaim.
    :param first: kind that is bought while nothing is at risk.
    """
    ready = [vm for vm in fleet if vm.ready]
    at_risk = _slots(ready) < need.secure_slots
    if at_risk:
        coming = [vm for vm in fleet if not vm.ready and vm.purchase is Purchase.ON_DEMAND]
        offer = _cheapest(offers, fleet, Purchase.ON_DEMAND, spread)
        if offer is not None and _slots(ready) + _slots(coming) < need.secure_slots:
            return Buy(offer, "priority-at-risk")
    # Bought on-demand VMs do not count: reclaimable ones replace them, then they are given back.
    lasting = [vm for vm in fleet if not vm.token or vm.purchase is first]
    if _slots(lasting) < need.wanted_slots:
        offer = _cheapest(offers, fleet, first, spread)
        return None if offer is None else Buy(offer, "short-of-slots")
    if secure_slots(lasting) < need.secure_slots:
        # A VM in the zone that holds most of them would be lost along with it: it helps nothing.
        crowded = _crowded_zone(lasting)
        elsewhere = [offer for offer in offers if offer.zone != crowded]
        offer = _cheapest(elsewhere, fleet, first, spread)
        return None if offer is None else Buy(offer, "zone-reclaim-not-survivable")
    return None


def plan_give_back(need: Need, fleet: Sequence[FleetVm]) -> GiveBack | None:
    """Return the next VM to give back, or ``None``; on-demand and dear ones go first."""
    own = [vm for vm in fleet if vm.token and vm.ready]
    dearest_first = sorted(
        own,
        key=lambda vm: (vm.purchase is Purchase.ON_DEMAND, vm.price_per_hour / vm.slots),
        reverse=True,
    )
    for vm in dearest_first:
        rest = [other for other in fleet if other is not vm and other.ready]
        hysteresis = 1.0 if vm.purchase is Purchase.ON_DEMAND else GIVE_BACK_HYSTERESIS
        if _slots(rest) < need.wanted_slots * hysteresis:
            continue
        if secure_slots(rest) < need.secure_slots * hysteresis:
            continue
        return GiveBack(vm.token, "not-needed")
    return None
