"""The two users' current deployments, and their rendering as inventory and rules files."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import yaml

from coriandershelf_rig.internal.engine_model import EngineShape

OPERATOR_KEY = "operator-demo-key"


@dataclass(frozen=True, slots=True)
class ReplicaSpec:
    """One upstream VM of a deployment.

    :param engine: the model engine to simulate; ``None`` for a plain service.
    """

    replica_id: str
    service: str
    zone: str
    engine: EngineShape | None
    machine_class: str
    purchase: str
    price_per_hour: float
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class CustomerSpec:
    """One customer of a deployment; its demo key is ``<name>-demo-key``."""

    name: str
    share: float
    priority: int

    @property
    def key(self) -> str:
        """Return the customer's bearer key in demos and tests."""
        return f"{self.name}-demo-key"


@dataclass(frozen=True, slots=True)
class Deployment:
    """A user's zones, entry VMs, replicas and customers."""

    name: str
    region: str
    zones: tuple[str, ...]
    entries: tuple[tuple[str, str], ...]
    model: str
    plain: str
    non_idempotent_paths: tuple[str, ...]
    replicas: tuple[ReplicaSpec, ...]
    customers: tuple[CustomerSpec, ...]
    zone_latency_s: float
    budget_per_hour: float


def key_hash(key: str) -> str:
    """Return the hash of a key as stored in the inventory."""
    return hashlib.sha256(key.encode()).hexdigest()


FAST_ENGINE = EngineShape(slots=24, step_base_s=0.008, step_per_sequence_s=0.0003)
MIDDLE_ENGINE = EngineShape(slots=16, step_base_s=0.011, step_per_sequence_s=0.0004)
SLOW_ENGINE = EngineShape(
    slots=8, step_base_s=0.016, step_per_sequence_s=0.0006, prefill_tokens_per_s=8_000.0
)
MACHINE_CLASSES = (
    ("fast", FAST_ENGINE, 2.4),
    ("middle", MIDDLE_ENGINE, 1.4),
    ("slow", SLOW_ENGINE, 0.7),
)


def _model_replicas(
    prefix: str, service: str, zones: tuple[str, ...], count: int
) -> list[ReplicaSpec]:
    replicas = []
    for index in range(count):
        machine_class, engine, price = MACHINE_CLASSES[
            (index // len(zones) + index) % len(MACHINE_CLASSES)
        ]
        replicas.append(
            ReplicaSpec(
                f"{prefix}-{index + 1}",
                service,
                zones[index % len(zones)],
                engine,
                machine_class,
                "reclaimable",
                price,
                index % 3 != 2,
            )
        )
    return replicas


def _plain_replicas(prefix: str, service: str, zones: tuple[str, ...]) -> list[ReplicaSpec]:
    return [
        ReplicaSpec(f"{prefix}-{zone}", service, zone, None, "plain", "on-demand", 0.3, False)
        for zone in zones
    ]


def _place_entries(zones: tuple[str, ...], count: int) -> tuple[tuple[str, str], ...]:
    return tuple((f"entry-{index + 1}", zones[index % len(zones)]) for index in range(count))


def consorcio() -> Deployment:
    """Return the Consorcio's deployment."""
    zones = ("vc-a", "vc-b", "vc-c")
    replicas = _model_replicas("route", "route-model", zones, 9)
    replicas += _plain_replicas("dispatch", "dispatch", zones)
    return Deployment(
        name="consorcio",
        region="valle-central",
        zones=zones,
        entries=_place_entries(zones, 9),
        model="route-model",
        plain="dispatch",
        non_idempotent_paths=("visits", "bills"),
        replicas=tuple(replicas),
        customers=(
            CustomerSpec("canaletas-norte", 4.0, 0),
            CustomerSpec("limpiatechos", 3.0, 0),
            CustomerSpec("aguas-del-sur", 1.0, 1),
            CustomerSpec("inspeccion-municipal", 1.0, 1),
            CustomerSpec("administradores", 1.0, 2),
        ),
        zone_latency_s=0.0004,
        budget_per_hour=30.0,
    )


def kingston() -> Deployment:
    """Return Kingston's deployment."""
    zones = ("jm-a", "jm-b", "jm-c")
    replicas = _model_replicas("inspect", "inspection-model", zones, 5)
    replicas += _plain_replicas("orders", "work-orders", zones)
    return Deployment(
        name="kingston",
        region="jm-south",
        zones=zones,
        entries=_place_entries(zones, 8),
        model="inspection-model",
        plain="work-orders",
        non_idempotent_paths=("orders",),
        replicas=tuple(replicas),
        customers=(
            CustomerSpec("tram-authority", 4.0, 0),
            CustomerSpec("night-crews", 3.0, 0),
            CustomerSpec("depot", 1.0, 1),
            CustomerSpec("archive", 1.0, 2),
            CustomerSpec("training", 1.0, 2),
        ),
        zone_latency_s=0.0012,
        budget_per_hour=20.0,
    )


def single_zone(engine: EngineShape, engine_count: int) -> Deployment:
    """Return one zone with one entry VM, some engines and one plain service."""
    replicas = [
        ReplicaSpec(f"engine-{index + 1}", "model", "z", engine, "c", "on-demand", 1.0, True)
        for index in range(engine_count)
    ]
    return Deployment(
        name="single-zone",
        region="r",
        zones=("z",),
        entries=(("entry-1", "z"),),
        model="model",
        plain="calls",
        non_idempotent_paths=("orders",),
        replicas=(*replicas, *_plain_replicas("calls", "calls", ("z",))),
        customers=(CustomerSpec("caller", 1.0, 0),),
        zone_latency_s=0.0,
        budget_per_hour=0.0,
    )


DEPLOYMENTS = {"consorcio": consorcio, "kingston": kingston}


def inventory_yaml(deployment: Deployment, addresses: dict[str, str]) -> str:
    """Return the inventory file as YAML.

    :param addresses: addresses by replica id; other replicas get a placeholder in ``127.0.1.0/24``.
    """
    replicas = []
    for index, replica in enumerate(deployment.replicas):
        replicas.append(
            {
                "id": replica.replica_id,
                "service": replica.service,
                "zone": replica.zone,
                "address": addresses.get(replica.replica_id, f"127.0.1.{index + 1}:8000"),
                "slots": replica.engine.slots if replica.engine else 32,
                "machine_class": replica.machine_class,
                "purchase": replica.purchase,
                "price_per_hour": replica.price_per_hour,
                "checks_fencing": replica.checks_fencing,
            }
        )
    document = {
        "format": 1,
        "zones": [{"name": zone, "region": deployment.region} for zone in deployment.zones],
        "services": [
            {"name": deployment.model, "kind": "model"},
            {
                "name": deployment.plain,
                "kind": "plain",
                "non_idempotent_paths": list(deployment.non_idempotent_paths),
            },
        ],
        "replicas": replicas,
        "customers": [
            {
                "name": customer.name,
                "key_hashes": [key_hash(customer.key)],
                "share": customer.share,
                "priority": customer.priority,
            }
            for customer in deployment.customers
        ],
    }
    return yaml.safe_dump(document, sort_keys=False)


def rules_yaml(deployment: Deployment) -> str:
    """Return the rules file as YAML."""
    document = {
        "format": 1,
        "first_token_target_s": 0.75,
        "token_gap_target_s": 0.026,
        "budget_per_hour": deployment.budget_per_hour,
        "priority_at_most": 0,
    }
    return yaml.safe_dump(document, sort_keys=False)
