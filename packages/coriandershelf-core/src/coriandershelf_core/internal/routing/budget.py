"""Retry budgets per customer and per upstream, as a share of successful requests."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.settings import CoreSettings

KEYS_MAX_COUNT = 1000


@dataclass(frozen=True, slots=True)
class BudgetKey:
    """The owner of a budget: exactly one of the two fields is set."""

    customer: str = ""
    replica_id: str = ""


class RetryBudget:
    """Token buckets that are filled by successes and drained by retries.

    Retries are bounded by a share of successes, not by a rate: under overload successes become
    fewer, and the budget shrinks with them (as in Finagle's RetryBudget). While work items wait
    for a replica, successes do not fill the buckets.
    """

    def __init__(self, settings: CoreSettings) -> None:
        self._share = settings.retry_share
        self._reserve = float(settings.retry_reserve_count)
        self._tokens: OrderedDict[BudgetKey, float] = OrderedDict()

    def on_success(self, customer: str, replica_id: str, overloaded: bool) -> None:
        """Add part of a retry to the budgets of a customer and an upstream."""
        if overloaded:
            return
        for key in (BudgetKey(customer=customer), BudgetKey(replica_id=replica_id)):
            self._tokens[key] = min(self._reserve, self._remaining(key) + self._share)
            self._tokens.move_to_end(key)
        while len(self._tokens) > KEYS_MAX_COUNT:
            self._tokens.popitem(last=False)

    def spend(self, customer: str, replica_id: str) -> bool:
        """Take one retry from both budgets; false if either is exhausted."""
        keys = (BudgetKey(customer=customer), BudgetKey(replica_id=replica_id))
        if any(self._remaining(key) < 1.0 for key in keys):
            return False
        for key in keys:
            self._tokens[key] = self._remaining(key) - 1.0
        return True

    def _remaining(self, key: BudgetKey) -> float:
        return self._tokens.get(key, self._reserve)
