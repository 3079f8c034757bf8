"""Appends to the platform's log: group commit and resending after lost acknowledgements."""

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

ENTRY_OVERHEAD_BYTES = 400


@dataclass(slots=True)
class _OutstandingAppend:
    """The record of a stream that is sent and not yet acknowledged.

    :param append_ids: ids of all appends of this record, the first one and its resends.
    :param failed: whether an append of it failed with an uncertain result.
    """

    sequence: int
    entries: tuple[Entry, ...]
    append_ids: set[int] = field(default_factory=set)
    resend_at_s: float | None = None
    failed: bool = False


@dataclass(slots=True)
class _Stream:
    """Write and read state of one stream.

    :param next_offset: where the next read starts; ``None`` before the first.
    :param tail_read_count: reads that reached the end of the stream and were applied.
    :param next_send_at_s: when the next record may be sent.
    :param read_through_s: time up to which everything was read; see
        :meth:`LogAppender.read_through_s`.
    :param applied_at_s: when the last read was applied.
    """

    sequence: int = 0
    pending_entries: list[Entry] = field(default_factory=list)
    outstanding: _OutstandingAppend | None = None
    next_offset: int | None = None
    tail_read_count: int = 0
    next_send_at_s: float = 0.0
    read_through_s: float = 0.0
    applied_at_s: float = 0.0


def estimated_entry_bytes(entry: Entry) -> int:
    """Return an estimate of the size of an entry in a record."""
    match entry:
        case ClaimFinished():
            return ENTRY_OVERHEAD_BYTES + len(entry.body)
        case ClaimKept():
            return 2 * ENTRY_OVERHEAD_BYTES + (len(entry.finished.body) if entry.finished else 0)
        case JobAccepted():
            return ENTRY_OVERHEAD_BYTES + len(entry.body)
        case ConfigurationProposed():
            return ENTRY_OVERHEAD_BYTES + len(entry.inventory_text) + len(entry.rules_text)
    return ENTRY_OVERHEAD_BYTES


