"""Arrival rates per service, and the share of work that is served late."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.digest import Digest, ServiceRates

WINDOW_S = 5.0
# If more than ``RAMP_UP_SHARE`` of the window's tokens arrived in its last ``RAMP_UP_WINDOW_S``,
# load has just started. The rate is then taken over these seconds alone, since the rate over the
# whole window would reach the load only seconds later.
RAMP_UP_WINDOW_S = 1.5
RAMP_UP_SHARE = 0.7

NO_ARRIVALS = ServiceRates(0.0, 0.0)


class ArrivalRates(Struct):
    """This VM's recent arrivals and the rates from other VMs' digests."""

    _arrivals: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    _late: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    _others: dict[str, dict[str, ServiceRates]] = field(default_factory=dict)

    def add_arrival(self, service: str, tokens_count: int, now_s: float) -> None:
        """Add an admitted request with its prompt tokens."""
        self._arrivals.setdefault(service, deque()).append((now_s, tokens_count))

    def add_late(self, service: str, tokens_count: int, now_s: float) -> None:
        """Add a request that has just missed its objective, or that was refused."""
        self._late.setdefault(service, deque()).append((now_s, tokens_count))

    def on_digest(self, digest: Digest) -> None:
        """Store the rates from another VM's digest."""
        self._others[digest.vm_id] = digest.work

    def own_rates(self, now_s: float, running: Mapping[str, int]) -> dict[str, ServiceRates]:
        """Return this VM's rates by service.

        :param running: this VM's requests in flight, by service.
        """
        return {
            service: self._own_rates(service, now_s, running.get(service, 0))
            for service in self._arrivals
        }

    def total(
        self, service: str, live: Iterable[str], now_s: float, running: Mapping[str, int]
    ) -> ServiceRates:
        """Return the rates of a service over this VM and its live peers.

        :param live: ids of the live peers.
        :param running: this VM's requests in flight, by service.
        """
        rates = [self.own_rates(now_s, running).get(service, NO_ARRIVALS)]
        rates += [self._others.get(vm_id, {}).get(service, NO_ARRIVALS) for vm_id in live]
        return ServiceRates(
            sum(item.requests_per_s for item in rates),
            sum(item.tokens_per_s for item in rates),
            sum(item.late_tokens_per_s for item in rates),
            sum(item.running_count for item in rates),
        )

    def _own_rates(self, service: str, now_s: float, running_count: int) -> ServiceRates:
        arrivals = _drop_expired(self._arrivals[service], now_s)
        tokens = _sum(arrivals)
        recent = _sum(item for item in arrivals if item[0] > now_s - RAMP_UP_WINDOW_S)
        ramping_up = recent > RAMP_UP_SHARE * tokens
        rate = recent / RAMP_UP_WINDOW_S if ramping_up else tokens / WINDOW_S
        late = _sum(_drop_expired(self._late.get(service, deque()), now_s))
        # Late work arrived some time earlier, so it is scaled as a share of the current rate.
        late_share = min(1.0, late / tokens) if tokens else 0.0
        return ServiceRates(
            len(arrivals) / WINDOW_S,
            float(round(rate)),
            float(round(rate * late_share)),
            running_count,
        )


def _drop_expired(items: deque[tuple[float, int]], now_s: float) -> deque[tuple[float, int]]:
    while items and items[0][0] <= now_s - WINDOW_S:
        items.popleft()
    return items


def _sum(items: Iterable[tuple[float, int]]) -> int:
    return sum(tokens_count for _, tokens_count in items)
