"""Leases based on the platform's log: each lease name has at most one holder at a time.

The order and timestamps of log records decide, so all readers agree. The number of a lease is the
offset of the record that acquired it; it serves as the fencing number of orders sent under it.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.records import (
    CONTROL_STREAM,
    LeaseReleased,
    LeaseTaken,
)

RENEW_SHARE = 0.4
CLOCK_MARGIN_SHARE = 0.2
ACQUIRE_JITTER_S = 1.0


@dataclass(slots=True)
class Lease:
    """The holder of a lease name.

    :param number: fencing number.
    :param expires_at_s: on the log's clock.
    """

    name: str
    holder: str
    incarnation: int
    number: int
    expires_at_s: float


class LeaseTable:
    """The leases read from the log."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def get(self, name: str) -> Lease | None:
        """Return the latest lease of a name, which may have expired."""
        return self._leases.get(name)

    def latest(self) -> tuple[Lease, ...]:
        """Return the latest lease of every name."""
        return tuple(self._leases.values())

    def restore(self, leases: tuple[Lease, ...]) -> None:
        """Replace all leases by those of a snapshot."""
        self._leases = {lease.name: lease for lease in leases}

    def apply(self, taken: LeaseTaken, offset: int, time_s: float) -> bool:
        """Apply an entry and return whether it acquired or renewed the lease for its writer."""
        current = self._leases.get(taken.name)
        expired = current is None or time_s > current.expires_at_s
        if current is not None and not expired:
            is_renewal = (current.holder, current.incarnation, current.number) == (
                taken.holder,
                taken.incarnation,
                taken.number,
            )
            if not is_renewal:
                return False
            current.expires_at_s = time_s + taken.valid_s
            return True
        assert current is None or offset > current.number, "fencing number did not increase"
        self._leases[taken.name] = Lease(
            taken.name, taken.holder, taken.incarnation, offset, time_s + taken.valid_s
        )
        return True

    def release(self, released: LeaseReleased, time_s: float) -> None:
        """Expire a lease immediately on its release."""
        current = self._leases.get(released.name)
        if current is not None and current.number == released.number:
            current.expires_at_s = min(current.expires_at_s, time_s)


class LeaseClient:
    """Acquires, renews and releases one lease for this VM.

    Validity is counted from before the entry was sent, on this VM's clock and with a margin, so
    this VM always stops using the lease before the log lets another VM acquire it.
    """

    def __init__(
        self, context: Context, log_appender: LogAppender, leases: LeaseTable, name: str
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self._leases = leases
        self.name = name
        self.fencing_number = -1
        self.valid_until_s = 0.0
        self.acquired_at_s = 0.0
        self._acquire_at_s = 0.0
        self._pending_until_s = 0.0

    def is_held(self, now_s: float) -> bool:
        """Return whether this VM holds a valid lease."""
        return self.fencing_number >= 0 and now_s < self.valid_until_s

    def on_read(self, taken: LeaseTaken, accepted: bool, now_s: float) -> None:
        """Handle an entry for this lease and whether it was accepted."""
        identity = self._context.identity
        if (taken.holder, taken.incarnation) != (identity.vm_id, identity.incarnation):
            if accepted:
                self.fencing_number = -1
            return
        self._pending_until_s = 0.0
        if not accepted:
            return
        lease = self._leases.get(self.name)
        assert lease is not None, "accepted lease is not in the lease table"
        if lease.number != self.fencing_number:
            self.fencing_number = lease.number
            self.acquired_at_s = now_s
            self._context.count(Counter.LEASES_ACQUIRED)
            self._context.log("lease acquired", name=self.name, number=self.fencing_number)
        margin_s = taken.valid_s * CLOCK_MARGIN_SHARE
        self.valid_until_s = max(self.valid_until_s, taken.sent_at_s + taken.valid_s - margin_s)

    def on_tick(self, now_s: float) -> None:
        """Renew the lease before it expires, or try to acquire it if it is free."""
        if self._context.stopping or now_s < self._pending_until_s:
            return
        valid_s = self._context.settings.lease_valid_s
        if self.is_held(now_s):
            if now_s >= self.valid_until_s - valid_s * (1 - CLOCK_MARGIN_SHARE - RENEW_SHARE):
                self._send_request(self.fencing_number, now_s)
            return
        if self.fencing_number >= 0:
            self._context.count(Counter.LEASES_LAPSED)
            self._context.log("lease lapsed", name=self.name, number=self.fencing_number)
            self.fencing_number = -1
        lease = self._leases.get(self.name)
        if lease is not None and now_s <= lease.expires_at_s:
            # The first request after expiry wins; jitter keeps most VMs from sending one.
            jitter_s = self._context.rng.random() * ACQUIRE_JITTER_S
            self._acquire_at_s = lease.expires_at_s + jitter_s
            return
        if now_s >= self._acquire_at_s:
            self._send_request(-1, now_s)

    def send_release(self, now_s: float) -> None:
        """Release the lease, so that another VM can acquire it immediately."""
        if self.fencing_number >= 0:
            released = LeaseReleased(self.name, self.fencing_number)
            self._log_appender.add(CONTROL_STREAM, released, now_s)
        self.fencing_number = -1
        self.valid_until_s = 0.0

    def _send_request(self, number: int, now_s: float) -> None:
        identity = self._context.identity
        valid_s = self._context.settings.lease_valid_s
        self._pending_until_s = now_s + valid_s * RENEW_SHARE
        taken = LeaseTaken(self.name, identity.vm_id, identity.incarnation, number, valid_s, now_s)
        self._log_appender.add(CONTROL_STREAM, taken, now_s)
