"""Leader lease: elects the entry VM that performs singleton duties, by conditional writes.

The lease is one record in a partition of the store. It is acquired and renewed by an append that
succeeds only if the end offset of the partition is still the one that the writer read. All times
are from a monotonic clock that counts suspension.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.usage_counts import SourceCounts

LEASE_KEY = "lease"
_KNOWN_FIELDS = frozenset({"vm_id", "incarnation", "number", "reports", "counts"})
# What a record of another shape raises as it is decoded.
MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class LeaseRecord(Struct, frozen=True):
    """The latest lease record in the store.

    :param fencing_number: fencing token, incremented whenever the holder changes.
    :param reports: usage reports that are final but may not have been sent, oldest first.
    :param counts: counts of the windows that are not reported yet, by process.
    :param unknown_fields: what a newer build wrote besides; written again unchanged, so that it is
        there when a VM of that build holds the lease again.
    """

    vm_id: str
    incarnation: int
    fencing_number: int
    reports: tuple[tuple[int, dict[str, int]], ...] = ()
    counts: tuple[SourceCounts, ...] = ()
    unknown_fields: dict[str, Any] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the record serialized for the store."""
        reports = [[window, counts] for window, counts in self.reports]
        kept = [[item.vm_id, item.incarnation, item.windows] for item in self.counts]
        return json.dumps(
            {
                **self.unknown_fields,
                "vm_id": self.vm_id,
                "incarnation": self.incarnation,
                "number": self.fencing_number,
                "reports": reports,
                "counts": kept,
            }
        ).encode()

    @staticmethod
    def decode(value: bytes) -> LeaseRecord | None:
        """Return the record, or ``None`` if the value is not a valid lease record.

        Rows of reports and counts may have further items; rows that are not valid are left out.
        """
        try:
            fields = json.loads(value)
            vm_id, incarnation = str(fields["vm_id"]), int(fields["incarnation"])
            number = int(fields["number"])
            rows = list(fields["reports"]), list(fields.get("counts", ()))
            unknown = {name: item for name, item in fields.items() if name not in _KNOWN_FIELDS}
        except MALFORMED_ERRORS:
            return None
        if number < 0:
            return None
        reports = [_decoded(_decode_report, row) for row in rows[0]]
        counts = [_decoded(_decode_counts, row) for row in rows[1]]
        return LeaseRecord(
            vm_id,
            incarnation,
            number,
            tuple(report for report in reports if report is not None),
            tuple(item for item in counts if item is not None),
            unknown,
        )


_Row = TypeVar("_Row")


def _decoded(decode: Callable[[Any], _Row], row: Any) -> _Row | None:
    try:
        return decode(row)
    except MALFORMED_ERRORS:
        return None


def _decode_report(row: Any) -> tuple[int, dict[str, int]]:
    return int(row[0]), {str(name): int(count) for name, count in row[1].items()}


def _decode_counts(row: Any) -> SourceCounts:
    decoded = {
        int(window): {str(name): int(count) for name, count in counts.items()}
        for window, counts in row[2].items()
    }
    return SourceCounts(str(row[0]), int(row[1]), decoded)


class LeaseStep(Enum):
    """The next store operation for the lease."""

    NONE = "none"
    READ = "read"
    WRITE = "write"


