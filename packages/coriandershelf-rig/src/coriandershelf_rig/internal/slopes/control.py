"""CPU time and memory of the control plane on idle entry VM processes."""

from __future__ import annotations

import asyncio

import psutil

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import consorcio

NAME = "control"
WARM_UP_S = 5.0
MEASURE_S = 20.0
MEBIBYTE_BYTES = 1 << 20
CONTROL_OFF_FLAGS = ["--heartbeat-s", "1000", "--load-poll-s", "1000", "--poll-s", "1000"]


def run(seed: int) -> str:
    """Return the idle cost of one deployment's entry VMs, mean and worst."""
    with_control = asyncio.run(_measure(seed, []))
    without_control = asyncio.run(_measure(seed, CONTROL_OFF_FLAGS))
    return f"with control: {with_control}\nwithout:      {without_control}"


async def _measure(seed: int, flags: list[str]) -> str:
    cluster = Cluster(consorcio(), seed)
    cluster.entry_flags = flags
    async with cluster:
        await asyncio.sleep(WARM_UP_S)
        entries = [
            psutil.Process(cluster.processes.pid(vm_id)) for vm_id, _ in cluster.deployment.entries
        ]
        before_s = [_cpu_time_s(process) for process in entries]
        await asyncio.sleep(MEASURE_S)
        after_s = [_cpu_time_s(process) for process in entries]
        cpu_shares = [
            (cpu_after_s - cpu_before_s) / MEASURE_S
            for cpu_before_s, cpu_after_s in zip(before_s, after_s, strict=True)
        ]
        resident_mib = [process.memory_info().rss / MEBIBYTE_BYTES for process in entries]
    return (
        f"{len(entries)} idle entry VMs, {MEASURE_S:.0f} s: processor "
        f"{sum(cpu_shares) / len(cpu_shares) * 100:.2f}% of a core mean, "
        f"{max(cpu_shares) * 100:.2f}% worst; "
        f"resident {sum(resident_mib) / len(resident_mib):.1f} MiB mean, "
        f"{max(resident_mib):.1f} worst"
    )


def _cpu_time_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
