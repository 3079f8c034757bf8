"""The operator's configuration and the replicas, as the gateway sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Backend:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and within which bounds.

    :param objective_s: time to the answer, or to a stream's first event, that earns full credit.
    :param timeout_s: longest time that the operator wants a request kept waiting.
    :param attempts_max_count: replicas to which one request may be sent.
    :param rank: urgency, 0 first.
    :param gap_objective_s: longest pause between two events of a stream that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    objective_s: float
    timeout_s: float
    attempts_max_count: int
    rank: int
    backends: tuple[Backend, ...]
    public: bool = False
    resumable: bool = False
    gap_objective_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may begin to run again at another replica."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class ScaleLimits:
    """How many replicas of a service may be ordered in each zone, and what they cost.

    :param reclaimable_price: price of a reclaimable replica ÷ price of another one.
    :param zone_prices: price of a replica's second, by zone.
    """

    min_count: int
    max_count: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[str, float]


@dataclass(frozen=True, slots=True)
class Service:
    """One service: model engines if ``engine_slots_count`` is set, plain servers otherwise."""

    name: str
    connections_max_count: int
    health_path: str = ""
    engine_slots_count: int = 0
    scale: ScaleLimits | None = None

    @property
    def is_engine(self) -> bool:
        """Return whether the service's replicas are model engines."""
        return self.engine_slots_count > 0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, its keys and its usage cap.

    :param rank: urgency, 0 first; ``None`` where only the route's counts.
    :param rate_per_s: usage allowed a second; 0 means no cap.
    :param by_tokens: whether usage is counted in tokens or in requests.
    :param plain_tokens: tokens of a request that states none.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    plain_tokens: int = 1


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[Customer, ...]
    header_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0
    customer_of_key: dict[str, Customer] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        for customer in self.customers:
            for key in customer.keys:
                self.customer_of_key[key] = customer


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica as it registered itself.

    :param started_at_ms: Unix time of its start; an id that starts again has another one.
    :param leaves_in_s: time that is left to it, where it says so.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots_count: int
    leaving: bool = False
    reclaimable: bool = False
    started_at_ms: int = 0
    leaves_in_s: float | None = None
