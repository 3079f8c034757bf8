"""Data model of the operator's configuration and of registered replicas."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class RouteKind(Enum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Backend(Struct, frozen=True):
    """One service of a route and its weight in the traffic split."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Routing, retry and latency settings for one host and path prefix.

    :param objective_s: latency objective to the response, or to a stream's first event.
    :param timeout_s: upper bound on the time-out of requests.
    :param attempts_max_count: maximum number of attempts per request.
    :param rank: priority, 0 first.
    :param resumable: whether a stream can be resumed on another replica after its last event.
    :param gap_objective_s: latency objective between two events of a stream.
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
        """Return whether a request may be retried after it may have started to run."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class ScaleLimits(Struct, frozen=True):
    """Limits and prices for scaling a service.

    :param min_count: minimum number of replicas per zone, spot and on-demand together.
    :param max_count: maximum number of replicas per zone, spot and on-demand together.
    :param boot_s: time from an order to the replica's registration.
    :param spot_price_ratio: price of a spot replica ÷ price of an on-demand one.
    :param zone_prices: price per replica second, by zone.
    """

    min_count: int
    max_count: int
    boot_s: float
    spot_price_ratio: float
    zone_prices: dict[str, float]


class Service(Struct, frozen=True):
    """A service: model engines if ``engine_slots_count`` is set, plain servers otherwise."""

    name: str
    connections_max_count: int
    health_path: str = ""
    engine_slots_count: int = 0
    scale: ScaleLimits | None = None

    @property
    def is_engine(self) -> bool:
        """Return whether the service's replicas are model engines."""
        return self.engine_slots_count > 0


class Customer(Struct, frozen=True):
    """A customer with its API keys and usage cap.

    :param rank: priority, 0 first; ``None`` to use only the route's.
    :param rate_per_s: refill rate of the token bucket; 0 means no cap.
    :param burst: size of the token bucket.
    :param by_tokens: whether usage is counted in tokens rather than requests.
    :param default_tokens: usage charged for a request that states no token counts.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    default_tokens: int = 1


class Deployment(Struct, frozen=True):
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[Customer, ...]
    header_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0
    customer_of_key: dict[str, Customer] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for customer in self.customers:
            for key in customer.keys:
                self.customer_of_key[key] = customer


class Replica(Struct, frozen=True):
    """A replica's registration.

    :param leaving: whether it is shutting down and takes no new work.
    :param reclaimable: whether it is a spot instance, which the provider may reclaim.
    :param started_at_ms: Unix time of its start, which tells restarts under one id apart.
    :param leaves_in_s: time until it shuts down, if it announced one.
    :param software_version: version of its software; a stream continues only at the same one.
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
    software_version: str = ""
