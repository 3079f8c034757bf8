"""Request limits that replicas state, kept by all entry VMs together.

A replica states how many requests a second it accepts from all VMs. Every VM may have to keep to it
without having heard from the others: so a limit is divided among a few VMs, as many as it allows
requests a second, and each of them sends at its share of the rate. All VMs choose the same ones by
rendezvous hashing (Thaler and Ravishankar 1998). Digests spread the limit, and the requests sent
before it was known, to the VMs that have not received it themselves.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from heapq import nlargest

import xxhash
from msgspec import Struct, field

from coriandershelf_core.internal.gateway.entry_vms import EntryVms

# Requests of the last seconds that count against a limit.
WINDOW_S = 4.0
# A lower limit would leave no request whose response could tell that it has ended.
LIMIT_MIN_PER_S = 0.25
# A VM may send its share of this time at once.
BURST_S = 1.0
# The end of a limit is sent to the peers for this long, several digest periods.
LIFT_SHARED_S = 6.0
# A limit that no response to any VM has confirmed for this long is dropped.
KEPT_S = 30.0


class LimitDigest(Struct, frozen=True):
    """A replica's limit as known to a VM, in its digests.

    :param started_at_ms: the replica's start (Unix milliseconds).
    :param per_s: ``None`` if the replica no longer states a limit.
    :param age_ms: time since the response that proves it.
    :param sent_count: requests that the sender has sent to the replica in ``WINDOW_S``.
    """

    started_at_ms: int
    per_s: float | None
    age_ms: int
    sent_count: int


class RequestLimit(Struct):
    """The limit that one start of a replica states, and this VM's part in it.

    :param per_s: requests a second from all VMs together; ``None`` without a limit.
    :param proved_at_s: time of the latest response that proves ``per_s``.
    :param peers_sent_count: requests of the other VMs in ``WINDOW_S``, from their digests.
    """

    replica_id: str
    per_s: float | None = None
    proved_at_s: float = -math.inf
    peers_sent_count: int = 0
    _sent_at_s: deque[float] = field(default_factory=deque)
    _shared_by: tuple[float, tuple[str, ...]] | None = None
    _share_per_s: float = 0.0

    @property
    def was_stated(self) -> bool:
        """Return whether the replica has ever stated a limit."""
        return self.proved_at_s > -math.inf

    def on_response(
        self, per_s: float | None, sent_at_s: float, has_receipt: bool, now_s: float
    ) -> bool:
        """Update from a response of the replica; return whether the limit changed.

        A response without a limit ends one only if the replica made it itself, for a request sent
        after the limit was known: responses on different connections may overtake each other.

        :param sent_at_s: when the request was sent.
        """
        if per_s is not None:
            return self._set(per_s, now_s)
        if self.per_s is None or not has_receipt or sent_at_s <= self.proved_at_s:
            return False
        return self._set(None, sent_at_s)

    def on_digest(self, digest: LimitDigest, now_s: float) -> bool:
        """Update from another VM's digest, if it is newer; return whether the limit changed."""
        proved_at_s = now_s - digest.age_ms / 1e3
        return proved_at_s > self.proved_at_s and self._set(digest.per_s, proved_at_s)

    def on_sent(self, now_s: float) -> None:
        """Count a request that is sent to the replica."""
        self._sent_at_s.append(now_s)
        self._drop_old(now_s)

    def on_unsent(self) -> None:
        """Take back the last request, which could not be sent."""
        if self._sent_at_s:
            self._sent_at_s.pop()

    def accepts(self, entry_vms: EntryVms, now_s: float) -> bool:
        """Return whether this VM may send a request now."""
        if self.per_s is None or now_s - self.proved_at_s > KEPT_S:
            return True
        self._drop_old(now_s)
        per_s = max(LIMIT_MIN_PER_S, self.per_s)
        share_per_s = self._share(per_s, entry_vms)
        if share_per_s <= 0.0:
            return False
        if len(self._sent_at_s) + self.peers_sent_count >= math.ceil(per_s * WINDOW_S):
            return False
        return self._level(share_per_s, now_s) >= 1.0

    def next_accept_s(self, entry_vms: EntryVms, now_s: float) -> float:
        """Return when this VM may send a request, if the other VMs send nothing."""
        if self.accepts(entry_vms, now_s):
            return now_s
        assert self.per_s is not None, "a replica without a limit accepts requests"
        dropped_at_s = self.proved_at_s + KEPT_S
        per_s = max(LIMIT_MIN_PER_S, self.per_s)
        share_per_s = self._share(per_s, entry_vms)
        if share_per_s <= 0.0:
            return dropped_at_s
        refilled_at_s = now_s + max(0.0, 1.0 - self._level(share_per_s, now_s)) / share_per_s
        if len(self._sent_at_s) + self.peers_sent_count >= math.ceil(per_s * WINDOW_S):
            left_at_s = self._sent_at_s[0] + WINDOW_S if self._sent_at_s else now_s + WINDOW_S
            refilled_at_s = max(refilled_at_s, left_at_s)
        return min(dropped_at_s, refilled_at_s)

    def digest(self, started_at_ms: int, now_s: float) -> LimitDigest | None:
        """Return the limit for this VM's digest; ``None`` if there is nothing to tell."""
        age_s = now_s - self.proved_at_s
        if age_s > (KEPT_S if self.per_s is not None else LIFT_SHARED_S):
            return None
        self._drop_old(now_s)
        return LimitDigest(started_at_ms, self.per_s, round(age_s * 1e3), len(self._sent_at_s))

    def _set(self, per_s: float | None, proved_at_s: float) -> bool:
        changed = per_s != self.per_s
        self.per_s, self.proved_at_s = per_s, proved_at_s
        return changed

    def _drop_old(self, now_s: float) -> None:
        while self._sent_at_s and self._sent_at_s[0] <= now_s - WINDOW_S:
            self._sent_at_s.popleft()

    def _share(self, per_s: float, entry_vms: EntryVms) -> float:
        if self._shared_by != (per_s, entry_vms.ids):
            self._shared_by = (per_s, entry_vms.ids)
            sender_ids = limit_sender_ids(self.replica_id, per_s, entry_vms.ids)
            is_sender = entry_vms.own_id in sender_ids
            self._share_per_s = per_s / len(sender_ids) if is_sender else 0.0
        return self._share_per_s

    def _level(self, share_per_s: float, now_s: float) -> float:
        """Return the level of a token bucket that was full ``WINDOW_S`` ago."""
        size = max(1.0, share_per_s * BURST_S)
        level, at_s = size, now_s - WINDOW_S
        for sent_at_s in self._sent_at_s:
            level = min(size, level + share_per_s * (sent_at_s - at_s)) - 1.0
            at_s = sent_at_s
        return min(size, level + share_per_s * (now_s - at_s))


def limit_sender_ids(replica_id: str, per_s: float, vm_ids: Iterable[str]) -> list[str]:
    """Return the VMs that may send requests to a replica with a limit.

    In ``WINDOW_S`` each sends one request more than its share of the rate at most, so together
    they send little more than the limit allows.
    """
    return nlargest(
        max(1, math.ceil(per_s)),
        vm_ids,
        key=lambda vm_id: xxhash.xxh64_intdigest(f"{replica_id}/{vm_id}".encode()),
    )
