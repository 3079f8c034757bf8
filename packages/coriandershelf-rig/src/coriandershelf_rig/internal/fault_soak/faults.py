"""Injects the faults of a plan."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import signal
import time
from collections.abc import Awaitable, Callable

from coriandershelf_rig.internal.fault_soak.judge import Disturbance
from coriandershelf_rig.internal.fault_soak.plan import Fault
from coriandershelf_rig.internal.fault_soak.replicas import SoakReplica
from coriandershelf_rig.internal.fault_soak.restarts import ReplicaRestarts
from coriandershelf_rig.internal.fault_soak.site import SoakSite
from coriandershelf_rig.internal.relay import Relay

SLOW_RELAY_DELAY_S = 0.15
# The smallest links of entry VMs carry 5 Mbit/s.
THIN_RELAY_BYTES_PER_S = 625_000.0
# What some hundred routes take.
LARGE_VERSION_BYTES = 200_000
# A stated request limit binds only some seconds after it was first stated.
LIMIT_PER_S = 12.0
LIMIT_EXTRA_S = 6.0
POLL_PERIOD_S = 0.05
# After its start a VM first reads the configuration and the registry.
STARTUP_S = 2.0
KILL_ALL_MAX_S = 1.0
SIGKILL_EXIT_CODE = -signal.SIGKILL
# Before a process has installed its signal handlers, and so before it serves, SIGTERM kills it.
SIGNAL_HANDLERS_READY_S = 1.5
INTERPRETER_START_S = 0.25


class FaultInjector:
    """Injects faults into a site, at most one process fault per entry VM at a time."""

    def __init__(self, site: SoakSite, stop_limit_s: float, until_s: float) -> None:
        self._site = site
        self._stop_limit_s = stop_limit_s
        self._busy_vms: set[int] = set()
        self._busy_replicas: set[int] = set()
        engines = [replica for replica in site.replicas if replica.service == "engine"]
        self.restarts = ReplicaRestarts(
            site, engines, self._busy_replicas, self._kill_all_when_free, until_s
        )
        self.crashes = ReplicaRestarts(
            site, site.process_replicas, self._busy_replicas, self._kill_all_when_free, until_s
        )
        self.disturbances: list[Disturbance] = []
        # Index of a replica with the period in which the path to it was disturbed.
        self.replica_disturbances: list[tuple[int, float, float]] = []
        self.revoked_at_s: dict[str, float] = {}
        self.violations: list[str] = []
        self.counts: dict[str, int] = {}

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, wait for its duration and end it."""
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        component, _, mode = fault.kind.partition("-")
        if fault.kind in ("kill", "pause", "stop", "double-stop", "reload"):
            await self._inject_vm_fault(fault)
        elif fault.kind == "kill-all":
            await self._kill_all(fault.duration_s)
        elif fault.kind == "roll-and-kill-all":
            await self._roll_and_kill_all(fault.duration_s)
        elif component == "restart":
            await self.restarts.inject(fault)
        elif component == "crash":
            await self.crashes.inject(fault)
        elif component == "store" and mode in ("cut", "silent", "slow", "one-way", "thin"):
            await _inject_relay_fault(self._site.store_relays[fault.target], mode, fault.duration_s)
        elif component == "replica" and mode in ("cut", "silent", "slow"):
            relay = self._site.replicas[fault.target].relay
            assert relay is not None, "every replica of the site must have been started"
            from_s = time.monotonic()
            await _inject_relay_fault(relay, mode, fault.duration_s)
            self.replica_disturbances.append((fault.target, from_s, time.monotonic()))
        elif component == "replica":
            await self._inject_replica_fault(
                self._site.replicas[fault.target], mode, fault.duration_s
            )
        elif component == "store":
            await self._inject_store_fault(mode, fault)
        else:
            self._change_configuration(fault.kind)

    async def _inject_vm_fault(self, fault: Fault) -> None:
        number = fault.target
        if number in self._busy_vms:
            return
        self._busy_vms.add(number)
        from_s = time.monotonic()
        action: Callable[[int, float], Awaitable[None]] = {
            "kill": self._kill, "pause": self._pause, "stop": self._stop,
            "double-stop": self._stop_twice, "reload": self._reload,
        }[fault.kind]  # fmt: skip
        try:
            await action(number, fault.duration_s)
        finally:
            self._busy_vms.discard(number)
            if fault.kind != "reload":
                to_s = time.monotonic() + STARTUP_S
                self.disturbances.append(Disturbance(number, from_s, to_s))

    async def _kill(self, number: int, duration_s: float) -> None:
        self._site.processes.signal(f"vm-{number}", signal.SIGKILL)
        await asyncio.sleep(duration_s)
        self._restart_vm(number, SIGKILL_EXIT_CODE)

    async def _pause(self, number: int, duration_s: float) -> None:
        self._site.processes.signal(f"vm-{number}", signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._site.processes.signal(f"vm-{number}", signal.SIGCONT)

    async def _stop(self, number: int, duration_s: float) -> None:
        may_lack_handlers = (
            time.monotonic() - self._site.started_at_s[number] < SIGNAL_HANDLERS_READY_S
        )
        self._site.processes.signal(f"vm-{number}", signal.SIGTERM)
        await self._await_exit(number, may_lack_handlers)

    async def _stop_twice(self, number: int, duration_s: float) -> None:
        may_lack_handlers = (
            time.monotonic() - self._site.started_at_s[number] < SIGNAL_HANDLERS_READY_S
        )
        self._site.processes.signal(f"vm-{number}", signal.SIGTERM)
        await asyncio.sleep(min(0.5, duration_s))
        self._site.processes.signal(f"vm-{number}", signal.SIGTERM)
        await self._await_exit(number, may_lack_handlers)

    async def _reload(self, number: int, duration_s: float) -> None:
        # SIGHUP kills a process whose interpreter has not yet started to run the program.
        while time.monotonic() - self._site.started_at_s[number] < INTERPRETER_START_S:
            await asyncio.sleep(POLL_PERIOD_S)
        self._site.processes.signal(f"vm-{number}", signal.SIGHUP)

    async def _await_exit(self, number: int, may_lack_handlers: bool) -> None:
        until_s = time.monotonic() + self._stop_limit_s
        while self._site.processes.is_running(f"vm-{number}") and time.monotonic() < until_s:
            await asyncio.sleep(POLL_PERIOD_S)
        if self._site.processes.is_running(f"vm-{number}"):
            self.violations.append(f"VM {number} still runs {self._stop_limit_s} s after SIGTERM")
            self._site.processes.signal(f"vm-{number}", signal.SIGKILL)
            self._restart_vm(number, SIGKILL_EXIT_CODE)
            return
        self._restart_vm(number, *((0, -signal.SIGTERM) if may_lack_handlers else (0,)))

    def _restart_vm(self, number: int, *expected_codes: int) -> None:
        exit_code = self._site.processes.wait(f"vm-{number}", 2.0)
        if exit_code not in expected_codes:
            self.violations.append(
                f"VM {number} exited with code {exit_code} instead of {expected_codes[0]}"
            )
        self._site.start_vm(number)

    async def _kill_all_when_free(self) -> None:
        while self._busy_vms:
            await asyncio.sleep(POLL_PERIOD_S)
        await self._kill_all(KILL_ALL_MAX_S)

    async def _kill_all(self, duration_s: float) -> None:
        if self._busy_vms:
            return
        numbers = range(self._site.vm_count)
        self._busy_vms.update(numbers)
        from_s = time.monotonic()
        for number in numbers:
            self._site.processes.signal(f"vm-{number}", signal.SIGKILL)
        await asyncio.sleep(min(KILL_ALL_MAX_S, duration_s))
        for number in numbers:
            self._restart_vm(number, SIGKILL_EXIT_CODE)
            self.disturbances.append(Disturbance(number, from_s, time.monotonic() + STARTUP_S))
        self._busy_vms.clear()

    async def _roll_and_kill_all(self, duration_s: float) -> None:
        """Upgrade two of three replicas, and kill all VMs while the old ones drain.

        Short drains end while no VM runs. Callers then take their streams up at VMs that have
        seen neither version.
        """
        rolled = [item for index, item in enumerate(self._site.replicas) if index % 3]
        upgrades = [self._restart_replica(item, "upgrade", duration_s) for item in rolled]
        upgraded = asyncio.gather(*upgrades)
        await asyncio.sleep(duration_s / 2.0)
        await self._kill_all(duration_s)
        await upgraded

    async def _inject_replica_fault(
        self, replica: SoakReplica, mode: str, duration_s: float
    ) -> None:
        if mode in ("restart", "leave", "upgrade"):
            await self._restart_replica(replica, mode, duration_s)
            return
        if mode == "limits":
            replica.state_limit(LIMIT_PER_S)
            await asyncio.sleep(duration_s + LIMIT_EXTRA_S)
            replica.end_limit()
            return
        replica.fault_mode = mode
        await asyncio.sleep(duration_s)
        replica.fault_mode = ""

    async def _restart_replica(self, replica: SoakReplica, mode: str, duration_s: float) -> None:
        """Register a replica anew under another id at the same address, as after a restart.

        :param mode: ``leave`` and ``upgrade`` announce it as draining first; ``upgrade`` also
            changes its software version.
        """
        if id(replica) in self._busy_replicas:
            return
        self._busy_replicas.add(id(replica))
        if mode != "restart":
            self._site.register(replica, "draining")
            await asyncio.sleep(duration_s)
        self._site.unregister(replica)
        replica.end_limit()
        replica.incarnation += 1
        replica.started_at_ms = int(time.time() * 1e3)
        if mode == "upgrade":
            replica.version += 1
        await asyncio.sleep(0.1)
        self._site.register(replica)
        self._busy_replicas.discard(id(replica))

    async def _inject_store_fault(self, mode: str, fault: Fault) -> None:
        store = self._site.store
        if mode == "drops-history":
            for topic in store.topics.values():
                topic.drop_history()
            return
        if mode == "refuses":
            with self._site.outage(expires_entries=False):
                await asyncio.sleep(fault.duration_s)
            return
        if mode == "late-writes":
            with self._site.late_writes(random.Random(str(fault))):
                await asyncio.sleep(fault.duration_s)
            return
        assert mode == "loses-answers", mode
        store.lose_answers = True
        await asyncio.sleep(fault.duration_s)
        store.lose_answers = False

    def _change_configuration(self, kind: str) -> None:
        api_keys = self._site.api_keys
        if kind == "key-taken-away":
            revoked_key = api_keys.pop(0)
            api_keys.append(f"key-{len(self.revoked_at_s) + 2}")
            self._site.publish()
            self.revoked_at_s[revoked_key] = time.monotonic()
            return
        self._site.publish(LARGE_VERSION_BYTES if kind == "large-version" else 0)


async def _inject_relay_fault(relay: Relay, mode: str, duration_s: float) -> None:
    if mode == "cut":
        await relay.cut()
    elif mode == "silent":
        relay.stall_connections()
    elif mode == "slow":
        relay.delay_s = SLOW_RELAY_DELAY_S
    elif mode == "thin":
        relay.bytes_per_s = THIN_RELAY_BYTES_PER_S
    else:
        relay.drop_responses = True
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(duration_s)
    relay.accept_connections()
    relay.delay_s = 0.0
    relay.bytes_per_s = math.inf
    relay.drop_responses = False
