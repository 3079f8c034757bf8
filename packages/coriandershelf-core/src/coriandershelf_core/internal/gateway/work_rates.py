"""How much work of each service arrives, and how much of it is served late."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.digest import Digest, Work

WINDOW_S = 5.0
# Where more than this part of the window's work arrived in its last seconds, load has just begun,
# and the long window would show it seconds later.
STEP_WINDOW_S = 1.5
BEGUN_SHARE = 0.7

NOTHING = Work(0.0, 0.0)


@dataclass(slots=True)
class WorkRates:
    """This VM's arrivals of the last seconds, and what the others told of theirs."""

    _arrivals: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    _late: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    _others: dict[str, dict[str, Work]] = field(default_factory=dict)

    def note_arrival(self, service: str, tokens_count: int, now_s: float) -> None:
        """Note a request that was let in, with its prompt tokens."""
        self._arrivals.setdefault(service, deque()).append((now_s, tokens_count))

    def note_late(self, service: str, tokens_count: int, now_s: float) -> None:
        """Note a request that has just missed its objective, or found no room."""
        self._late.setdefault(service, deque()).append((now_s, tokens_count))

    def on_digest(self, digest: Digest) -> None:
        """Take what another VM told of its own work."""
        self._others[digest.vm_id] = digest.work

    def own(self, now_s: float, running: Mapping[str, int]) -> dict[str, Work]:
        """Return this VM's work by service.

        :param running: its requests in flight, by service.
        """
        return {
            service: self._own_of(service, now_s, running.get(service, 0))
            for service in self._arrivals
        }

    def total(
        self, service: str, live: Iterable[str], now_s: float, running: Mapping[str, int]
    ) -> Work:
        """Return the work of a service at this VM and at others.

        :param live: the ids of the other VMs that were heard of lately.
        :param running: this VM's requests in flight, by service.
        """
        works = [self.own(now_s, running).get(service, NOTHING)]
        works += [self._others.get(vm_id, {}).get(service, NOTHING) for vm_id in live]
        return Work(
            sum(work.requests_per_s for work in works),
            sum(work.tokens_per_s for work in works),
            sum(work.late_tokens_per_s for work in works),
            sum(work.running_count for work in works),
        )

    def _own_of(self, service: str, now_s: float, running_count: int) -> Work:
        arrivals = _within(self._arrivals[service], now_s)
        tokens = _sum(arrivals)
        recent = _sum(item for item in arrivals if item[0] > now_s - STEP_WINDOW_S)
        begun = recent > BEGUN_SHARE * tokens
        rate = recent / STEP_WINDOW_S if begun else tokens / WINDOW_S
        late = _sum(_within(self._late.get(service, deque()), now_s))
        # What is late arrived some time before; as a part it fits either rate.
        late_share = min(1.0, late / tokens) if tokens else 0.0
        return Work(
            len(arrivals) / WINDOW_S,
            float(round(rate)),
            float(round(rate * late_share)),
            running_count,
        )


def _within(items: deque[tuple[float, int]], now_s: float) -> deque[tuple[float, int]]:
    while items and items[0][0] <= now_s - WINDOW_S:
        items.popleft()
    return items


def _sum(items: Iterable[tuple[float, int]]) -> int:
    return sum(tokens_count for _, tokens_count in items)
