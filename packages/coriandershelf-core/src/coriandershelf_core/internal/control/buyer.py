"""Executes purchase plans: logs intended purchases, starts accepted ones, releases VMs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.control.leases import LeaseClient
from coriandershelf_core.internal.control.purchase_planning import (
    FleetVm,
    Offer,
    PurchaseDecision,
    SlotDemand,
    plan_purchase,
    plan_release,
)
from coriandershelf_core.internal.control.purchases import Purchases
from coriandershelf_core.internal.vocabulary.actions import StartVm, StopVm
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import CloudResponse
from coriandershelf_core.internal.vocabulary.inventory import PurchaseModel
from coriandershelf_core.internal.vocabulary.reasons import Counter, RetryReason
from coriandershelf_core.internal.vocabulary.records import (
    CONTROL_STREAM,
    PurchaseEnded,
    PurchaseIntended,
)


@dataclass(slots=True)
class _PurchaseProgress:
    """Progress of this lease holder with one open purchase.

    :param ended: whether its end was written to the log, even if not read back yet.
    """

    started: bool = False
    started_at_s: float = 0.0
    stopping: bool = False
    ended: bool = False
    send_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand of a service, and the VMs it has in addition to bought ones."""

    service: str
    demand: SlotDemand
    inventory_fleet: tuple[FleetVm, ...]


ServiceDemands = Callable[[float], list[ServiceDemand]]
VmServes = Callable[[str], bool | None]


