"""Occupancy of each replica, from the entry VMs' digests of their requests in flight.

The replicas' own load reports arrive seconds late, when a short request has already been answered.
Entry VMs know at once what they sent and what ended, so each sends its counts to the others. The
traffic depends only on the number of entry VMs; a digest lists just the replicas that the sender
uses.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.vocabulary.messages import InFlightDigest

DIGEST_KEEP_S = 1.0
DIGEST_RESEND_S = 0.4
# Above this many peers the period grows, so that a VM's message rate stays bounded.
PEERS_AT_FULL_RATE_COUNT = 10
# Above this, digests would cost more than all other control traffic; load reports are used alone.
PEERS_MAX_COUNT = 12


@dataclass(slots=True)
class _PeerLoad:
    incarnation: int
    sequence: int
    received_at_s: float
    counts: dict[str, int]


@dataclass(slots=True)
class Occupancy:
    """The other entry VMs' requests in flight, by replica.

    :param period_s: time between two digests while counts change.
    """

    period_s: float
    _peers: dict[str, _PeerLoad] = field(default_factory=dict)
    _sequence: int = 0
    _sent_at_s: float = float("-inf")
    _sent_counts: dict[str, int] = field(default_factory=dict)

    def on_digest(self, digest: InFlightDigest, now_s: float) -> None:
        """Store a peer's digest unless a later one was received."""
        known = self._peers.get(digest.vm_id)
        order = (digest.incarnation, digest.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return
        counts = dict(zip(digest.replica_ids, digest.counts, strict=False))
        self._peers[digest.vm_id] = _PeerLoad(*order, now_s, counts)

    def expire(self, now_s: float) -> None:
        """Remove peers that sent no digest recently."""
        for vm_id, peer in list(self._peers.items()):
            if now_s - peer.received_at_s > DIGEST_KEEP_S:
                del self._peers[vm_id]

    def is_complete(self, peer_count: int) -> bool:
        """Return whether every other entry VM has sent a digest recently."""
        return len(self._peers) >= peer_count

    def others_count(self, replica_id: str) -> int:
        """Return the other entry VMs' count of requests in flight at a replica."""
        return sum(peer.counts.get(replica_id, 0) for peer in self._peers.values())

    def due_digest(
        self, vm_id: str, incarnation: int, counts: dict[str, int], peer_count: int, now_s: float
    ) -> InFlightDigest | None:
        """Return the digest to send now, or ``None`` if none is due."""
        if peer_count > PEERS_MAX_COUNT:
            return None
        period_s = self.period_s * max(1.0, peer_count / PEERS_AT_FULL_RATE_COUNT)
        since_s = now_s - self._sent_at_s
        changed = counts != self._sent_counts
        if since_s < (period_s if changed else DIGEST_RESEND_S):
            return None
        self._sequence += 1
        self._sent_at_s = now_s
        self._sent_counts = counts
        return InFlightDigest(
            vm_id, incarnation, self._sequence, tuple(counts), tuple(counts.values())
        )
