"""Digests of the gateway: bytes, processor time and messages, by entry VMs."""

from __future__ import annotations

import random
import time

import msgspec

from coriandershelf_core.internal.gateway.actions import SendDigest
from coriandershelf_core.internal.gateway.deployment import Customer, Deployment, Replica, Service
from coriandershelf_core.internal.gateway.digest import Digest, ReplicaDigest
from coriandershelf_core.internal.gateway.events import (
    DeploymentRead,
    DigestArrived,
    ReplicasRead,
    Tick,
)
from coriandershelf_core.internal.gateway.gateway import Gateway
from coriandershelf_core.internal.gateway.settings import GatewaySettings
from coriandershelf_rig.internal.slopes.fit import Quantity

NAME = "gateway"
VM_COUNTS = (8, 40, 86, 200)
TARGET_COUNT = 400
ZONES_COUNT = 4
CUSTOMERS_COUNT = 16
REPLICAS_USED_COUNT = 8
RUN_S = 4.0
TICK_S = 0.05
# Every VM but the first is heard of this often while the run is measured.
HEARD_PERIOD_S = 0.5


def run(seed: int) -> str:
    """Measure one gateway among others that tell it of themselves."""
    rows = [(float(count), *_measure(count, seed)) for count in VM_COUNTS]
    names = (
        ("sent digests a second", "messages/s"),
        ("sent bytes a second", "KB/s"),
        ("processor time of ticks and digests", "% of a core"),
        ("longest tick", "ms"),
    )
    lines = []
    for column, (what, unit) in enumerate(names, start=1):
        points = tuple((row[0], row[column]) for row in rows)
        lines.append(Quantity(what, "VM", unit, points, TARGET_COUNT).report())
    return "\n".join(lines)


def _measure(vms_count: int, seed: int) -> tuple[float, float, float, float]:
    rng = random.Random(seed)
    gateway = _make_gateway(vms_count, rng)
    encoder = msgspec.msgpack.Encoder()
    messages = size_bytes = 0
    busy_s = longest_s = 0.0
    steps = int(RUN_S / TICK_S)
    for step in range(steps):
        now_s = 100.0 + step * TICK_S
        began_s = time.perf_counter()
        if step % int(HEARD_PERIOD_S / TICK_S) == 0:
            for digest in _digests(vms_count, step, now_s, rng):
                gateway.step(DigestArrived(digest), now_s, now_s)
        tick_s = time.perf_counter()
        actions = gateway.step(Tick(), now_s, now_s)
        longest_s = max(longest_s, time.perf_counter() - tick_s)
        for action in actions:
            if isinstance(action, SendDigest):
                messages += len(action.addresses)
                size_bytes += len(encoder.encode(action.digest)) * len(action.addresses)
        busy_s += time.perf_counter() - began_s
    share = 100.0 * busy_s / RUN_S
    return messages / RUN_S, size_bytes / RUN_S / 1e3, share, longest_s * 1e3


def _make_gateway(vms_count: int, rng: random.Random) -> Gateway:
    gateway = Gateway("vm-0", "10.0.0.0:7500", "zone-0", 1, GatewaySettings(), rng, 0.0)
    customers = tuple(
        Customer(f"customer-{number}", (f"key-{number}",), None, 1e5, 1e5, True, 200)
        for number in range(CUSTOMERS_COUNT)
    )
    services = {"engine": Service("engine", 500, engine_slots_count=64)}
    gateway.step(DeploymentRead(Deployment(1, (), services, customers)), 100.0, 100.0)
    replicas: dict[str, Replica | None] = {
        f"i-{number:08x}": Replica(f"i-{number:08x}", "engine", "10.9.0.1:80", "zone-0", 64)
        for number in range(max(6, vms_count * 3 // 2))
    }
    gateway.step(ReplicasRead(replicas, complete=True), 100.0, 100.0)
    return gateway


def _digests(vms_count: int, step: int, now_s: float, rng: random.Random) -> list[Digest]:
    replicas_count = max(6, vms_count * 3 // 2)
    spent = {f"customer-{number}": 1e3 * step for number in range(CUSTOMERS_COUNT)}
    return [
        Digest(
            f"vm-{number}",
            f"10.0.0.{number}:7500",
            f"zone-{number % ZONES_COUNT}",
            1,
            step + 1,
            now_s,
            replicas={
                f"i-{rng.randrange(replicas_count):08x}": ReplicaDigest(1, 900, 110, 100, 50)
                for _ in range(REPLICAS_USED_COUNT)
            },
            spent=spent,
            demand=spent,
            complete=True,
        )
        for number in range(1, vms_count)
    ]
