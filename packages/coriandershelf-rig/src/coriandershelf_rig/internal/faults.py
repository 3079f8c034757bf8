"""Faults on real processes under load, alone and in pairs, checked by the stand-in services."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.demo import booking_hash, count_executions
from coriandershelf_rig.internal.deployments import Deployment, inventory_yaml, kingston
from coriandershelf_rig.internal.fault_callers import FaultCallers, ObservedOutcomes
from coriandershelf_rig.internal.processes import free_ports
from coriandershelf_rig.internal.relay import Relay

WINDOW_S = 7.0
RECOVERY_S = 3.0
RATE_PER_S = 6.0
FAULT_DURATION_S = 5.0
LIST_LAG_S = 1.0
REPLACEMENT_DELAY_S = 2.0
STOP_TIMEOUT_S = 60.0
NOTICE_S = 3.0
KINDS = ("stream", "book", "job")
KIND_WEIGHTS = (0.5, 0.4, 0.1)


@dataclass(slots=True)
class FaultsReport:
    """The result of a run.

    :param violations: a description of each broken guarantee.
    """

    seed: int
    windows: list[str] = field(default_factory=list)
    bookings: Counter[str] = field(default_factory=Counter)
    streams: Counter[str] = field(default_factory=Counter)
    jobs: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def to_document(self) -> dict[str, Any]:
        """Return the report as a JSON-serialisable dictionary."""
        return {
            "seed": self.seed,
            "windows": len(self.windows),
            "faults": self.windows,
            "bookings": dict(self.bookings),
            "streams": dict(self.streams),
            "jobs": dict(self.jobs),
            "violations": self.violations,
        }


def reduce_deployment(deployment: Deployment) -> Deployment:
    """Return a deployment reduced to one entry VM and one replica of each service per zone."""
    seen: set[tuple[str, str]] = set()
    replicas = []
    for replica in deployment.replicas:
        if (replica.service, replica.zone) not in seen:
            seen.add((replica.service, replica.zone))
            replicas.append(replica)
    entries = deployment.entries[: len(deployment.zones)]
    return replace(deployment, entries=entries, replicas=tuple(replicas))


class FaultDriver:
    """Injects faults into a cluster whose entry VMs reach upstreams and platform through relays."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.cluster = Cluster(deployment, seed)
        self._rng = random.Random(seed)
        self._upstream_relays: dict[str, Relay] = {}
        self._platform_relays: dict[str, Relay] = {}
        self._addresses: dict[str, str] = {}
        self._model_replica_ids = [
            item.replica_id for item in deployment.replicas if item.engine is not None
        ]
        self._zone_of = dict(deployment.entries)
        self._reserved: set[str] = set()

    async def start(self) -> None:
        """Start the relays; call this before the cluster starts."""
        cluster = self.cluster
        replica_ids = [replica.replica_id for replica in cluster.deployment.replicas]
        ports = iter(free_ports(len(replica_ids) + len(self._zone_of)))
        for replica_id in replica_ids:
            relay = self._upstream_relays[replica_id] = Relay(cluster.addresses[replica_id])
            self._addresses[replica_id] = f"127.0.0.1:{next(ports)}"
            await relay.start(self._addresses[replica_id])
        for vm_id in self._zone_of:
            relay = self._platform_relays[vm_id] = Relay(cluster.addresses["platform"])
            cluster.platform_relays[vm_id] = f"127.0.0.1:{next(ports)}"
            await relay.start(cluster.platform_relays[vm_id])
        cluster.inventory_text = inventory_yaml(cluster.deployment, self._addresses)

    async def stop(self) -> None:
        """Close every relay."""
        for relay in [*self._upstream_relays.values(), *self._platform_relays.values()]:
            await relay.stop()

    async def kill_entry(self) -> None:
        """Kill an entry VM's process; a replacement takes its name."""
        async with self._reserve_target() as vm_id:
            self.cluster.processes.signal(vm_id, signal.SIGKILL)
            await self._replace_entry(vm_id)

    async def stop_entry(self) -> None:
        """Stop an entry VM with SIGTERM, wait until it exits, and start a replacement."""
        async with self._reserve_target() as vm_id:
            self.cluster.processes.signal(vm_id, signal.SIGTERM)
            await self._wait_for_exit(vm_id, STOP_TIMEOUT_S)
            await self._replace_entry(vm_id)

    async def reclaim_entry(self) -> None:
        """Give an entry VM a reclaim notice of a few seconds, then kill its process."""
        async with self._reserve_target() as vm_id:
            await self.cluster.announce_reclaim(vm_id, NOTICE_S)
            await self._wait_for_exit(vm_id, NOTICE_S)
            self.cluster.processes.signal(vm_id, signal.SIGKILL)
            await self._replace_entry(vm_id)

    async def pause_entry(self) -> None:
        """Suspend an entry VM for longer than the other VMs wait for it."""
        async with self._reserve_target() as vm_id:
            self.cluster.processes.signal(vm_id, signal.SIGSTOP)
            await asyncio.sleep(FAULT_DURATION_S + 1.0)
            self.cluster.processes.signal(vm_id, signal.SIGCONT)

    async def cut_platform(self) -> None:
        """Cut an entry VM off from the log and the VM list for a while."""
        relay = self._platform_relays[self._rng.choice(sorted(self._zone_of))]
        await relay.cut()
        await asyncio.sleep(FAULT_DURATION_S)
        relay.accept_connections()

    async def silence_platform(self) -> None:
        """Stop forwarding on an entry VM's open connections to the log and VM list, for good."""
        self._platform_relays[self._rng.choice(sorted(self._zone_of))].stall_connections()

    async def kill_upstream(self) -> None:
        """Kill a model engine and restart it."""
        async with self._reserve_target(self._model_replica_ids) as replica_id:
            self.cluster.processes.signal(replica_id, signal.SIGKILL)
            await asyncio.sleep(REPLACEMENT_DELAY_S)
            self.cluster.start_upstream(replica_id)

    async def cut_upstream(self) -> None:
        """Close every connection to an upstream and refuse new ones for a while."""
        relay = self._upstream_relays[self._rng.choice(sorted(self._upstream_relays))]
        await relay.cut()
        await asyncio.sleep(FAULT_DURATION_S / 2)
        relay.accept_connections()

    async def silence_upstream(self) -> None:
        """Stop forwarding on the open connections to an upstream, for good."""
        self._upstream_relays[self._rng.choice(sorted(self._upstream_relays))].stall_connections()

    async def log_outage(self) -> None:
        """Take the platform's log down for a while."""
        await self._set_fault("log_down", True)
        await asyncio.sleep(FAULT_DURATION_S)
        await self._set_fault("log_down", False)

    async def lose_answers(self) -> None:
        """Drop half of the answers to appends for a while."""
        await self._set_fault("lost_answer_share", 0.5)
        await asyncio.sleep(FAULT_DURATION_S)
        await self._set_fault("lost_answer_share", 0.0)

    def _reserve_target(self, names: Sequence[str] | None = None) -> _ReservedTarget:
        return _ReservedTarget(self._reserved, self._rng, names or sorted(self._zone_of))

    async def _set_fault(self, name: str, value: object) -> None:
        await self.cluster.post(self.cluster.platform_url("faults"), {name: value})

    async def _wait_for_exit(self, vm_id: str, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self.cluster.processes.is_running(vm_id) and loop.time() < deadline_s:
            await asyncio.sleep(0.05)

    async def _replace_entry(self, vm_id: str) -> None:
        url = self.cluster.platform_url("vms")
        await self.cluster.post(url, {"id": vm_id, "state": "gone"})
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await self.cluster.start_entry(vm_id, self._zone_of[vm_id])


class _ReservedTarget:
    """Reserves a VM or replica for one fault while the block runs.

    Chooses one that no other fault has reserved, or any if all are reserved.
    """

    def __init__(self, reserved: set[str], rng: random.Random, names: Sequence[str]) -> None:
        self._reserved = reserved
        available = [name for name in names if name not in reserved]
        self._name = rng.choice(available or list(names))

    async def __aenter__(self) -> str:
        self._reserved.add(self._name)
        return self._name

    async def __aexit__(self, *details: object) -> None:
        self._reserved.discard(self._name)


Injector = Callable[[FaultDriver], Awaitable[None]]
FAULTS: dict[str, Injector] = {
    "kill-entry": FaultDriver.kill_entry,
    "stop-entry": FaultDriver.stop_entry,
    "reclaim-entry": FaultDriver.reclaim_entry,
    "pause-entry": FaultDriver.pause_entry,
    "cut-platform": FaultDriver.cut_platform,
    "silence-platform": FaultDriver.silence_platform,
    "kill-upstream": FaultDriver.kill_upstream,
    "cut-upstream": FaultDriver.cut_upstream,
    "silence-upstream": FaultDriver.silence_upstream,
    "log-outage": FaultDriver.log_outage,
    "lost-answers": FaultDriver.lose_answers,
}


def plan_windows(names: Sequence[str], alone: bool, pairs: bool) -> list[tuple[str, ...]]:
    """Return the faults of each window, in order."""
    windows: list[tuple[str, ...]] = [(name,) for name in names] if alone else []
    if pairs:
        windows += itertools.combinations_with_replacement(names, 2)
    return windows


async def _run_window(driver: FaultDriver, window: tuple[str, ...], rng: random.Random) -> None:
    async def inject(name: str) -> None:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        await FAULTS[name](driver)

    faults = [asyncio.create_task(inject(name)) for name in window]
    await asyncio.sleep(WINDOW_S)
    await asyncio.gather(*faults)
    await asyncio.sleep(RECOVERY_S)


async def _send_load(callers: FaultCallers, rng: random.Random, load_ended: asyncio.Event) -> None:
    send_by_kind = {"stream": callers.stream, "book": callers.book, "job": callers.job}
    tasks = []
    while not load_ended.is_set():
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
        kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
        tasks.append(asyncio.create_task(send_by_kind[kind]()))
    await asyncio.gather(*tasks)


def judge(observed: ObservedOutcomes, counts: dict[str, int], report: FaultsReport) -> None:
    """Compare the outcomes that callers received with the executions at the plain services."""
    for booking in observed.bookings:
        count = counts.get(booking_hash(booking.path, booking.body), 0)
        report.bookings[booking.last_outcome or "no-answer"] += 1
        if count > 1:
            report.violations.append(f"{booking.body} ran {count} times")
        if booking.last_outcome == "done" and count == 0:
            report.violations.append(f"{booking.body} was answered done but never ran")
        if booking.tries == 1 and booking.last_outcome == "not-run" and count:
            report.violations.append(f"{booking.body} was answered not run but ran")
    report.streams, report.jobs = observed.streams, observed.jobs
    report.violations += observed.mismatches


async def run_faults(
    seed: int,
    windows: Sequence[tuple[str, ...]],
    deployment: Deployment | None = None,
    disable: str = "",
    progress: Callable[[str], None] = lambda line: None,
) -> FaultsReport:
    """Run the windows one after another under load and check the results at the end.

    :param disable: mechanisms disabled in every entry VM, comma-separated.
    """
    driver = FaultDriver(deployment or reduce_deployment(kingston()), seed)
    driver.cluster.entry_flags = ["--disabled", disable] if disable else []
    report = FaultsReport(seed)
    rng = random.Random(seed)
    await driver.start()
    try:
        async with driver.cluster as cluster:
            callers = FaultCallers(cluster.description(), seed)
            load_ended = asyncio.Event()
            load = asyncio.create_task(_send_load(callers, rng, load_ended))
            for window in windows:
                report.windows.append("+".join(window))
                await _run_window(driver, window, rng)
                progress(
                    f"{report.windows[-1]}: {len(callers.observed.mismatches)} mismatches so far"
                )
            load_ended.set()
            await load
            judge(callers.observed, await count_executions(cluster), report)
            report.violations += _broken_invariants(cluster)
            callers.close()
    finally:
        await driver.stop()
    return report


def _broken_invariants(cluster: Cluster) -> list[str]:
    """Return the log lines that report a broken invariant or a failed task."""
    found = []
    for path in sorted(cluster.log_folder.glob("*.log")):
        for line in path.read_text().splitlines():
            if "invariant broken" in line or "task failed" in line:
                found.append(f"{path.name}: {line[:400]}")
    return found
