"""The other entry VMs, known from their registrations and digests."""

from __future__ import annotations

import math
from heapq import nlargest

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.builds import level_of, lowest_level
from coriandershelf_core.internal.gateway.digest import Digest

# A peer's last digest is used for this long, or for the given number of digest periods where these
# are longer.
DIGEST_MIN_AGE_S = 2.5
DIGEST_MAX_AGE_PERIODS_COUNT = 2.5
DIGEST_PERIOD_S = 0.1
# Up to these numbers of peers, each is sent digests at the full rate. With more, a VM sends at most
# 120 digests a second, and receives as many: they are half of an idle VM's processor time.
SAME_ZONE_FULL_RATE_COUNT = 4
ALL_ZONES_FULL_RATE_COUNT = 8
# Digests are sent at ticks, which may come slightly early.
PERIOD_SLACK_S = 0.01
# On sites with many peers, the digests of a period are spread over its ticks: sent at once, they
# would overflow the queue of a small VM's link, and the same peers would never get theirs.
DIGESTS_PER_TICK_MAX_COUNT = 12
# A peer that was silent for longer, and for some digest periods, may be behind a network cut.
SILENT_MIN_S = 1.0
# On sites with more peers than this, the usage and demand of customers, which make up most of a
# digest, are sent at this longer period only, since links of small VMs carry 5 Mbit/s.
SMALL_SITE_PEERS_COUNT = 12
FULL_PERIOD_S = 0.9
# A peer silent for ``SILENT_AFTER_S`` is sent at most one digest per ``SILENT_PERIOD_S``; after
# ``REMOVE_AFTER_S`` it is removed.
SILENT_AFTER_S = 4.0
REMOVE_AFTER_S = 30.0
SILENT_PERIOD_S = 1.0


class Peer(Struct):
    """Another entry VM.

    :param address: where it receives messages; ``digest_address`` is for digests.
    :param received_at_s: when its last digest arrived.
    :param sent_at_s: when it was last sent a digest; ``full_sent_at_s`` a complete one.
    :param level: the protocol level in its last digest.
    """

    address: str
    received_at_s: float
    digest_address: str = ""
    digest_port: int = 0
    sent_at_s: float = 0.0
    full_sent_at_s: float = 0.0
    zone: str = ""
    digest: Digest | None = None
    level: int = 0

    def __post_init__(self) -> None:
        self.digest_address = self.digest_address or self.address


def _digest_address(digest: Digest) -> str:
    if digest.digest_port == 0:
        return digest.address
    host, _, _ = digest.address.rpartition(":")
    return f"{host}:{digest.digest_port}"


