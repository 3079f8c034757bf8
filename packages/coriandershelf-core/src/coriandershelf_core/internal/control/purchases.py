"""Purchases of VMs, derived from the log: accepting them in log order enforces the budget.

A purchase is logged first and made only after it was read back as accepted. Therefore two VMs that
both consider themselves the lease holder cannot spend the budget twice.
"""

from __future__ import annotations

from coriandershelf_core.internal.control.leases import LeaseTable
from coriandershelf_core.internal.vocabulary.records import PurchaseEnded, PurchaseIntended

SPENDING_LEASE = "spending"


class Purchases:
    """Open purchases by token."""

    def __init__(
        self, leases: LeaseTable, check_fencing: bool = True, check_budget: bool = True
    ) -> None:
        self._leases = leases
        self._check_fencing = check_fencing
        self._check_budget = check_budget
        self._open: dict[str, PurchaseIntended] = {}

    @property
    def committed_per_hour(self) -> float:
        """Return the total hourly price of the open purchases."""
        return sum(item.price_per_hour for item in self._open.values())

    def open(self) -> tuple[PurchaseIntended, ...]:
        """Return the open purchases, oldest first."""
        return tuple(self._open.values())

    def restore(self, purchases: tuple[PurchaseIntended, ...]) -> None:
        """Replace all purchases by those of a snapshot."""
        self._open = {item.token: item for item in purchases}

    def apply(self, intended: PurchaseIntended) -> bool:
        """Apply an intended purchase and return whether it may be made.

        The record itself contains the budget: the configuration stream is not ordered relative to
        this one, so readers could otherwise decide by different configuration versions.
        """
        lease = self._leases.get(SPENDING_LEASE)
        current = lease is not None and lease.number == intended.number
        if (self._check_fencing and not current) or intended.token in self._open:
            return False
        total_per_hour = self.committed_per_hour + intended.price_per_hour
        if self._check_budget and total_per_hour > intended.budget_per_hour:
            return False
        self._open[intended.token] = intended
        return True

    def end(self, ended: PurchaseEnded) -> None:
        """Apply the end of a purchase, whose VM was refused, released or reclaimed."""
        self._open.pop(ended.token, None)
