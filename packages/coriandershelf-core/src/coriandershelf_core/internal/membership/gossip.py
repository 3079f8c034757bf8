"""Gossip between entry VMs: periodic heartbeats, and reclaim notices forwarded immediately.

Within the zone, a heartbeat carries a digest: when the sender last saw other VMs, the replica loads
it knows, and which VMs are leaving. It goes to a few of a stable set of neighbours, so that neither
the messages per VM nor its connections grow with the zone. Digests include information from other
digests and so reach the whole zone in a few rounds (anti-entropy as in Demers et al., "Epidemic
algorithms for replicated database maintenance", 1987). Between zones, heartbeats carry no digest,
and a zone's load is sent as totals. A new reclaim notice is forwarded immediately.
"""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.membership.membership import Membership, member_key
from coriandershelf_core.internal.routing.loads import LoadTable
from coriandershelf_core.internal.routing.rendezvous import ring_neighbours, ring_order
from coriandershelf_core.internal.vocabulary.actions import SendPeerMessage
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmRole, VmState, VmStatus
from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_core.internal.vocabulary.messages import (
    Heartbeat,
    LeavingNotices,
    LeavingQuery,
    Message,
    ZoneSum,
)

AGE_STEP_S = 0.1
SILENCE_FACTOR = 3.0
REMOTE_PER_ZONE_COUNT = 2

SendMessage = Callable[[str, Message], bool]


