"""Adds bought VMs to the inventory's replicas, and computes the demand of scaled services."""

from __future__ import annotations

from dataclasses import replace

from coriandershelf_core.internal.control.buyer import ServiceDemand
from coriandershelf_core.internal.control.purchase_planning import FleetVm, SlotDemand
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.dispatcher import Dispatcher
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmState
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Replica


class BoughtVms:
    """Combines the inventory's replicas with the VMs that the system bought."""

    def __init__(self, context: Context, membership: Membership, dispatcher: Dispatcher) -> None:
        self._context = context
        self._membership = membership
        self._dispatcher = dispatcher

    def with_bought(self, inventory: Inventory) -> Inventory:
        """Return the inventory with all bought VMs that are listed and not gone."""
        published = tuple(item for item in inventory.replicas if not item.bought)
        published_ids = {replica.replica_id for replica in published}
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
            for status in self._membership.bought_vms()
            if status.vm_id not in published_ids and inventory.service(status.service) is not None
        )
        return replace(inventory, replicas=published + bought)

    def changed_inventory(self) -> Inventory | None:
        """Return the inventory with the current bought VMs, or ``None`` if nothing changed."""
        inventory = self._context.inventory
        if inventory is None:
            return None
        changed = self.with_bought(inventory)
        return None if changed.replicas == inventory.replicas else changed

    def vm_serves(self, token: str) -> bool | None:
        """Return whether a bought VM is live; ``None`` once it is gone."""
        state = self._membership.state_of(token)
        if state is VmState.GONE:
            return None
        return state is VmState.LIVE

    def service_demands(self, now_s: float) -> list[ServiceDemand]:
        """Return the demand of every scaled service."""
        inventory = self._context.inventory
        if inventory is None:
            return []
        return [
            self._demand_of(service.name, inventory, now_s)
            for service in inventory.services
            if service.scaled
        ]

    def _demand_of(self, service: str, inventory: Inventory, now_s: float) -> ServiceDemand:
        states = self._dispatcher.replicas.of_service(service)
        running = sum(state.load(now_s) * state.replica.slots for state in states)
        work_items = [
            work for work in self._dispatcher.work_items.values() if work.request.service == service
        ]
        waiting = sum(not work.live_attempts for work in work_items)
        entry_count = 1 + len(self._membership.peers(self._context.identity))
        # Every other entry VM is assumed to have as many waiting requests as this one.
        demand_slots = running + waiting * entry_count
        priority_count = sum(
            work.priority <= inventory.rules.priority_at_most for work in work_items
        )
        priority_share = priority_count / len(work_items) if work_items else 1.0
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
        return ServiceDemand(
            service, SlotDemand(demand_slots, demand_slots * priority_share), fleet
        )
