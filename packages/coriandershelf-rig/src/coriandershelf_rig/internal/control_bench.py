"""Leases, orders and purchases of several entry VMs against a simulated log and cloud.

Only the core's control part runs, so a simulated day takes seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core import CoreSettings, VmIdentity
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.control.buyer import ServiceDemand
from coriandershelf_core.internal.control.control import Control
from coriandershelf_core.internal.control.purchase_planning import Offer, SlotDemand
from coriandershelf_core.internal.vocabulary.actions import (
    Action,
    Append,
    IncrementCounter,
    SendOrder,
    StartVm,
    StopVm,
)
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import (
    LogRead,
    OffersRead,
    OrderAnswered,
    StartAnswered,
    StopAnswered,
)
from coriandershelf_core.internal.vocabulary.inventory import (
    Inventory,
    PurchaseModel,
    Replica,
    Rules,
    Service,
    ServiceKind,
    Zone,
)
from coriandershelf_core.internal.vocabulary.records import CONTROL_STREAM, Record
from coriandershelf_rig.internal.cloud_model import CloudModel, CloudVm
from coriandershelf_rig.internal.log_model import AppendOutcome, LogModel

SERVICE = "model"
LIST_LAG_S = 5.0
READ_MAX_COUNT = 1000


@dataclass(slots=True)
class OrderTarget:
    """An upstream that accepts orders and keeps the highest fencing number it received."""

    checks_fencing: bool
    fencing_number: int = -1
    state: str = ""
    stale_order_count: int = 0

    def accept(self, order: SendOrder) -> bool:
        """Accept or refuse an order; count those accepted with an outdated fencing number."""
        if order.fencing_number < self.fencing_number:
            if self.checks_fencing:
                return False
            self.stale_order_count += 1
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self.state = order.desired_state
        return True


@dataclass(slots=True)
class Node:
    """One entry VM's control part."""

    context: Context
    log_appender: LogAppender
    control: Control
    offset: int = 0
    paused: bool = False


