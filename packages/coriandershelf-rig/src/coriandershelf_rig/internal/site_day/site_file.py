"""Reads the users' site and day files; the only module that knows their words."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

ROUTE_KINDS = {"stream": "streaming", "unsafe": "non_idempotent", "safe": "idempotent"}
DEFAULT_DURATION_S = 5.0
DRAWN_DAY = "drawn"
DRAWN_COUNT = 22
DRAWN_RETRIES = 3
# Requests come for so long after a day's final loss of all VMs.
CLOSING_LEAD_S = 7.0
# At its end a drawn day has no new entries.
DRAWN_QUIET_S = 8.0


class FileError(ValueError):
    """A site or day file cannot be used; the message names the file and the place."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """A size that varies between requests.

    :param spread: standard deviation of its logarithm.
    """

    mean: float
    spread: float
    maximum: float


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request and its route.

    :param kind: what may be repeated, as the operator's configuration says it.
    :param retries: how often a caller tries again.
    :param events: events of a response; ``None`` if it is no stream.
    """

    name: str
    kind: str
    service: str
    method: str
    deadline_s: float
    timeout_ms: float
    target_ms: float
    gap_target_ms: float
    priority: int
    attempts: int
    retries: int
    resumable: bool
    request_bytes: Sizes
    response_bytes: Sizes
    work_ms: float
    prompt_tokens: Sizes
    events: Sizes | None


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service.

    :param replica_counts: number of replicas by zone.
    :param stride_tokens: tokens of one event; 0 if the service does not run a model.
    """

    name: str
    replica_counts: dict[str, int]
    slots: int
    queue: int
    max_connections: int
    stride_tokens: int
    step_ms: float
    step_ms_per_slot: float
    first_ms: float
    prefill_tokens_per_ms: float
    linger_s: float
    report_lag_s: float


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Requests of the callers of a zone.

    :param mix: weight of each kind of request.
    """

    zone: str
    rate_per_s: float
    mix: dict[str, float]
    clients_count: int


@dataclass(frozen=True, slots=True)
class Entry:
    """Planned work or a fault.

    :param how: the words that say which form it takes.
    :param values: further fields.
    """

    at_s: float
    kind: str
    how: frozenset[str]
    share: float | None
    count: int | None
    x: float | None
    duration_s: float
    gap_s: float
    zone: str | None
    service: str | None
    request_kind: str | None

    def __str__(self) -> str:
        words = " ".join(sorted(self.how))
        return f"{self.kind}{f' ({words})' if words else ''} at {self.at_s:g} s"


@dataclass(frozen=True, slots=True)
class Site:
    """A site with one of its days.

    :param vm_counts: number of entry VMs by zone, without spare ones.
    :param spare_counts: number of spare entry VMs by zone.
    """

    name: str
    vm_counts: dict[str, int]
    spare_counts: dict[str, int]
    services: dict[str, ServiceSpec]
    kinds: dict[str, RequestKind]
    loads: tuple[ZoneLoad, ...]
    tenants_count: int
    drain_s: float
    heartbeat_s: float
    bounds: dict[str, Any]
    day: str = ""
    length_s: float = 0.0
    entries: tuple[Entry, ...] = field(default=())


def read_site(site_path: Path, day: str, seed: int = 0) -> Site:
    """Read a site file and a day.

    :param day: name of a day in the site file, path of a day file, or ``drawn`` for a day with
        entries that are drawn from the site's kinds of trouble.
    :param seed: decides a drawn day.
    :raises FileError: a file cannot be used.
    """
    document = _read(site_path)
    site = _checked(site_path, lambda: _make_site(document))
    if day == DRAWN_DAY:
        return _checked(site_path, lambda: _with_day(site, _draw_day(document, seed), document))
    named = [item for item in document.get("day", []) if item.get("name") == day]
    if named:
        return _checked(site_path, lambda: _with_day(site, named[0], document))
    day_path = Path(day)
    if not day_path.is_file():
        names = ", ".join(str(item.get("name")) for item in document.get("day", [])) or "none"
        raise FileError(f"{day}: neither a file nor a day of {site_path} (it has: {names})")
    day_document = _read(day_path)
    return _checked(day_path, lambda: _with_day(site, day_document, document))


