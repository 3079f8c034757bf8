"""Orders to upstreams: each states the wanted end, so a repeat does no harm.

An order is sent only under a valid lease, checked right before, and carries the lease's number.
Upstreams that ignore the number are covered by waiting out: a new holder sends them nothing until
the longest order of the old one is over.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.control.leases import LeaseHolder
from coriandershelf_core.internal.vocabulary.actions import SendOrder
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Replica, ServiceKind
from coriandershelf_core.internal.vocabulary.reasons import Counter, RetryReason

RETRY_FIRST_S = 1.0
RETRY_MAX_S = 30.0


@dataclass(slots=True)
class OrderState:
    """What one replica was ordered and what it confirmed, under one lease number."""

    wanted: str = ""
    number: int = -1
    confirmed: str = ""
    outstanding: str = ""
    sent_at_s: float = 0.0
    retry_at_s: float = 0.0
    retry_s: float = RETRY_FIRST_S


def wanted_state(replica: Replica, inventory: Inventory) -> str:
    """Return the end that the inventory wants of a replica; empty where it wants none."""
    service = inventory.service(replica.service)
    if service is None or service.kind is not ServiceKind.MODEL or not service.weights:
        return ""
    return f"load {service.name} {service.weights}"


class Orders:
    """Brings the replicas of this VM's availability zone to their wanted state."""

    def __init__(self, context: Context, holder: LeaseHolder) -> None:
        self._context = context
        self._holder = holder
        self._sequence = 0
        self._states: dict[str, OrderState] = {}

    @property
    def idle(self) -> bool:
        """Return whether no order waits for its answer."""
        return not any(state.outstanding for state in self._states.values())

    def confirmed(self, replica_id: str) -> str:
        """Return what a replica last confirmed to this VM."""
        state = self._states.get(replica_id)
        return "" if state is None else state.confirmed

    def on_answered(self, order_id: str, taken: bool, now_s: float) -> None:
        """Take an upstream's answer; a refused order was fenced by a newer holder."""
        for state in self._states.values():
            if state.outstanding != order_id:
                continue
            state.outstanding = ""
            if taken:
                state.confirmed = state.wanted
                state.retry_s = RETRY_FIRST_S
            else:
                self._context.count(Counter.ORDERS_FENCED)
                self._back_off(state, now_s)

    def on_failed(self, order_id: str, now_s: float) -> None:
        """Send an order again whose answer was lost: it states the wanted end."""
        for state in self._states.values():
            if state.outstanding == order_id:
                state.outstanding = ""
                self._context.count(RetryReason.ORDER_UNANSWERED)
                self._back_off(state, now_s)

    def on_tick(self, now_s: float) -> None:
        """Send what is due, within the limit on loads at once."""
        inventory = self._context.inventory
        if inventory is None or not self._holder.holds(now_s):
            return
        zone = self._context.identity.zone
        replicas = [replica for replica in inventory.replicas if replica.zone == zone]
        for replica in replicas:
            self._expire(replica.replica_id, now_s)
        running = sum(bool(state.outstanding) for state in self._states.values())
        free = int(self._context.settings.orders_max_count) - running
        for replica in replicas:
            if free <= 0:
                return
            if self._send_if_due(replica, inventory, now_s):
                free -= 1

    def _expire(self, replica_id: str, now_s: float) -> None:
        state = self._states.get(replica_id)
        limit_s = self._context.settings.order_limit_s
        if state is not None and state.outstanding and now_s - state.sent_at_s > limit_s:
            self.on_failed(state.outstanding, now_s)

    def _send_if_due(self, replica: Replica, inventory: Inventory, now_s: float) -> bool:
        wanted = wanted_state(replica, inventory)
        state = self._states.setdefault(replica.replica_id, OrderState())
        if state.outstanding or not wanted or now_s < state.retry_at_s:
            return False
        if (state.confirmed, state.number) == (wanted, self._holder.number):
            return False
        if not replica.checks_fencing and now_s < self._waited_out_at_s():
            return False
        self._sequence += 1
        state.wanted = wanted
        state.number = self._holder.number
        state.confirmed = ""
        state.sent_at_s = now_s
        state.outstanding = f"{self._holder.name}-{state.number}-{self._sequence}"
        assert self._holder.holds(now_s), "an order under a lapsed lease"
        self._context.count(Counter.ORDERS_SENT)
        self._context.emit(
            SendOrder(
                state.outstanding,
                replica.replica_id,
                replica.address,
                wanted,
                state.number,
                self._holder.valid_until_s,
            )
        )
        return True

    def _waited_out_at_s(self) -> float:
        """Return when no order of an earlier holder can still be on its way."""
        if not self._context.enabled("wait-out"):
            return 0.0
        return self._holder.acquired_at_s + self._context.settings.order_limit_s

    def _back_off(self, state: OrderState, now_s: float) -> None:
        state.retry_at_s = now_s + state.retry_s * (0.5 + self._context.rng.random())
        state.retry_s = min(RETRY_MAX_S, state.retry_s * 2)