class Buyer:
    """Buys and releases VMs while this VM holds the spending lease.

    :param service_demands: returns the demand of every scaled service.
    :param vm_serves: returns whether a bought VM is live; ``None`` once it is gone.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        lease: LeaseClient,
        purchases: Purchases,
        service_demands: ServiceDemands,
        vm_serves: VmServes,
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self._lease = lease
        self._purchases = purchases
        self._service_demands = service_demands
        self._vm_serves = vm_serves
        self._offers: tuple[Offer, ...] = ()
        self._refused_until_s: dict[tuple[str, str, PurchaseModel], float] = {}
        self._progress: dict[str, _PurchaseProgress] = {}
        self._pending_tokens: set[str] = set()
        self._plan_at_s = 0.0
        self._sequence = 0

    def on_offers(self, offers: tuple[Offer, ...]) -> None:
        """Store the current offers of the cloud."""
        self._offers = offers

    def on_intended(self, intended: PurchaseIntended, accepted: bool) -> None:
        """Handle an intended purchase read from the log and whether it was accepted."""
        is_own = intended.token in self._pending_tokens
        self._pending_tokens.discard(intended.token)
        if is_own and not accepted:
            self._context.count(Counter.PURCHASES_OVER_BUDGET)

    def on_started(self, token: str, response: CloudResponse, now_s: float) -> None:
        """Handle the cloud's response to a start."""
        progress = self._progress.get(token)
        intended = self._find(token)
        if progress is None or intended is None or progress.started:
            return
        if response is CloudResponse.ACCEPTED:
            progress.started = True
            progress.started_at_s = now_s
            self._context.count(Counter.PURCHASES_MADE)
        elif response is CloudResponse.REFUSED:
            self._context.count(Counter.PURCHASES_REFUSED)
            key = (intended.zone, intended.machine_class, PurchaseModel(intended.purchase))
            self._refused_until_s[key] = now_s + self._context.settings.start_refused_wait_s
            self._end_purchase(token, "refused", now_s)
        else:
            self._context.count(RetryReason.START_UNANSWERED)

    def on_stopped(self, token: str, response: CloudResponse, now_s: float) -> None:
        """Handle the cloud's response to a stop; the VM costs money until a stop is accepted."""
        if response is CloudResponse.ACCEPTED:
            self._end_purchase(token, "given-back", now_s)
        else:
            self._context.count(RetryReason.START_UNANSWERED)

    def on_tick(self, now_s: float) -> None:
        """Send due starts and stops, and plan purchases once per period."""
        if not self._lease.is_held(now_s):
            self._progress.clear()
            return
        tokens = {intended.token for intended in self._purchases.open()}
        self._progress = {
            token: progress for token, progress in self._progress.items() if token in tokens
        }
        for intended in self._purchases.open():
            self._advance(intended, now_s)
        if now_s >= self._plan_at_s and not self._pending_tokens:
            self._plan_at_s = now_s + self._context.settings.spending_period_s
            for service_demand in self._service_demands(now_s):
                self._plan(service_demand, now_s)

    def _find(self, token: str) -> PurchaseIntended | None:
        return next((item for item in self._purchases.open() if item.token == token), None)

    def _advance(self, intended: PurchaseIntended, now_s: float) -> None:
        """Send a due start or stop; starts of a former lease holder are sent again."""
        progress = self._progress.setdefault(intended.token, _PurchaseProgress())
        if progress.ended:
            return
        serves = self._vm_serves(intended.token)
        if serves:
            # A former lease holder may have started it; a live VM is not started again.
            progress.started = True
        if serves is None:
            self._end_purchase(intended.token, "reclaimed", now_s)
            return
        limit_s = self._context.settings.start_limit_s
        if progress.started and not serves and now_s - progress.started_at_s > limit_s:
            progress.stopping = True
        due = not progress.started or progress.stopping
        if not due or now_s < progress.send_at_s:
            return
        progress.send_at_s = now_s + self._context.settings.start_resend_s
        assert self._lease.is_held(now_s), "purchase attempted under an expired lease"
        if progress.stopping:
            self._context.emit(StopVm(intended.token, self._lease.valid_until_s))
            return
        self._context.emit(
            StartVm(
                intended.token,
                intended.service,
                intended.zone,
                intended.machine_class,
                intended.purchase,
                self._lease.valid_until_s,
            )
        )

    def _plan(self, service_demand: ServiceDemand, now_s: float) -> None:
        fleet = [*service_demand.inventory_fleet, *self._bought_fleet(service_demand.service)]
        offers = [offer for offer in self._offers if self._is_available(offer, now_s)]
        spread_zones = self._context.is_enabled("zone-spread")
        prefer_reclaimable = self._context.is_enabled("reclaimable-first")
        preferred = PurchaseModel.RECLAIMABLE if prefer_reclaimable else PurchaseModel.ON_DEMAND
        for _ in range(int(self._context.settings.purchases_max_count)):
            decision = plan_purchase(service_demand.demand, fleet, offers, spread_zones, preferred)
            if decision is None:
                break
            self._write_intent(service_demand.service, decision, now_s)
            offer = decision.offer
            fleet.append(
                FleetVm("", offer.zone, offer.purchase, offer.price_per_hour, offer.slots, False)
            )
        release = plan_release(service_demand.demand, fleet)
        if release is not None:
            self._progress[release.token].stopping = True
            self._context.log("giving back", token=release.token, reason=release.reason)

    def _is_available(self, offer: Offer, now_s: float) -> bool:
        key = (offer.zone, offer.machine_class, offer.purchase)
        return self._refused_until_s.get(key, 0.0) <= now_s

    def _bought_fleet(self, service: str) -> list[FleetVm]:
        fleet = []
        for item in self._purchases.open():
            progress = self._progress.get(item.token)
            leaving = progress is not None and (progress.stopping or progress.ended)
            if item.service != service or leaving:
                continue
            ready = bool(self._vm_serves(item.token))
            purchase = PurchaseModel(item.purchase)
            fleet.append(
                FleetVm(item.token, item.zone, purchase, item.price_per_hour, item.slots, ready)
            )
        return fleet

    def _write_intent(self, service: str, decision: PurchaseDecision, now_s: float) -> None:
        inventory = self._context.inventory
        assert inventory is not None, "cannot buy VMs without a configuration"
        self._sequence += 1
        identity = self._context.identity
        token = f"{service}-{identity.vm_id}-{identity.incarnation}-{self._sequence}"
        offer = decision.offer
        self._pending_tokens.add(token)
        self._context.log("purchase intended", token=token, reason=decision.reason, zone=offer.zone)
        self._log_appender.add(
            CONTROL_STREAM,
            PurchaseIntended(
                token=token,
                service=service,
                zone=offer.zone,
                machine_class=offer.machine_class,
                purchase=offer.purchase.value,
                price_per_hour=offer.price_per_hour,
                slots=offer.slots,
                number=self._lease.fencing_number,
                budget_per_hour=inventory.rules.budget_per_hour,
                reason=decision.reason,
                at_s=now_s,
            ),
            now_s,
        )

    def _end_purchase(self, token: str, reason: str, now_s: float) -> None:
        progress = self._progress.setdefault(token, _PurchaseProgress())
        if progress.ended:
            return
        progress.ended = True
        self._context.count(Counter.PURCHASES_ENDED)
        self._context.log("purchase ended", token=token, reason=reason)
        self._log_appender.add(CONTROL_STREAM, PurchaseEnded(token, reason), now_s)
