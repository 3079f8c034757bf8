"""Shares capacity between customers by max-min fairness of demand while it is short.

Each customer's share at this VM is weighted by the part of its demand that arrives here, so that
all VMs together give customers equal shares, wherever their requests arrive. Demand at the other
VMs is known from their digests; a VM that receives none shares by its own demand.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Mapping

from msgspec import Struct, field

from coriandershelf_core.internal.drain_rate import DecayingSum

# Unused shares are lent at once and are back with their customers within this time.
MEMORY_S = 1.5
# Classes of usage ÷ share, the first to be served before the others. Customers that ask for more
# than their shares are about the second bound, so they neither go before those that ask for less
# nor stay far from each other.
CLASS_BOUNDS = (0.85, 1.0, 1.15, 1.5)
FLOWS_MAX_COUNT = 4096


class _Flow(Struct):
    """Recent work of one customer at one service, in tokens.

    :param demand: of the requests that arrived.
    :param usage: of the requests that were sent.
    """

    demand: DecayingSum = field(default_factory=lambda: DecayingSum(MEMORY_S))
    usage: DecayingSum = field(default_factory=lambda: DecayingSum(MEMORY_S))


class CustomerShares(Struct):
    """Recent demand and usage of all customers at this VM, by service."""

    _flows: dict[tuple[str, str], _Flow] = field(default_factory=dict)

    def on_request(self, service: str, customer: str, tokens: float, now_s: float) -> None:
        """Record the work that a customer asks for."""
        self._flow(service, customer).demand.add(tokens, now_s)

    def on_sent(self, service: str, customer: str, tokens: float, now_s: float) -> None:
        """Record the work of a request that is sent to a replica."""
        self._flow(service, customer).usage.add(tokens, now_s)

    def customers(self, service: str) -> list[str]:
        """Return the customers of a service."""
        return [customer for name, customer in self._flows if name == service]

    def classes(self, service: str, weights: Mapping[str, float], now_s: float) -> dict[str, int]:
        """Return the class of each customer by its usage of a service ÷ its share, 0 first.

        :param weights: part of each customer's demand that arrives at this VM; 1 if unknown.
        """
        demands: dict[str, float] = {}
        usages: dict[str, float] = {}
        for (name, customer), flow in self._flows.items():
            if name == service:
                usages[customer] = flow.usage.value(now_s)
                # What was sent has been asked for, perhaps longer ago.
                demands[customer] = max(flow.demand.value(now_s), usages[customer])
        level = water_level(demands, weights, sum(usages.values()))
        return {
            customer: bisect.bisect_left(
                CLASS_BOUNDS, usage / max(1e-9, level * weights.get(customer, 1.0))
            )
            for customer, usage in usages.items()
        }

    def _flow(self, service: str, customer: str) -> _Flow:
        flow = self._flows.get((service, customer))
        if flow is None:
            if len(self._flows) >= FLOWS_MAX_COUNT:
                self._flows.clear()
            flow = self._flows[service, customer] = _Flow()
        return flow


def water_level(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> float:
    """Return the share per weight at which the customers' shares add up to the capacity.

    Each customer gets its demand, but at most the level times its weight; infinite if the capacity
    is enough for all demands.
    """
    left = capacity
    weight_left = sum(weights.get(name, 1.0) for name in demands)
    by_need = sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
    for name in by_need:
        weight = weights.get(name, 1.0)
        if demands[name] * weight_left > left * weight:
            return left / weight_left
        left -= demands[name]
        weight_left -= weight
    return math.inf
