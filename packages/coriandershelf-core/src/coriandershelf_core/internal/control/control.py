"""Leases, orders and purchases of one entry VM, fed from the log's control stream."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.control.buyer import Buyer, Needs, VmKnown
from coriandershelf_core.internal.control.leases import Lease, LeaseHolder, Leases
from coriandershelf_core.internal.control.orders import Orders
from coriandershelf_core.internal.control.purchases import SPENDING_LEASE, Purchases
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import (
    LogRead,
    OffersRead,
    OrderAnswered,
    OrderFailed,
    StartAnswered,
    StopAnswered,
)
from coriandershelf_core.internal.vocabulary.records import (
    CONTROL_STREAM,
    ControlSnapshot,
    Entry,
    LeaseReleased,
    LeaseState,
    LeaseTaken,
    PurchaseEnded,
    PurchaseIntended,
    Record,
)

SNAPSHOT_LATE_SHARE = 2.0

ControlEvent = OrderAnswered | OrderFailed | StartAnswered | StopAnswered | OffersRead


@dataclass(frozen=True, slots=True)
class _Held:
    """An entry that waits until the state before it is known."""

    entry: Entry
    offset: int
    time_s: float


class Control:
    """Folds the control stream and acts for what this VM holds.

    A reader that starts behind expired records judges nothing until it has read a snapshot: its
    verdicts would differ from those of older readers.
    """

    def __init__(self, context: Context, ledger: Ledger, needs: Needs, vm_serves: VmKnown) -> None:
        self._context = context
        self._ledger = ledger
        self.leases = Leases()
        zone_lease = f"orders/{context.identity.zone}"
        self.orders_holder = LeaseHolder(context, ledger, self.leases, zone_lease)
        self.spending_holder = LeaseHolder(context, ledger, self.leases, SPENDING_LEASE)
        self._holders = {
            holder.name: holder for holder in (self.orders_holder, self.spending_holder)
        }
        self.purchases = Purchases(
            self.leases, context.enabled("purchase-fencing"), context.enabled("budget")
        )
        self.orders = Orders(context, self.orders_holder)
        self.buyer = Buyer(context, ledger, self.spending_holder, self.purchases, needs, vm_serves)
        self._synced = False
        self._first_offset: int | None = None
        self._unsynced_since_s = 0.0
        self._held: list[_Held] = []
        self._through_offset = -1
        self._snapshot_at_s: float | None = None

    @property
    def synced(self) -> bool:
        """Return whether the state is that of the whole stream."""
        return self._synced

    def handle(self, event: ControlEvent, now_s: float) -> None:
        """Take an answer of an upstream or the cloud."""
        match event:
            case OrderAnswered(order_id, taken):
                self.orders.on_answered(order_id, taken, now_s)
            case OrderFailed(order_id):
                self.orders.on_failed(order_id, now_s)
            case StartAnswered(token, answer):
                self.buyer.on_started(token, answer, now_s)
            case StopAnswered(token, answer):
                self.buyer.on_stopped(token, answer, now_s)
            case OffersRead(offers):
                self.buyer.on_offers(offers)

    def on_log_read(self, event: LogRead, now_s: float) -> None:
        """Apply records of the control stream in order."""
        if self._first_offset is None:
            self._first_offset = event.first_offset
            self._synced = event.first_offset == 0
            self._unsynced_since_s = now_s
        elif event.first_offset > self._through_offset + 1:
            # Records expired before this VM read them, as after a long pause.
            self._first_offset = event.first_offset
            self._synced = False
            self._held.clear()
            self._unsynced_since_s = now_s
        for record in event.records:
            if self._ledger.on_record(CONTROL_STREAM, record, now_s):
                self._on_record(record, now_s)
            self._through_offset = record.offset

    def on_tick(self, now_s: float) -> None:
        """Renew leases, give orders, buy, write the state forward."""
        if not self._synced:
            self._found_if_lost(now_s)
            return
        for holder in self._holders.values():
            holder.on_tick(now_s)
        if self._context.stopping:
            self._give_back(now_s)
            return
        self.orders.on_tick(now_s)
        self.buyer.on_tick(now_s)
        self._write_forward(now_s)

    def _found_if_lost(self, now_s: float) -> None:
        """Start over with nothing held where every snapshot has expired.

        That takes a whole retention without a writer. A VM bought before it must then be given
        back by hand; staying without leases for good was rejected.
        """
        if self._first_offset is None:
            return
        wait_s = SNAPSHOT_LATE_SHARE * self._context.settings.control_snapshot_s
        if now_s - self._unsynced_since_s > wait_s:
            self._unsynced_since_s = now_s
            self._ledger.add(CONTROL_STREAM, ControlSnapshot(self._through_offset, (), ()), now_s)

    def _give_back(self, now_s: float) -> None:
        if self.orders.idle:
            for holder in self._holders.values():
                holder.give_back(now_s)

    def _write_forward(self, now_s: float) -> None:
        """Write a snapshot every period; another VM does where the holder is late."""
        period_s = self._context.settings.control_snapshot_s
        if self._snapshot_at_s is None:
            self._snapshot_at_s = now_s
        age_s = now_s - self._snapshot_at_s
        late_s = period_s * (SNAPSHOT_LATE_SHARE + self._context.rng.random())
        if age_s > late_s or (age_s > period_s and self.spending_holder.holds(now_s)):
            self._snapshot_at_s = now_s
            self._write_snapshot(now_s)

    def _write_snapshot(self, now_s: float) -> None:
        leases = tuple(
            LeaseState(
                lease.name, lease.holder, lease.incarnation, lease.number, lease.expires_at_s
            )
            for lease in self.leases.all()
        )
        snapshot = ControlSnapshot(self._through_offset, leases, self.purchases.open())
        self._ledger.add(CONTROL_STREAM, snapshot, now_s)

    def _on_record(self, record: Record, now_s: float) -> None:
        for entry in record.entries:
            if isinstance(entry, ControlSnapshot):
                self._snapshot_at_s = now_s
            if self._synced:
                self._apply(entry, record.offset, record.time_s, now_s)
            elif isinstance(entry, ControlSnapshot):
                self._restore(entry, now_s)
            else:
                self._held.append(_Held(entry, record.offset, record.time_s))

    def _restore(self, snapshot: ControlSnapshot, now_s: float) -> None:
        """Take over a snapshot and what was read behind the state it shows."""
        assert self._first_offset is not None, "records are read from a known offset on"
        if self._first_offset > snapshot.through_offset + 1:
            # What stood between is not known; the next snapshot covers it.
            return
        self.leases.restore(
            tuple(
                Lease(item.name, item.holder, item.incarnation, item.number, item.expires_at_s)
                for item in snapshot.leases
            )
        )
        self.purchases.restore(snapshot.purchases)
        self._synced = True
        held, self._held = self._held, []
        for item in held:
            if item.offset > snapshot.through_offset:
                self._apply(item.entry, item.offset, item.time_s, now_s)

    def _apply(self, entry: Entry, offset: int, time_s: float, now_s: float) -> None:
        match entry:
            case LeaseTaken():
                accepted = self.leases.apply(entry, offset, time_s)
                holder = self._holders.get(entry.name)
                if holder is not None:
                    holder.on_read(entry, accepted, now_s)
            case LeaseReleased():
                self.leases.release(entry, time_s)
            case PurchaseIntended():
                self.buyer.on_intended(entry, self.purchases.apply(entry))
            case PurchaseEnded():
                self.purchases.end(entry)
            case _:
                pass