class Gossip:
    """Sends and handles heartbeats, zone totals and reclaim notices.

    :param send_message: sends a message to a peer.
    """

    def __init__(
        self, context: Context, membership: Membership, loads: LoadTable, send_message: SendMessage
    ) -> None:
        self._context = context
        self._membership = membership
        self._loads = loads
        self._send_message = send_message
        self._heartbeat_at_s = 0.0
        self._round_count = 0
        self._zone_neighbours: list[str] = []
        self._remote_neighbours: list[str] = []
        self._silent_peers: list[str] = []
        self._seeds: tuple[str, ...] = ()
        self._notices: dict[str, float] = {}
        self.zone_sums: dict[str, ZoneSum] = {}

    def on_tick(self, version: int, now_s: float) -> None:
        """Send this period's heartbeats."""
        if now_s < self._heartbeat_at_s:
            return
        self._heartbeat_at_s = now_s + self._context.settings.heartbeat_s
        self._round_count += 1
        self._choose_neighbours(now_s)
        count = min(int(self._context.settings.heartbeat_fanout_count), len(self._zone_neighbours))
        if count:
            heartbeat = self._heartbeat(version, now_s, with_digest=True)
            # Round-robin rather than random, so that all VMs receive equally many heartbeats.
            for offset in range(count):
                index = (self._round_count * count + offset) % len(self._zone_neighbours)
                self._send_message(self._zone_neighbours[index], heartbeat)
        heartbeat_without_digest = self._heartbeat(version, now_s, with_digest=False)
        if self._silent_peers:
            # Silent VMs are not neighbours; without this, two VMs that were partitioned from each
            # other would never reconnect.
            self._send_message(
                self._context.rng.choice(self._silent_peers), heartbeat_without_digest
            )
        if not self._zone_neighbours and not self._remote_neighbours:
            for address in self._seeds:
                self._context.emit(SendPeerMessage(address, address, heartbeat_without_digest))
        if self._remote_neighbours:
            vm_id = self._remote_neighbours[self._round_count % len(self._remote_neighbours)]
            self._send_message(vm_id, heartbeat_without_digest)
            zone_sum = self._own_zone_sum()
            if zone_sum is not None:
                self._send_message(vm_id, zone_sum)

    def on_seeds(self, addresses: tuple[str, ...]) -> None:
        """Store the addresses to contact while no peer is known."""
        self._seeds = addresses

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Merge a peer's heartbeat and its digest of members; the fleet view handles loads."""
        state = VmState.LEAVING if heartbeat.stopping else VmState.LIVE
        status = VmStatus(
            heartbeat.vm_id,
            heartbeat.incarnation,
            VmRole.ENTRY,
            heartbeat.zone,
            state,
            heartbeat.address,
        )
        if heartbeat.address:
            self._membership.on_peer(status, now_s)
        ages_s = tuple(step * AGE_STEP_S for step in heartbeat.member_age_steps)
        self._membership.on_digest(heartbeat.member_keys, ages_s, now_s)
        if self._context.is_enabled("notice-spread"):
            for vm_id, incarnation in zip(
                heartbeat.leaving_ids, heartbeat.leaving_incarnations, strict=True
            ):
                self._membership.on_leaving(vm_id, incarnation)

    def on_zone_sum(self, zone_sum: ZoneSum) -> None:
        """Store another zone's totals."""
        self.zone_sums[zone_sum.zone] = zone_sum

    def add_notice(self, vm_id: str, at_s: float, now_s: float) -> bool:
        """Store a notice; return whether it is new and still relevant.

        A notice whose time is long past was for an earlier VM of the same name.
        """
        keep_s = self._context.settings.notice_keep_s
        if at_s < now_s - keep_s or self._notices.get(vm_id) == at_s:
            return False
        self._notices = {
            name: known_s for name, known_s in self._notices.items() if known_s >= now_s - keep_s
        }
        self._notices[vm_id] = at_s
        return True

    def forward_notices(self, notices: list[tuple[str, float]]) -> None:
        """Send new reclaim notices to all neighbours in this zone and in the other zones."""
        if not notices or not self._context.is_enabled("notice-spread"):
            return
        message = _notices_message(notices, 0.0)
        for vm_id in (*self._zone_neighbours, *self._remote_neighbours):
            self._send_message(vm_id, message)

    def query_notices(self, asked_at_s: float) -> None:
        """Ask all neighbours for the reclaim notices they know."""
        if not self._context.is_enabled("notice-spread"):
            return
        for vm_id in (*self._zone_neighbours, *self._remote_neighbours):
            self._send_message(vm_id, LeavingQuery(asked_at_s))

    def answer_leaving_query(self, query: LeavingQuery) -> LeavingNotices:
        """Return the reclaim notices known here."""
        return _notices_message(list(self._notices.items()), query.asked_at_s)

    def _choose_neighbours(self, now_s: float) -> None:
        """Choose neighbours among recently seen VMs in this zone and all VMs in other zones."""
        identity = self._context.identity
        peers = self._membership.peers(identity)
        lost_s = self._context.settings.peer_lost_s * SILENCE_FACTOR
        responsive: list[str] = []
        self._silent_peers = []
        for peer in peers:
            if peer.zone != identity.zone:
                continue
            silent = self._membership.silence_s(peer.vm_id, now_s) > lost_s
            (self._silent_peers if silent else responsive).append(peer.vm_id)
        ring = ring_order(identity.zone, [*responsive, identity.vm_id])
        self._zone_neighbours = ring_neighbours(ring, identity.vm_id)
        if not self._context.is_enabled("ring-neighbours"):
            self._zone_neighbours = responsive
        index = ring.index(identity.vm_id)
        self._remote_neighbours = []
        for zone in sorted({peer.zone for peer in peers} - {identity.zone}):
            names = ring_order(zone, [peer.vm_id for peer in peers if peer.zone == zone])
            for offset in range(min(REMOTE_PER_ZONE_COUNT, len(names))):
                self._remote_neighbours.append(names[(index + offset) % len(names)])

    def _heartbeat(self, version: int, now_s: float, with_digest: bool) -> Heartbeat:
        identity = self._context.identity
        recently_seen = self._recently_seen(now_s) if with_digest else []
        loads = self._loads.digest(now_s)
        leaving = [
            status
            for status in self._membership.leaving()
            if now_s - self._notices.get(status.vm_id, now_s) < self._context.settings.notice_keep_s
        ]
        return Heartbeat(
            vm_id=identity.vm_id,
            incarnation=identity.incarnation,
            version=version,
            stopping=self._context.stopping,
            zone=identity.zone,
            address=identity.peer_address,
            member_keys=tuple(key for key, _ in recently_seen),
            member_age_steps=tuple(age for _, age in recently_seen),
            leaving_ids=tuple(status.vm_id for status in leaving),
            leaving_incarnations=tuple(status.incarnation for status in leaving),
            inventory_version=loads.version if with_digest else 0,
            load_indexes=loads.indexes if with_digest else (),
            load_running_counts=loads.running_counts if with_digest else (),
            load_waiting_counts=loads.waiting_counts if with_digest else (),
            load_age_steps=loads.age_steps if with_digest else (),
        )

    def _recently_seen(self, now_s: float) -> list[tuple[int, int]]:
        """Return member keys and ages of the zone's recently seen entry VMs."""
        identity = self._context.identity
        rows = []
        for peer in self._membership.peers(identity):
            member = self._membership.member(peer.vm_id)
            if member is None or peer.zone != identity.zone:
                continue
            age_s = now_s - member.last_seen_at_s
            if age_s < self._context.settings.peer_lost_s:
                rows.append((member_key(peer.vm_id, peer.incarnation), round(age_s / AGE_STEP_S)))
        return rows

    def _own_zone_sum(self) -> ZoneSum | None:
        inventory = self._context.inventory
        if inventory is None:
            return None
        return summarize_zone(inventory, self._context.identity.zone, self._loads, self._membership)


def summarize_zone(
    inventory: Inventory, zone: str, loads: LoadTable, membership: Membership
) -> ZoneSum:
    """Return a zone's slots and requests per service, over replicas that accept new work."""
    slots: dict[str, int] = {}
    running: dict[str, int] = {}
    waiting: dict[str, int] = {}
    for replica in inventory.replicas:
        state = membership.state_of(replica.replica_id)
        if replica.zone != zone or state in (VmState.LEAVING, VmState.GONE):
            continue
        load = loads.get(replica.replica_id)
        name = replica.service
        slots[name] = slots.get(name, 0) + replica.slots
        running[name] = running.get(name, 0) + (load.running_count if load else 0)
        waiting[name] = waiting.get(name, 0) + (load.waiting_count if load else 0)
    services = tuple(sorted(slots))
    return ZoneSum(
        zone,
        services,
        tuple(slots[name] for name in services),
        tuple(running[name] for name in services),
        tuple(waiting[name] for name in services),
    )


def _notices_message(notices: list[tuple[str, float]], asked_at_s: float) -> LeavingNotices:
    return LeavingNotices(
        tuple(vm_id for vm_id, _ in notices), tuple(at_s for _, at_s in notices), asked_at_s
    )
