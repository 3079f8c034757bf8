"""Detects poison requests, which crash the replicas that run them."""

from __future__ import annotations

import math
from collections import OrderedDict

import xxhash
from msgspec import Struct, field

from coriandershelf_core.internal.gateway.digest import Digest

FINGERPRINT_KEEP_S = 60.0
# Longer than own crashes are told to the peers: what a VM no longer tells must not be learnt anew
# from another one that tells it for a moment longer.
PEERS_KEEP_S = FINGERPRINT_KEEP_S + 5.0
FINGERPRINTS_MAX_COUNT = 512
# Crashes over all entry VMs after which a request is refused.
CRASHES_MAX_COUNT = 3
# Stands for all replicas that the reporter of a crash does not name, as VMs of earlier builds.
UNNAMED = 0


class _CrashCounts(Struct):
    """Crashes of one request, by hash of the replica's start, and by VM and this hash for peers.

    :param last_at_s: when the last crash of each replica was counted here.
    :param peer_bases: the peers' counts when the request was last completed here.
    """

    own: dict[int, int] = field(default_factory=dict)
    last_at_s: dict[int, float] = field(default_factory=dict)
    own_updated_at_s: float = -math.inf
    updated_at_s: float = 0.0
    peers: dict[str, dict[int, int]] = field(default_factory=dict)
    peer_bases: dict[str, dict[int, int]] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Return the crashes; one that several VMs have seen counts once."""
        named: dict[int, int] = dict(self.own)
        unnamed_count = named.pop(UNNAMED, 0)
        for vm_id, counts in self.peers.items():
            base = self.peer_bases.get(vm_id, {})
            for replica, count in counts.items():
                rise = count - base.get(replica, 0)
                if replica == UNNAMED:
                    unnamed_count += rise
                else:
                    named[replica] = max(named.get(replica, 0), rise)
        return unnamed_count + sum(named.values())


class PoisonRequests:
    """Counts, by request fingerprint, how often a replica crashed that ran it.

    The fingerprint covers the content, since callers resend such a request under a new id.
    Identical requests in flight at one crash of a replica say as much as one of them, and a request
    that was completed since does not crash the replicas that run it.
    """

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[int, _CrashCounts] = OrderedDict()

    def on_crash(
        self,
        fingerprint: int,
        now_s: float,
        replica: str | None = None,
        started_at_s: float = math.inf,
    ) -> int:
        """Count a broken attempt; return the count over all entry VMs.

        :param replica: what tells this start of the replica from others, if it is known.
        :param started_at_s: when the attempt was sent. It counts unless that was before the last
            crash of this replica.
        """
        crash_counts = self._entry(fingerprint)
        self._touch(fingerprint, now_s)
        crash_counts.own_updated_at_s = now_s
        key = UNNAMED if replica is None else xxhash.xxh32_intdigest(replica.encode())
        is_known = crash_counts.last_at_s.get(key, -math.inf) > started_at_s
        # More than are needed to refuse it would only make digests longer.
        if not is_known and sum(crash_counts.own.values()) < CRASHES_MAX_COUNT:
            crash_counts.own[key] = crash_counts.own.get(key, 0) + 1
            crash_counts.last_at_s[key] = now_s
        return crash_counts.count

    def on_completed(self, fingerprint: int) -> None:
        """Forget all crashes of a request that a replica has completed."""
        crash_counts = self._by_fingerprint.get(fingerprint)
        if crash_counts is not None:
            crash_counts.own.clear()
            crash_counts.peer_bases = {
                vm_id: dict(counts) for vm_id, counts in crash_counts.peers.items()
            }

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Merge the counts of another VM."""
        for fingerprint, count in digest.crashes.items():
            told = dict(digest.died.get(fingerprint, {}))
            told[UNNAMED] = max(0, count - sum(told.values()))
            known = self._entry(fingerprint).peers.setdefault(digest.vm_id, {})
            for replica, replica_count in told.items():
                if replica_count > known.get(replica, 0):
                    known[replica] = replica_count
                    # Only news: VMs that tell each other of the same crashes would keep them alive.
                    self._touch(fingerprint, now_s)

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request has crashed too many replicas to be sent again."""
        crash_counts = self._by_fingerprint.get(fingerprint)
        return crash_counts is not None and crash_counts.count >= CRASHES_MAX_COUNT

    def own_counts(self) -> dict[int, int]:
        """Return this VM's own counts, for its digest."""
        counts = {key: sum(item.own.values()) for key, item in self._by_fingerprint.items()}
        return {key: count for key, count in counts.items() if count}

    def own_crashed(self) -> dict[int, dict[int, int]]:
        """Return this VM's own counts by hash of the replica, for its digest."""
        named = {
            fingerprint: {key: count for key, count in item.own.items() if key != UNNAMED}
            for fingerprint, item in self._by_fingerprint.items()
        }
        return {fingerprint: counts for fingerprint, counts in named.items() if counts}

    def on_tick(self, now_s: float) -> None:
        """Remove crashes that are not recent."""
        for crash_counts in self._by_fingerprint.values():
            if now_s - crash_counts.own_updated_at_s > FINGERPRINT_KEEP_S:
                crash_counts.own.clear()
        while self._by_fingerprint:
            fingerprint, crash_counts = next(iter(self._by_fingerprint.items()))
            if now_s - crash_counts.updated_at_s <= PEERS_KEEP_S:
                return
            del self._by_fingerprint[fingerprint]

    def _entry(self, fingerprint: int) -> _CrashCounts:
        crash_counts = self._by_fingerprint.setdefault(fingerprint, _CrashCounts())
        if len(self._by_fingerprint) > FINGERPRINTS_MAX_COUNT:
            self._by_fingerprint.popitem(last=False)
        return crash_counts

    def _touch(self, fingerprint: int, now_s: float) -> None:
        self._by_fingerprint[fingerprint].updated_at_s = now_s
        self._by_fingerprint.move_to_end(fingerprint)
