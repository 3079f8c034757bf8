"""Parses and validates the inventory and rules files (YAML).

An error names the file, the line, the path, the value and how to correct it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from coriandershelf_core.internal.vocabulary.inventory import (
    Customer,
    Inventory,
    PurchaseModel,
    Replica,
    Rules,
    Service,
    ServiceKind,
    Zone,
)

FORMAT_VERSION = 1

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
KeyHash = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]

_loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


Model = TypeVar("Model", bound=BaseModel)


class ZoneModel(_StrictModel):
    """An availability zone."""

    name: Name
    region: Name


class ServiceModel(_StrictModel):
    """A model or plain service."""

    name: Name
    kind: Literal["model", "plain"]
    non_idempotent_paths: list[str] = []
    weights: str = ""
    scaled: bool = False


class ReplicaModel(_StrictModel):
    """An upstream VM with one replica of a service."""

    id: Name
    service: Name
    zone: Name
    address: Address
    slots: int = Field(ge=1, le=4096)
    machine_class: Name = "standard"
    purchase: Literal["reclaimable", "on-demand"] = "reclaimable"
    price_per_hour: float = Field(default=0.0, ge=0)
    checks_fencing: bool = True


class CustomerModel(_StrictModel):
    """A customer; API keys are stored only as SHA-256 hashes."""

    name: Name
    key_hashes: list[KeyHash] = Field(min_length=1)
    share: float = Field(default=1.0, gt=0)
    priority: int = Field(default=1, ge=0, le=9)


class InventoryModel(_StrictModel):
    """The inventory file: zones, services, replicas and customers."""

    format: Literal[1]
    zones: list[ZoneModel] = Field(min_length=1)
    services: list[ServiceModel] = Field(min_length=1)
    replicas: list[ReplicaModel]
    customers: list[CustomerModel] = Field(min_length=1)


class RulesModel(_StrictModel):
    """The rules file: latency targets, budget and priority limit."""

    format: Literal[1]
    first_token_target_s: float = Field(default=0.75, gt=0)
    token_gap_target_s: float = Field(default=0.026, gt=0)
    budget_per_hour: float = Field(default=0.0, ge=0)
    priority_at_most: int = Field(default=0, ge=0, le=9)


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a file.

    :param line: counted from 1; 0 for an error of the file as a whole.
    :param remedy: how to correct the error.
    """

    file: str
    line: int
    path: str
    value: str
    remedy: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        value = f" (value {self.value})" if self.value else ""
        return f"{place}: {self.path or 'file'}{value}: {self.remedy}"


@dataclass(frozen=True, slots=True)
class Invalid:
    """The errors that make files unusable as a configuration."""

    problems: tuple[Problem, ...]


def _find_line(text: str, location: tuple[int | str, ...]) -> int:
    """Return the line of the deepest part of a location that exists in the text."""
    node = yaml.compose(text, Loader=_loader)
    line = 0
    for part in location:
        found: Any = None
        if isinstance(node, yaml.MappingNode):
            found = next((pair for pair in node.value if pair[0].value == part), None)
            node = found[1] if found else None
            line = found[0].start_mark.line + 1 if found else line
        elif isinstance(node, yaml.SequenceNode) and isinstance(part, int):
            node = node.value[part] if part < len(node.value) else None
            line = node.start_mark.line + 1 if node is not None else line
        if node is None:
            break
    return line