class ControlBench:
    """Steps the control parts of several entry VMs through virtual time.

    :param demand: demand in slots of the service, by time.
    :param budget_per_hour: budget of the active rules.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        seed: int,
        demand: Callable[[float], SlotDemand],
        budget_per_hour: float,
        disabled: frozenset[str] = frozenset(),
        settings: CoreSettings | None = None,
        replicas: tuple[Replica, ...] = (),
        weights: str = "",
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.demand = demand
        self.log = LogModel(self.rng)
        self.cloud = CloudModel(self.rng)
        self.offers: tuple[Offer, ...] = ()
        self.prices: dict[str, float] = {}
        self.counters: dict[str, int] = {}
        self.upstreams = {
            replica.replica_id: OrderTarget(replica.checks_fencing) for replica in replicas
        }
        self.inventory = Inventory(
            version=1,
            zones=tuple(Zone(zone, "r") for zone in zones),
            services=(Service(SERVICE, ServiceKind.MODEL, weights=weights, scaled=True),),
            replicas=replicas,
            customers=(),
            rules=Rules(budget_per_hour=budget_per_hour),
        )
        self._settings = settings or CoreSettings()
        self._disabled = disabled
        self._incarnation = 0
        self.nodes: dict[str, Node] = {}
        for index, zone in enumerate(zones):
            self.start_node(f"entry-{index + 1}", zone)

    def start_node(self, vm_id: str, zone: str) -> Node:
        """Start an entry VM, or restart it without any previous state."""
        self._incarnation += 1
        identity = VmIdentity(vm_id, zone, self._incarnation)
        rng = random.Random(self.rng.getrandbits(63))
        context = Context(identity, self._settings, rng, self._disabled)
        context.inventory = self.inventory
        log_appender = LogAppender(context)
        control = Control(context, log_appender, self._service_demands, self._vm_serves)
        node = Node(context, log_appender, control)
        self.nodes[vm_id] = node
        return node

    def step(self, duration_s: float) -> None:
        """Advance time and step every node that isn't paused once."""
        self.now_s += duration_s
        for node in list(self.nodes.values()):
            if not node.paused:
                self._step_node(node)

    def lease_holder(self, name: str) -> Node | None:
        """Return the node that holds a lease according to its own clock."""
        for node in self.nodes.values():
            for lease in (node.control.orders_lease, node.control.spending_lease):
                if lease.name == name and lease.is_held(self.now_s):
                    return node
        return None

    def serving(self) -> list[CloudVm]:
        """Return the VMs that are serving now."""
        return self.cloud.serving(self.now_s)

    def price_per_hour(self) -> float:
        """Return the hourly price of the running VMs; a VM's price is fixed when it starts."""
        return sum(self.prices[vm.token] for vm in self.cloud.running(self.now_s))

    def _price_of(self, zone: str, purchase: str) -> float:
        return next(
            offer.price_per_hour
            for offer in self.offers
            if (offer.zone, offer.purchase.value) == (zone, purchase)
        )

    def _service_demands(self, now_s: float) -> list[ServiceDemand]:
        return [ServiceDemand(SERVICE, self.demand(now_s), ())]

    def _vm_serves(self, token: str) -> bool | None:
        """Return whether a VM serves by the lagging VM list; ``None`` if the list shows its end."""
        vm = self.cloud.vms.get(token)
        if vm is None:
            return False
        listed_at_s = self.now_s - LIST_LAG_S
        if vm.ended_at_s is not None and vm.ended_at_s <= listed_at_s:
            return None
        return vm.started_at_s + self.cloud.startup_s <= listed_at_s

    def _step_node(self, node: Node) -> None:
        start = node.offset
        answer = self.log.read(CONTROL_STREAM, start, READ_MAX_COUNT, self.now_s)
        if answer is not None:
            stored_records, first_offset, node.offset = answer
            records = tuple(Record(item.offset, item.time_s, *item.data) for item in stored_records)
            event = LogRead(CONTROL_STREAM, records, first_offset, node.offset)
            node.control.on_log_read(event, self.now_s)
        node.control.handle(OffersRead(self.offers), self.now_s)
        node.log_appender.on_tick(self.now_s)
        node.control.on_tick(self.now_s)
        self._perform_all(node)

    def _perform_all(self, node: Node) -> None:
        while node.context.outbox:
            actions, node.context.outbox = node.context.outbox, []
            for action in actions:
                self._perform(node, action)

    def _perform(self, node: Node, action: Action) -> None:
        now_s = self.now_s
        match action:
            case Append():
                self._append(node, action)
            case IncrementCounter(name, amount):
                self.counters[name] = self.counters.get(name, 0) + amount
            case StartVm(token, service, zone, machine_class, purchase, valid_until_s):
                if now_s < valid_until_s:
                    already_started = token in self.cloud.vms
                    result = self.cloud.start(token, service, zone, machine_class, purchase, now_s)
                    if not already_started and token in self.cloud.vms:
                        self.prices[token] = self._price_of(zone, purchase)
                    node.control.handle(StartAnswered(token, result), now_s)
            case StopVm(token, valid_until_s):
                if now_s < valid_until_s:
                    result = self.cloud.stop(token, now_s)
                    node.control.handle(StopAnswered(token, result), now_s)
            case SendOrder():
                if now_s < action.valid_until_s or not node.context.is_enabled("check-before-send"):
                    accepted = self.upstreams[action.replica_id].accept(action)
                    node.control.handle(OrderAnswered(action.order_id, accepted), now_s)
            case _:
                pass

    def _append(self, node: Node, action: Append) -> None:
        identity = node.context.identity
        data = (identity.vm_id, identity.incarnation, action.sequence, action.entries)
        outcome, _ = self.log.append(action.stream, data, self.now_s)
        if outcome is AppendOutcome.ACCEPTED:
            node.log_appender.on_acknowledged(action.append_id, self.now_s)
        else:
            is_uncertain = outcome is not AppendOutcome.REFUSED
            node.log_appender.on_failed(action.append_id, is_uncertain, self.now_s)


def make_offers(
    zones: tuple[str, ...], prices: dict[str, float], on_demand_price: float, slots: int
) -> tuple[Offer, ...]:
    """Return one reclaimable and one on-demand offer per zone."""
    reclaimable = [
        Offer(zone, "standard", PurchaseModel.RECLAIMABLE, prices[zone], slots) for zone in zones
    ]
    on_demand = [
        Offer(zone, "standard", PurchaseModel.ON_DEMAND, on_demand_price, slots) for zone in zones
    ]
    return (*reclaimable, *on_demand)
