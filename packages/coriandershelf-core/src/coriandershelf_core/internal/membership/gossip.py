"""What entry VMs tell each other every period, and notices at once.

Within the zone, a heartbeat carries a digest: when the sender heard of others, the loads it knows,
and who is leaving. It goes to a few of a stable set of neighbours, so that messages per VM do not
grow with the zone and connections stay few; digests of digests reach the whole zone in a few
rounds (anti-entropy as in Demers et al., "Epidemic algorithms for replicated database
maintenance", 1987). Between zones go sums. A notice that is news is passed on at once.
"""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.membership.membership import Membership, member_key
from coriandershelf_core.internal.routing.loads import Loads
from coriandershelf_core.internal.routing.rendezvous import ring_neighbours, ring_of
from coriandershelf_core.internal.vocabulary.actions import TellPeer
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
FAR_PER_ZONE_COUNT = 2

Tell = Callable[[str, Message], bool]


class Gossip:
    """Builds and takes heartbeats, sums and notices.

    :param tell: sends a message to a peer.
    """

    def __init__(self, context: Context, membership: Membership, loads: Loads, tell: Tell) -> None:
        self._context = context
        self._membership = membership
        self._loads = loads
        self._tell = tell
        self._heartbeat_at_s = 0.0
        self._round = 0
        self._near: list[str] = []
        self._far: list[str] = []
        self._silent: list[str] = []
        self._seeds: tuple[str, ...] = ()
        self._notices: dict[str, float] = {}
        self.sums: dict[str, ZoneSum] = {}

    def on_tick(self, version: int, now_s: float) -> None:
        """Send this period's heartbeats."""
        if now_s < self._heartbeat_at_s:
            return
        self._heartbeat_at_s = now_s + self._context.settings.heartbeat_s
        self._round += 1
        self._find_neighbours(now_s)
        count = min(int(self._context.settings.heartbeat_fanout_count), len(self._near))
        if count:
            heartbeat = self._heartbeat(version, now_s, with_digest=True)
            # In turn rather than at random, so that no VM is told more than another.
            for offset in range(count):
                place = (self._round * count + offset) % len(self._near)
                self._tell(self._near[place], heartbeat)
        short = self._heartbeat(version, now_s, with_digest=False)
        if self._silent:
            # A VM that fell silent is not a neighbour; without this, two that were cut from each
            # other would never try again.
            self._tell(self._context.rng.choice(self._silent), short)
        if not self._near and not self._far:
            for address in self._seeds:
                self._context.emit(TellPeer(address, address, short))
        if self._far:
            vm_id = self._far[self._round % len(self._far)]
            self._tell(vm_id, short)
            zone_sum = self._zone_sum()
            if zone_sum is not None:
                self._tell(vm_id, zone_sum)

    def on_seeds(self, addresses: tuple[str, ...]) -> None:
        """Take the addresses to turn to while no peer is known."""
        self._seeds = addresses

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a peer's heartbeat and its digest of others; loads are left to the caller."""
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
        if self._context.enabled("notice-spread"):
            for vm_id, incarnation in zip(
                heartbeat.leaving_ids, heartbeat.leaving_incarnations, strict=True
            ):
                self._membership.on_leaving(vm_id, incarnation)

    def on_sum(self, zone_sum: ZoneSum) -> None:
        """Keep another zone's sum."""
        self.sums[zone_sum.zone] = zone_sum

    def learn_notice(self, vm_id: str, at_s: float, now_s: float) -> bool:
        """Keep a notice; return whether it is news and still matters.

        A notice whose time is long past was meant for an earlier VM of that name.
        """
        keep_s = self._context.settings.notice_keep_s
        if at_s < now_s - keep_s or self._notices.get(vm_id) == at_s:
            return False
        self._notices = {
            name: known_s for name, known_s in self._notices.items() if known_s >= now_s - keep_s
        }
        self._notices[vm_id] = at_s
        return True

    def pass_on(self, notices: list[tuple[str, float]]) -> None:
        """Tell news of leaving VMs to every neighbour in this zone and the other zones."""
        if not notices or not self._context.enabled("notice-spread"):
            return
        message = _notices_message(notices, 0.0)
        for vm_id in (*self._near, *self._far):
            self._tell(vm_id, message)

    def ask_notices(self, asked_at_s: float) -> None:
        """Ask neighbours for the notices that they know."""
        if not self._context.enabled("notice-spread"):
            return
        for vm_id in (*self._near, *self._far):
            self._tell(vm_id, LeavingQuery(asked_at_s))

    def answer_notices(self, query: LeavingQuery) -> LeavingNotices:
        """Return the notices known here."""
        return _notices_message(list(self._notices.items()), query.asked_at_s)

    def _find_neighbours(self, now_s: float) -> None:
        """Choose neighbours: in the zone among VMs heard of lately, elsewhere among all."""
        identity = self._context.identity
        peers = self._membership.peers(identity)
        lost_s = self._context.settings.peer_lost_s * SILENCE_FACTOR
        near: list[str] = []
        self._silent = []
        for peer in peers:
            if peer.zone != identity.zone:
                continue
            silent = self._membership.silent_s(peer.vm_id, now_s) > lost_s
            (self._silent if silent else near).append(peer.vm_id)
        ring = ring_of(identity.zone, [*near, identity.vm_id])
        self._near = ring_neighbours(ring, identity.vm_id)
        if not self._context.enabled("ring-neighbours"):
            self._near = near
        place = ring.index(identity.vm_id)
        self._far = []
        for zone in sorted({peer.zone for peer in peers} - {identity.zone}):
            names = ring_of(zone, [peer.vm_id for peer in peers if peer.zone == zone])
            for offset in range(min(FAR_PER_ZONE_COUNT, len(names))):
                self._far.append(names[(place + offset) % len(names)])

    def _heartbeat(self, version: int, now_s: float, with_digest: bool) -> Heartbeat:
        identity = self._context.identity
        heard = self._heard(now_s) if with_digest else []
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
            member_keys=tuple(key for key, _ in heard),
            member_age_steps=tuple(age for _, age in heard),
            leaving_ids=tuple(status.vm_id for status in leaving),
            leaving_incarnations=tuple(status.incarnation for status in leaving),
            inventory_version=loads.version if with_digest else 0,
            load_indexes=loads.indexes if with_digest else (),
            load_running_counts=loads.running_counts if with_digest else (),
            load_waiting_counts=loads.waiting_counts if with_digest else (),
            load_age_steps=loads.age_steps if with_digest else (),
        )

    def _heard(self, now_s: float) -> list[tuple[int, int]]:
        """Return short names and ages of the zone's entry VMs heard of lately."""
        identity = self._context.identity
        rows = []
        for peer in self._membership.peers(identity):
            member = self._membership.member(peer.vm_id)
            if member is None or peer.zone != identity.zone:
                continue
            age_s = now_s - member.heard_at_s
            if age_s < self._context.settings.peer_lost_s:
                rows.append((member_key(peer.vm_id, peer.incarnation), round(age_s / AGE_STEP_S)))
        return rows

    def _zone_sum(self) -> ZoneSum | None:
        inventory = self._context.inventory
        if inventory is None:
            return None
        return sum_zone(inventory, self._context.identity.zone, self._loads, self._membership)


def sum_zone(inventory: Inventory, zone: str, loads: Loads, membership: Membership) -> ZoneSum:
    """Return a zone's slots and requests by service, over replicas that take new work."""
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
