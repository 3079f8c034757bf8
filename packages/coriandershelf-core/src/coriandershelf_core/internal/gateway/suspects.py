"""Requests that may crash the replicas that run them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.digest import Digest

SUSPECT_KEEP_S = 60.0
SUSPECTS_MAX_COUNT = 512
# Replicas that broke off at a request before it is refused, over all entry VMs.
CRASHES_MAX_COUNT = 3


@dataclass(slots=True)
class _Suspect:
    own_count: int = 0
    seen_at_s: float = 0.0
    peer_counts: dict[str, int] = field(default_factory=dict)

    @property
    def count(self) -> int:
        return self.own_count + sum(self.peer_counts.values())


class Suspects:
    """Counts by fingerprint how often a replica broke off while it ran a request.

    A caller sends such a request again under another id, so the fingerprint is of its content.
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def on_crash(self, fingerprint: int, now_s: float) -> int:
        """Count a broken attempt and return the count over all entry VMs."""
        suspect = self._entry(fingerprint, now_s)
        suspect.own_count += 1
        return suspect.count

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Take over what another VM has counted."""
        for fingerprint, count in digest.crashes.items():
            suspect = self._entry(fingerprint, now_s)
            known = suspect.peer_counts.get(digest.vm_id, 0)
            suspect.peer_counts[digest.vm_id] = max(known, count)

    def refuses(self, fingerprint: int) -> bool:
        """Return whether a request has broken too many replicas to be sent to another."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.count >= CRASHES_MAX_COUNT

    def own_counts(self) -> dict[int, int]:
        """Return this VM's counts, for its digest."""
        return {key: item.own_count for key, item in self._suspects.items() if item.own_count}

    def on_tick(self, now_s: float) -> None:
        """Forget suspects not seen for long."""
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now_s - suspect.seen_at_s <= SUSPECT_KEEP_S:
                return
            del self._suspects[fingerprint]

    def _entry(self, fingerprint: int, now_s: float) -> _Suspect:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.seen_at_s = now_s
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > SUSPECTS_MAX_COUNT:
            self._suspects.popitem(last=False)
        return suspect
