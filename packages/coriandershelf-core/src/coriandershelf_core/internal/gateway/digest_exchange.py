"""Sends this VM's digests and merges those of its peers."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import Action, LogLine, SendDigest
from coriandershelf_core.internal.gateway.arrival_rates import ArrivalRates
from coriandershelf_core.internal.gateway.builds import BUILD, PROTOCOL_LEVEL
from coriandershelf_core.internal.gateway.digest import Digest, HolderInfo, ReplicaDigest
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.load_queries import LoadQueries
from coriandershelf_core.internal.gateway.peers import SMALL_SITE_PEERS_COUNT, Peers
from coriandershelf_core.internal.gateway.poison_parts import PoisonParts
from coriandershelf_core.internal.gateway.poison_requests import PoisonRequests
from coriandershelf_core.internal.gateway.pool import Pool
from coriandershelf_core.internal.gateway.replica_paths import ReplicaPaths
from coriandershelf_core.internal.gateway.request_limits import LimitDigest
from coriandershelf_core.internal.gateway.rollout_traffic import Rollouts
from coriandershelf_core.internal.gateway.usage_caps import UsageCaps
from coriandershelf_core.internal.gateway.usage_counts import UsageCounts

# Peer digests are merged at this period for this many peers, proportionally more often for fewer.
MERGE_PERIOD_S = 0.2
MERGE_PERIOD_PEERS_COUNT = 80
# VMs besides the lease holder that receive all usage counts, to report them if the holder fails.
# With few VMs all of them do: any may have to take over while others restart or are cut off.
REPORTERS_COUNT = 3
# A latency ratio is sent to the peers for this long after its last sample.
LATENCY_SHARED_S = 3.0


class Identity(Struct, frozen=True):
    """Identity of this process; ``address`` is where the peers reach it.

    :param digest_port: the port for digests, if it is another one.
    """

    vm_id: str
    address: str
    zone: str
    incarnation: int
    digest_port: int = 0


class VmStatus(Struct, frozen=True):
    """This VM's own status, sent in its digests.

    :param holder: this VM, while it holds the lease.
    :param last_holder: the lease holder named in the most recent digest that named one.
    :param lease_end: end offset of the lease's partition while this VM holds it, else 0.
    :param released_number: the highest fencing token that this VM gave up.
    :param highest_number: no fencing token that this VM knows of is higher.
    :param reported_window: the newest usage window whose report this VM knows to be final.
    """

    stopping: bool
    configuration_version: int
    holder: HolderInfo | None
    last_holder: HolderInfo | None
    lease_end: int = 0
    released_number: int = 0
    highest_number: int = 0
    reported_window: int = 0


class DigestExchange(Struct):
    """Merges peer digests and sends this VM's own.

    :param emit: receives the actions for the process.
    """

    identity: Identity
    pool: Pool
    peers: Peers
    caps: UsageCaps
    poison_requests: PoisonRequests
    poison_parts: PoisonParts
    paths: ReplicaPaths
    usage: UsageCounts
    arrival_rates: ArrivalRates
    load_queries: LoadQueries
    entry_vms: EntryVms
    rollouts: Rollouts
    emit: Callable[[Action], None]
    _sequence: int = 0
    _merged_at_s: float = 0.0
    _reporters: set[str] = field(default_factory=set)

    def merge_peer_digests(self, stopping: bool, now_s: float) -> None:
        """Update the peers' requests at each replica and the assignment of load trackers."""
        if now_s - self._merged_at_s < MERGE_PERIOD_S * self.peers.count / MERGE_PERIOD_PEERS_COUNT:
            return
        self._merged_at_s = now_s
        self._update_trackers(stopping, now_s)
        is_small = self.peers.count <= SMALL_SITE_PEERS_COUNT
        count = self.peers.count + 1 if is_small else REPORTERS_COUNT
        self._reporters = self.peers.lowest_ids(self.identity.vm_id, count, now_s)
        self._update_lowest_level(now_s)
        by_replica: dict[str, list[ReplicaDigest]] = {}
        limits: dict[str, list[LimitDigest]] = {}
        for digest in self.peers.live_digests(now_s):
            for name, item in digest.replicas.items():
                by_replica.setdefault(name, []).append(item)
            for name, limit in digest.limits.items():
                limits.setdefault(name, []).append(limit)
        for state in self.pool:
            name = state.replica.replica_id
            state.on_peer_digests(by_replica.get(name, ()), now_s)
            state.limit.peers_sent_count = sum(limit.sent_count for limit in limits.get(name, ()))

    def _update_lowest_level(self, now_s: float) -> None:
        level = self.peers.lowest_level(now_s)
        if level == self.entry_vms.lowest_level:
            return
        self.entry_vms.lowest_level = level
        below = self.peers.vm_ids_below(PROTOCOL_LEVEL)
        fields = (("protocol_level", level), ("below", len(below)), ("first", ",".join(below[:3])))
        self.emit(LogLine("lowest protocol level", fields))

    def _update_trackers(self, stopping: bool, now_s: float) -> None:
        live = [digest for digest in self.peers.live_digests(now_s) if not digest.stopping]
        self.load_queries.enabled = self.peers.count > SMALL_SITE_PEERS_COUNT
        zones: dict[str, list[str]] = {
            self.identity.zone: [] if stopping else [self.identity.vm_id]
        }
        for digest in live:
            zones.setdefault(digest.zone, []).append(digest.vm_id)
        ids_by_zone = {zone: tuple(sorted(vms)) for zone, vms in zones.items()}
        self.entry_vms.ids = tuple(sorted(vm_id for vms in zones.values() for vm_id in vms))
        self.entry_vms.ids_by_zone = ids_by_zone
        self.entry_vms.addresses = {digest.vm_id: digest.address for digest in live}
        self.entry_vms.relay_addresses = tuple(
            digest.address for digest in live if not digest.no_path
        )
        self.load_queries.assignment.set_vms(ids_by_zone)
        self.load_queries.addresses = self.entry_vms.addresses
        processes = {
            (digest.vm_id, digest.incarnation) for digest in self.peers.live_digests(now_s)
        }
        processes.add((self.identity.vm_id, self.identity.incarnation))
        self.load_queries.tracker.on_tick(self.pool.ids(), processes, now_s)

    def send(self, vm_status: VmStatus, now_s: float, clock_s: float) -> None:
        """Send digests to the peers that are due for one."""
        due = self.peers.due(self.identity.zone, now_s)
        if not due:
            return
        # Usage counts make up most of a digest, so only VMs that may have to report them get them.
        reporters = set(self._reporters)
        if vm_status.last_holder is not None:
            reporters.add(vm_status.last_holder.vm_id)
        addresses: dict[str, list[str]] = {"minimal": [], "full": [], "reporting": []}
        for vm_id, is_full in due.items():
            kind = "reporting" if vm_id in reporters else "full" if is_full else "minimal"
            addresses[kind].append(self.peers.address_of(vm_id))
        digest = self._make_digest(vm_status, now_s, clock_s)
        self._emit_digest(digest, addresses["minimal"])
        if addresses["full"] or addresses["reporting"]:
            digest = replace(
                digest,
                spent=self.caps.spent(),
                demand=self.caps.demand(now_s),
                work=self.arrival_rates.own_rates(now_s, self.pool.own_running()),
                complete=True,
            )
            self._emit_digest(digest, addresses["full"])
        if addresses["reporting"]:
            digest = replace(digest, begun=self.usage.latest_windows())
            self._emit_digest(digest, addresses["reporting"])

    def _emit_digest(self, digest: Digest, addresses: list[str]) -> None:
        if addresses:
            self.emit(SendDigest(tuple(addresses), digest))

    def _make_digest(self, vm_status: VmStatus, now_s: float, clock_s: float) -> Digest:
        self._sequence += 1
        replicas = {
            state.replica.replica_id: state.own_digest(now_s)
            for state in self.pool
            if not self.load_queries.enabled
            and (state.in_flight or state.sampled_since(now_s - LATENCY_SHARED_S))
        }
        return Digest(
            self.identity.vm_id,
            self.identity.address,
            self.identity.zone,
            self.identity.incarnation,
            self._sequence,
            clock_s,
            vm_status.stopping,
            vm_status.configuration_version,
            build=BUILD,
            replicas=replicas,
            crashes=self.poison_requests.own_counts(),
            died=self.poison_requests.own_crashed(),
            left=self.pool.recently_left(now_s),
            limits=self.pool.limits(now_s),
            parts=self.poison_parts.digest(now_s),
            no_path=self.paths.any_lost,
            holder=vm_status.holder,
            # With few VMs, digests tell what runs at each replica and are read as they arrive.
            digest_port=self.identity.digest_port if self.load_queries.enabled else 0,
            rollouts=self.rollouts.news(now_s),
            versions=self.rollouts.counts(),
            lease_end=vm_status.lease_end,
            released=vm_status.released_number,
            token=vm_status.highest_number,
            reported=vm_status.reported_window,
        )
