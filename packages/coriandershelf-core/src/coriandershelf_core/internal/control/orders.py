"""Orders to upstreams: each states the desired state, so it is idempotent.

An order is sent only under a valid lease, which is checked immediately before sending, and carries
the lease's fencing number. For upstreams that do not check the number, a new lease holder waits
until the time limit of every order of the former holder has passed.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.control.leases import LeaseClient
from coriandershelf_core.internal.vocabulary.actions import SendOrder
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Replica, ServiceKind
from coriandershelf_core.internal.vocabulary.reasons import Counter, RetryReason

RETRY_FIRST_S = 1.0
RETRY_MAX_S = 30.0


@dataclass(slots=True)
class OrderState:
    """Desired and confirmed state of one replica, under one fencing number."""

    desired: str = ""
    fencing_number: int = -1
    confirmed: str = ""
    outstanding: str = ""
    sent_at_s: float = 0.0
    retry_at_s: float = 0.0
    retry_s: float = RETRY_FIRST_S


def desired_state(replica: Replica, inventory: Inventory) -> str:
    """Return the desired state of a replica by the inventory; empty if there is none."""
    service = inventory.service(replica.service)
    if service is None or service.kind is not ServiceKind.MODEL or not service.weights:
        return ""
    return f"load {service.name} {service.weights}"


class Orders:
    """Brings the replicas of this VM's availability zone to their desired state."""

    def __init__(self, context: Context, lease: LeaseClient) -> None:
        self._context = context
        self._lease = lease
        self._sequence = 0
        self._states: dict[str, OrderState] = {}

    @property
    def idle(self) -> bool:
        """Return whether no order is awaiting a response."""
        return not any(state.outstanding for state in self._states.values())

    def confirmed(self, replica_id: str) -> str:
        """Return the state that a replica last confirmed to this VM."""
        state = self._states.get(replica_id)
        return "" if state is None else state.confirmed

    def on_answered(self, order_id: str, accepted: bool, now_s: float) -> None:
        """Handle an upstream's response; a rejected order was fenced off by a newer holder."""
        for state in self._states.values():
            if state.outstanding != order_id:
                continue
            state.outstanding = ""
            if accepted:
                state.confirmed = state.desired
                state.retry_s = RETRY_FIRST_S
            else:
                self._context.count(Counter.ORDERS_FENCED)
                self._back_off(state, now_s)

    def on_failed(self, order_id: str, now_s: float) -> None:
        """Schedule a retry of an order whose response was lost; orders are idempotent."""
        for state in self._states.values():
            if state.outstanding == order_id:
                state.outstanding = ""
                self._context.count(RetryReason.ORDER_UNANSWERED)
                self._back_off(state, now_s)

    def on_tick(self, now_s: float) -> None:
        """Send due orders, within the limit on concurrent orders."""
        inventory = self._context.inventory
        if inventory is None or not self._lease.is_held(now_s):
            return
        zone = self._context.identity.zone
        replicas = [replica for replica in inventory.replicas if replica.zone == zone]
        for replica in replicas:
            self._expire(replica.replica_id, now_s)
        outstanding_count = sum(bool(state.outstanding) for state in self._states.values())
        free_count = int(self._context.settings.orders_max_count) - outstanding_count
        for replica in replicas:
            if free_count <= 0:
                return
            if self._send_if_due(replica, inventory, now_s):
                free_count -= 1

    def _expire(self, replica_id: str, now_s: float) -> None:
        state = self._states.get(replica_id)
        limit_s = self._context.settings.order_limit_s
        if state is not None and state.outstanding and now_s - state.sent_at_s > limit_s:
            self.on_failed(state.outstanding, now_s)

    def _send_if_due(self, replica: Replica, inventory: Inventory, now_s: float) -> bool:
        desired = desired_state(replica, inventory)
        state = self._states.setdefault(replica.replica_id, OrderState())
        if state.outstanding or not desired or now_s < state.retry_at_s:
            return False
        if (state.confirmed, state.fencing_number) == (desired, self._lease.fencing_number):
            return False
        if not replica.checks_fencing and now_s < self._former_orders_expire_at_s():
            return False
        self._sequence += 1
        state.desired = desired
        state.fencing_number = self._lease.fencing_number
        state.confirmed = ""
        state.sent_at_s = now_s
        state.outstanding = f"{self._lease.name}-{state.fencing_number}-{self._sequence}"
        assert self._lease.is_held(now_s), "order attempted under an expired lease"
        self._context.count(Counter.ORDERS_SENT)
        self._context.emit(
            SendOrder(
                state.outstanding,
                replica.replica_id,
                replica.address,
                desired,
                state.fencing_number,
                self._lease.valid_until_s,
            )
        )
        return True

    def _former_orders_expire_at_s(self) -> float:
        """Return the time from which no order of a former holder can still be in progress."""
        if not self._context.is_enabled("wait-out"):
            return 0.0
        return self._lease.acquired_at_s + self._context.settings.order_limit_s

    def _back_off(self, state: OrderState, now_s: float) -> None:
        state.retry_at_s = now_s + state.retry_s * (0.5 + self._context.rng.random())
        state.retry_s = min(RETRY_MAX_S, state.retry_s * 2)
