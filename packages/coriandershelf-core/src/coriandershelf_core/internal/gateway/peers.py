"""The other entry VMs, as their digests and their registration tell."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.digest import Digest

# A VM's counts at replicas are used this long after its last digest; longer than the period at
# which the largest sites send.
COUNTS_KEEP_S = 2.5
DIGEST_PERIOD_S = 0.1
# Numbers of VMs up to which each is told at the full rate.
NEAR_AT_FULL_RATE_COUNT = 8
FAR_AT_FULL_RATE_COUNT = 10
# A digest is sent at a tick, which may come slightly early.
PERIOD_SLACK_S = 0.01
# On sites with more peers than this, what customers spend and ask for, which is the larger part of
# a digest, is told at this period only; links of small VMs carry 5 Mbit/s.
SMALL_SITE_COUNT = 12
FULL_PERIOD_S = 0.9
# A VM not heard of is told less often after this, and forgotten after the longer time.
QUIET_AFTER_S = 4.0
FORGET_AFTER_S = 30.0
QUIET_PERIOD_S = 1.0


@dataclass(slots=True)
class Peer:
    """Another entry VM."""

    address: str
    heard_at_s: float
    told_at_s: float = 0.0
    told_full_at_s: float = 0.0
    zone: str = ""
    digest: Digest | None = None


@dataclass(slots=True)
class Peers:
    """Other entry VMs by id.

    A VM that starts reads who registered and tells them of itself; so each pair of VMs knows each
    other, and nobody needs to read the registration again.
    """

    vm_id: str
    _peers: dict[str, Peer] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Return the number of other entry VMs known."""
        return len(self._peers)

    def on_registered(self, addresses: dict[str, str], now_s: float) -> None:
        """Take VMs from their registration; they may be gone."""
        for vm_id, address in addresses.items():
            if vm_id != self.vm_id and vm_id not in self._peers:
                self._peers[vm_id] = Peer(address, now_s)

    def on_digest(self, digest: Digest, now_s: float) -> bool:
        """Take a digest; false where a later one of the same process was taken."""
        if digest.vm_id == self.vm_id:
            return False
        peer = self._peers.get(digest.vm_id)
        if peer is None:
            peer = self._peers[digest.vm_id] = Peer(digest.address, now_s)
        known = peer.digest
        order = (digest.incarnation, digest.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return False
        peer.digest = digest
        peer.address = digest.address
        peer.zone = digest.zone
        peer.heard_at_s = now_s
        return True

    def due(self, zone: str, now_s: float) -> dict[str, bool]:
        """Return the ids of those to send this VM's digest now, and whether it is to be a full one.

        The periods grow with the number of VMs, so that what a VM sends a second stays bounded;
        those of its own zone share replicas with it more often and are told more often.
        """
        near_count = sum(1 for peer in self._peers.values() if peer.zone == zone)
        near_s = DIGEST_PERIOD_S * max(1.0, near_count / NEAR_AT_FULL_RATE_COUNT)
        far_s = DIGEST_PERIOD_S * max(1.0, self.count / FAR_AT_FULL_RATE_COUNT)
        full_s = FULL_PERIOD_S if self.count > SMALL_SITE_COUNT else 0.0
        due = {}
        for vm_id, peer in list(self._peers.items()):
            silent_s = now_s - peer.heard_at_s
            if silent_s > FORGET_AFTER_S:
                del self._peers[vm_id]
                continue
            period_s = near_s if peer.zone == zone else far_s
            if silent_s > QUIET_AFTER_S:
                period_s = max(period_s, QUIET_PERIOD_S)
            if now_s - peer.told_at_s >= period_s - PERIOD_SLACK_S:
                peer.told_at_s = now_s
                full = now_s - peer.told_full_at_s >= full_s - PERIOD_SLACK_S
                if full:
                    peer.told_full_at_s = now_s
                due[vm_id] = full
        return due

    def address_of(self, vm_id: str) -> str:
        """Return where a VM is reached."""
        return self._peers[vm_id].address

    def first_ids(self, own_id: str, count: int, now_s: float) -> set[str]:
        """Return the VMs that come first in the order of ids, of those heard of lately."""
        live = [digest.vm_id for digest in self.live(now_s) if not digest.stopping]
        return set(sorted([*live, own_id])[:count])

    def live(self, now_s: float) -> list[Digest]:
        """Return the last digests of the VMs that were heard of lately."""
        return [
            peer.digest
            for peer in self._peers.values()
            if peer.digest is not None and now_s - peer.heard_at_s <= COUNTS_KEEP_S
        ]

    def rank(self, now_s: float) -> int:
        """Return this VM's place among those heard of lately, in the order of their ids."""
        return sum(
            1 for digest in self.live(now_s) if digest.vm_id < self.vm_id and not digest.stopping
        )
