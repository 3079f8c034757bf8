"""The bounded queue of requests that wait at this VM until a replica has free capacity."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.request import ActiveRequest
from coriandershelf_core.internal.gateway.room_rate import Rank

# Requests beyond this number could be served in time only at hundreds of requests a second, more
# than the CPU time of a small VM allows.
WAITING_MAX_COUNT = 256
WAITING_MAX_BYTES = 8 << 20

# Requests that share the same replicas: a service, and the software version of resumed streams.
Lane = tuple[str, str | None]
Order = tuple[bool, Rank, bool, float, int]


class Waiting(Struct):
    """A request that waits.

    :param latest_start_s: when its answer can no longer be in time if it has not been sent.
    :param keep_until_s: when it is refused although it could still be answered late.
    :param is_returning: whether its caller came back after a refusal.
    :param expected_wait_s: estimate at its arrival.
    :param is_late: whether it can be answered late only.
    :param share_class: class of its customer's usage against its share, 0 first.
    """

    request: ActiveRequest
    latest_start_s: float
    keep_until_s: float
    is_returning: bool
    queued_at_s: float
    expected_wait_s: float
    sequence: int
    is_late: bool = False
    share_class: int = 0

    @property
    def lane(self) -> Lane:
        """Return which requests it shares replicas with."""
        return lane_of(self.request)

    @property
    def bytes_count(self) -> int:
        """Return the memory that its content takes."""
        arrival = self.request.arrival
        return arrival.body_bytes + arrival.header_bytes

    @property
    def rank(self) -> Rank:
        """Return what decides before its slack: share and rank of its customer, route's rank."""
        customer = self.request.customer
        rank = customer.rank if customer is not None and customer.rank is not None else 0
        return self.share_class, rank, self.request.route.rank

    @property
    def order(self) -> Order:
        """Return the sort key, the first to be sent before the others."""
        return (
            self.is_late, self.rank, not self.is_returning, self.latest_start_s, self.sequence,
        )  # fmt: skip


class WaitingRequests(Struct):
    """Waiting requests by lane, each lane in order.

    :param max_count: bound on all lanes together; 0 to let nothing wait.
    """

    max_count: int = WAITING_MAX_COUNT
    max_bytes: int = WAITING_MAX_BYTES
    bytes_count: int = 0
    _by_handle: dict[int, tuple[Waiting, Order]] = field(default_factory=dict)
    _lanes: dict[Lane, list[tuple[Order, Waiting]]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._by_handle)

    def __iter__(self) -> Iterator[Waiting]:
        return (item for item, _ in list(self._by_handle.values()))

    def get(self, handle: int) -> Waiting | None:
        """Return a waiting request by its handle."""
        known = self._by_handle.get(handle)
        return known[0] if known is not None else None

    def lanes(self) -> list[Lane]:
        """Return the lanes in which requests wait."""
        return list(self._lanes)

    def lane_count(self, lane: Lane) -> int:
        """Return how many requests wait in a lane."""
        return len(self._lanes.get(lane, ()))

    def service_count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return sum(len(items) for lane, items in self._lanes.items() if lane[0] == service)

    def in_order(self, lane: Lane) -> list[Waiting]:
        """Return the requests of a lane, the first to be sent first."""
        return [item for _, item in self._lanes.get(lane, ())]

    def ahead_count(self, service: str, order: Order) -> int:
        """Return how many requests for a service go before one of this order."""
        return sum(
            bisect.bisect_left(items, order, key=_order_of)
            for lane, items in self._lanes.items()
            if lane[0] == service
        )

    def precedes_all(self, lane: Lane, order: Order) -> bool:
        """Return whether an order goes before all waiting requests of a lane."""
        items = self._lanes.get(lane)
        return not items or order < items[0][0]

    def add(self, item: Waiting) -> list[Waiting]:
        """Add a request; return those that no longer fit, the least urgent first.

        The added request may be among them.
        """
        self._insert(item)
        displaced = []
        while self._by_handle and (
            len(self._by_handle) > self.max_count or self.bytes_count > self.max_bytes
        ):
            last = max((items[-1] for items in self._lanes.values()), key=_order_of)[1]
            self.remove(last.request.arrival.handle)
            displaced.append(last)
        return displaced

    def remove(self, handle: int) -> Waiting | None:
        """Remove a request; ``None`` if it does not wait."""
        known = self._by_handle.pop(handle, None)
        if known is None:
            return None
        item, order = known
        items = self._lanes[item.lane]
        del items[bisect.bisect_left(items, order, key=_order_of)]
        if not items:
            del self._lanes[item.lane]
        self.bytes_count -= item.bytes_count
        return item

    def reorder(self, item: Waiting) -> None:
        """Move a request to its place after a change of its order."""
        self.remove(item.request.arrival.handle)
        self._insert(item)

    def _insert(self, item: Waiting) -> None:
        order = item.order
        self._by_handle[item.request.arrival.handle] = (item, order)
        bisect.insort(self._lanes.setdefault(item.lane, []), (order, item), key=_order_of)
        self.bytes_count += item.bytes_count


def lane_of(request: ActiveRequest) -> Lane:
    """Return which requests a request shares replicas with."""
    return request.service, request.software_version


def _order_of(item: tuple[Order, Waiting]) -> Order:
    return item[0]
