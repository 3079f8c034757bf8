"""Bought VMs as replicas to route to, and what each scaled service needs."""

from __future__ import annotations

from dataclasses import replace

from coriandershelf_core.internal.control.buyer import ServiceNeed
from coriandershelf_core.internal.control.spending import FleetVm, Need
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.serving import Serving
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmState
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Replica


class BoughtVms:
    """Joins the inventory's replicas with the VMs that the system bought."""

    def __init__(self, context: Context, membership: Membership, serving: Serving) -> None:
        self._context = context
        self._membership = membership
        self._serving = serving

    def with_bought(self, inventory: Inventory) -> Inventory:
        """Return the inventory with the bought VMs that are listed and not gone."""
        own = tuple(item for item in inventory.replicas if not item.bought)
        known = {replica.replica_id for replica in own}
        bought = tuple(
            Replica(
                replica_id=status.vm_id,
                service=status.service,
                zone=status.zone,
                address=status.address,
                slots=status.slots,
                checks_fencing=False,
                bought=True,
            )
            for status in self._membership.bought()
            if status.vm_id not in known and inventory.service(status.service) is not None
        )
        return replace(inventory, replicas=own + bought)

    def changed_inventory(self) -> Inventory | None:
        """Return the inventory with the bought VMs of now, or ``None`` if they are the same."""
        inventory = self._context.inventory
        if inventory is None:
            return None
        changed = self.with_bought(inventory)
        return None if changed.replicas == inventory.replicas else changed

    def vm_serves(self, token: str) -> bool | None:
        """Return whether a bought VM serves; ``None`` once it is gone."""
        state = self._membership.state_of(token)
        if state is VmState.GONE:
            return None
        return state is VmState.LIVE

    def needs(self, now_s: float) -> list[ServiceNeed]:
        """Return the needs of every service that is scaled."""
        inventory = self._context.inventory
        if inventory is None:
            return []
        return [
            self._need_of(service.name, inventory, now_s)
            for service in inventory.services
            if service.scaled
        ]

    def _need_of(self, service: str, inventory: Inventory, now_s: float) -> ServiceNeed:
        states = self._serving.replicas.of_service(service)
        running = sum(state.load(now_s) * state.replica.slots for state in states)
        works = [work for work in self._serving.works.values() if work.request.service == service]
        waiting = sum(not work.live_attempts for work in works)
        entry_count = 1 + len(self._membership.peers(self._context.identity))
        demand_slots = running + waiting * entry_count
        first = sum(work.priority <= inventory.rules.priority_at_most for work in works)
        share = first / len(works) if works else 1.0
        fleet = tuple(
            FleetVm(
                "",
                state.replica.zone,
                state.replica.purchase,
                state.replica.price_per_hour,
                state.replica.slots,
                True,
            )
            for state in states
            if not state.replica.bought
        )
        return ServiceNeed(service, Need(demand_slots, demand_slots * share), fleet)
