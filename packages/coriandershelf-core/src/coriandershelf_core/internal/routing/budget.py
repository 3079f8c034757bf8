"""Retry budgets: retries as a share of successes, for each customer and each upstream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.settings import CoreSettings

KEYS_MAX_COUNT = 1000


@dataclass(frozen=True, slots=True)
class BudgetKey:
    """Whose budget it is: exactly one of the two is set."""

    customer: str = ""
    replica_id: str = ""


class RetryBudget:
    """Token buckets that successes fill and retries empty.

    A share of successes, and not a rate, bounds retries: under overload successes fall, and the
    budget with them (as in Finagle's RetryBudget). While works wait for a replica, successes fill
    nothing.
    """

    def __init__(self, settings: CoreSettings) -> None:
        self._share = settings.retry_share
        self._reserve = float(settings.retry_reserve_count)
        self._tokens: OrderedDict[BudgetKey, float] = OrderedDict()

    def on_success(self, customer: str, replica_id: str, overloaded: bool) -> None:
        """Earn part of a retry for a customer and an upstream."""
        if overloaded:
            return
        for key in (BudgetKey(customer=customer), BudgetKey(replica_id=replica_id)):
            self._tokens[key] = min(self._reserve, self._left(key) + self._share)
            self._tokens.move_to_end(key)
        while len(self._tokens) > KEYS_MAX_COUNT:
            self._tokens.popitem(last=False)

    def spend(self, customer: str, replica_id: str) -> bool:
        """Take one retry from both budgets; false where either has none left."""
        keys = (BudgetKey(customer=customer), BudgetKey(replica_id=replica_id))
        if any(self._left(key) < 1.0 for key in keys):
            return False
        for key in keys:
            self._tokens[key] = self._left(key) - 1.0
        return True

    def _left(self, key: BudgetKey) -> float:
        return self._tokens.get(key, self._reserve)
