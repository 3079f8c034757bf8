"""Carries out the plan of spending: writes purchases, makes those accepted, gives back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.control.leases import LeaseHolder
from coriandershelf_core.internal.control.purchases import Purchases
from coriandershelf_core.internal.control.spending import (
    Buy,
    FleetVm,
    Need,
    Offer,
    plan_give_back,
    plan_purchase,
)
from coriandershelf_core.internal.vocabulary.actions import StartVm, StopVm
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import CloudAnswer
from coriandershelf_core.internal.vocabulary.inventory import Purchase
from coriandershelf_core.internal.vocabulary.reasons import Counter, RetryReason
from coriandershelf_core.internal.vocabulary.records import (
    CONTROL_STREAM,
    PurchaseEnded,
    PurchaseIntended,
)


@dataclass(slots=True)
class _Progress:
    """How far this holder is with one open purchase.

    :param ended: its end is written, but not read back yet.
    """

    started: bool = False
    started_at_s: float = 0.0
    stopping: bool = False
    ended: bool = False
    send_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceNeed:
    """What a service needs, and the VMs it has beside those that were bought."""

    service: str
    need: Need
    inventory_fleet: tuple[FleetVm, ...]


Needs = Callable[[float], list[ServiceNeed]]
VmKnown = Callable[[str], bool | None]


class Buyer:
    """Acts while this VM holds the spending lease.

    :param needs: the needs of every service that is scaled.
    :param vm_serves: whether a bought VM serves; ``None`` once it is gone.
    """

    def __init__(
        self,
        context: Context,
        ledger: Ledger,
        holder: LeaseHolder,
        purchases: Purchases,
        needs: Needs,
        vm_serves: VmKnown,
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._holder = holder
        self._purchases = purchases
        self._needs = needs
        self._vm_serves = vm_serves
        self._offers: tuple[Offer, ...] = ()
        self._passed_over: dict[tuple[str, str, Purchase], float] = {}
        self._progress: dict[str, _Progress] = {}
        self._intended: set[str] = set()
        self._decide_at_s = 0.0
        self._sequence = 0

    def on_offers(self, offers: tuple[Offer, ...]) -> None:
        """Take what the cloud sells now."""
        self._offers = offers

    def on_intended(self, intended: PurchaseIntended, accepted: bool) -> None:
        """Take the log's verdict on a purchase."""
        mine = intended.token in self._intended
        self._intended.discard(intended.token)
        if mine and not accepted:
            self._context.count(Counter.PURCHASES_OVER_BUDGET)

    def on_started(self, token: str, answer: CloudAnswer, now_s: float) -> None:
        """Take the cloud's answer to a start."""
        progress = self._progress.get(token)
        intended = self._find(token)
        if progress is None or intended is None or progress.started:
            return
        if answer is CloudAnswer.TAKEN:
            progress.started = True
            progress.started_at_s = now_s
            self._context.count(Counter.PURCHASES_MADE)
        elif answer is CloudAnswer.REFUSED:
            self._context.count(Counter.PURCHASES_REFUSED)
            key = (intended.zone, intended.machine_class, Purchase(intended.purchase))
            self._passed_over[key] = now_s + self._context.settings.start_refused_wait_s
            self._end(token, "refused", now_s)
        else:
            self._context.count(RetryReason.START_UNANSWERED)

    def on_stopped(self, token: str, answer: CloudAnswer, now_s: float) -> None:
        """Take the cloud's answer to a stop; only then the purchase costs nothing."""
        if answer is CloudAnswer.TAKEN:
            self._end(token, "given-back", now_s)
        else:
            self._context.count(RetryReason.START_UNANSWERED)

    def on_tick(self, now_s: float) -> None:
        """Send what is due and decide anew every period."""
        if not self._holder.holds(now_s):
            self._progress.clear()
            return
        tokens = {intended.token for intended in self._purchases.open()}
        self._progress = {
            token: progress for token, progress in self._progress.items() if token in tokens
        }
        for intended in self._purchases.open():
            self._carry_on(intended, now_s)
        if now_s >= self._decide_at_s and not self._intended:
            self._decide_at_s = now_s + self._context.settings.spending_period_s
            for service_need in self._needs(now_s):
                self._decide(service_need, now_s)

    def _find(self, token: str) -> PurchaseIntended | None:
        return next((item for item in self._purchases.open() if item.token == token), None)

    def _carry_on(self, intended: PurchaseIntended, now_s: float) -> None:
        """Send a start or stop that is due; a start of a former holder is sent again."""
        progress = self._progress.setdefault(intended.token, _Progress())
        if progress.ended:
            return
        serves = self._vm_serves(intended.token)
        if serves:
            # Also where a former holder started it: no start is sent for a VM that serves.
            progress.started = True
        if serves is None:
            self._end(intended.token, "reclaimed", now_s)
            return
        limit_s = self._context.settings.start_limit_s
        if progress.started and not serves and now_s - progress.started_at_s > limit_s:
            progress.stopping = True
        due = not progress.started or progress.stopping
        if not due or now_s < progress.send_at_s:
            return
        progress.send_at_s = now_s + self._context.settings.start_resend_s
        assert self._holder.holds(now_s), "a purchase under a lapsed lease"
        if progress.stopping:
            self._context.emit(StopVm(intended.token, self._holder.valid_until_s))
            return
        self._context.emit(
            StartVm(
                intended.token,
                intended.service,
                intended.zone,
                intended.machine_class,
                intended.purchase,
                self._holder.valid_until_s,
            )
        )

    def _decide(self, service_need: ServiceNeed, now_s: float) -> None:
        fleet = [*service_need.inventory_fleet, *self._bought(service_need.service)]
        offers = [offer for offer in self._offers if self._is_offered(offer, now_s)]
        spread = self._context.enabled("zone-spread")
        cheap = self._context.enabled("reclaimable-first")
        first = Purchase.RECLAIMABLE if cheap else Purchase.ON_DEMAND
        for _ in range(int(self._context.settings.purchases_max_count)):
            buy = plan_purchase(service_need.need, fleet, offers, spread, first)
            if buy is None:
                break
            self._intend(service_need.service, buy, now_s)
            offer = buy.offer
            fleet.append(
                FleetVm("", offer.zone, offer.purchase, offer.price_per_hour, offer.slots, False)
            )
        give_back = plan_give_back(service_need.need, fleet)
        if give_back is not None:
            self._progress[give_back.token].stopping = True
            self._context.log("giving back", token=give_back.token, reason=give_back.reason)

    def _is_offered(self, offer: Offer, now_s: float) -> bool:
        key = (offer.zone, offer.machine_class, offer.purchase)
        return self._passed_over.get(key, 0.0) <= now_s

    def _bought(self, service: str) -> list[FleetVm]:
        fleet = []
        for item in self._purchases.open():
            progress = self._progress.get(item.token)
            leaving = progress is not None and (progress.stopping or progress.ended)
            if item.service != service or leaving:
                continue
            ready = bool(self._vm_serves(item.token))
            purchase = Purchase(item.purchase)
            fleet.append(
                FleetVm(item.token, item.zone, purchase, item.price_per_hour, item.slots, ready)
            )
        return fleet

    def _intend(self, service: str, buy: Buy, now_s: float) -> None:
        inventory = self._context.inventory
        assert inventory is not None, "purchases need a configuration"
        self._sequence += 1
        identity = self._context.identity
        token = f"{service}-{identity.vm_id}-{identity.incarnation}-{self._sequence}"
        offer = buy.offer
        self._intended.add(token)
        self._context.log("purchase intended", token=token, reason=buy.reason, zone=offer.zone)
        self._ledger.add(
            CONTROL_STREAM,
            PurchaseIntended(
                token=token,
                service=service,
                zone=offer.zone,
                machine_class=offer.machine_class,
                purchase=offer.purchase.value,
                price_per_hour=offer.price_per_hour,
                slots=offer.slots,
                number=self._holder.number,
                budget_per_hour=inventory.rules.budget_per_hour,
                reason=buy.reason,
                at_s=now_s,
            ),
            now_s,
        )

    def _end(self, token: str, reason: str, now_s: float) -> None:
        progress = self._progress.setdefault(token, _Progress())
        if progress.ended:
            return
        progress.ended = True
        self._context.count(Counter.PURCHASES_ENDED)
        self._context.log("purchase ended", token=token, reason=reason)
        self._ledger.add(CONTROL_STREAM, PurchaseEnded(token, reason), now_s)
