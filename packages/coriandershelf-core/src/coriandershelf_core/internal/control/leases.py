"""Leases kept in the platform's log: at most one holder of a name at a time.

The log's order and its record times decide, so every reader comes to the same verdict. The number
under which a lease was acquired is the offset of its record; it fences the orders given under it.
"""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.claims.ledger import Ledger
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
    """Who holds a name.

    :param number: fencing number.
    :param expires_at_s: by the log's clock.
    """

    name: str
    holder: str
    incarnation: int
    number: int
    expires_at_s: float


class Leases:
    """The leases read from the log."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}

    def get(self, name: str) -> Lease | None:
        """Return the last lease of a name, which may have expired."""
        return self._leases.get(name)

    def all(self) -> tuple[Lease, ...]:
        """Return the last lease of every name."""
        return tuple(self._leases.values())

    def restore(self, leases: tuple[Lease, ...]) -> None:
        """Take over the leases of a snapshot."""
        self._leases = {lease.name: lease for lease in leases}

    def apply(self, taken: LeaseTaken, offset: int, time_s: float) -> bool:
        """Apply a record and return whether its writer holds the lease by it."""
        current = self._leases.get(taken.name)
        expired = current is None or time_s > current.expires_at_s
        if current is not None and not expired:
            same = (current.holder, current.incarnation, current.number) == (
                taken.holder,
                taken.incarnation,
                taken.number,
            )
            if not same:
                return False
            current.expires_at_s = time_s + taken.valid_s
            return True
        assert current is None or offset > current.number, "fencing numbers only rise"
        self._leases[taken.name] = Lease(
            taken.name, taken.holder, taken.incarnation, offset, time_s + taken.valid_s
        )
        return True

    def release(self, released: LeaseReleased, time_s: float) -> None:
        """Let a lease that was given back expire at once."""
        current = self._leases.get(released.name)
        if current is not None and current.number == released.number:
            current.expires_at_s = min(current.expires_at_s, time_s)


class LeaseHolder:
    """Takes, renews and gives back one lease for this VM.

    This VM counts its validity from before it sent the record, on its own clock and with a margin,
    so it always stops earlier than the log lets another begin.
    """

    def __init__(self, context: Context, ledger: Ledger, leases: Leases, name: str) -> None:
        self._context = context
        self._ledger = ledger
        self._leases = leases
        self.name = name
        self.number = -1
        self.valid_until_s = 0.0
        self.acquired_at_s = 0.0
        self._ask_at_s = 0.0
        self._asked_until_s = 0.0

    def holds(self, now_s: float) -> bool:
        """Return whether this VM may act under the lease now."""
        return self.number >= 0 and now_s < self.valid_until_s

    def on_read(self, taken: LeaseTaken, accepted: bool, now_s: float) -> None:
        """Take the verdict on a record of this VM's own."""
        identity = self._context.identity
        if (taken.holder, taken.incarnation) != (identity.vm_id, identity.incarnation):
            if accepted:
                self.number = -1
            return
        self._asked_until_s = 0.0
        if not accepted:
            return
        lease = self._leases.get(self.name)
        assert lease is not None, "an accepted lease stands"
        if lease.number != self.number:
            self.number = lease.number
            self.acquired_at_s = now_s
            self._context.count(Counter.LEASES_ACQUIRED)
            self._context.log("lease acquired", name=self.name, number=self.number)
        margin_s = taken.valid_s * CLOCK_MARGIN_SHARE
        self.valid_until_s = max(self.valid_until_s, taken.sent_at_s + taken.valid_s - margin_s)

    def on_tick(self, now_s: float) -> None:
        """Renew in time, or try to take a lease that nobody holds."""
        if self._context.stopping or now_s < self._asked_until_s:
            return
        valid_s = self._context.settings.lease_valid_s
        if self.holds(now_s):
            if now_s >= self.valid_until_s - valid_s * (1 - CLOCK_MARGIN_SHARE - RENEW_SHARE):
                self._ask(self.number, now_s)
            return
        if self.number >= 0:
            self._context.count(Counter.LEASES_LAPSED)
            self._context.log("lease lapsed", name=self.name, number=self.number)
            self.number = -1
        lease = self._leases.get(self.name)
        if lease is not None and now_s <= lease.expires_at_s:
            # Whoever asks first after the expiry wins; spread them, so that one record suffices.
            jitter_s = self._context.rng.random() * ACQUIRE_JITTER_S
            self._ask_at_s = lease.expires_at_s + jitter_s
            return
        if now_s >= self._ask_at_s:
            self._ask(-1, now_s)

    def give_back(self, now_s: float) -> None:
        """Release the lease, so that another VM can take it at once."""
        if self.number >= 0:
            released = LeaseReleased(self.name, self.number)
            self._ledger.add(CONTROL_STREAM, released, now_s)
        self.number = -1
        self.valid_until_s = 0.0

    def _ask(self, number: int, now_s: float) -> None:
        identity = self._context.identity
        valid_s = self._context.settings.lease_valid_s
        self._asked_until_s = now_s + valid_s * RENEW_SHARE
        taken = LeaseTaken(self.name, identity.vm_id, identity.incarnation, number, valid_s, now_s)
        self._ledger.add(CONTROL_STREAM, taken, now_s)
