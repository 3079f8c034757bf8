"""What control costs a real entry VM that serves nobody: processor time and memory."""

from __future__ import annotations

import asyncio

import psutil

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import consorcio

NAME = "control"
WARM_UP_S = 5.0
MEASURE_S = 20.0
MEBIBYTE = 1 << 20
WITHOUT_CONTROL = ["--heartbeat-s", "1000", "--load-poll-s", "1000", "--poll-s", "1000"]


def run(seed: int) -> str:
    """Return the idle cost of the entry VMs of one deployment, mean and worst."""
    with_control = asyncio.run(_measure(seed, []))
    without = asyncio.run(_measure(seed, WITHOUT_CONTROL))
    return f"with control: {with_control}\nwithout:      {without}"


async def _measure(seed: int, flags: list[str]) -> str:
    cluster = Cluster(consorcio(), seed)
    cluster.entry_flags = flags
    async with cluster:
        await asyncio.sleep(WARM_UP_S)
        entries = [
            psutil.Process(cluster.processes.pid(vm_id)) for vm_id, _ in cluster.deployment.entries
        ]
        before_s = [_processor_s(process) for process in entries]
        await asyncio.sleep(MEASURE_S)
        after_s = [_processor_s(process) for process in entries]
        spent = [(b - a) / MEASURE_S for a, b in zip(before_s, after_s, strict=True)]
        resident = [process.memory_info().rss / MEBIBYTE for process in entries]
    return (
        f"{len(entries)} idle entry VMs, {MEASURE_S:.0f} s: processor "
        f"{sum(spent) / len(spent) * 100:.2f}% of a core mean, {max(spent) * 100:.2f}% worst; "
        f"resident {sum(resident) / len(resident):.1f} MiB mean, {max(resident):.1f} worst"
    )


def _processor_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