class LogAppender:
    """Appends entries in batches, with at most one outstanding record per stream.

    A record whose acknowledgement was lost is resent with the same sequence number until a copy is
    acknowledged or read back; only reading it back proves that it is in the log. Readers apply
    only the first record with a given (writer, incarnation, sequence), so resending is harmless.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._streams: dict[str, _Stream] = {}
        self._append_id = 0
        self._last_sequences: dict[tuple[str, str, int], int] = {}

    def add(self, stream: str, entry: Entry, now_s: float) -> None:
        """Queue an entry for the next record and send the record if possible."""
        self._stream(stream).pending_entries.append(entry)
        self._flush(stream, now_s)

    def discard(self, stream: str, entry: Entry) -> bool:
        """Remove an entry that was never sent; return false if it may be in the log."""
        pending_entries = self._stream(stream).pending_entries
        if entry not in pending_entries:
            return False
        pending_entries.remove(entry)
        return True

    def on_acknowledged(self, append_id: int, now_s: float) -> None:
        """Send the next batch after the log acknowledged an append."""
        for name, stream in self._streams.items():
            if stream.outstanding is not None and append_id in stream.outstanding.append_ids:
                stream.outstanding = None
                self._flush(name, now_s)

    def on_failed(self, append_id: int, uncertain: bool, now_s: float) -> None:
        """Schedule a failed record for resending.

        :param uncertain: whether the record may be in the log in spite of the failure.
        """
        settings = self._context.settings
        for stream in self._streams.values():
            outstanding = stream.outstanding
            if outstanding is None or append_id not in outstanding.append_ids:
                continue
            if uncertain:
                self._context.count(Counter.APPENDS_UNCERTAIN)
                outstanding.failed = True
            delay_s = settings.append_resend_s if uncertain else settings.append_refused_resend_s
            # Jitter of a quarter each way keeps entry VMs from all retrying at the same time.
            outstanding.resend_at_s = now_s + delay_s * self._context.rng.uniform(0.75, 1.25)

    def on_tick(self, now_s: float) -> None:
        """Resend failed records and send queued entries that are due."""
        for name, stream in self._streams.items():
            self._flush(name, now_s)
            outstanding = stream.outstanding
            if outstanding is None or outstanding.resend_at_s is None:
                continue
            if outstanding.resend_at_s <= now_s:
                outstanding.resend_at_s = None
                self._send(name, outstanding)

    def on_read(self, event: LogRead) -> bool:
        """Record how far a stream has been read.

        :returns: whether records expired before they were read, or the log was reset.
        """
        stream = self._stream(event.stream)
        expected = stream.next_offset
        gap = expected is not None and event.first_offset > expected
        reset = expected is not None and event.next_offset < expected
        stream.next_offset = event.next_offset
        if gap or reset:
            self._context.count(Counter.LEDGER_GAPS)
        return gap or reset

    def on_read_applied(self, event: LogRead, now_s: float) -> None:
        """Record that every record of a read has been applied."""
        stream = self._stream(event.stream)
        if event.at_end:
            stream.tail_read_count += 1
            stream.read_through_s = stream.applied_at_s
        stream.applied_at_s = now_s
        self._flush(event.stream, now_s)

    def on_record(self, name: str, record: Record, now_s: float) -> bool:
        """Handle a record read from the log; return false for a duplicate of an earlier one."""
        self._acknowledge_own_record(name, record, now_s)
        key = (name, record.writer, record.incarnation)
        if record.sequence <= self._last_sequences.get(key, 0):
            return False
        self._last_sequences[key] = record.sequence
        return True

    def tail_read_count(self, name: str) -> int:
        """Return how many applied reads of a stream reached its end."""
        return self._stream(name).tail_read_count

    def read_through_s(self, name: str) -> float:
        """Return a time up to which this VM has read everything in a stream.

        It is the time at which the read before the last read to the end was applied, because the
        last one began after that. The time at which a read is applied proves nothing: the VM may
        have been paused between the response and its processing.
        """
        return self._stream(name).read_through_s

    def is_down(self, name: str) -> bool:
        """Return whether an append of the outstanding record had an uncertain result.

        Acknowledging the record or reading it back ends this state.
        """
        outstanding = self._stream(name).outstanding
        return outstanding is not None and outstanding.failed

    @property
    def idle(self) -> bool:
        """Return whether no entry is queued or outstanding."""
        return all(
            stream.outstanding is None and not stream.pending_entries
            for stream in self._streams.values()
        )

    def _acknowledge_own_record(self, name: str, record: Record, now_s: float) -> None:
        """Stop resending the outstanding record once it is read back.

        The entries are compared as well, because a process started with an incarnation that was
        used before reads records under its own VM id that it did not write.
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
        """Send queued entries unless a record is outstanding or the minimum spacing has not passed.

        The spacing between records bounds the append rate of all entry VMs together, whatever the
        rate of calls. After an idle period an entry is sent immediately.
        """
        stream = self._stream(name)
        if (
            stream.outstanding is not None
            or not stream.pending_entries
            or now_s < stream.next_send_at_s
        ):
            return
        stream.next_send_at_s = now_s + self._spacing_s()
        stream.sequence += 1
        entries = self._take_batch(stream)
        stream.outstanding = _OutstandingAppend(stream.sequence, entries)
        self._context.count(Counter.APPENDS)
        self._context.count(Counter.APPEND_ENTRIES, len(entries))
        self._send(name, stream.outstanding)

    def _spacing_s(self) -> float:
        """Return the spacing of records that keeps all entry VMs within the log's append rate."""
        settings = self._context.settings
        fair_share_s = self._context.entry_count / settings.log_appends_per_s
        return max(settings.append_spacing_s, fair_share_s)

    def _take_batch(self, stream: _Stream) -> tuple[Entry, ...]:
        """Dequeue the entries of the next record: at least one, within the record size limit."""
        size_bytes = 0
        count = 0
        for entry in stream.pending_entries:
            size_bytes += estimated_entry_bytes(entry)
            if count and size_bytes > self._context.settings.append_max_bytes:
                break
            count += 1
        batch = tuple(stream.pending_entries[:count])
        del stream.pending_entries[:count]
        return batch

    def _send(self, name: str, outstanding: _OutstandingAppend) -> None:
        self._append_id += 1
        outstanding.append_ids.add(self._append_id)
        self._context.emit(Append(self._append_id, name, outstanding.sequence, outstanding.entries))
