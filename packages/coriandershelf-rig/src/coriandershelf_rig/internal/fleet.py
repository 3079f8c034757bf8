"""Many cores in virtual time, without engines or callers, to measure the control traffic's cost.

Messages are encoded and decoded as on the wire. The constants here account for network bytes
beyond the encoded message; CPU time covers the core and the codec, without sockets.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core import CoreSettings, EntryCore, VmIdentity
from coriandershelf_core.internal.vocabulary.actions import Action, PollLoad, SendPeerMessage
from coriandershelf_core.internal.vocabulary.events import (
    Event,
    LoadReported,
    LogRead,
    PeerMessageArrived,
    Tick,
    VmListRead,
    VmRole,
    VmState,
    VmStatus,
)
from coriandershelf_core.internal.vocabulary.inventory import (
    Customer,
    Inventory,
    Replica,
    Service,
    ServiceKind,
    Zone,
)
from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    ConfigurationProposed,
    Record,
)
from coriandershelf_rig.internal.report import percentile
from coriandershelf_wire import Malformed, decode_batch, encode_batch
from coriandershelf_wire.internal.peer_pb2 import Batch

TICK_S = 0.1
LATENCY_S = 0.001
MESSAGE_OVERHEAD_BYTES = 250
POLL_BYTES = 800
REPLICA_SLOTS = 16


@dataclass(slots=True)
class Node:
    """One entry VM and its cost counters."""

    core: EntryCore
    zone: str
    bytes_count: int = 0
    message_count: int = 0
    poll_count: int = 0
    core_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetCost:
    """The cost of control traffic per node and second.

    :param staleness_s: 95th percentile of the age of a replica's load at the entry VMs of its zone.
    """

    node_count: int
    bytes_per_s: float
    bytes_max_per_s: float
    messages_per_s: float
    polls_per_s: float
    core_share: float
    staleness_s: float


@dataclass(slots=True)
class Fleet:
    """Cores in several zones, all live, with loads that change at random.

    :param replica_count: total over all zones.
    """

    node_count: int
    replica_count: int
    zone_count: int
    seed: int
    settings: CoreSettings = field(default_factory=CoreSettings)
    disabled: frozenset[str] = frozenset()
    now_s: float = 1000.0
    nodes: dict[str, Node] = field(default_factory=dict)
    _heap: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: int = 0
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Start every core and give it the VM list and the inventory."""
        self._rng = random.Random(self.seed)
        inventory = self._inventory()
        statuses = []
        for index in range(self.node_count):
            zone = f"zone-{index % self.zone_count}"
            vm_id = f"entry-{index}"
            statuses.append(VmStatus(vm_id, 1, VmRole.ENTRY, zone, VmState.LIVE, vm_id))
            identity = VmIdentity(vm_id, zone, 1, vm_id)
            rng = random.Random(self._rng.getrandbits(63))
            core = EntryCore(identity, self.settings, rng, lambda i, r, v: inventory, self.disabled)
            self.nodes[vm_id] = Node(core, zone)
        statuses += [
            VmStatus(item.replica_id, 1, VmRole.UPSTREAM, item.zone, VmState.LIVE, item.address)
            for item in inventory.replicas
        ]
        proposal = ConfigurationProposed("p", 0, "operator", 0.0, "", "")
        records = (Record(0, self.now_s, "operator", 1, 1, (proposal,)),)
        for vm_id in self.nodes:
            self._feed(vm_id, VmListRead(tuple(statuses)))
            self._feed(vm_id, LogRead(CONFIGURATION_STREAM, records, 0, 1))
            self._schedule(self._rng.random() * TICK_S, lambda v=vm_id: self._tick(v))  # type: ignore[misc]

    def run(self, duration_s: float) -> None:
        """Advance virtual time."""
        until_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = until_s

    def measure(self, warm_up_s: float, duration_s: float) -> FleetCost:
        """Return the cost per node and second after a warm-up, when all nodes know each other."""
        self.run(warm_up_s)
        for node in self.nodes.values():
            node.bytes_count = node.message_count = node.poll_count = 0
            node.core_s = 0.0
        self.run(duration_s)
        nodes = list(self.nodes.values())
        node_s = len(nodes) * duration_s
        return FleetCost(
            node_count=len(nodes),
            bytes_per_s=sum(node.bytes_count for node in nodes) / node_s,
            bytes_max_per_s=max(node.bytes_count for node in nodes) / duration_s,
            messages_per_s=sum(node.message_count for node in nodes) / node_s,
            polls_per_s=sum(node.poll_count for node in nodes) / node_s,
            core_share=sum(node.core_s for node in nodes) / node_s,
            staleness_s=percentile(self._load_ages_s(), 0.95),
        )

    def _load_ages_s(self) -> list[float]:
        ages_s = []
        for node in self.nodes.values():
            inventory = node.core.context.inventory
            assert inventory is not None, "every node has the inventory"
            for replica in inventory.replicas:
                if replica.zone == node.zone:
                    load = node.core.fleet.loads.get(replica.replica_id)
                    ages_s.append(self.now_s - load.reported_at_s if load else self.now_s)
        return ages_s

    def _inventory(self) -> Inventory:
        zones = tuple(Zone(f"zone-{index}", "region") for index in range(self.zone_count))
        replicas = tuple(
            Replica(
                f"replica-{index}",
                "model",
                f"zone-{index % self.zone_count}",
                f"replica-{index}",
                REPLICA_SLOTS,
            )
            for index in range(self.replica_count)
        )
        services = (Service("model", ServiceKind.MODEL),)
        return Inventory(1, zones, services, replicas, (Customer("customer", ("0" * 64,)),))

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (self.now_s + delay_s, self._sequence, callback))

    def _tick(self, vm_id: str) -> None:
        self._feed(vm_id, Tick())
        self._schedule(TICK_S, lambda: self._tick(vm_id))

    def _feed(self, vm_id: str, event: Event) -> None:
        node = self.nodes[vm_id]
        started_s = time.process_time()
        actions = node.core.step(event, self.now_s)
        node.core_s += time.process_time() - started_s
        messages_by_peer: dict[str, list[Message]] = {}
        for action in actions:
            if isinstance(action, SendPeerMessage):
                messages_by_peer.setdefault(action.vm_id, []).append(action.message)
            else:
                self._perform(vm_id, node, action)
        for target, messages in messages_by_peer.items():
            self._send_messages(vm_id, target, tuple(messages))

    def _perform(self, vm_id: str, node: Node, action: Action) -> None:
        if isinstance(action, PollLoad):
            node.poll_count += 1
            node.bytes_count += POLL_BYTES
            report = LoadReported(
                action.replica_id, self._rng.randrange(REPLICA_SLOTS), 0, self.now_s
            )
            self._schedule(LATENCY_S, lambda: self._feed(vm_id, report))

    def _send_messages(self, vm_id: str, target: str, messages: tuple[Message, ...]) -> None:
        """Send one step's messages to a peer as one batch, as the sender task does."""
        node = self.nodes[vm_id]
        started_s = time.process_time()
        batch = encode_batch(vm_id, 1, messages)
        node.core_s += time.process_time() - started_s
        size = batch.ByteSize() + MESSAGE_OVERHEAD_BYTES
        for endpoint in (node, self.nodes[target]):
            endpoint.bytes_count += size
            endpoint.message_count += 1
        self._schedule(LATENCY_S, lambda: self._deliver(vm_id, target, batch))

    def _deliver(self, sender: str, target: str, batch: Batch) -> None:
        node = self.nodes[target]
        started_s = time.process_time()
        messages = decode_batch(batch)
        node.core_s += time.process_time() - started_s
        assert not isinstance(messages, Malformed), messages
        for message in messages:
            self._feed(target, PeerMessageArrived(sender, message))
