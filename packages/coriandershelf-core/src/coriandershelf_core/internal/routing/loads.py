"""Polling of replica loads, and the last known load of each replica of the zone."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.rendezvous import assign_bounded
from coriandershelf_core.internal.vocabulary.actions import PollLoad
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LoadReported, VmRole, VmState
from coriandershelf_core.internal.vocabulary.inventory import Replica
from coriandershelf_core.internal.vocabulary.reasons import Counter

AGE_STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Load as reported by a replica."""

    running_count: int
    waiting_count: int
    reported_at_s: float


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """Loads of one zone in columns; a replica is identified by its index in the inventory.

    :param version: version of the inventory that the indexes refer to.
    :param age_steps: ages of the reports in steps of ``AGE_STEP_S``.
    """

    version: int
    indexes: tuple[int, ...]
    running_counts: tuple[int, ...]
    waiting_counts: tuple[int, ...]
    age_steps: tuple[int, ...]


class LoadTable:
    """Polls the replicas assigned to this VM and stores the loads of the zone's replicas.

    Each replica is polled by a few entry VMs of its zone, chosen by rendezvous hashing, so that
    the number of polls does not grow with entry VMs times replicas.
    """

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._loads: dict[str, ReplicaLoad] = {}
        self._poll_at_s: dict[str, float] = {}
        self._polled: list[Replica] = []
        self._assigned_entry_vms: tuple[str, ...] = ()
        self._replicas: tuple[Replica, ...] | None = None
        self._assign_at_s = 0.0

    @property
    def polled(self) -> list[Replica]:
        """Return the replicas that this VM polls."""
        return self._polled

    def get(self, replica_id: str) -> ReplicaLoad | None:
        """Return the last known load of a replica."""
        return self._loads.get(replica_id)

    def on_report(self, event: LoadReported) -> bool:
        """Store a report; return whether it is newer than the stored one."""
        known = self._loads.get(event.replica_id)
        # Digests carry ages in steps, so two copies of one report may differ by a step.
        if known is not None and event.reported_at_s <= known.reported_at_s + AGE_STEP_S:
            return False
        load = ReplicaLoad(event.running_count, event.waiting_count, event.reported_at_s)
        self._loads[event.replica_id] = load
        return True

    def on_tick(self, now_s: float) -> None:
        """Poll the replicas whose poll is due."""
        if now_s >= self._assign_at_s:
            self._assign_at_s = now_s + self._context.settings.load_poll_s
            self._assign(now_s)
        for replica in self._polled:
            if now_s >= self._poll_at_s[replica.replica_id]:
                self._poll_at_s[replica.replica_id] = now_s + self._context.settings.load_poll_s
                self._context.count(Counter.LOAD_POLLS)
                self._context.emit(PollLoad(replica.replica_id, replica.address))

    def digest(self, now_s: float) -> LoadDigest:
        """Return the zone's loads that are recent enough to be useful."""
        inventory = self._context.inventory
        if inventory is None:
            return LoadDigest(0, (), (), (), ())
        zone = self._context.identity.zone
        rows = []
        for index, replica in enumerate(inventory.replicas):
            if replica.bought:
                # Bought replicas have no common index: the lists of two VMs may differ for a while.
                continue
            load = self._loads.get(replica.replica_id) if replica.zone == zone else None
            if load is None:
                continue
            age_s = now_s - load.reported_at_s
            if age_s < self._context.settings.peer_lost_s:
                step = max(0, round(age_s / AGE_STEP_S))
                rows.append((index, load.running_count, load.waiting_count, step))
        columns = zip(*rows, strict=True) if rows else ((), (), (), ())
        indexes, running, waiting, ages = columns
        return LoadDigest(inventory.version, indexes, running, waiting, ages)

    def decode_digest(self, digest: LoadDigest, now_s: float) -> list[LoadReported]:
        """Convert a peer's digest to reports; empty if its inventory version differs."""
        inventory = self._context.inventory
        if inventory is None or inventory.version != digest.version:
            return []
        reports = []
        for index, running, waiting, step in zip(
            digest.indexes,
            digest.running_counts,
            digest.waiting_counts,
            digest.age_steps,
            strict=True,
        ):
            if index >= len(inventory.replicas) or inventory.replicas[index].bought:
                continue
            replica_id = inventory.replicas[index].replica_id
            reported_at_s = now_s - step * AGE_STEP_S
            reports.append(LoadReported(replica_id, running, waiting, reported_at_s))
        return reports

    def _assign(self, now_s: float) -> None:
        """Reassign the replicas to poll if the zone's entry VMs or replicas have changed."""
        inventory = self._context.inventory
        if inventory is None:
            return
        entry_vms = self._zone_entry_vms(now_s)
        if entry_vms == self._assigned_entry_vms and inventory.replicas is self._replicas:
            return
        self._assigned_entry_vms = entry_vms
        self._replicas = inventory.replicas
        zone_replicas = [
            replica
            for replica in inventory.replicas
            if replica.zone == self._context.identity.zone
            and self._membership.state_of(replica.replica_id) is not VmState.GONE
        ]
        self._polled = self._choose_polled(zone_replicas)
        period_s = self._context.settings.load_poll_s
        self._poll_at_s = {
            replica.replica_id: self._poll_at_s.get(
                replica.replica_id, now_s + self._context.rng.random() * period_s
            )
            for replica in self._polled
        }
        known = {replica.replica_id for replica in inventory.replicas}
        self._loads = {
            replica_id: load for replica_id, load in self._loads.items() if replica_id in known
        }

    def _choose_polled(self, zone_replicas: list[Replica]) -> list[Replica]:
        if not self._context.is_enabled("watchers"):
            return zone_replicas
        count = int(self._context.settings.watchers_count)
        chosen = assign_bounded(
            (replica.replica_id for replica in zone_replicas), self._assigned_entry_vms, count
        )
        vm_id = self._context.identity.vm_id
        return [replica for replica in zone_replicas if vm_id in chosen[replica.replica_id]]

    def _zone_entry_vms(self, now_s: float) -> tuple[str, ...]:
        """Return the zone's entry VMs that answered recently, including this one."""
        identity = self._context.identity
        peers = [
            peer.vm_id
            for peer in self._membership.peers(identity)
            if peer.role is VmRole.ENTRY
            and peer.zone == identity.zone
            and self._membership.answers(peer.vm_id, now_s)
        ]
        return tuple(sorted([*peers, identity.vm_id]))
