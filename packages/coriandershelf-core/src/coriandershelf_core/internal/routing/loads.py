"""Which replicas this VM watches, and the loads it knows of its zone's replicas."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.rendezvous import spread
from coriandershelf_core.internal.vocabulary.actions import PollLoad
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LoadReported, VmRole, VmState
from coriandershelf_core.internal.vocabulary.inventory import Replica
from coriandershelf_core.internal.vocabulary.reasons import Counter

AGE_STEP_S = 0.1


@dataclass(frozen=True, slots=True)
class Load:
    """A replica's load as it reported it."""

    running_count: int
    waiting_count: int
    reported_at_s: float


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """Loads of one zone as columns; replicas are named by their place in the inventory.

    :param version: of the inventory in which the places count.
    """

    version: int
    indexes: tuple[int, ...]
    running_counts: tuple[int, ...]
    waiting_counts: tuple[int, ...]
    age_steps: tuple[int, ...]


class Loads:
    """Polls the replicas that fall to this VM and keeps the zone's loads.

    Each replica is watched by a few entry VMs of its zone, chosen by rendezvous hashing, so that
    polls do not grow with entry VMs times replicas.
    """

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._loads: dict[str, Load] = {}
        self._poll_at_s: dict[str, float] = {}
        self._watched: list[Replica] = []
        self._voters: tuple[str, ...] = ()
        self._replicas: tuple[Replica, ...] | None = None
        self._look_at_s = 0.0

    @property
    def watched(self) -> list[Replica]:
        """Return the replicas that this VM polls."""
        return self._watched

    def get(self, replica_id: str) -> Load | None:
        """Return the last known load of a replica."""
        return self._loads.get(replica_id)

    def on_report(self, event: LoadReported) -> bool:
        """Keep a report; return whether it is newer than the one known."""
        known = self._loads.get(event.replica_id)
        # Ages travel in steps, so the same report seen twice may differ by a step.
        if known is not None and event.reported_at_s <= known.reported_at_s + AGE_STEP_S:
            return False
        load = Load(event.running_count, event.waiting_count, event.reported_at_s)
        self._loads[event.replica_id] = load
        return True

    def on_tick(self, now_s: float) -> None:
        """Poll what is due."""
        if now_s >= self._look_at_s:
            self._look_at_s = now_s + self._context.settings.load_poll_s
            self._assign(now_s)
        for replica in self._watched:
            if now_s >= self._poll_at_s[replica.replica_id]:
                self._poll_at_s[replica.replica_id] = now_s + self._context.settings.load_poll_s
                self._context.count(Counter.LOAD_POLLS)
                self._context.emit(PollLoad(replica.replica_id, replica.address))

    def digest(self, now_s: float) -> LoadDigest:
        """Return the zone's loads that are not too old to be of use."""
        inventory = self._context.inventory
        if inventory is None:
            return LoadDigest(0, (), (), (), ())
        zone = self._context.identity.zone
        rows = []
        for index, replica in enumerate(inventory.replicas):
            if replica.bought:
                # Its place is this VM's own; the lists of two VMs may differ for a while.
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

    def reports_of(self, digest: LoadDigest, now_s: float) -> list[LoadReported]:
        """Return a peer's digest as reports; empty where its inventory is another version."""
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
        """Choose the replicas to watch again if the zone's entry VMs or replicas changed."""
        inventory = self._context.inventory
        if inventory is None:
            return
        voters = self._zone_voters(now_s)
        if voters == self._voters and inventory.replicas is self._replicas:
            return
        self._voters = voters
        self._replicas = inventory.replicas
        near = [
            replica
            for replica in inventory.replicas
            if replica.zone == self._context.identity.zone
            and self._membership.state_of(replica.replica_id) is not VmState.GONE
        ]
        self._watched = self._choose_watched(near)
        period_s = self._context.settings.load_poll_s
        self._poll_at_s = {
            replica.replica_id: self._poll_at_s.get(
                replica.replica_id, now_s + self._context.rng.random() * period_s
            )
            for replica in self._watched
        }
        known = {replica.replica_id for replica in inventory.replicas}
        self._loads = {name: load for name, load in self._loads.items() if name in known}

    def _choose_watched(self, near: list[Replica]) -> list[Replica]:
        if not self._context.enabled("watchers"):
            return near
        count = int(self._context.settings.watchers_count)
        chosen = spread((replica.replica_id for replica in near), self._voters, count)
        vm_id = self._context.identity.vm_id
        return [replica for replica in near if vm_id in chosen[replica.replica_id]]

    def _zone_voters(self, now_s: float) -> tuple[str, ...]:
        """Return the zone's entry VMs that were heard of lately, this one included."""
        identity = self._context.identity
        peers = [
            peer.vm_id
            for peer in self._membership.peers(identity)
            if peer.role is VmRole.ENTRY
            and peer.zone == identity.zone
            and self._membership.answers(peer.vm_id, now_s)
        ]
        return tuple(sorted([*peers, identity.vm_id]))