class DutyLease(Struct):
    """This VM's view of the lease.

    :param lease_s: lease duration, counted from when the last successful write was sent.
    :param takeover_wait_s: how long another VM must observe an unchanged record before it takes
        over; longer than ``lease_s`` to allow for clock drift and network delay.
    :param renew_s: renewal period of the holder.
    :param end_offset: end offset of the partition, ``None`` if unknown.
    :param end_changed_at_s: when the end offset was last found changed.
    :param read_at_s: when the record was last read or written; after a call with unknown result,
        the earliest time of the next read.
    :param holder_digest_at_s: when a digest from the holder last arrived.
    :param released_number: the highest fencing token that this VM gave up. The rest of its term
        is void, so it acts again only with a higher one.
    :param own_end_s: when this VM's last term ended.
    :param call_in_flight: whether a store operation is in flight.
    :param unreadable: whether the store has a record that this build cannot read. It is taken for
        that of a live holder.
    :param highest_number: no fencing token that was ever in the store is higher, as far as known.
    """

    vm_id: str
    incarnation: int
    lease_s: float
    takeover_wait_s: float
    renew_s: float
    record: LeaseRecord | None = None
    end_offset: int | None = None
    end_changed_at_s: float = 0.0
    held_until_s: float = 0.0
    renew_at_s: float = 0.0
    read_at_s: float = 0.0
    holder_digest_at_s: float = -1.0e9
    call_in_flight: bool = False
    stopping: bool = False
    unreadable: bool = False
    highest_number: int = 0
    released_number: int = 0
    own_end_s: float = -math.inf
    _holder_ends: dict[int, float] = field(default_factory=dict)
    _released_by: dict[str, int] = field(default_factory=dict)
    _heard_released_at_s: float = -math.inf
    _failed_at_s: float = -math.inf

    def is_held(self, now_s: float) -> bool:
        """Return whether this VM holds an unexpired lease."""
        return self._is_own() and now_s < self.held_until_s

    @property
    def fencing_number(self) -> int:
        """Return the fencing token of the lease last read or written."""
        return self.record.fencing_number if self.record is not None else 0

    def on_holder_digest(self, vm_id: str, number: int, end: int, at_s: float) -> None:
        """Record a digest from the holder; while these arrive, this VM need not read the store.

        :param end: end offset of the partition as known to the holder; 0 if it does not state it.
        :param at_s: when the digest arrived.
        """
        if vm_id == self.vm_id or number < self.fencing_number:
            return
        if self._released_by.get(vm_id, 0) >= number:
            return
        self.holder_digest_at_s = max(self.holder_digest_at_s, at_s)
        if end and end not in self._holder_ends:
            if end < max(self._holder_ends, default=0):
                # The store came back from an older copy, and offsets are given out again.
                self._holder_ends.clear()
            self._holder_ends[end] = at_s
            if len(self._holder_ends) > HOLDER_ENDS_MAX_COUNT:
                del self._holder_ends[next(iter(self._holder_ends))]

    def on_known_number(self, number: int) -> None:
        """Record a fencing token that another VM knows of.

        The store may come back from an older copy, which lacks the record that took it.
        """
        self.highest_number = max(self.highest_number, number)

    def on_released(self, vm_id: str, number: int, now_s: float) -> None:
        """Record that another VM gave up a fencing token and will not act with it again."""
        if vm_id == self.vm_id or number <= self._released_by.get(vm_id, 0):
            return
        self._released_by[vm_id] = number
        self._heard_released_at_s = now_s
        # The next digest of a holder with a higher token sets it again.
        self.holder_digest_at_s = -math.inf

    def release_expired(self, now_s: float) -> bool:
        """Give up this VM's token if its term is over; true if it did so now.

        Others may then take over at once, where they would otherwise have to wait until the record
        is surely out of date. The caller makes sure that no call under this token is in flight.
        """
        if not self._is_own() or now_s < self.held_until_s + RELEASE_MARGIN_S:
            return False
        self.released_number = self.fencing_number
        return True

    def next_step(self, rank: int, now_s: float) -> LeaseStep:
        """Return the store operation to start now.

        :param rank: this VM's position in the order of takeover; higher ranks wait longer.
        """
        if self.call_in_flight or self.stopping:
            return LeaseStep.NONE
        if self.is_held(now_s):
            if now_s < max(self.renew_at_s, self.read_at_s):
                return LeaseStep.NONE
            # After a write with unknown result only a read yields the end offset of the partition.
            return LeaseStep.READ if self.end_offset is None else LeaseStep.WRITE
        if now_s - self.holder_digest_at_s < HOLDER_DIGEST_TIMEOUT_S + TAKEOVER_RANK_DELAY_S * rank:
            return LeaseStep.NONE
        if now_s - self._heard_released_at_s < TAKEOVER_RANK_DELAY_S * rank:
            return LeaseStep.NONE
        if self.end_offset is None:
            return LeaseStep.READ if now_s >= self.read_at_s else LeaseStep.NONE
        free = (
            (self.record is None and not self.unreadable)
            or self._is_own_vm()
            or self._is_released(now_s)
        )
        if (
            free
            or now_s - self.end_changed_at_s >= self.takeover_wait_s + TAKEOVER_RANK_DELAY_S * rank
        ):
            # The record is read again immediately before the takeover.
            if now_s - self.read_at_s <= FRESH_READ_MAX_AGE_S:
                return LeaseStep.WRITE
            return LeaseStep.READ
        return LeaseStep.READ if now_s - self.read_at_s >= REREAD_PERIOD_S else LeaseStep.NONE

    def next_record(
        self,
        reports: tuple[tuple[int, dict[str, int]], ...],
        counts: tuple[SourceCounts, ...] = (),
    ) -> LeaseRecord:
        """Return the record to write: a renewal, or a takeover with a new fencing token."""
        known = self.record
        number = self.fencing_number if self._is_own() else self.highest_number + 1
        unknown_fields = known.unknown_fields if known is not None else {}
        return LeaseRecord(self.vm_id, self.incarnation, number, reports, counts, unknown_fields)

    def on_read(
        self,
        record: LeaseRecord | None,
        end: int,
        sent_at_s: float,
        now_s: float,
        unreadable: bool = False,
    ) -> None:
        """Handle a read.

        :param end: the end offset of the partition. Each append raises the fencing token by one at
            most, so it is no lower than any of them; used if no record can be read.
        """
        if end != self.end_offset:
            # A record seen for the first time may have been written just now, unless its holder
            # named its offset before.
            self.end_changed_at_s = self._holder_ends.get(end, now_s)
        self.record, self.end_offset, self.unreadable = record, end, unreadable
        self.highest_number = max(
            self.highest_number, end if record is None else record.fencing_number
        )
        self.read_at_s = now_s
        self.call_in_flight = False
        if not self._is_own():
            self.held_until_s = 0.0

    def on_write_succeeded(
        self, record: LeaseRecord, end: int, sent_at_s: float, now_s: float
    ) -> None:
        """Handle a successful write; the lease runs from when the write was sent."""
        self.record, self.end_offset, self.unreadable = record, end, False
        self.highest_number = max(self.highest_number, record.fencing_number)
        self.end_changed_at_s = self.read_at_s = now_s
        self.held_until_s = self.own_end_s = sent_at_s + self.lease_s
        self.renew_at_s = sent_at_s + self.renew_s
        self.call_in_flight = False

    def on_record_appended(self, end: int, now_s: float) -> None:
        """Handle a successful conditional append of another record; it extends no lease."""
        self.end_offset = end
        self.end_changed_at_s = self.read_at_s = now_s
        self.call_in_flight = False

    def on_conflict(self, now_s: float) -> None:
        """Handle a write conflict: another VM has written, so this VM does not hold the lease."""
        self.held_until_s = 0.0
        self.end_offset = None
        self.read_at_s = now_s
        self.call_in_flight = False

    def on_unknown_result(self, now_s: float) -> None:
        """Handle a call with unknown result: only a read shows whether it took effect."""
        self.end_offset = None
        self._failed_at_s = now_s
        self.read_at_s = now_s + UNKNOWN_RESULT_BACKOFF_S
        self.call_in_flight = False

    def _is_own(self) -> bool:
        record = self.record
        return (
            record is not None
            and (record.vm_id, record.incarnation) == (self.vm_id, self.incarnation)
            and record.fencing_number > self.released_number
        )

    def _is_own_vm(self) -> bool:
        return self.record is not None and self.record.vm_id == self.vm_id

    def _is_released(self, now_s: float) -> bool:
        """Return whether the holder in the record gave it up, so that this VM may take over."""
        record = self.record
        # Two changes of holder within a lease must not lead back to the first one.
        if record is None or now_s - self.own_end_s < self.takeover_wait_s:
            return False
        # After an outage of the store its former holder, which knows most, renews it first.
        if now_s - self._failed_at_s < OUTAGE_HEAD_START_S:
            return False
        return self._released_by.get(record.vm_id, 0) >= record.fencing_number


# Digests arrive several times a second; after this silence the holder may have failed.
HOLDER_DIGEST_TIMEOUT_S = 1.0
TAKEOVER_RANK_DELAY_S = 0.25
REREAD_PERIOD_S = 1.0
FRESH_READ_MAX_AGE_S = 0.3
UNKNOWN_RESULT_BACKOFF_S = 0.2
# Calls that were reset at the end of the term have reached the platform by then, or never will.
RELEASE_MARGIN_S = 0.2
# How long a VM leaves a released term to its former holder after the store failed to answer.
OUTAGE_HEAD_START_S = 1.5
# Offsets of a holder that renews four times a second, for longer than others wait to take over.
HOLDER_ENDS_MAX_COUNT = 64
