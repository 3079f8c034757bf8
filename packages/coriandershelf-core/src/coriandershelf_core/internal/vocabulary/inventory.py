"""The inventory and rules in force, as data classes inside the core."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ServiceKind(Enum):
    """Whether upstreams of a service generate tokens or answer whole."""

    MODEL = "model"
    PLAIN = "plain"


class Purchase(Enum):
    """How a VM is paid for."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone and the region it belongs to."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Service:
    """A model or plain service.

    :param non_idempotent_paths: path prefixes.
    :param weights: what its replicas must have loaded; empty to give no orders.
    :param scaled: whether the system buys and gives back VMs for it.
    """

    name: str
    kind: ServiceKind
    non_idempotent_paths: tuple[str, ...] = ()
    weights: str = ""
    scaled: bool = False


@dataclass(frozen=True, slots=True)
class Replica:
    """An upstream VM that runs one replica of a service.

    :param address: ``host:port`` of its HTTP interface.
    :param slots: requests it runs at once at full batch.
    :param price_per_hour: in the budget's currency.
    :param checks_fencing: whether it refuses orders with an old fencing number.
    :param bought: whether the system bought its VM, so that no published inventory lists it.
    """

    replica_id: str
    service: str
    zone: str
    address: str
    slots: int
    machine_class: str = "standard"
    purchase: Purchase = Purchase.RECLAIMABLE
    price_per_hour: float = 0.0
    checks_fencing: bool = True
    bought: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """A caller's organisation.

    :param share: weight of its fair share.
    :param priority: 0 comes first.
    """

    name: str
    key_hashes: tuple[str, ...]
    share: float = 1.0
    priority: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """What operators decide on top of the inventory."""

    first_token_target_s: float = 0.75
    token_gap_target_s: float = 0.026
    budget_per_hour: float = 0.0
    priority_at_most: int = 0


@dataclass(frozen=True, slots=True)
class Inventory:
    """One accepted version of inventory and rules."""

    version: int
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    replicas: tuple[Replica, ...]
    customers: tuple[Customer, ...]
    rules: Rules = field(default_factory=Rules)

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or ``None``."""
        return next((service for service in self.services if service.name == name), None)

    def customer_of(self, credential_hash: str) -> Customer | None:
        """Return the customer who owns the key with that hash, or ``None``."""
        for customer in self.customers:
            if credential_hash in customer.key_hashes:
                return customer
        return None
