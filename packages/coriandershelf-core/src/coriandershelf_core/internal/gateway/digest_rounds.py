"""What this VM tells the others at regular times, and what it makes of what they told."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from coriandershelf_core.internal.gateway.actions import Action, SendDigest
from coriandershelf_core.internal.gateway.digest import Digest, HolderSeen, ReplicaDigest
from coriandershelf_core.internal.gateway.peers import SMALL_SITE_COUNT, Peers
from coriandershelf_core.internal.gateway.pool import Pool
from coriandershelf_core.internal.gateway.room_asks import RoomAsks
from coriandershelf_core.internal.gateway.suspects import Suspects
from coriandershelf_core.internal.gateway.usage_caps import UsageCaps
from coriandershelf_core.internal.gateway.usage_counts import UsageCounts
from coriandershelf_core.internal.gateway.work_rates import WorkRates

# Other VMs' counts are summed this often where so many are known, more often where fewer are.
COUNT_PERIOD_S = 0.2
COUNT_PERIOD_PEERS = 80
# VMs beside the holder of the duties that are told everybody's usage, to report it if it is lost.
REPORTERS_COUNT = 3
# A replica's learnt slowness is told to the other entry VMs for this long.
TIMES_TOLD_S = 3.0


@dataclass(frozen=True, slots=True)
class Identity:
    """This process among the entry VMs; ``address`` is where the others reach it."""

    vm_id: str
    address: str
    zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Standing:
    """What a digest says of this VM itself.

    :param holder: this VM, while it holds the duties; ``holder_seen`` whoever was last heard to.
    """

    stopping: bool
    configuration_version: int
    holder: HolderSeen | None
    holder_seen: HolderSeen | None


@dataclass(slots=True)
class DigestRounds:
    """Sums up the others' digests and sends this VM's own.

    :param emit: takes the actions for the process.
    """

    identity: Identity
    pool: Pool
    peers: Peers
    caps: UsageCaps
    suspects: Suspects
    usage: UsageCounts
    work_rates: WorkRates
    asks: RoomAsks
    emit: Callable[[Action], None]
    _sequence: int = 0
    _counted_at_s: float = 0.0

    def count_others(self, stopping: bool, now_s: float) -> None:
        """Take over what the others have at each replica, and who keeps accounts."""
        if now_s - self._counted_at_s < COUNT_PERIOD_S * self.peers.count / COUNT_PERIOD_PEERS:
            return
        self._counted_at_s = now_s
        self._update_accounts(stopping, now_s)
        told: dict[str, list[ReplicaDigest]] = {}
        for digest in self.peers.live(now_s):
            for name, item in digest.replicas.items():
                told.setdefault(name, []).append(item)
        for state in self.pool:
            state.on_others(told.get(state.replica.replica_id, ()), now_s)

    def _update_accounts(self, stopping: bool, now_s: float) -> None:
        live = [digest for digest in self.peers.live(now_s) if not digest.stopping]
        self.asks.enabled = self.peers.count > SMALL_SITE_COUNT
        zones: dict[str, list[str]] = {
            self.identity.zone: [] if stopping else [self.identity.vm_id]
        }
        for digest in live:
            zones.setdefault(digest.zone, []).append(digest.vm_id)
        self.asks.accountants.update({zone: tuple(sorted(vms)) for zone, vms in zones.items()})
        self.asks.addresses = {digest.vm_id: digest.address for digest in live}
        processes = {(digest.vm_id, digest.incarnation) for digest in self.peers.live(now_s)}
        processes.add((self.identity.vm_id, self.identity.incarnation))
        self.asks.ledger.on_tick(self.pool.ids(), processes, now_s)

    def send(self, standing: Standing, now_s: float, clock_s: float) -> None:
        """Send digests to those that are to have one now."""
        due = self.peers.due(self.identity.zone, now_s)
        if not due:
            return
        lean = self._make_digest(standing, now_s, clock_s)
        full = replace(
            lean,
            spent=self.caps.spent(),
            demand=self.caps.demand(now_s),
            work=self.work_rates.own(now_s, self.pool.own_running()),
            complete=True,
        )
        # Usage is told to those that may have to report it; it is the larger part of a digest.
        reporters = self.peers.first_ids(self.identity.vm_id, REPORTERS_COUNT, now_s)
        if standing.holder_seen is not None:
            reporters.add(standing.holder_seen.vm_id)
        reporting = replace(full, begun=self.usage.told())
        groups: dict[int, list[str]] = {}
        for vm_id, is_full in due.items():
            kind = 2 if vm_id in reporters else int(is_full)
            groups.setdefault(kind, []).append(self.peers.address_of(vm_id))
        for kind, addresses in groups.items():
            digest = (lean, full, reporting)[kind]
            self.emit(SendDigest(tuple(addresses), digest))

    def _make_digest(self, standing: Standing, now_s: float, clock_s: float) -> Digest:
        self._sequence += 1
        replicas = {
            state.replica.replica_id: state.own_digest(now_s)
            for state in self.pool
            if not self.asks.enabled
            and (state.in_flight or state.was_timed_since(now_s - TIMES_TOLD_S))
        }
        return Digest(
            self.identity.vm_id,
            self.identity.address,
            self.identity.zone,
            self.identity.incarnation,
            self._sequence,
            clock_s,
            standing.stopping,
            standing.configuration_version,
            replicas=replicas,
            crashes=self.suspects.own_counts(),
            left=self.pool.left_lately(now_s),
            holder=standing.holder,
        )
