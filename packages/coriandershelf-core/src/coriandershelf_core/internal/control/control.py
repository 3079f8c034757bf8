"""Leases, orders and purchases of one entry VM, driven by the log's control stream."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.control.buyer import Buyer, ServiceDemands, VmServes
from coriandershelf_core.internal.control.leases import Lease, LeaseClient, LeaseTable
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

SNAPSHOT_LATE_FACTOR = 2.0

ControlEvent = OrderAnswered | OrderFailed | StartAnswered | StopAnswered | OffersRead


@dataclass(frozen=True, slots=True)
class _BufferedEntry:
    """An entry buffered until the state that precedes it is known."""

    entry: Entry
    offset: int
    time_s: float


class Control:
    """Applies the control stream and acts under the leases that this VM holds.

    A reader that missed expired records applies no entries until it has read a snapshot, because
    it would otherwise accept and reject other entries than readers with the full history.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        service_demands: ServiceDemands,
        vm_serves: VmServes,
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self.leases = LeaseTable()
        zone_lease = f"orders/{context.identity.zone}"
        self.orders_lease = LeaseClient(context, log_appender, self.leases, zone_lease)
        self.spending_lease = LeaseClient(context, log_appender, self.leases, SPENDING_LEASE)
        self._lease_clients = {
            client.name: client for client in (self.orders_lease, self.spending_lease)
        }
        self.purchases = Purchases(
            self.leases, context.is_enabled("purchase-fencing"), context.is_enabled("budget")
        )
        self.orders = Orders(context, self.orders_lease)
        self.buyer = Buyer(
            context, log_appender, self.spending_lease, self.purchases, service_demands, vm_serves
        )
        self._synced = False
        self._first_offset: int | None = None
        self._unsynced_since_s = 0.0
        self._buffered: list[_BufferedEntry] = []
        self._through_offset = -1
        self._snapshot_at_s: float | None = None

    @property
    def synced(self) -> bool:
        """Return whether the state reflects the whole stream."""
        return self._synced

    def handle(self, event: ControlEvent, now_s: float) -> None:
        """Handle a response or offers from an upstream or the cloud."""
        match event:
            case OrderAnswered(order_id, accepted):
                self.orders.on_answered(order_id, accepted, now_s)
            case OrderFailed(order_id):
                self.orders.on_failed(order_id, now_s)
            case StartAnswered(token, response):
                self.buyer.on_started(token, response, now_s)
            case StopAnswered(token, response):
                self.buyer.on_stopped(token, response, now_s)
            case OffersRead(offers):
                self.buyer.on_offers(offers)

    def on_log_read(self, event: LogRead, now_s: float) -> None:
        """Apply records of the control stream in order."""
        if self._first_offset is None:
            self._first_offset = event.first_offset
            self._synced = event.first_offset == 0
            self._unsynced_since_s = now_s
        elif event.first_offset > self._through_offset + 1:
            # Records expired before this VM read them, for example during a long pause.
            self._first_offset = event.first_offset
            self._synced = False
            self._buffered.clear()
            self._unsynced_since_s = now_s
        for record in event.records:
            if self._log_appender.on_record(CONTROL_STREAM, record, now_s):
                self._on_record(record, now_s)
            self._through_offset = record.offset

    def on_tick(self, now_s: float) -> None:
        """Renew leases, send orders, buy and release VMs, and write due snapshots."""
        if not self._synced:
            self._reset_if_lost(now_s)
            return
        for client in self._lease_clients.values():
            client.on_tick(now_s)
        if self._context.stopping:
            self._release_leases(now_s)
            return
        self.orders.on_tick(now_s)
        self.buyer.on_tick(now_s)
        self._write_due_snapshot(now_s)

    def _reset_if_lost(self, now_s: float) -> None:
        """Append an empty snapshot, which resets all state, if every earlier one has expired.

        This happens only after a whole retention period without a writer. VMs bought before it
        must then be released manually. Without the reset there would be no leases from then on.
        """
        if self._first_offset is None:
            return
        wait_s = SNAPSHOT_LATE_FACTOR * self._context.settings.control_snapshot_s
        if now_s - self._unsynced_since_s > wait_s:
            self._unsynced_since_s = now_s
            self._log_appender.add(
                CONTROL_STREAM, ControlSnapshot(self._through_offset, (), ()), now_s
            )

    def _release_leases(self, now_s: float) -> None:
        if self.orders.idle:
            for client in self._lease_clients.values():
                client.send_release(now_s)

    def _write_due_snapshot(self, now_s: float) -> None:
        """Write a snapshot every period; another VM writes it if the lease holder is late."""
        period_s = self._context.settings.control_snapshot_s
        if self._snapshot_at_s is None:
            self._snapshot_at_s = now_s
        age_s = now_s - self._snapshot_at_s
        late_s = period_s * (SNAPSHOT_LATE_FACTOR + self._context.rng.random())
        if age_s > late_s or (age_s > period_s and self.spending_lease.is_held(now_s)):
            self._snapshot_at_s = now_s
            self._write_snapshot(now_s)

    def _write_snapshot(self, now_s: float) -> None:
        leases = tuple(
            LeaseState(
                lease.name, lease.holder, lease.incarnation, lease.number, lease.expires_at_s
            )
            for lease in self.leases.latest()
        )
        snapshot = ControlSnapshot(self._through_offset, leases, self.purchases.open())
        self._log_appender.add(CONTROL_STREAM, snapshot, now_s)

    def _on_record(self, record: Record, now_s: float) -> None:
        for entry in record.entries:
            if isinstance(entry, ControlSnapshot):
                self._snapshot_at_s = now_s
            if self._synced:
                self._apply(entry, record.offset, record.time_s, now_s)
            elif isinstance(entry, ControlSnapshot):
                self._restore(entry, now_s)
            else:
                self._buffered.append(_BufferedEntry(entry, record.offset, record.time_s))

    def _restore(self, snapshot: ControlSnapshot, now_s: float) -> None:
        """Restore a snapshot and apply the buffered entries that follow its state."""
        assert self._first_offset is not None, "snapshot restored before the first log read"
        if self._first_offset > snapshot.through_offset + 1:
            # Records in between were missed; the next snapshot covers them.
            return
        self.leases.restore(
            tuple(
                Lease(item.name, item.holder, item.incarnation, item.number, item.expires_at_s)
                for item in snapshot.leases
            )
        )
        self.purchases.restore(snapshot.purchases)
        self._synced = True
        buffered, self._buffered = self._buffered, []
        for item in buffered:
            if item.offset > snapshot.through_offset:
                self._apply(item.entry, item.offset, item.time_s, now_s)

    def _apply(self, entry: Entry, offset: int, time_s: float, now_s: float) -> None:
        match entry:
            case LeaseTaken():
                accepted = self.leases.apply(entry, offset, time_s)
                client = self._lease_clients.get(entry.name)
                if client is not None:
                    client.on_read(entry, accepted, now_s)
            case LeaseReleased():
                self.leases.release(entry, time_s)
            case PurchaseIntended():
                self.buyer.on_intended(entry, self.purchases.apply(entry))
            case PurchaseEnded():
                self.purchases.end(entry)
            case _:
                pass
