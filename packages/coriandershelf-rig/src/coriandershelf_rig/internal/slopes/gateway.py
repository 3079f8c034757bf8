"""Cost of the gateway's digests in bytes, CPU time and messages, by number of entry VMs."""

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
from coriandershelf_rig.internal.slopes.fit import LinearFit

NAME = "gateway"
VM_COUNTS = (8, 40, 86, 200)
TARGET_COUNT = 400
ZONE_COUNT = 4
CUSTOMER_COUNT = 16
REPLICAS_PER_DIGEST_COUNT = 8
MEASURE_S = 4.0
TICK_S = 0.05
# A digest of every other VM arrives with this period during the measurement.
DIGEST_PERIOD_S = 0.5


def run(seed: int) -> str:
    """Measure one gateway that receives the digests of all others."""
    rows = [(float(count), *_measure(count, seed)) for count in VM_COUNTS]
    names = (
        ("sent digests a second", "messages/s"),
        ("sent bytes a second", "KB/s"),
        ("processor time of ticks and digests", "% of a core"),
        ("longest tick", "ms"),
    )
    lines = []
    for column, (quantity, unit) in enumerate(names, start=1):
        points = tuple((row[0], row[column]) for row in rows)
        lines.append(LinearFit(quantity, "VM", unit, points, TARGET_COUNT).summary())
    return "\n".join(lines)


def _measure(vm_count: int, seed: int) -> tuple[float, float, float, float]:
    rng = random.Random(seed)
    gateway = _make_gateway(vm_count, rng)
    encoder = msgspec.msgpack.Encoder()
    message_count = size_bytes = 0
    busy_s = longest_tick_s = 0.0
    step_count = int(MEASURE_S / TICK_S)
    for step in range(step_count):
        now_s = 100.0 + step * TICK_S
        started_s = time.perf_counter()
        if step % int(DIGEST_PERIOD_S / TICK_S) == 0:
            for digest in _make_digests(vm_count, step, now_s, rng):
                gateway.step(DigestArrived(digest), now_s, now_s)
        tick_started_s = time.perf_counter()
        actions = gateway.step(Tick(), now_s, now_s)
        longest_tick_s = max(longest_tick_s, time.perf_counter() - tick_started_s)
        for action in actions:
            if isinstance(action, SendDigest):
                message_count += len(action.addresses)
                size_bytes += len(encoder.encode(action.digest)) * len(action.addresses)
        busy_s += time.perf_counter() - started_s
    busy_percent = 100.0 * busy_s / MEASURE_S
    return (
        message_count / MEASURE_S,
        size_bytes / MEASURE_S / 1e3,
        busy_percent,
        longest_tick_s * 1e3,
    )


def _make_gateway(vm_count: int, rng: random.Random) -> Gateway:
    gateway = Gateway("vm-0", "10.0.0.0:7500", "zone-0", 1, GatewaySettings(), rng, 0.0)
    customers = tuple(
        Customer(f"customer-{number}", (f"key-{number}",), None, 1e5, 1e5, True, 200)
        for number in range(CUSTOMER_COUNT)
    )
    services = {"engine": Service("engine", 500, engine_slots_count=64)}
    gateway.step(DeploymentRead(Deployment(1, (), services, customers)), 100.0, 100.0)
    replicas: dict[str, Replica | None] = {
        f"i-{number:08x}": Replica(f"i-{number:08x}", "engine", "10.9.0.1:80", "zone-0", 64)
        for number in range(max(6, vm_count * 3 // 2))
    }
    gateway.step(ReplicasRead(replicas, complete=True), 100.0, 100.0)
    return gateway


def _make_digests(vm_count: int, step: int, now_s: float, rng: random.Random) -> list[Digest]:
    replica_count = max(6, vm_count * 3 // 2)
    spent = {f"customer-{number}": 1e3 * step for number in range(CUSTOMER_COUNT)}
    return [
        Digest(
            f"vm-{number}",
            f"10.0.0.{number}:7500",
            f"zone-{number % ZONE_COUNT}",
            1,
            step + 1,
            now_s,
            replicas={
                f"i-{rng.randrange(replica_count):08x}": ReplicaDigest(1, 900, 110, 100, 50)
                for _ in range(REPLICAS_PER_DIGEST_COUNT)
            },
            spent=spent,
            demand=spent,
            complete=True,
        )
        for number in range(1, vm_count)
    ]
