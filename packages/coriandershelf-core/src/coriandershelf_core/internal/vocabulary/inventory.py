"""Data classes for the inventory and rules in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ServiceKind(Enum):
    """Whether upstreams of a service stream generated tokens or send one complete response."""

    MODEL = "model"
    PLAIN = "plain"


class PurchaseModel(Enum):
    """Purchase model of a VM."""

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

    :param non_idempotent_paths: path prefixes of its non-idempotent calls.
    :param weights: weights that its replicas must load; if empty, no load orders are sent.
    :param scaled: whether the system buys and releases VMs for it.
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
    :param slots: concurrent requests at full batch size.
    :param price_per_hour: in the budget's currency.
    :param checks_fencing: whether it rejects orders with an outdated fencing number.
    :param bought: whether the system bought its VM; such a VM is in no published inventory.
    """

    replica_id: str
    service: str
    zone: str
    address: str
    slots: int
    machine_class: str = "standard"
    purchase: PurchaseModel = PurchaseModel.RECLAIMABLE
    price_per_hour: float = 0.0
    checks_fencing: bool = True
    bought: bool = False


@dataclass(frozen=True, slots=True)
class Customer:
    """An organisation whose callers use the system.

    :param share: weight in fair queueing.
    :param priority: 0 is the highest.
    """

    name: str
    key_hashes: tuple[str, ...]
    share: float = 1.0
    priority: int = 1


@dataclass(frozen=True, slots=True)
class Rules:
    """Targets and limits that operators publish along with the inventory.

    :param priority_at_most: callers of customers with this priority number or a lower one are
        priority callers.
    """

    first_token_target_s: float = 0.75
    token_gap_target_s: float = 0.026
    budget_per_hour: float = 0.0
    priority_at_most: int = 0


@dataclass(frozen=True, slots=True)
class Inventory:
    """One accepted version of the inventory and rules."""

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
