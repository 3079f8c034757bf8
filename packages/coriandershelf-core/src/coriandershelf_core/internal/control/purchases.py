"""Purchases of VMs, folded from the log: the log's order keeps them within the budget.

A purchase is written before it is made and made only when read back as accepted. So two VMs that
both believe to hold the lease cannot spend the budget twice.
"""

from __future__ import annotations

from coriandershelf_core.internal.control.leases import Leases
from coriandershelf_core.internal.vocabulary.records import PurchaseEnded, PurchaseIntended

SPENDING_LEASE = "spending"


class Purchases:
    """Open purchases by token."""

    def __init__(self, leases: Leases, fenced: bool = True, within_budget: bool = True) -> None:
        self._leases = leases
        self._fenced = fenced
        self._within_budget = within_budget
        self._open: dict[str, PurchaseIntended] = {}

    @property
    def committed_per_hour(self) -> float:
        """Return the price an hour of every open purchase."""
        return sum(item.price_per_hour for item in self._open.values())

    def open(self) -> tuple[PurchaseIntended, ...]:
        """Return the open purchases, oldest first."""
        return tuple(self._open.values())

    def restore(self, purchases: tuple[PurchaseIntended, ...]) -> None:
        """Take over the purchases of a snapshot."""
        self._open = {item.token: item for item in purchases}

    def apply(self, intended: PurchaseIntended) -> bool:
        """Apply an intended purchase and return whether it may be made.

        The budget stands in the record itself: the configuration's stream has no common order with
        this one, so readers could judge by different versions.
        """
        lease = self._leases.get(SPENDING_LEASE)
        current = lease is not None and lease.number == intended.number
        if (self._fenced and not current) or intended.token in self._open:
            return False
        total_per_hour = self.committed_per_hour + intended.price_per_hour
        if self._within_budget and total_per_hour > intended.budget_per_hour:
            return False
        self._open[intended.token] = intended
        return True

    def end(self, ended: PurchaseEnded) -> None:
        """Apply the end of a purchase: refused, given back or reclaimed."""
        self._open.pop(ended.token, None)