class Peers(Struct):
    """Other entry VMs by id.

    A starting VM reads the registrations and sends its digests to all of them, so each pair of VMs
    knows each other and the registrations need not be read again.
    """

    vm_id: str
    registrations_read: bool = False
    _peers: dict[str, Peer] = field(default_factory=dict)
    # When a VM that had been silent was last heard again.
    _returned_at_s: float = -math.inf

    @property
    def count(self) -> int:
        """Return the number of known peers."""
        return len(self._peers)

    @property
    def longest_period_s(self) -> float:
        """Return the period of digests to the peers of other zones."""
        return DIGEST_PERIOD_S * max(1.0, self.count / ALL_ZONES_FULL_RATE_COUNT)

    def on_registered(self, addresses: dict[str, str], now_s: float) -> None:
        """Add VMs from their registrations; they may be gone already."""
        self.registrations_read = True
        for vm_id, address in addresses.items():
            if vm_id != self.vm_id and vm_id not in self._peers:
                self._peers[vm_id] = Peer(address, now_s)

    def on_digest(self, digest: Digest, now_s: float) -> bool:
        """Store a digest; false if it is not newer than the last one."""
        if digest.vm_id == self.vm_id:
            return False
        peer = self._peers.get(digest.vm_id)
        if peer is None:
            peer = self._peers[digest.vm_id] = Peer(digest.address, now_s)
        known = peer.digest
        order = (digest.incarnation, digest.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return False
        if known is not None and now_s - peer.received_at_s > self._silent_after_s:
            self._returned_at_s = now_s
        peer.digest = digest
        if peer.address != digest.address or peer.digest_port != digest.digest_port:
            peer.address, peer.digest_port = digest.address, digest.digest_port
            peer.digest_address = _digest_address(digest)
        peer.zone = digest.zone
        if known is None or digest.build != known.build:
            peer.level = level_of(digest.build)
        peer.received_at_s = now_s
        return True

    def due(self, zone: str, now_s: float) -> dict[str, bool]:
        """Return the peers due for a digest, and for each whether to send a complete one.

        The periods grow with the number of peers, so that the send rate stays bounded. Peers in the
        same zone share replicas with this VM more often and are sent digests more often.
        """
        same_zone_count = sum(1 for peer in self._peers.values() if peer.zone == zone)
        same_zone_period_s = DIGEST_PERIOD_S * max(1.0, same_zone_count / SAME_ZONE_FULL_RATE_COUNT)
        other_zone_period_s = self.longest_period_s
        overdue: list[tuple[float, str]] = []
        for vm_id, peer in list(self._peers.items()):
            silent_s = now_s - peer.received_at_s
            if silent_s > REMOVE_AFTER_S:
                del self._peers[vm_id]
                continue
            period_s = same_zone_period_s if peer.zone == zone else other_zone_period_s
            if silent_s > SILENT_AFTER_S:
                period_s = max(period_s, SILENT_PERIOD_S)
            overdue_s = now_s - peer.sent_at_s - (period_s - PERIOD_SLACK_S)
            if overdue_s >= 0.0:
                overdue.append((overdue_s, vm_id))
        if self.count > SMALL_SITE_PEERS_COUNT:
            overdue = nlargest(DIGESTS_PER_TICK_MAX_COUNT, overdue)
        return {vm_id: self._mark_sent(self._peers[vm_id], now_s) for _, vm_id in overdue}

    def _mark_sent(self, peer: Peer, now_s: float) -> bool:
        """Record that a peer is sent a digest now; return whether it gets a complete one."""
        full_period_s = FULL_PERIOD_S if self.count > SMALL_SITE_PEERS_COUNT else 0.0
        full = now_s - peer.full_sent_at_s >= full_period_s - PERIOD_SLACK_S
        peer.sent_at_s = now_s
        if full:
            peer.full_sent_at_s = now_s
        return full

    def address_of(self, vm_id: str) -> str:
        """Return the address to which a peer's digests are sent."""
        return self._peers[vm_id].digest_address

    def lowest_ids(self, own_id: str, count: int, now_s: float) -> set[str]:
        """Return the lowest ids among this VM and the live peers that are not stopping."""
        live = [digest.vm_id for digest in self.live_digests(now_s) if not digest.stopping]
        return set(sorted([*live, own_id])[:count])

    def lowest_level(self, now_s: float) -> int:
        """Return the protocol level that this VM and all peers support; 0 if it is not known.

        A silent peer may serve on the other side of a network cut and come back, so its level
        counts until it is removed. Registered VMs that never sent a digest count as level 0, but
        only as long as a live one may be silent: registrations of VMs that are gone stay in the
        store.
        """
        if not self.registrations_read:
            return 0
        max_age_s = self._digest_max_age_s()
        return lowest_level(
            peer.level
            for peer in self._peers.values()
            if peer.digest is not None or now_s - peer.received_at_s <= max_age_s
        )

    def vm_ids_below(self, level: int) -> list[str]:
        """Return the peers whose last digest names a lower protocol level."""
        return sorted(
            vm_id
            for vm_id, peer in self._peers.items()
            if peer.digest is not None and peer.level < level
        )

    def _digest_max_age_s(self) -> float:
        return max(DIGEST_MIN_AGE_S, DIGEST_MAX_AGE_PERIODS_COUNT * self.longest_period_s)

    def live_digests(self, now_s: float) -> list[Digest]:
        """Return the last digests of the live peers."""
        return [digest for digest, _ in self.heard(now_s)]

    def heard(self, now_s: float) -> list[tuple[Digest, float]]:
        """Return the last digests of the live peers, each with when it arrived."""
        max_age_s = self._digest_max_age_s()
        return [
            (peer.digest, peer.received_at_s)
            for peer in self._peers.values()
            if peer.digest is not None and now_s - peer.received_at_s <= max_age_s
        ]

    def cut_until_s(self, now_s: float) -> float:
        """Return until when a VM may have served on the other side of a network cut.

        It is now, if one that was heard of late, and does not stop, is silent.
        """
        silent_since_s = now_s - self._silent_after_s
        is_cut = any(
            peer.received_at_s < silent_since_s
            for peer in self._peers.values()
            if peer.digest is not None and not peer.digest.stopping
        )
        return now_s if is_cut else self._returned_at_s

    @property
    def _silent_after_s(self) -> float:
        periods_s = DIGEST_MAX_AGE_PERIODS_COUNT * self.longest_period_s
        return max(SILENT_MIN_S, periods_s)

    def rank(self, now_s: float) -> int:
        """Return this VM's position by id among itself and the live peers that are not stopping."""
        return sum(
            1
            for digest in self.live_digests(now_s)
            if digest.vm_id < self.vm_id and not digest.stopping
        )
