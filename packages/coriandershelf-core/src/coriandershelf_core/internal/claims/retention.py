"""What must outlive the log's retention is written forward, and readers know what they miss.

Every reader can tell from the log alone whether it has read all claims that matter: it began at
offset 0, or it has read a :class:`LedgerKept` that reaches back to where it began. A reader that
cannot tell yet, such as a VM that boots after a long outage, or one that fell behind retention,
must not take a key to be free.
"""

from __future__ import annotations

from collections import deque

from coriandershelf_core.internal.claims.claim_table import ClaimState, ClaimTable
from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    ClaimKept,
    ClaimReleased,
    LedgerKept,
    Record,
)

WRITE_AGE_SHARE = 0.5
CYCLE_SHARE = 0.125
SAMPLE_SHARE = 1 / 64


class Retention:
    """Where this reader of the ledger began, and the writing forward of old states.

    States older than half of the retention are written again every eighth to quarter of it. The
    period is random, and a cycle of any VM puts off everyone's next, so mostly one VM writes.
    """

    def __init__(self, context: Context, ledger: Ledger, table: ClaimTable) -> None:
        self._context = context
        self._ledger = ledger
        self._table = table
        self._samples: deque[tuple[float, int]] = deque()
        self._last: tuple[float, int] | None = None
        self._first_time_s: float | None = None
        self._began_offset: int | None = None
        self._cycle_at_s: float | None = None
        self.complete = False

    @property
    def log_time_s(self) -> float:
        """Return the log's time as of the last record read."""
        return 0.0 if self._last is None else self._last[0]

    def on_read(self, first_offset: int, gap: bool) -> None:
        """Note where reading begins, again after a gap."""
        if gap:
            self._table.clear()
            self._samples.clear()
            self._first_time_s = None
        if gap or self._began_offset is None:
            self._began_offset = first_offset
            self.complete = first_offset == 0

    def on_record(self, record: Record) -> None:
        """Note a record's place and time."""
        time_s = max(record.time_s, self.log_time_s)
        self._last = (time_s, record.offset)
        if self._first_time_s is None:
            self._first_time_s = time_s
        sample_s = self._context.settings.log_retention_s * SAMPLE_SHARE
        if not self._samples or self._samples[-1][0] + sample_s <= time_s:
            self._samples.append((time_s, record.offset))
        settings = self._context.settings
        # Whatever stood before this reader's first record is past its time by now.
        if self._first_time_s + max(settings.key_window_s, settings.key_refuse_s) <= time_s:
            self.complete = True

    def on_kept(self, kept: LedgerKept, now_s: float) -> None:
        """Take note that a VM has written everything forward."""
        if self._began_offset is not None and self._began_offset <= kept.start_offset:
            self.complete = True
        self._put_off(now_s)

    def on_tick(self, now_s: float) -> None:
        """Write old states forward when a cycle is due."""
        if self._cycle_at_s is None:
            self._put_off(now_s)
        assert self._cycle_at_s is not None, "a cycle was planned"
        if now_s < self._cycle_at_s or not self.complete or self._ledger.is_down(LEDGER_STREAM):
            return
        self._put_off(now_s)
        if self._context.enabled("claims-kept"):
            self._write_forward(now_s)

    def _put_off(self, now_s: float) -> None:
        cycle_s = self._context.settings.log_retention_s * CYCLE_SHARE
        self._cycle_at_s = now_s + cycle_s * self._context.rng.uniform(1.0, 2.0)

    def _write_forward(self, now_s: float) -> None:
        start_offset = self._offset_after(
            now_s - self._context.settings.log_retention_s * WRITE_AGE_SHARE
        )
        if start_offset is None:
            return
        count = 0
        for state in self._table:
            released = self._write_releases(state, start_offset, now_s)
            if state.holds and (released or state.written_offset < start_offset):
                kept = ClaimKept(
                    state.claim, state.claimed_offset, state.claimed_at_s, state.finished
                )
                self._ledger.add(LEDGER_STREAM, kept, now_s)
                count += 1
        self._context.count(Counter.CLAIMS_KEPT, count)
        self._ledger.add(LEDGER_STREAM, LedgerKept(start_offset), now_s)

    def _write_releases(self, state: ClaimState, start_offset: int, now_s: float) -> bool:
        """Write old releases again while a copy of the released claim may stand in the log.

        A reader that began between a release and a late copy of its claim would take the copy for
        a claim that holds its key. The holder's state must then follow, since such a reader took
        it for the later claim.
        """
        settings = self._context.settings
        since_s = now_s - settings.log_retention_s - 2 * settings.claim_late_s
        written = False
        for request_id, release in state.releases.items():
            if release.written_offset < start_offset and release.first_at_s >= since_s:
                entry = ClaimReleased(state.claim.key_hash, request_id)
                self._ledger.add(LEDGER_STREAM, entry, now_s)
                written = True
        return written

    def _offset_after(self, time_s: float) -> int | None:
        """Return an offset before which every record is older than a time, as late as known."""
        if self._last is not None and self._last[0] <= time_s:
            return self._last[1] + 1
        found = None
        while self._samples and self._samples[0][0] <= time_s:
            found = self._samples.popleft()
        if found is None:
            return None
        self._samples.appendleft(found)
        return found[1] + 1
