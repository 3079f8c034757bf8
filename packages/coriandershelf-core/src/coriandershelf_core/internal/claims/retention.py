"""Rewrites live state before the log's retention drops it, and detects incomplete readers.

Every reader can tell from the log alone whether it has read all live claims: it began at offset 0,
or it has read a :class:`LedgerKept` whose start offset is at or after its own first offset. Until
then a reader, such as a VM that boots after a long outage or one that fell behind retention, must
not treat a key as free.
"""

from __future__ import annotations

from collections import deque

from coriandershelf_core.internal.claims.claim_table import ClaimState, ClaimTable
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    ClaimKept,
    ClaimReleased,
    LedgerKept,
    Record,
)

REWRITE_AGE_SHARE = 0.5
REWRITE_PERIOD_SHARE = 0.125
SAMPLE_PERIOD_SHARE = 1 / 64


class Retention:
    """Tracks where this reader of the ledger began and rewrites old state.

    State older than half of the retention is rewritten every eighth to quarter of the retention.
    The period is random and a cycle of any VM postpones the next cycle of all others, so usually
    only one VM writes.
    """

    def __init__(self, context: Context, log_appender: LogAppender, table: ClaimTable) -> None:
        self._context = context
        self._log_appender = log_appender
        self._table = table
        self._offset_samples: deque[tuple[float, int]] = deque()
        self._last_record: tuple[float, int] | None = None
        self._first_record_time_s: float | None = None
        self._first_offset: int | None = None
        self._next_cycle_at_s: float | None = None
        self.is_complete = False

    @property
    def log_time_s(self) -> float:
        """Return the log time of the last record read."""
        return 0.0 if self._last_record is None else self._last_record[0]

    def on_read(self, first_offset: int, gap: bool) -> None:
        """Record where reading begins, and again after a gap."""
        if gap:
            self._table.clear()
            self._offset_samples.clear()
            self._first_record_time_s = None
        if gap or self._first_offset is None:
            self._first_offset = first_offset
            self.is_complete = first_offset == 0

    def on_record(self, record: Record) -> None:
        """Record the offset and time of a record."""
        time_s = max(record.time_s, self.log_time_s)
        self._last_record = (time_s, record.offset)
        if self._first_record_time_s is None:
            self._first_record_time_s = time_s
        sample_s = self._context.settings.log_retention_s * SAMPLE_PERIOD_SHARE
        if not self._offset_samples or self._offset_samples[-1][0] + sample_s <= time_s:
            self._offset_samples.append((time_s, record.offset))
        settings = self._context.settings
        # All state from before this reader's first record has expired by now.
        if self._first_record_time_s + max(settings.key_window_s, settings.key_refuse_s) <= time_s:
            self.is_complete = True

    def on_kept(self, kept: LedgerKept, now_s: float) -> None:
        """Handle the end of a rewrite cycle of some VM."""
        if self._first_offset is not None and self._first_offset <= kept.start_offset:
            self.is_complete = True
        self._schedule_cycle(now_s)

    def on_tick(self, now_s: float) -> None:
        """Rewrite old state when a cycle is due."""
        if self._next_cycle_at_s is None:
            self._schedule_cycle(now_s)
        assert self._next_cycle_at_s is not None, "no rewrite cycle is scheduled"
        if (
            now_s < self._next_cycle_at_s
            or not self.is_complete
            or self._log_appender.is_down(LEDGER_STREAM)
        ):
            return
        self._schedule_cycle(now_s)
        if self._context.is_enabled("claims-kept"):
            self._rewrite_old_states(now_s)

    def _schedule_cycle(self, now_s: float) -> None:
        cycle_s = self._context.settings.log_retention_s * REWRITE_PERIOD_SHARE
        self._next_cycle_at_s = now_s + cycle_s * self._context.rng.uniform(1.0, 2.0)

    def _rewrite_old_states(self, now_s: float) -> None:
        start_offset = self._offset_after(
            now_s - self._context.settings.log_retention_s * REWRITE_AGE_SHARE
        )
        if start_offset is None:
            return
        count = 0
        for state in self._table:
            released = self._rewrite_releases(state, start_offset, now_s)
            if state.is_held and (released or state.written_offset < start_offset):
                kept = ClaimKept(
                    state.claim, state.claimed_offset, state.claimed_at_s, state.finished
                )
                self._log_appender.add(LEDGER_STREAM, kept, now_s)
                count += 1
        self._context.count(Counter.CLAIMS_KEPT, count)
        self._log_appender.add(LEDGER_STREAM, LedgerKept(start_offset), now_s)

    def _rewrite_releases(self, state: ClaimState, start_offset: int, now_s: float) -> bool:
        """Rewrite old releases while a duplicate of the released claim may be in the log.

        A reader that began between a release and a late duplicate of its claim would treat the
        duplicate as the claim that holds the key, and the real holder's claim as a later one. So
        after a rewritten release the state of the holder must be rewritten as well.

        :returns: whether any release was rewritten.
        """
        settings = self._context.settings
        since_s = now_s - settings.log_retention_s - 2 * settings.claim_late_s
        rewritten = False
        for request_id, release in state.releases.items():
            if release.written_offset < start_offset and release.first_at_s >= since_s:
                entry = ClaimReleased(state.claim.key_hash, request_id)
                self._log_appender.add(LEDGER_STREAM, entry, now_s)
                rewritten = True
        return rewritten

    def _offset_after(self, time_s: float) -> int | None:
        """Return the highest known offset such that no record before it is newer than ``time_s``.

        ``None`` means that no such offset is known.
        """
        if self._last_record is not None and self._last_record[0] <= time_s:
            return self._last_record[1] + 1
        newest_sample = None
        while self._offset_samples and self._offset_samples[0][0] <= time_s:
            newest_sample = self._offset_samples.popleft()
        if newest_sample is None:
            return None
        self._offset_samples.appendleft(newest_sample)
        return newest_sample[1] + 1
