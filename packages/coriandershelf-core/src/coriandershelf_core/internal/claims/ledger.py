"""Appends to the platform's log: group commit, and what becomes of a lost answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.vocabulary.actions import Append
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LogRead
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.records import (
    ClaimFinished,
    ClaimKept,
    ConfigurationProposed,
    Entry,
    JobAccepted,
    Record,
)

ENTRY_BYTES = 400


@dataclass(slots=True)
class _Outstanding:
    """The one record of a stream that is on its way.

    :param failed: whether an append of it failed and none was answered since.
    """

    sequence: int
    entries: tuple[Entry, ...]
    append_ids: set[int] = field(default_factory=set)
    resend_at_s: float | None = None
    failed: bool = False


@dataclass(slots=True)
class _Stream:
    """Writing and reading of one stream.

    :param next_offset: where the next read starts; ``None`` before the first.
    :param next_send_s: when the next record may be sent.
    :param end_reads: reads so far that reached the end of the log, and were applied.
    :param end_read_since_s: time after which the last of them began.
    :param applied_at_s: when the last read was applied.
    """

    sequence: int = 0
    waiting: list[Entry] = field(default_factory=list)
    outstanding: _Outstanding | None = None
    next_offset: int | None = None
    end_reads: int = 0
    next_send_s: float = 0.0
    end_read_since_s: float = 0.0
    applied_at_s: float = 0.0


def entry_bytes(entry: Entry) -> int:
    """Return about how many bytes an entry takes in a record."""
    match entry:
        case ClaimFinished():
            return ENTRY_BYTES + len(entry.body)
        case ClaimKept():
            return 2 * ENTRY_BYTES + (len(entry.finished.body) if entry.finished else 0)
        case JobAccepted():
            return ENTRY_BYTES + len(entry.body)
        case ConfigurationProposed():
            return ENTRY_BYTES + len(entry.inventory_text) + len(entry.rules_text)
    return ENTRY_BYTES


class Ledger:
    """Writes entries in groups, one record of a stream at a time.

    A record whose answer was lost is sent again under the same sequence number until one copy is
    answered or read back; only reading back tells that it stands. Readers take only the first of
    a (writer, incarnation, sequence), so sending again does no harm.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._streams: dict[str, _Stream] = {}
        self._append_id = 0
        self._seen: dict[tuple[str, str, int], int] = {}

    def add(self, stream: str, entry: Entry, now_s: float) -> None:
        """Append an entry with the next record."""
        self._stream(stream).waiting.append(entry)
        self._flush(stream, now_s)

    def discard(self, stream: str, entry: Entry) -> bool:
        """Take back an entry that was never sent; false if it may stand in the log."""
        waiting = self._stream(stream).waiting
        if entry not in waiting:
            return False
        waiting.remove(entry)
        return True

    def on_answered(self, append_id: int, now_s: float) -> None:
        """Send the next group after the log took one."""
        for name, stream in self._streams.items():
            if stream.outstanding is not None and append_id in stream.outstanding.append_ids:
                stream.outstanding = None
                self._flush(name, now_s)

    def on_failed(self, append_id: int, uncertain: bool, now_s: float) -> None:
        """Keep a failed record for sending it again."""
        settings = self._context.settings
        for stream in self._streams.values():
            outstanding = stream.outstanding
            if outstanding is None or append_id not in outstanding.append_ids:
                continue
            if uncertain:
                self._context.count(Counter.APPENDS_UNCERTAIN)
                outstanding.failed = True
            delay_s = settings.append_resend_s if uncertain else settings.append_refused_resend_s
            # Spread by half, so that entry VMs do not all come back to the log at once.
            outstanding.resend_at_s = now_s + delay_s * self._context.rng.uniform(0.75, 1.25)

    def on_tick(self, now_s: float) -> None:
        """Send failed records again, and waiting entries, when their time has come."""
        for name, stream in self._streams.items():
            self._flush(name, now_s)
            outstanding = stream.outstanding
            if outstanding is None or outstanding.resend_at_s is None:
                continue
            if outstanding.resend_at_s <= now_s:
                outstanding.resend_at_s = None
                self._send(name, outstanding)

    def on_read(self, event: LogRead) -> bool:
        """Note how far a stream is read; true if records expired before they were read."""
        stream = self._stream(event.stream)
        expected = stream.next_offset
        gap = expected is not None and event.first_offset > expected
        reset = expected is not None and event.next_offset < expected
        stream.next_offset = event.next_offset
        if gap or reset:
            self._context.count(Counter.LEDGER_GAPS)
        return gap or reset

    def on_read_applied(self, event: LogRead, now_s: float) -> None:
        """Note that every record of a read is applied."""
        stream = self._stream(event.stream)
        if event.at_end:
            stream.end_reads += 1
            stream.end_read_since_s = stream.applied_at_s
        stream.applied_at_s = now_s
        self._flush(event.stream, now_s)

    def on_record(self, name: str, record: Record, now_s: float) -> bool:
        """Take a record read back; true if it is not a repeat of an earlier one."""
        self._settle_own(name, record, now_s)
        key = (name, record.writer, record.incarnation)
        if record.sequence <= self._seen.get(key, 0):
            return False
        self._seen[key] = record.sequence
        return True

    def end_reads(self, name: str) -> int:
        """Return how many reads of a stream reached its end."""
        return self._stream(name).end_reads

    def end_read_since_s(self, name: str) -> float:
        """Return a time up to which this VM has read all that stood in a stream.

        It is the time at which the read before the last one was applied, for the last one began
        later. The time at which a read is applied proves nothing: the VM may have been paused
        while the answer waited.
        """
        return self._stream(name).end_read_since_s

    def is_down(self, name: str) -> bool:
        """Return whether the last append got no answer and nothing was heard since."""
        outstanding = self._stream(name).outstanding
        return outstanding is not None and outstanding.failed

    @property
    def idle(self) -> bool:
        """Return whether nothing waits to be written."""
        return all(
            stream.outstanding is None and not stream.waiting for stream in self._streams.values()
        )

    def _settle_own(self, name: str, record: Record, now_s: float) -> None:
        """Stop resending a record that is read back.

        The entries are compared as well, since a process that was started with an incarnation
        used before reads records of its own name that it did not write.
        """
        outstanding = self._stream(name).outstanding
        identity = self._context.identity
        if outstanding is None or record.writer != identity.vm_id:
            return
        if record.incarnation != identity.incarnation or record.sequence != outstanding.sequence:
            return
        if record.entries == outstanding.entries:
            self._streams[name].outstanding = None
            self._flush(name, now_s)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _flush(self, name: str, now_s: float) -> None:
        """Send what waits, unless a record is on its way or was sent a moment ago.

        The pause between records bounds what all entry VMs together ask of the log, whatever the
        rate of calls; after an idle moment an entry is sent at once.
        """
        stream = self._stream(name)
        if stream.outstanding is not None or not stream.waiting or now_s < stream.next_send_s:
            return
        stream.next_send_s = now_s + self._spacing_s()
        stream.sequence += 1
        entries = self._take_group(stream)
        stream.outstanding = _Outstanding(stream.sequence, entries)
        self._context.count(Counter.APPENDS)
        self._context.count(Counter.APPEND_ENTRIES, len(entries))
        self._send(name, stream.outstanding)

    def _spacing_s(self) -> float:
        """Return the pause that keeps all entry VMs together within the log's rate."""
        settings = self._context.settings
        fair_share_s = self._context.entry_count / settings.log_appends_per_s
        return max(settings.append_spacing_s, fair_share_s)

    def _take_group(self, stream: _Stream) -> tuple[Entry, ...]:
        """Take the entries of the next record, at least one, within the limit on its size."""
        size_bytes = 0
        count = 0
        for entry in stream.waiting:
            size_bytes += entry_bytes(entry)
            if count and size_bytes > self._context.settings.append_max_bytes:
                break
            count += 1
        group = tuple(stream.waiting[:count])
        del stream.waiting[:count]
        return group

    def _send(self, name: str, outstanding: _Outstanding) -> None:
        self._append_id += 1
        outstanding.append_ids.add(self._append_id)
        self._context.emit(Append(self._append_id, name, outstanding.sequence, outstanding.entries))
