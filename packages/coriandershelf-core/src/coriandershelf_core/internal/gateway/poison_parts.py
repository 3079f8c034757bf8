"""Detects prompt parts under which each replica crashes that begins to answer."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash
from msgspec import Struct, field
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.request import PromptPart

# Crashes of different replicas, one after the other, after which a part is refused. More are needed
# for a part that was sound before, since it is more often in flight by chance.
CRASHES_MAX_COUNT = 3
CRASHES_IF_SOUND_BEFORE_MAX_COUNT = 5
# The same while no other request is completed, when broken links may be the cause.
CRASHES_IF_NONE_COMPLETED_MAX_COUNT = 6
EVIDENCE_KEEP_S = 60.0
POISONOUS_KEEP_S = 900.0
# A single VM sends one request with a poisonous part this long after its last crash; each further
# crash doubles the time.
TRIAL_AFTER_S = 30.0
TRIAL_DOUBLINGS_MAX_COUNT = 5
EVIDENCE_MAX_COUNT = 512
COMPLETED_MAX_COUNT = 4096
RECENT_COMPLETIONS_COUNT = 32
PARTS_OF_REQUEST_MAX_COUNT = 32
# Evidence is sent to the peers for several digest periods. The counts bound a digest's size.
SHARED_S = 6.0
SHARED_PARTS_MAX_COUNT = 16
SHARED_CRASHES_MAX_COUNT = CRASHES_IF_SOUND_BEFORE_MAX_COUNT
SHARED_REPLICAS_MAX_COUNT = 12
REPLICAS_MAX_COUNT = 64
CRASHES_KEPT_MAX_COUNT = 16


# Tuples, which are encoded without the names of their fields.
class CrashDigest(NamedTuple):
    """A crash, by the attempt that was in flight for the shortest time.

    :param replica: hash of the replica's id and start.
    :param started_age_ms: time since the attempt was sent.
    :param ended_age_ms: time since its connection broke.
    """

    replica: int
    started_age_ms: int
    ended_age_ms: int


class PartDigest(NamedTuple):
    """What a VM knows of a prompt part.

    :param sound_age_ms: time since a request with it was completed, if the sender knows of one.
    :param poisonous: whether the sender refuses requests with it.
    :param replicas: hashes of the last replicas that crashed under it, if it is poisonous.
    """

    crashes: tuple[CrashDigest, ...] = ()
    sound_age_ms: int | None = None
    poisonous: bool = False
    replicas: tuple[int, ...] = ()


class _Crash(Struct, frozen=True):
    replica: int
    started_at_s: float
    ended_at_s: float


class _Evidence(Struct):
    """Crashes of requests with a part since one was last completed.

    :param crashes: crashes of different replicas, each by an attempt sent after the one before, so
        that replicas lost at the same moment count once.
    :param replicas: hashes of all replicas that crashed under it, oldest first.
    :param told_by_peer: whether another VM found it poisonous.
    :param own_crash_at_s: when this VM last saw one.
    :param tried_at_s: when this VM last sent a request to find out whether the part is sound now.
    """

    crashes: list[_Crash] = field(default_factory=list)
    replicas: dict[int, None] = field(default_factory=dict)
    poisonous: bool = False
    told_by_peer: bool = False
    own_crash_at_s: float = -math.inf
    tried_at_s: float = -math.inf
    updated_at_s: float = 0.0

    def add(self, crash: _Crash) -> None:
        """Add a crash, unless it overlaps with others."""
        self.replicas[crash.replica] = None
        if len(self.replicas) > REPLICAS_MAX_COUNT:
            del self.replicas[next(iter(self.replicas))]
        crashes = {item.replica: item for item in self.crashes}
        known = crashes.get(crash.replica)
        if known is not None:
            started_at_s = max(known.started_at_s, min(crash.started_at_s, known.ended_at_s))
            crash = replace(known, started_at_s=started_at_s)
        crashes[crash.replica] = crash
        # By their ends, which selects the largest set of crashes that do not overlap.
        self.crashes = []
        for item in sorted(crashes.values(), key=lambda item: item.ended_at_s):
            if not self.crashes or item.started_at_s >= self.crashes[-1].ended_at_s:
                self.crashes.append(item)
        del self.crashes[:-CRASHES_KEPT_MAX_COUNT]


class PoisonParts:
    """Counts crashes by prompt part; a part of any request that was completed is sound.

    A request's last part is its own and is never blamed. What all requests share is in flight at
    each crash too, but is completed in between. A crash during which a poisonous part was in flight
    is no evidence against other parts.

    :param entry_vms: the VMs, of which one at a time may send a request with a poisonous part.
    """

    def __init__(self, entry_vms: EntryVms) -> None:
        self._entry_vms = entry_vms
        self._evidence: OrderedDict[int, _Evidence] = OrderedDict()
        self._completed_at_s: OrderedDict[int, float] = OrderedDict()
        self._recent: deque[tuple[float, frozenset[int]]] = deque(maxlen=RECENT_COMPLETIONS_COUNT)
        self._sound_news_at_s: dict[int, float] = {}

    def on_crash(
        self, parts: Sequence[PromptPart], replica: str, started_at_s: float, now_s: float
    ) -> list[str]:
        """Record an attempt that was in flight at a crash; return the parts found poisonous.

        :param replica: what tells this start of the replica from others.
        :param started_at_s: when the attempt was sent.
        """
        crash = _Crash(xxhash.xxh32_intdigest(replica.encode()), started_at_s, now_s)
        part_ids = {key: part.part_id for part, key in _blamable(parts)}
        for key in part_ids:
            evidence = self._evidence_of(key, now_s)
            evidence.add(crash)
            evidence.own_crash_at_s = now_s
        return [part_ids[key] for key in self._judge() if key in part_ids]

    def on_completed(self, parts: Sequence[PromptPart], now_s: float) -> list[str]:
        """Record a request that was completed; return its parts that no longer are poisonous."""
        cleared = []
        keys = []
        for part, key in _blamable(parts):
            keys.append(key)
            self._set_completed(key, now_s)
            evidence = self._evidence.pop(key, None)
            if evidence is not None:
                self._sound_news_at_s[key] = now_s
                if evidence.poisonous:
                    cleared.append(part.part_id)
        if keys:
            self._recent.append((now_s, frozenset(keys)))
        return cleared

    def on_digest(self, digests: dict[int, PartDigest], now_s: float) -> int:
        """Merge what another VM knows; return how many parts are poisonous as it says."""
        changed = False
        for key, digest in digests.items():
            if digest.sound_age_ms is not None:
                changed |= self._on_peer_completion(key, now_s - digest.sound_age_ms / 1e3)
            elif key in self._completed_at_s:
                self._sound_news_at_s[key] = now_s
            completed_at_s = self._completed_at_s.get(key, -math.inf)
            for item in digest.crashes:
                started_at_s = now_s - item.started_age_ms / 1e3
                crash = _Crash(item.replica, started_at_s, now_s - item.ended_age_ms / 1e3)
                if crash.ended_at_s > completed_at_s:
                    evidence = self._evidence_of(key, now_s)
                    evidence.add(crash)
                    evidence.replicas.update(dict.fromkeys(digest.replicas))
                    evidence.told_by_peer |= digest.poisonous
                    changed = True
        return len(self._judge()) if changed else 0

    def refused_part(self, parts: Sequence[PromptPart], now_s: float) -> str | None:
        """Return a part for which a request has to be refused, if any.

        Once in a while one VM may send a request with such a part, which counts as sent then.
        """
        for part, key in _blamable(parts):
            evidence = self._evidence.get(key)
            if evidence is None or not evidence.poisonous:
                continue
            evidence.updated_at_s = now_s
            self._evidence.move_to_end(key)
            if not self._may_try(key, evidence, now_s):
                return part.part_id
            evidence.tried_at_s = now_s
        return None

    def digest(self, now_s: float) -> dict[int, PartDigest]:
        """Return what the peers have to know."""
        shared = {
            key: evidence
            for key, evidence in self._evidence.items()
            if evidence.poisonous or now_s - evidence.own_crash_at_s <= SHARED_S
        }
        first_keys = sorted(
            shared,
            key=lambda key: (
                shared[key].poisonous,
                len(shared[key].crashes),
                shared[key].updated_at_s,
            ),
            reverse=True,
        )[:SHARED_PARTS_MAX_COUNT]
        digests = {key: self._digest_of(key, shared[key], now_s) for key in first_keys}
        news = [key for key in self._sound_news_at_s if key not in digests]
        for key in news[-SHARED_PARTS_MAX_COUNT:]:
            digests[key] = PartDigest(sound_age_ms=self._sound_age_ms(key, now_s))
        return digests

    def on_tick(self, now_s: float) -> None:
        """Remove old evidence."""
        self._sound_news_at_s = {
            key: at_s for key, at_s in self._sound_news_at_s.items() if now_s - at_s <= SHARED_S
        }
        old = [
            key
            for key, evidence in self._evidence.items()
            if now_s - evidence.updated_at_s
            > (POISONOUS_KEEP_S if evidence.poisonous else EVIDENCE_KEEP_S)
        ]
        for key in old:
            del self._evidence[key]

    def _judge(self) -> list[int]:
        """Decide which parts are poisonous; return those that were not before.

        Parts that were never sound and have been in flight at most crashes come first; the replicas
        that crashed under them are no evidence against others. Parts with the same evidence cannot
        be told apart. Only a completed request shows that a part is not poisonous, or that it was
        sound before, so that weak evidence no longer suffices.
        """
        poisonous = {
            key
            for key, evidence in self._evidence.items()
            if evidence.poisonous and key not in self._completed_at_s
        }
        explained = {replica for key in poisonous for replica in self._evidence[key].replicas}
        while strengths := self._strengths(poisonous, explained):
            strongest = max(strengths.values())
            worst = [key for key, strength in strengths.items() if strength == strongest]
            poisonous.update(worst)
            for key in worst:
                explained.update(self._evidence[key].replicas)
        found = [key for key in poisonous if not self._evidence[key].poisonous]
        for key, evidence in self._evidence.items():
            evidence.poisonous = key in poisonous
        return found

    def _strengths(self, poisonous: set[int], explained: set[int]) -> dict[int, tuple[bool, int]]:
        """Return the strength of the evidence against parts that are poisonous by it.

        Unless requests without the part were completed meanwhile, the cause may be anything, and
        only a part that was never sound is blamed, on stronger evidence.

        :param poisonous: parts known to be, which are left out.
        :param explained: replicas that crashed under them.
        """
        strengths = {}
        for key, evidence in self._evidence.items():
            if len(evidence.crashes) < CRASHES_MAX_COUNT or key in poisonous:
                continue
            count = sum(1 for crash in evidence.crashes if crash.replica not in explained)
            sound_before = key in self._completed_at_s
            needed_count = CRASHES_IF_SOUND_BEFORE_MAX_COUNT if sound_before else CRASHES_MAX_COUNT
            if count < needed_count:
                continue
            first_at_s = evidence.crashes[0].ended_at_s
            others_completed = any(
                at_s > first_at_s and key not in keys for at_s, keys in self._recent
            )
            enough = not sound_before and count >= CRASHES_IF_NONE_COMPLETED_MAX_COUNT
            if evidence.told_by_peer or others_completed or enough:
                strengths[key] = (not sound_before, count)
        return strengths

    def _may_try(self, key: int, evidence: _Evidence, now_s: float) -> bool:
        doublings_count = min(TRIAL_DOUBLINGS_MAX_COUNT, len(evidence.crashes) - CRASHES_MAX_COUNT)
        wait_s = TRIAL_AFTER_S * 2.0 ** max(0, doublings_count)
        if now_s - max(evidence.crashes[-1].ended_at_s, evidence.tried_at_s) < wait_s:
            return False
        ids = self._entry_vms.ids or (self._entry_vms.own_id,)
        # Rendezvous hashing (Thaler and Ravishankar 1998): the VMs agree without messages.
        first = max(ids, key=lambda vm_id: xxhash.xxh64_intdigest(f"{key}/{vm_id}".encode()))
        return first == self._entry_vms.own_id

    def _digest_of(self, key: int, evidence: _Evidence, now_s: float) -> PartDigest:
        crashes = tuple(
            CrashDigest(
                crash.replica,
                _milliseconds(now_s - crash.started_at_s),
                _milliseconds(now_s - crash.ended_at_s),
            )
            for crash in evidence.crashes[-SHARED_CRASHES_MAX_COUNT:]
        )
        replicas: tuple[int, ...] = ()
        if evidence.poisonous:
            replicas = tuple(evidence.replicas)[-SHARED_REPLICAS_MAX_COUNT:]
        return PartDigest(crashes, self._sound_age_ms(key, now_s), evidence.poisonous, replicas)

    def _sound_age_ms(self, key: int, now_s: float) -> int | None:
        completed_at_s = self._completed_at_s.get(key)
        return None if completed_at_s is None else _milliseconds(now_s - completed_at_s)

    def _on_peer_completion(self, key: int, at_s: float) -> bool:
        """Record what another VM tells; return whether it changes the evidence."""
        if at_s <= self._completed_at_s.get(key, -math.inf):
            return False
        self._set_completed(key, at_s)
        evidence = self._evidence.get(key)
        if evidence is None:
            return False
        if evidence.crashes[-1].ended_at_s <= at_s:
            del self._evidence[key]
        return True

    def _set_completed(self, key: int, at_s: float) -> None:
        self._completed_at_s[key] = at_s
        self._completed_at_s.move_to_end(key)
        if len(self._completed_at_s) > COMPLETED_MAX_COUNT:
            self._completed_at_s.popitem(last=False)

    def _evidence_of(self, key: int, now_s: float) -> _Evidence:
        evidence = self._evidence.setdefault(key, _Evidence())
        evidence.updated_at_s = now_s
        self._evidence.move_to_end(key)
        if len(self._evidence) > EVIDENCE_MAX_COUNT:
            self._evidence.popitem(last=False)
        return evidence


def _blamable(parts: Sequence[PromptPart]) -> Iterable[tuple[PromptPart, int]]:
    """Return the parts that other requests may hold too, with their hashes."""
    for part in parts[:-1][:PARTS_OF_REQUEST_MAX_COUNT]:
        yield part, xxhash.xxh64_intdigest(part.part_id.encode())


def _milliseconds(duration_s: float) -> int:
    return round(max(0.0, duration_s) * 1e3)
