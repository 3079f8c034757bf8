"""Which entry VM performs the duties, decided by conditional writes to the store.

The lease is one record in a partition of the store; it is taken and renewed by an append that
holds only if the partition still ends where the writer read it. All times are of a steady clock
that counts suspension.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum

LEASE_KEY = "lease"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The newest lease record of the store.

    :param number: fencing number; it rises with each change of the holder.
    :param reports: usage reports that were fixed but may not have been sent, oldest first.
    """

    vm_id: str
    incarnation: int
    number: int
    reports: tuple[tuple[int, dict[str, int]], ...] = ()

    def encode(self) -> bytes:
        """Return the record's value in the store."""
        reports = [[window, counts] for window, counts in self.reports]
        return json.dumps(
            {
                "vm_id": self.vm_id,
                "incarnation": self.incarnation,
                "number": self.number,
                "reports": reports,
            }
        ).encode()

    @staticmethod
    def decode(value: bytes) -> LeaseRecord | None:
        """Return the record, or ``None`` where the value is not one of this program's."""
        try:
            fields = json.loads(value)
            reports = tuple((int(row[0]), dict(row[1])) for row in fields["reports"])
            return LeaseRecord(
                str(fields["vm_id"]), int(fields["incarnation"]), int(fields["number"]), reports
            )
        except (ValueError, KeyError, TypeError, IndexError):
            return None


class LeaseStep(Enum):
    """What the process is to do next for the lease."""

    NONE = "none"
    READ = "read"
    WRITE = "write"


@dataclass(slots=True)
class DutyLease:
    """This VM's view of the lease.

    :param lease_s: how long a holder may act after it sent its last successful write.
    :param wait_s: how long another VM must have seen an unchanged record before it takes over;
        longer than ``lease_s``, since clocks run slightly apart and calls travel.
    :param renew_s: time between two writes of a holder.
    """

    vm_id: str
    incarnation: int
    lease_s: float
    wait_s: float
    renew_s: float
    record: LeaseRecord | None = None
    end: int | None = None
    seen_at_s: float = 0.0
    held_until_s: float = 0.0
    renew_at_s: float = 0.0
    read_at_s: float = 0.0
    heard_at_s: float = -1.0e9
    busy: bool = False
    stopping: bool = False

    def holds(self, now_s: float) -> bool:
        """Return whether this VM may act as the holder now."""
        return self._is_own() and now_s < self.held_until_s

    @property
    def number(self) -> int:
        """Return the fencing number of the lease last read or written."""
        return self.record.number if self.record is not None else 0

    def on_holder_heard(self, vm_id: str, number: int, now_s: float) -> None:
        """Note a digest of the holder itself: nothing need be read while it is well."""
        if vm_id != self.vm_id and number >= self.number:
            self.heard_at_s = now_s

    def next_step(self, rank: int, now_s: float) -> LeaseStep:
        """Return what to do now.

        :param rank: this VM's place among those that may take over; later ones wait longer.
        """
        if self.busy or self.stopping:
            return LeaseStep.NONE
        if self.holds(now_s):
            if now_s < max(self.renew_at_s, self.read_at_s):
                return LeaseStep.NONE
            # Only reading tells where the partition ends after a write whose answer was lost.
            return LeaseStep.READ if self.end is None else LeaseStep.WRITE
        if now_s - self.heard_at_s < HEARD_KEEP_S + RANK_DELAY_S * rank:
            return LeaseStep.NONE
        if self.end is None:
            return LeaseStep.READ if now_s >= self.read_at_s else LeaseStep.NONE
        free = self.record is None or self._is_own_vm()
        if free or now_s - self.seen_at_s >= self.wait_s + RANK_DELAY_S * rank:
            # The record is read once more right before the takeover.
            if now_s - self.read_at_s <= FRESH_READ_S:
                return LeaseStep.WRITE
            return LeaseStep.READ
        return LeaseStep.READ if now_s - self.read_at_s >= REREAD_S else LeaseStep.NONE

    def next_record(self, reports: tuple[tuple[int, dict[str, int]], ...]) -> LeaseRecord:
        """Return the record to write: a renewal, or a takeover with a higher number."""
        number = self.number if self._is_own() else self.number + 1
        return LeaseRecord(self.vm_id, self.incarnation, number, reports)

    def on_read(self, record: LeaseRecord | None, end: int, sent_at_s: float, now_s: float) -> None:
        """Take the newest record; ``end`` is where the partition ended."""
        if end != self.end:
            # A record that was just seen for the first time may have been written just now.
            self.seen_at_s = now_s
        self.record, self.end = record, end
        self.read_at_s = now_s
        self.busy = False
        if not self._is_own():
            self.held_until_s = 0.0

    def on_written(self, record: LeaseRecord, end: int, sent_at_s: float, now_s: float) -> None:
        """Note a successful write; the lease counts from when it was sent."""
        self.record, self.end = record, end
        self.seen_at_s = self.read_at_s = now_s
        self.held_until_s = sent_at_s + self.lease_s
        self.renew_at_s = sent_at_s + self.renew_s
        self.busy = False

    def on_conflict(self, now_s: float) -> None:
        """Another VM has written since: this one no longer holds the lease."""
        self.held_until_s = 0.0
        self.end = None
        self.read_at_s = now_s
        self.busy = False

    def on_lost(self, now_s: float) -> None:
        """A call's answer was lost: only reading tells whether it was done."""
        self.end = None
        self.read_at_s = now_s + LOST_PAUSE_S
        self.busy = False

    def _is_own(self) -> bool:
        record = self.record
        return record is not None and (record.vm_id, record.incarnation) == (
            self.vm_id,
            self.incarnation,
        )

    def _is_own_vm(self) -> bool:
        return self.record is not None and self.record.vm_id == self.vm_id


# Digests come several times a second; after this silence the holder may be gone.
HEARD_KEEP_S = 1.0
RANK_DELAY_S = 0.25
REREAD_S = 1.0
FRESH_READ_S = 0.3
LOST_PAUSE_S = 0.2
