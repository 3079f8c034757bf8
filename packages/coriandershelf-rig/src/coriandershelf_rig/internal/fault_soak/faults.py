"""Brings about one fault of a plan and ends it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable

from coriandershelf_rig.internal.fault_soak.judge import Disturbance
from coriandershelf_rig.internal.fault_soak.plan import Fault
from coriandershelf_rig.internal.fault_soak.replicas import SoakReplica
from coriandershelf_rig.internal.fault_soak.site import SoakSite
from coriandershelf_rig.internal.relay import Relay

SLOW_WAY_S = 0.15
POLL_S = 0.05
# After a start a VM reads configuration and registry.
START_S = 2.0
EXIT_KILLED = -signal.SIGKILL
# A process that is asked to stop before it handles signals, and so before it serves, just ends.
YOUNG_S = 1.5
INTERPRETER_START_S = 0.25


class FaultDriver:
    """Applies faults to a site; one entry VM suffers one fault of its process at a time."""

    def __init__(self, site: SoakSite, stop_limit_s: float) -> None:
        self._site = site
        self._stop_limit_s = stop_limit_s
        self._busy_vms: set[int] = set()
        self.disturbances: list[Disturbance] = []
        self.revoked_at_s: dict[str, float] = {}
        self.broken: list[str] = []
        self.counts: dict[str, int] = {}

    async def apply(self, fault: Fault) -> None:
        """Bring about a fault, wait for its time and end it."""
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        sort, _, what = fault.kind.partition("-")
        if fault.kind in ("kill", "pause", "stop", "double-stop", "reload"):
            await self._on_vm(fault)
        elif fault.kind == "kill-all":
            await self._kill_all(fault.last_s)
        elif sort == "store" and what in ("cut", "silent", "slow", "one-way"):
            await _on_way(self._site.store_ways[fault.target], what, fault.last_s)
        elif sort == "replica" and what in ("cut", "silent", "slow"):
            way = self._site.replicas[fault.target].way
            assert way is not None, "a replica of the site was never started"
            await _on_way(way, what, fault.last_s)
        elif sort == "replica":
            await self._on_replica(self._site.replicas[fault.target], what, fault.last_s)
        elif sort == "store":
            await self._on_store(what, fault.last_s)
        else:
            self._on_configuration(fault.kind)

    async def _on_vm(self, fault: Fault) -> None:
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
            await action(number, fault.last_s)
        finally:
            self._busy_vms.discard(number)
            if fault.kind != "reload":
                to_s = time.monotonic() + START_S
                self.disturbances.append(Disturbance(number, from_s, to_s))

    async def _kill(self, number: int, last_s: float) -> None:
        self._site.processes.signal(f"vm-{number}", signal.SIGKILL)
        await asyncio.sleep(last_s)
        self._start_again(number, EXIT_KILLED)

    async def _pause(self, number: int, last_s: float) -> None:
        self._site.processes.signal(f"vm-{number}", signal.SIGSTOP)
        await asyncio.sleep(last_s)
        self._site.processes.signal(f"vm-{number}", signal.SIGCONT)

    async def _stop(self, number: int, last_s: float) -> None:
        young = time.monotonic() - self._site.started_at_s[number] < YOUNG_S
        self._site.processes.signal(f"vm-{number}", signal.SIGTERM)
        await self._ends_in_time(number, young)

    async def _stop_twice(self, number: int, last_s: float) -> None:
        young = time.monotonic() - self._site.started_at_s[number] < YOUNG_S
        self._site.processes.signal(f"vm-{number}", signal.SIGTERM)
        await asyncio.sleep(min(0.5, last_s))
        self._site.processes.signal(f"vm-{number}", signal.SIGTERM)
        await self._ends_in_time(number, young)

    async def _reload(self, number: int, last_s: float) -> None:
        # Before the interpreter runs a line of the program, the signal ends any process.
        while time.monotonic() - self._site.started_at_s[number] < INTERPRETER_START_S:
            await asyncio.sleep(POLL_S)
        self._site.processes.signal(f"vm-{number}", signal.SIGHUP)

    async def _ends_in_time(self, number: int, young: bool) -> None:
        until_s = time.monotonic() + self._stop_limit_s
        while self._site.processes.running(f"vm-{number}") and time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
        if self._site.processes.running(f"vm-{number}"):
            self.broken.append(f"VM {number} runs {self._stop_limit_s} s after it was to stop")
            self._site.processes.signal(f"vm-{number}", signal.SIGKILL)
            self._start_again(number, EXIT_KILLED)
            return
        self._start_again(number, *((0, -signal.SIGTERM) if young else (0,)))

    def _start_again(self, number: int, *expected: int) -> None:
        code = self._site.processes.wait(f"vm-{number}", 2.0)
        if code not in expected:
            self.broken.append(f"VM {number} ended with code {code} in place of {expected[0]}")
        self._site.start_vm(number)

    async def _kill_all(self, last_s: float) -> None:
        if self._busy_vms:
            return
        numbers = range(self._site.vms_count)
        self._busy_vms.update(numbers)
        from_s = time.monotonic()
        for number in numbers:
            self._site.processes.signal(f"vm-{number}", signal.SIGKILL)
        await asyncio.sleep(min(1.0, last_s))
        for number in numbers:
            self._start_again(number, EXIT_KILLED)
            self.disturbances.append(Disturbance(number, from_s, time.monotonic() + START_S))
        self._busy_vms.clear()

    async def _on_replica(self, replica: SoakReplica, what: str, last_s: float) -> None:
        if what in ("restart", "leave"):
            await self._replace(replica, leaves=what == "leave", last_s=last_s)
            return
        replica.mood = what
        await asyncio.sleep(last_s)
        replica.mood = ""

    async def _replace(self, replica: SoakReplica, leaves: bool, last_s: float) -> None:
        """Start a replica anew under another id at the same address, with or without notice."""
        if leaves:
            self._site.register(replica, "draining")
            await asyncio.sleep(last_s)
        self._site.unregister(replica)
        replica.born += 1
        await asyncio.sleep(0.1)
        self._site.register(replica)

    async def _on_store(self, what: str, last_s: float) -> None:
        store = self._site.store
        if what == "drops-history":
            for topic in store.topics.values():
                topic.drop_history()
            return
        name = {"refuses": "refuse", "loses-answers": "lose_answers"}[what]
        setattr(store, name, True)
        await asyncio.sleep(last_s)
        setattr(store, name, False)

    def _on_configuration(self, kind: str) -> None:
        keys = self._site.keys
        if kind == "key-taken-away":
            gone = keys.pop(0)
            keys.append(f"key-{len(self.revoked_at_s) + 2}")
            self._site.publish()
            self.revoked_at_s[gone] = time.monotonic()
            return
        self._site.publish()


async def _on_way(way: Relay, what: str, last_s: float) -> None:
    if what == "cut":
        await way.cut()
    elif what == "silent":
        way.silence()
    elif what == "slow":
        way.delay_s = SLOW_WAY_S
    else:
        way.one_way = True
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(last_s)
    way.heal()
    way.delay_s = 0.0
    way.one_way = False