def _draw_day(document: Mapping[str, Any], seed: int) -> dict[str, Any]:
    rng = random.Random(f"{seed}/day")
    length_s = document.get("length_s", 52.0)
    until_s = length_s - DRAWN_QUIET_S
    troubles = rng.sample(document["troubles"], min(DRAWN_COUNT, len(document["troubles"])))
    # Streams are taken up more often than on days where callers try again only once.
    retried = [item["name"] for item in document["classes"] if item["kind"] == "stream"]
    return {
        "name": DRAWN_DAY,
        "length_s": length_s,
        "classes": [{"name": name, "retries": DRAWN_RETRIES} for name in retried],
        "faults": [item | {"at": round(rng.uniform(1.0, until_s), 2)} for item in troubles],
    }


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise FileError(f"{path}: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise FileError(f"{path}: {error}") from error


def _checked(path: Path, make: Callable[[], Site]) -> Site:
    try:
        return make()
    except KeyError as error:
        raise FileError(f"{path}: field {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise FileError(f"{path}: {error}") from error


def _make_site(document: Mapping[str, Any]) -> Site:
    zones = [item["name"] for item in document["zones"]]
    thin = float(document.get("thin", 1.0))
    fronts = [item for item in document["machines"] if item["class"] == "front"]
    for item in fronts:
        _check_known("zone", item["zone"], zones)
    vm_counts = {zone: _total(fronts, zone, "count") for zone in zones}
    if not sum(vm_counts.values()):
        raise ValueError("there is no machine of class 'front'")
    services = {item["name"]: _make_service(item, thin) for item in document["services"]}
    kinds = {item["name"]: _make_kind(item) for item in document["classes"]}
    for kind in kinds.values():
        _check_known("service", kind.service, services)
    return Site(
        document["name"],
        vm_counts,
        {zone: _total(fronts, zone, "spare") for zone in zones},
        services,
        kinds,
        _make_loads(document["traffic"], thin, kinds, zones),
        document.get("tenants", {}).get("count", 1),
        document.get("bounds", {}).get("drain_ms", 2_000) / 1e3,
        document.get("discovery", {}).get("beat_ms", 1_200) / 1e3,
        document.get("bounds", {}),
    )


def _total(machines: list[dict[str, Any]], zone: str, name: str) -> int:
    return sum(item.get(name, 0) for item in machines if item["zone"] == zone)


def _check_known(what: str, name: str, known: Any) -> None:
    if name not in known:
        raise ValueError(f"unknown {what} {name!r}; known are {', '.join(known)}")


def _make_service(item: Mapping[str, Any], thin: float) -> ServiceSpec:
    engine = item.get("llm", {})
    return ServiceSpec(
        item["name"],
        {server["zone"]: max(1, round(server["count"] * thin)) for server in item["servers"]},
        item["slots"],
        item.get("queue", 0),
        item["conn_cap"],
        engine.get("stride", 0),
        engine.get("step_ms", 0.0),
        engine.get("step_ms_per_slot", 0.0),
        engine.get("first_ms", 0.0),
        engine.get("prefill_tokens_per_ms", 100.0),
        item.get("linger_ms", 0.0) / 1e3,
        engine.get("report_lag_ms", 0.0) / 1e3,
    )


def _make_sizes(item: Mapping[str, Any] | None, default: float = 0.0) -> Sizes:
    if item is None:
        return Sizes(default, 0.0, default)
    return Sizes(item["mean"], item.get("spread", 0.0), item.get("max", item["mean"]))


def _make_kind(item: Mapping[str, Any]) -> RequestKind:
    _check_known("kind of request", item["kind"], ROUTE_KINDS)
    stream = item.get("stream")
    if (stream is not None) != (item["kind"] == "stream"):
        raise ValueError(f"class {item['name']!r} has 'stream' without being one, or lacks it")
    return RequestKind(
        item["name"],
        ROUTE_KINDS[item["kind"]],
        item["service"],
        item["method"],
        item["deadline_ms"] / 1e3,
        item.get("timeout_ms", item["deadline_ms"]),
        item["aim_ms"],
        stream.get("gap_aim_ms", 500) if stream else 0.0,
        item.get("priority", 0),
        item.get("attempts", 1),
        item.get("retries", 0),
        bool(stream and stream.get("resume")),
        _make_sizes(item.get("req_bytes")),
        _make_sizes(item.get("resp_bytes"), 100.0),
        item.get("work_ms", {}).get("mean", 0.0),
        _make_sizes(stream.get("prompt_tokens") if stream else None),
        _make_sizes(stream["pieces"]) if stream else None,
    )


def _make_loads(
    items: list[dict[str, Any]], thin: float, kinds: Mapping[str, Any], zones: list[str]
) -> tuple[ZoneLoad, ...]:
    loads = []
    for item in items:
        _check_known("zone", item["zone"], zones)
        for name in item["mix"]:
            _check_known("kind of request", name, kinds)
        loads.append(
            ZoneLoad(item["zone"], item["per_s"] * thin, dict(item["mix"]), item["clients"])
        )
    return tuple(loads)


def _with_day(site: Site, day: Mapping[str, Any], document: Mapping[str, Any]) -> Site:
    kinds = dict(site.kinds)
    for item in day.get("classes", []):
        _check_known("kind of request", item["name"], kinds)
        kinds[item["name"]] = replace(
            kinds[item["name"]], retries=item.get("retries", kinds[item["name"]].retries)
        )
    loads = site.loads
    if "traffic" in day:
        thin = float(document.get("thin", 1.0))
        loads = _make_loads(day["traffic"], thin, kinds, list(site.vm_counts))
    entries = [_make_entry(item, site) for item in (*day.get("plan", []), *day.get("faults", []))]
    length_s = float(day.get("length_s", document.get("length_s", 52.0)))
    closing = day.get("closing")
    if closing is not None:
        how = "power" if closing["kind"].startswith("power") else ""
        item = {"kind": "herd_kill", "at": length_s - CLOSING_LEAD_S, "share": 1.0, "how": how}
        entries.append(_make_entry(item | {"for_s": closing.get("down_s", 1.0)}, site))
    return replace(
        site,
        day=day["name"],
        length_s=length_s,
        kinds=kinds,
        loads=loads,
        entries=tuple(sorted(entries, key=lambda entry: entry.at_s)),
    )


def _make_entry(item: Mapping[str, Any], site: Site) -> Entry:
    try:
        if "zone" in item:
            _check_known("zone", item["zone"], site.vm_counts)
        if "service" in item:
            _check_known("service", item["service"], site.services)
        if "class" in item:
            _check_known("kind of request", item["class"], site.kinds)
        return Entry(
            float(item["at"]),
            str(item["kind"]),
            frozenset(item.get("how", "").split()),
            item.get("share"),
            item.get("count"),
            item.get("x"),
            float(item.get("for_s", DEFAULT_DURATION_S)),
            float(item.get("gap_s", 1.0)),
            item.get("zone"),
            item.get("service"),
            item.get("class"),
        )
    except KeyError as error:
        raise ValueError(f"field {error} is missing in the entry {dict(item)}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"{error} in the entry {dict(item)}") from error
