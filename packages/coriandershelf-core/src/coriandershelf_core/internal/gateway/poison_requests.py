"""Detects poison requests, which crash the replicas that run them."""

from __future__ import annotations

import math
from collections import OrderedDict

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.digest import Digest

FINGERPRINT_KEEP_S = 60.0
# Longer than own crashes are told to the peers: what a VM no longer tells must not be learnt anew
# from another one that tells it for a moment longer.
PEERS_KEEP_S = FINGERPRINT_KEEP_S + 5.0
FINGERPRINTS_MAX_COUNT = 512
# Crashes over all entry VMs after which a request is refused.
CRASHES_MAX_COUNT = 3


class _CrashCounts(Struct):
    own_count: int = 0
    own_updated_at_s: float = -math.inf
    updated_at_s: float = 0.0
    peer_counts: dict[str, int] = field(default_factory=dict)

    @property
    def count(self) -> int:
        return self.own_count + sum(self.peer_counts.values())


class PoisonRequests:
    """Counts, by request fingerprint, how often a connection broke while a replica ran it.

    The fingerprint covers the content, since callers resend such a request under a new id.
    """

    def __init__(self) -> None:
        self._by_fingerprint: OrderedDict[int, _CrashCounts] = OrderedDict()

    def on_crash(self, fingerprint: int, now_s: float) -> int:
        """Count a broken attempt; return the count over all entry VMs."""
        crash_counts = self._entry(fingerprint)
        self._touch(fingerprint, now_s)
        crash_counts.own_updated_at_s = now_s
        crash_counts.own_count += 1
        return crash_counts.count

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Merge the counts of another VM."""
        for fingerprint, count in digest.crashes.items():
            crash_counts = self._entry(fingerprint)
            if count > crash_counts.peer_counts.get(digest.vm_id, 0):
                crash_counts.peer_counts[digest.vm_id] = count
                # Only news: VMs that tell each other of the same crashes would keep them alive.
                self._touch(fingerprint, now_s)

    def is_poison(self, fingerprint: int) -> bool:
        """Return whether a request has crashed too many replicas to be sent again."""
        crash_counts = self._by_fingerprint.get(fingerprint)
        return crash_counts is not None and crash_counts.count >= CRASHES_MAX_COUNT

    def own_counts(self) -> dict[int, int]:
        """Return this VM's own counts, for its digest."""
        return {key: item.own_count for key, item in self._by_fingerprint.items() if item.own_count}

    def on_tick(self, now_s: float) -> None:
        """Remove crashes that are not recent."""
        for crash_counts in self._by_fingerprint.values():
            if now_s - crash_counts.own_updated_at_s > FINGERPRINT_KEEP_S:
                crash_counts.own_count = 0
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
