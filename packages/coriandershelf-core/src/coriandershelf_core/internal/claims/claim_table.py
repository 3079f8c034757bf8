"""The claims of all entry VMs, folded from the ledger in log order.

The fold depends on the records alone, never on the reader, and applying a copy of a record again
changes nothing. So readers agree although a writer may repeat a record whose answer was lost, may
reuse an incarnation, or may have a copy arrive late; the sequence numbers of records are not
needed for it.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from coriandershelf_core.internal.vocabulary.records import (
    Claim,
    ClaimFinished,
    ClaimKept,
    ClaimReleased,
)


@dataclass(frozen=True, slots=True)
class Release:
    """Where and when the ledger last told of a release."""

    written_offset: int
    first_at_s: float


@dataclass(slots=True)
class ClaimState:
    """What the ledger says of one key.

    :param claimed_offset: offset of the record that claimed the key.
    :param claimed_at_s: log time of that record.
    :param written_offset: offset of the last record that a new reader could take this from.
    :param releases: requests whose claim of this key was given up, and where that last stands.
    """

    claim: Claim
    claimed_offset: int
    claimed_at_s: float
    written_offset: int
    finished: ClaimFinished | None = None
    released: bool = False
    releases: dict[str, Release] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Return whether the key is taken."""
        return not self.released


class ClaimTable:
    """The state of each key, bounded by time.

    :param late_s: a claim that the log took later than this after it was made is void.
    :param window_s: how long after its claim a key's result is remembered, by log time.
    :param keep_s: how long after its claim the key itself is remembered, by log time.
    """

    def __init__(self, late_s: float, window_s: float, keep_s: float) -> None:
        self._late_s = late_s
        self._window_s = window_s
        self._keep_s = max(window_s, keep_s)
        self._states: dict[str, ClaimState] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[ClaimState]:
        return iter(self._states.values())

    def get(self, key_hash: str) -> ClaimState | None:
        """Return the state of a key that is taken, or ``None``."""
        state = self._states.get(key_hash)
        return state if state is not None and state.holds else None

    def clear(self) -> None:
        """Forget everything, as a reader that missed records must."""
        self._states.clear()
        self._expiries.clear()

    def on_claim(self, claim: Claim, offset: int, time_s: float) -> ClaimState | None:
        """Apply a claim and return who holds its key now, or ``None`` for a void claim.

        A claim is void if the log took it long after it was made: such a copy of a resent record
        could otherwise outlive what is remembered of the first copy.
        """
        if abs(time_s - claim.at_s) > self._late_s:
            return None
        state = self._states.get(claim.key_hash)
        if state is None:
            return self._put(ClaimState(claim, offset, time_s, offset))
        if claim.request_id in state.releases:
            return None
        if state.released:
            fresh = ClaimState(claim, offset, time_s, offset, releases=state.releases)
            return self._put(fresh)
        return state

    def on_released(self, released: ClaimReleased, offset: int, time_s: float) -> None:
        """Apply a release; it is remembered, so that no late copy of the claim takes effect."""
        state = self._states.get(released.key_hash)
        if state is None:
            claim = Claim(released.key_hash, "", released.request_id, "", time_s)
            state = self._put(ClaimState(claim, offset, time_s, offset))
        former = state.releases.get(released.request_id)
        first_at_s = time_s if former is None else former.first_at_s
        state.releases[released.request_id] = Release(offset, first_at_s)
        if state.claim.request_id == released.request_id and state.finished is None:
            state.released = True

    def on_finished(self, finished: ClaimFinished, offset: int, time_s: float) -> None:
        """Apply a result; the first one stays."""
        state = self._states.get(finished.key_hash)
        if state is None:
            claim = Claim(finished.key_hash, "", finished.request_id, "", time_s)
            state = self._put(ClaimState(claim, offset, time_s, offset))
        if state.claim.request_id != finished.request_id or state.released:
            return
        if state.finished is None or not state.finished.known:
            state.finished = finished

    def on_kept(self, kept: ClaimKept, offset: int, time_s: float) -> None:
        """Apply a state that another reader wrote forward before its records expired."""
        if kept.claimed_at_s + self._keep_s <= time_s:
            return
        claim = kept.claim
        state = self._states.get(claim.key_hash)
        if state is not None and claim.request_id in state.releases:
            return
        if state is None or state.released or kept.claimed_offset < state.claimed_offset:
            releases = {} if state is None else state.releases
            finished = kept.finished
            if state is not None and state.claim.request_id == claim.request_id:
                finished = finished or state.finished
            self._put(
                ClaimState(
                    claim,
                    kept.claimed_offset,
                    kept.claimed_at_s,
                    offset,
                    finished,
                    releases=releases,
                )
            )
        elif state.claim.request_id == claim.request_id:
            state.finished = state.finished or kept.finished
            if (state.finished is None) == (kept.finished is None):
                state.written_offset = offset

    def is_past_window(self, state: ClaimState, time_s: float) -> bool:
        """Return whether a key's window has passed."""
        return state.claimed_at_s + self._window_s <= time_s

    def expire(self, time_s: float) -> None:
        """Forget what is past its time, judged by log time: first the result, then the key."""
        while self._expiries and self._expiries[0][0] <= time_s:
            _, key_hash = heapq.heappop(self._expiries)
            state = self._states.get(key_hash)
            if state is None:
                continue
            keep_until_s = state.claimed_at_s + self._keep_s
            if keep_until_s <= time_s:
                del self._states[key_hash]
            elif self.is_past_window(state, time_s):
                state.finished = without_body(state.finished)
                heapq.heappush(self._expiries, (keep_until_s, key_hash))

    def _put(self, state: ClaimState) -> ClaimState:
        key_hash = state.claim.key_hash
        self._states[key_hash] = state
        heapq.heappush(self._expiries, (state.claimed_at_s + self._window_s, key_hash))
        return state


def without_body(finished: ClaimFinished | None) -> ClaimFinished | None:
    """Return a result without its answer's body."""
    if finished is None or not finished.body:
        return finished
    return replace(finished, body=b"", whole=False)