def _load(text: str, file: str) -> Any | Problem:
    try:
        return yaml.load(text, Loader=_loader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 0
        return Problem(file, line, "", "", f"not valid YAML: {getattr(error, 'problem', error)}")


def _validate(model: type[Model], text: str, file: str) -> Model | list[Problem]:
    loaded = _load(text, file)
    if isinstance(loaded, Problem):
        return [loaded]
    try:
        return model.model_validate(loaded)
    except ValidationError as error:
        return [
            Problem(
                file,
                _find_line(text, item["loc"]),
                ".".join(str(part) for part in item["loc"]),
                "" if item["type"] == "missing" else repr(item["input"])[:60],
                item["msg"],
            )
            for item in error.errors()
        ]


def _check_references(inventory: InventoryModel, text: str, file: str) -> list[Problem]:
    """Return the unresolved references and the duplicate names and keys."""
    problems: list[Problem] = []

    def report(location: tuple[int | str, ...], value: str, remedy: str) -> None:
        path = ".".join(str(part) for part in location)
        problems.append(Problem(file, _find_line(text, location), path, repr(value), remedy))

    zones = {zone.name for zone in inventory.zones}
    services = {service.name for service in inventory.services}
    for index, replica in enumerate(inventory.replicas):
        if replica.zone not in zones:
            report(("replicas", index, "zone"), replica.zone, "name a zone listed under zones")
        if replica.service not in services:
            remedy = "name a service listed under services"
            report(("replicas", index, "service"), replica.service, remedy)
    names_by_section: list[tuple[str, str, list[str]]] = [
        ("zones", "name", [zone.name for zone in inventory.zones]),
        ("services", "name", [service.name for service in inventory.services]),
        ("replicas", "id", [replica.id for replica in inventory.replicas]),
        ("customers", "name", [customer.name for customer in inventory.customers]),
    ]
    for section, key, names in names_by_section:
        for index, name in enumerate(names):
            if name in names[:index]:
                report((section, index, key), name, f"each {key} must be unique")
    seen: set[str] = set()
    for index, customer in enumerate(inventory.customers):
        for position, key_hash in enumerate(customer.key_hashes):
            if key_hash in seen:
                location = ("customers", index, "key_hashes", position)
                report(location, key_hash, "each key belongs to one customer")
            seen.add(key_hash)
    return problems


def parse_configuration(
    inventory_text: str,
    rules_text: str,
    version: int,
    inventory_file: str = "inventory.yaml",
    rules_file: str = "rules.yaml",
) -> Inventory | Invalid:
    """Return the inventory described by two YAML texts, or every error in them.

    :param version: version number of the resulting inventory.
    """
    inventory = _validate(InventoryModel, inventory_text, inventory_file)
    rules = _validate(RulesModel, rules_text, rules_file)
    problems = [item for part in (inventory, rules) if isinstance(part, list) for item in part]
    if not isinstance(inventory, list):
        problems += _check_references(inventory, inventory_text, inventory_file)
    if problems or isinstance(inventory, list) or isinstance(rules, list):
        return Invalid(tuple(problems))
    return _build_inventory(inventory, rules, version)


def parse_or_none(inventory_text: str, rules_text: str, version: int) -> Inventory | None:
    """Return the inventory, or ``None`` if the texts are not valid."""
    parsed = parse_configuration(inventory_text, rules_text, version)
    return None if isinstance(parsed, Invalid) else parsed


def _build_inventory(inventory: InventoryModel, rules: RulesModel, version: int) -> Inventory:
    return Inventory(
        version=version,
        zones=tuple(Zone(zone.name, zone.region) for zone in inventory.zones),
        services=tuple(
            Service(
                item.name,
                ServiceKind(item.kind),
                tuple(item.non_idempotent_paths),
                item.weights,
                item.scaled,
            )
            for item in inventory.services
        ),
        replicas=tuple(
            Replica(
                replica_id=item.id,
                service=item.service,
                zone=item.zone,
                address=item.address,
                slots=item.slots,
                machine_class=item.machine_class,
                purchase=PurchaseModel(item.purchase),
                price_per_hour=item.price_per_hour,
                checks_fencing=item.checks_fencing,
            )
            for item in inventory.replicas
        ),
        customers=tuple(
            Customer(item.name, tuple(item.key_hashes), item.share, item.priority)
            for item in inventory.customers
        ),
        rules=Rules(**rules.model_dump(exclude={"format"})),
    )
