"""Appends to the platform's log: group commit, and what becomes of a lost answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.actions import Append
from coriandershelf_core.internal.context import Context
from coriandershelf_core.internal.reasons import Counter
from coriandershelf_core.internal.records import Entry, Record


@dataclass(slots=True)
class _Outstanding:
    """The one record of a stream that is on its way."""

    append_id: int
    sequence: int
    entries: tuple[Entry, ...]
    resend_at_s: float | None = None


@dataclass(slots=True)
class _Stream:
    sequence: int = 0
    waiting: list[Entry] = field(default_factory=list)
    outstanding: _Outstanding | None = None


class Ledger:
    """Writes entries in groups, one record of a stream at a time.

    A record whose answer was lost is sent again under the same sequence number. Readers take only
    the first of a (writer, incarnation, sequence), so sending again does no harm.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._streams: dict[str, _Stream] = {}
        self._append_id = 0
        self._seen: dict[tuple[str, str, int], int] = {}

    def add(self, stream: str, entry: Entry, now_s: float) -> None:
        """Append an entry with the next record."""
        self._stream(stream).waiting.append(entry)
        self._flush(stream)

    def on_answered(self, append_id: int) -> None:
        """Send the next group after the log took one."""
        for name, stream in self._streams.items():
            if stream.outstanding is not None and stream.outstanding.append_id == append_id:
                stream.outstanding = None
                self._flush(name)

    def on_failed(self, append_id: int, uncertain: bool, now_s: float) -> None:
        """Keep a failed record for sending it again."""
        for stream in self._streams.values():
            outstanding = stream.outstanding
            if outstanding is not None and outstanding.append_id == append_id:
                if uncertain:
                    self._context.count(Counter.APPENDS_UNCERTAIN)
                outstanding.resend_at_s = now_s + self._context.settings.append_resend_s

    def on_tick(self, now_s: float) -> None:
        """Send failed records again when their time has come."""
        for name, stream in self._streams.items():
            outstanding = stream.outstanding
            if outstanding is None or outstanding.resend_at_s is None:
                continue
            if outstanding.resend_at_s <= now_s:
                outstanding.resend_at_s = None
                self._send(name, outstanding)

    def is_first(self, stream: str, record: Record) -> bool:
        """Return whether a read record is not a repeat of an earlier one."""
        key = (stream, record.writer, record.incarnation)
        if record.sequence <= self._seen.get(key, 0):
            return False
        self._seen[key] = record.sequence
        return True

    @property
    def idle(self) -> bool:
        """Return whether nothing waits to be written."""
        return all(
            stream.outstanding is None and not stream.waiting for stream in self._streams.values()
        )

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _flush(self, name: str) -> None:
        stream = self._stream(name)
        if stream.outstanding is not None or not stream.waiting:
            return
        stream.sequence += 1
        entries = tuple(stream.waiting)
        stream.waiting.clear()
        stream.outstanding = _Outstanding(0, stream.sequence, entries)
        self._context.count(Counter.APPENDS)
        self._context.count(Counter.APPEND_ENTRIES, len(entries))
        self._send(name, stream.outstanding)

    def _send(self, name: str, outstanding: _Outstanding) -> None:
        self._append_id += 1
        outstanding.append_id = self._append_id
        self._context.emit(Append(self._append_id, name, outstanding.sequence, outstanding.entries))
