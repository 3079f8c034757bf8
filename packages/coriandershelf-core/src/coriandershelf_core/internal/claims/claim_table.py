"""The claims of all entry VMs, replayed from the ledger in log order.

The state depends only on the records, never on the reader, and applying a duplicate of a record
changes nothing. So all readers agree even if a writer resends a record whose acknowledgement was
lost, reuses an incarnation, or has a duplicate arrive late. Sequence numbers of records are not
needed for this.
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
    """A released claim of a key.

    :param written_offset: offset of the newest record of the release.
    :param first_at_s: log time of its first record.
    """

    written_offset: int
    first_at_s: float


@dataclass(slots=True)
class ClaimState:
    """The replayed state of one key.

    :param claimed_offset: offset of the record that claimed the key.
    :param claimed_at_s: log time of that record.
    :param written_offset: offset of the newest record from which a new reader can restore this.
    :param releases: released claims of this key by request id.
    """

    claim: Claim
    claimed_offset: int
    claimed_at_s: float
    written_offset: int
    finished: ClaimFinished | None = None
    released: bool = False
    releases: dict[str, Release] = field(default_factory=dict)

    @property
    def is_held(self) -> bool:
        """Return whether a claim holds the key."""
        return not self.released


class ClaimTable:
    """The state of each key, kept for a limited time.

    :param max_delay_s: a claim that enters the log later than this after its creation is void.
    :param window_s: how long after its claim the result of a key is kept, by log time.
    :param key_retention_s: how long after its claim the key itself is kept, by log time.
    """

    def __init__(self, max_delay_s: float, window_s: float, key_retention_s: float) -> None:
        self._max_delay_s = max_delay_s
        self._window_s = window_s
        self._key_retention_s = max(window_s, key_retention_s)
        self._states: dict[str, ClaimState] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[ClaimState]:
        return iter(self._states.values())

    def get(self, key_hash: str) -> ClaimState | None:
        """Return the state of a taken key, or ``None`` for a free one."""
        state = self._states.get(key_hash)
        return state if state is not None and state.is_held else None

    def clear(self) -> None:
        """Drop all state; needed after the reader missed records."""
        self._states.clear()
        self._expiries.clear()

    def on_claim(self, claim: Claim, offset: int, time_s: float) -> ClaimState | None:
        """Apply a claim; return the resulting state of its key, or ``None`` for a void claim.

        A claim is void if it entered the log long after its creation. Otherwise a late duplicate
        of a resent record could take the key after the state of the first copy expired. A claim
        that was released is void as well.
        """
        if abs(time_s - claim.at_s) > self._max_delay_s:
            return None
        state = self._states.get(claim.key_hash)
        if state is None:
            return self._put(ClaimState(claim, offset, time_s, offset))
        if claim.request_id in state.releases:
            return None
        if state.released:
            new_state = ClaimState(claim, offset, time_s, offset, releases=state.releases)
            return self._put(new_state)
        return state

    def on_released(self, released: ClaimReleased, offset: int, time_s: float) -> None:
        """Apply a release and remember it, so that a late duplicate of the claim has no effect."""
        state = self._states.get(released.key_hash)
        if state is None:
            claim = Claim(released.key_hash, "", released.request_id, "", time_s)
            state = self._put(ClaimState(claim, offset, time_s, offset))
        previous = state.releases.get(released.request_id)
        first_at_s = time_s if previous is None else previous.first_at_s
        state.releases[released.request_id] = Release(offset, first_at_s)
        if state.claim.request_id == released.request_id and state.finished is None:
            state.released = True

    def on_finished(self, finished: ClaimFinished, offset: int, time_s: float) -> None:
        """Apply a result; a known result is never replaced."""
        state = self._states.get(finished.key_hash)
        if state is None:
            claim = Claim(finished.key_hash, "", finished.request_id, "", time_s)
            state = self._put(ClaimState(claim, offset, time_s, offset))
        if state.claim.request_id != finished.request_id or state.released:
            return
        if state.finished is None or not state.finished.known:
            state.finished = finished

    def on_kept(self, kept: ClaimKept, offset: int, time_s: float) -> None:
        """Apply a state that a reader rewrote before its records expired."""
        if kept.claimed_at_s + self._key_retention_s <= time_s:
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
        """Return whether the time for which the key's result is kept has passed."""
        return state.claimed_at_s + self._window_s <= time_s

    def expire(self, time_s: float) -> None:
        """Drop expired state by log time: first the body of the result, later the key."""
        while self._expiries and self._expiries[0][0] <= time_s:
            _, key_hash = heapq.heappop(self._expiries)
            state = self._states.get(key_hash)
            if state is None:
                continue
            expires_at_s = state.claimed_at_s + self._key_retention_s
            if expires_at_s <= time_s:
                del self._states[key_hash]
            elif self.is_past_window(state, time_s):
                state.finished = without_body(state.finished)
                heapq.heappush(self._expiries, (expires_at_s, key_hash))

    def _put(self, state: ClaimState) -> ClaimState:
        key_hash = state.claim.key_hash
        self._states[key_hash] = state
        heapq.heappush(self._expiries, (state.claimed_at_s + self._window_s, key_hash))
        return state


def without_body(finished: ClaimFinished | None) -> ClaimFinished | None:
    """Return a result without its response body."""
    if finished is None or not finished.body:
        return finished
    return replace(finished, body=b"", whole=False)
