"""Plays the entries of a day on a site's processes."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from coriandershelf_rig.internal.site_day.site import (
    STORE_IP,
    Cut,
    ReplicaHandle,
    SiteProcesses,
    Vm,
)
from coriandershelf_rig.internal.site_day.site_file import Entry

LINGER_MAX_S = 5.0
SAME_ID_SHARE = 0.6
OTHER_VERSION_SHARE = 0.6
START_SPREAD_S = 0.3
SLOW_PERIOD_S = 0.1
STATE_FORMS = ("silent", "busy", "reset", "many")
GREY_FORMS = ("errors", "shed", "busy", "hang", "reset", "mute")
CALLER_FAULTS = ("burst", "hot_key", "hot_tenant", "retry_abuse", "give_up")

# The words of an entry that change how it is played.
PLAYED_WORDS = frozenset(
    {
        "ahead", "all", "back", "busy", "cut", "dark", "drain", "drop", "errors", "extra",
        "fronts", "freeze", "gone", "hang", "keyed", "kill", "lapse", "late", "many", "mute",
        "newer", "nodes", "off", "one_way", "planned", "power", "reborn", "reclaim", "remove",
        "reset", "rest", "revoke", "route", "servers", "shed", "silent", "some", "spot",
        "tenant", "timeout", "unframed",
    }  # fmt: skip
)
# Name of the fault at a replica, with the usual figure and the usual share of the replicas.
MARRED = {
    "srv_grey": ("grey", 0.4, 0.15),
    "srv_slow": ("slow", 4.0, 0.15),
    "answer_lost": ("lost", 0.03, 0.5),
    "garble": ("garble", 0.02, 0.5),
}

Item = TypeVar("Item")


class FaultPlayer:
    """Plays entries; each draws its targets from the seed and its own words."""

    def __init__(self, site: SiteProcesses, seed: int, echo: Callable[[str], None]) -> None:
        self._site = site
        self._seed = seed
        self._echo = echo
        self._names = itertools.count(1)
        self.not_played: dict[str, str] = {}
        # Name, beginning and end of each entry, in Unix time.
        self.played: list[tuple[str, float, float]] = []
        self.late_stops: list[str] = []
        self._actions: dict[str, Callable[[Entry, random.Random], Awaitable[None]]] = {
            "node_kill": self._kill_vms, "herd_kill": self._kill_vms,
            "kill_leader": self._kill_leader, "after_ack_kill": self._kill_after_ack,
            "node_freeze": self._freeze_vms, "node_slow": self._slow_vms,
            "roll_term": self._roll_vms, "add_nodes": self._add_vms,
            "replace_core": self._replace_vm, "hup": self._reload_vms,
            "srv_crash": self._crash_replicas, **dict.fromkeys(MARRED, self._mar_replicas),
            "release": self._release, "scale_in": self._scale_in, "scale_out": self._scale_out,
            "replace_with_reuse": self._reuse_addresses, "reset_conns": self._reset_connections,
            "srv_cut": self._cut_replicas, "node_cut": self._cut_vms, "core_cut": self._cut_vms,
            "zone_cut": self._cut_zone,
            "clock_step": self._step_clocks, "platform_down": self._disturb_store,
            "platform_slow": self._slow_store, "platform_lost": self._lose_writes,
            "platform_compact": self._compact_store, "config_change": self._change_configuration,
            "config_storm": self._change_often, "big_config": self._add_routes,
            "revoke": self._revoke, **dict.fromkeys(CALLER_FAULTS, self._change_callers),
        }  # fmt: skip

    def plan(self, entries: Sequence[Entry]) -> list[Entry]:
        """Return the entries that can be played, and record the others."""
        for entry in entries:
            ignored = ", ".join(sorted(entry.how - PLAYED_WORDS))
            if entry.kind not in self._actions:
                self.not_played[str(entry)] = "the whole"
            elif ignored:
                self.not_played[str(entry)] = f"the words {ignored}"
        return [entry for entry in entries if entry.kind in self._actions]

    async def play(self, entries: Sequence[Entry], start_at_s: float) -> None:
        """Play entries at their times."""
        tasks = []
        for number, entry in enumerate(self.plan(entries)):
            await asyncio.sleep(max(0.0, start_at_s + entry.at_s - time.time()))
            self._echo(f"{time.time() - start_at_s:6.1f} s  {entry}")
            rng = random.Random(f"{self._seed}/{number}/{entry}")
            tasks.append(asyncio.create_task(self._play_one(entry, rng)))
        await asyncio.gather(*tasks)

    async def _play_one(self, entry: Entry, rng: random.Random) -> None:
        from_s = time.time()
        index = len(self.played)
        self.played.append((str(entry), from_s, float("inf")))
        await self._actions[entry.kind](entry, rng)
        self.played[index] = (str(entry), from_s, time.time())

    # Entry VMs

    def _vms(self, entry: Entry, rng: random.Random, default: float) -> list[Vm]:
        # Busy ones are drawn as well, so that what is drawn does not depend on the run.
        candidates = [vm for vm in self._site.vms.values() if entry.zone in (None, vm.zone)]
        return [vm for vm in _drawn(candidates, entry, rng, default) if not vm.is_busy]

    async def _kill_vms(self, entry: Entry, rng: random.Random) -> None:
        await self._kill(self._vms(entry, rng, 0.6 if entry.kind == "herd_kill" else 0.1), entry)

    async def _kill_leader(self, entry: Entry, rng: random.Random) -> None:
        if "freeze" in entry.how:
            await self._freeze(self._vms(entry, rng, 0.01), entry.duration_s)
        else:
            await self._kill(self._vms(entry, rng, 0.01), entry)

    async def _kill_after_ack(self, entry: Entry, rng: random.Random) -> None:
        self._site.publish()
        await self._kill(self._vms(entry, rng, 0.01), entry)

    async def _kill(self, vms: list[Vm], entry: Entry) -> None:
        has_power = not entry.how & {"power", "off"}
        for vm in vms:
            vm.is_busy = True
            # A VM without power sends nothing, not even the end of its connections.
            self._site.processes.signal(vm.name, signal.SIGKILL if has_power else signal.SIGSTOP)
        await asyncio.sleep(min(entry.duration_s, 1.0) if has_power else entry.duration_s)
        for vm in vms:
            self._site.kill_vm(vm)
            self._site.start_vm(vm)
            vm.is_busy = False

    async def _freeze_vms(self, entry: Entry, rng: random.Random) -> None:
        await self._freeze(self._vms(entry, rng, 0.1), entry.duration_s)

    async def _freeze(self, vms: list[Vm], duration_s: float) -> None:
        for vm in vms:
            vm.is_busy = True
            self._site.processes.signal(vm.name, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        for vm in vms:
            self._site.processes.signal(vm.name, signal.SIGCONT)
            vm.is_busy = False

    async def _slow_vms(self, entry: Entry, rng: random.Random) -> None:
        vms = self._vms(entry, rng, 0.1)
        run_s = SLOW_PERIOD_S / (entry.x or 5.0)
        until_s = time.monotonic() + entry.duration_s
        for vm in vms:
            vm.is_busy = True
        while time.monotonic() < until_s:
            for number, pause_s in (
                (signal.SIGSTOP, SLOW_PERIOD_S - run_s),
                (signal.SIGCONT, run_s),
            ):
                for vm in vms:
                    self._site.processes.signal(vm.name, number)
                await asyncio.sleep(pause_s)
        for vm in vms:
            vm.is_busy = False

    async def _roll_vms(self, entry: Entry, rng: random.Random) -> None:
        vms = self._vms(entry, rng, 1.0)
        step = max(1, int(entry.x or 1))
        for index in range(0, len(vms), step):
            await asyncio.gather(*(self._restart(vm, entry) for vm in vms[index : index + step]))
            await asyncio.sleep(entry.gap_s)

    async def _restart(self, vm: Vm, entry: Entry) -> None:
        if vm.is_busy or vm.name not in self._site.vms:
            return
        vm.is_busy = True
        if not await self._site.stop_vm(vm):
            self.late_stops.append(vm.name)
        if "remove" in entry.how:
            self._site.remove_vm(vm)
            return
        self._site.start_vm(vm)
        vm.is_busy = False

    async def _add_vms(self, entry: Entry, rng: random.Random) -> None:
        spares = [
            zone for zone, count in self._site.site.spare_counts.items() for _ in range(count)
        ]
        for zone in _drawn(spares, entry, rng, 1.0):
            self._site.add_vm(zone)

    async def _replace_vm(self, entry: Entry, rng: random.Random) -> None:
        for vm in self._vms(entry, rng, 0.01):
            vm.is_busy = True
            if "planned" in entry.how:
                self._site.add_vm(vm.zone)
                await self._site.stop_vm(vm)
                self._site.remove_vm(vm)
                continue
            self._site.kill_vm(vm)
            self._site.remove_vm(vm)
            await asyncio.sleep(entry.x or 1.0)
            self._site.add_vm(vm.zone)

    async def _reload_vms(self, entry: Entry, rng: random.Random) -> None:
        for vm in self._vms(entry, rng, 0.3):
            self._site.processes.signal(vm.name, signal.SIGHUP)
            await asyncio.sleep(entry.gap_s)

    # Replicas

    def _replicas(
        self, entry: Entry, rng: random.Random, default: float, spares_one: bool = True
    ) -> list[ReplicaHandle]:
        services = list(self._site.site.services)
        service = entry.service or rng.choice(services)
        candidates = [
            item for item in self._site.of_service(service) if entry.zone in (None, item.zone)
        ]
        drawn = _drawn(candidates, entry, rng, default)
        if spares_one and "all" not in entry.how and len(drawn) == len(candidates):
            drawn = drawn[1:]
        return [item for item in drawn if not item.is_busy]

    async def _crash_replicas(self, entry: Entry, rng: random.Random) -> None:
        replicas = self._replicas(entry, rng, 0.15)
        crashes = [
            self._crash(
                item,
                entry.duration_s,
                "dark" in entry.how,
                "gone" in entry.how,
                random.Random(rng.random()),
            )
            for item in replicas
        ]
        await asyncio.gather(*crashes)

    async def _crash(
        self,
        replica: ReplicaHandle,
        down_s: float,
        is_dark: bool,
        is_gone: bool,
        rng: random.Random,
        keeps_id: bool | None = None,
    ) -> None:
        """End a replica's process; the next one may have its id and another version."""
        if replica.is_busy or replica.slot not in self._site.replicas:
            return
        replica.is_busy = True
        if is_dark:
            self._site.tell(replica, do="dark")
        else:
            self._site.kill_replica(replica)
        if is_gone:
            await asyncio.sleep(down_s)
            self._site.kill_replica(replica)
            del self._site.replicas[replica.slot]
            return
        await asyncio.sleep(rng.uniform(0.5, 1.0) * down_s)
        self._site.kill_replica(replica)
        if keeps_id is None:
            keeps_id = rng.random() < SAME_ID_SHARE
        if not keeps_id:
            replica.incarnation += 1
        if rng.random() < OTHER_VERSION_SHARE:
            newest = self._site.newest(replica.service)
            replica.version = newest if replica.version < newest else newest + 1
        await self._site.start_replica(replica)
        replica.is_busy = False

    async def _mar_replicas(self, entry: Entry, rng: random.Random) -> None:
        name, usual, default = MARRED[entry.kind]
        form = next((word for word in GREY_FORMS if word in entry.how), "errors")
        how = form if name == "grey" else sorted(entry.how)
        services = [entry.service] if entry.service else list(self._site.site.services)
        hit = []
        for service in services:
            candidates = self._site.of_service(service)
            hit += _drawn(candidates, entry, rng, default)
        for replica in hit:
            self._site.tell(replica, do="fault", name=name, x=entry.x or usual, how=how)
        await asyncio.sleep(entry.duration_s)
        for replica in hit:
            self._site.tell(replica, do="mend", name=name)

    async def _release(self, entry: Entry, rng: random.Random) -> None:
        services = list(self._site.site.services)
        service = entry.service or rng.choice(services)
        newest = self._site.newest(service)
        version = newest
        if "newer" in entry.how and "rest" not in entry.how:
            version = newest + 1
        old = [
            item
            for item in self._site.of_service(service)
            if not item.is_busy and (item.version < version or version == newest)
        ]
        if "rest" in entry.how:
            old = [item for item in old if item.version < newest]
        drawn = _drawn(old, entry, rng, 0.5)
        step = max(1, int(entry.x or 1))
        tasks = []
        for index in range(0, len(drawn), step):
            for replica in drawn[index : index + step]:
                tasks.append(asyncio.create_task(self._replace(replica, version, rng)))
            await asyncio.sleep(entry.gap_s)
        await asyncio.gather(*tasks)

    async def _replace(self, replica: ReplicaHandle, version: int, rng: random.Random) -> None:
        if replica.is_busy:
            return
        replica.is_busy = True
        await self._site.add_replica(replica.service, replica.zone, version)
        await asyncio.sleep(rng.uniform(0.5, 1.5))
        await self._drain(replica, self._site.site.drain_s, rng)

    async def _drain(self, replica: ReplicaHandle, drain_s: float, rng: random.Random) -> None:
        self._site.tell(replica, do="drain")
        await asyncio.sleep(drain_s + rng.uniform(0.2, LINGER_MAX_S))
        self._site.tell(replica, do="leave")
        await asyncio.sleep(0.3)
        self._site.kill_replica(replica)
        self._site.replicas.pop(replica.slot, None)

    async def _scale_in(self, entry: Entry, rng: random.Random) -> None:
        if entry.how & {"reclaim", "spot"}:
            service = entry.service or next(iter(self._site.site.services))
            zone = entry.zone or rng.choice(list(self._site.site.vm_counts))
            hit = [
                item
                for item in self._site.of_service(service)
                if item.zone == zone and not item.is_busy
            ]
            # Nobody orders replicas elsewhere here, so some of each zone stay.
            hit = hit[: (len(hit) + 1) // 2]
            if len(hit) >= len(self._site.of_service(service)):
                hit = hit[1:]
            notice_s = entry.x or 2.5
        else:
            hit, notice_s = self._replicas(entry, rng, 0.15), self._site.site.drain_s
        for replica in hit:
            replica.is_busy = True
        versions = [(item.service, item.zone, item.version) for item in hit]
        await asyncio.gather(*(self._drain(item, notice_s, rng) for item in hit))
        await asyncio.sleep(entry.duration_s)
        for service, zone, version in versions:
            await self._site.add_replica(service, zone, version)

    async def _scale_out(self, entry: Entry, rng: random.Random) -> None:
        for replica in self._replicas(entry, rng, 0.3, spares_one=False):
            await self._site.add_replica(replica.service, replica.zone)

    async def _reuse_addresses(self, entry: Entry, rng: random.Random) -> None:
        for replica in self._replicas(entry, rng, 0.15):
            services = [name for name in self._site.site.services if name != replica.service]
            await self._crash(replica, 2.0, "dark" in entry.how, True, rng)
            if services:
                heir = ReplicaHandle(
                    f"{replica.slot}-heir", rng.choice(services), replica.zone, replica.ip
                )
                heir.version = self._site.newest(heir.service)
                self._site.replicas[heir.slot] = heir
                await self._site.start_replica(heir)

    async def _reset_connections(self, entry: Entry, rng: random.Random) -> None:
        for replica in list(self._site.replicas.values()):
            self._site.tell(replica, do="reset", share=(entry.x or 0.5) * (entry.share or 0.1))

    # Paths

    async def _hold(self, pairs: set[tuple[str, str]], entry: Entry) -> None:
        form = next((word for word in ("reset", "one_way") if word in entry.how), "drop")
        cut = Cut(frozenset(pairs), form)
        self._site.cut(cut)
        await asyncio.sleep(entry.duration_s)
        self._site.heal(cut)

    async def _cut_replicas(self, entry: Entry, rng: random.Random) -> None:
        hit = self._replicas(entry, rng, 0.2)
        pairs = {(replica.ip, STORE_IP) for replica in hit}
        if entry.how & {"fronts", "some"}:
            vms = list(self._site.vms.values())
            count = max(1, round((entry.x or 0.3) * len(vms)))
            cut_off = rng.sample(vms, min(count, len(vms)))
            pairs |= {(vm.ip, replica.ip) for vm in cut_off for replica in hit}
            if "some" in entry.how:
                pairs -= {(replica.ip, STORE_IP) for replica in hit}
        await asyncio.gather(self._hold(pairs, entry), self._bear_again(hit, entry, rng))

    async def _bear_again(
        self, replicas: list[ReplicaHandle], entry: Entry, rng: random.Random
    ) -> None:
        """Have replicas crash behind a cut and start again under their ids."""
        if "reborn" not in entry.how:
            return
        crashes = []
        for replica in replicas:
            down_s = min(1.0, entry.duration_s) * rng.uniform(0.2, 1.0)
            is_dark = rng.random() < 0.5
            drawn = random.Random(rng.random())
            crashes.append(self._crash(replica, down_s, is_dark, False, drawn, keeps_id=True))
        await asyncio.sleep(rng.uniform(0.0, START_SPREAD_S))
        await asyncio.gather(*crashes)

    async def _cut_vms(self, entry: Entry, rng: random.Random) -> None:
        if "servers" in entry.how:
            hit = self._replicas(entry, rng, 0.1)
            pairs = {(vm.ip, item.ip) for vm in self._site.vms.values() for item in hit}
            await asyncio.gather(self._hold(pairs, entry), self._bear_again(hit, entry, rng))
            return
        vms = self._vms(entry, rng, 0.1 if entry.kind == "node_cut" else 0.01)
        others = [vm for vm in self._site.vms.values() if vm not in vms]
        pairs = {(vm.ip, other.ip) for vm in vms for other in others}
        pairs |= {(vm.ip, STORE_IP) for vm in vms}
        if "revoke" in entry.how:
            self._take_keys(rng, 1)
        await self._hold(pairs, entry)

    async def _cut_zone(self, entry: Entry, rng: random.Random) -> None:
        zone = entry.zone or rng.choice(list(self._site.site.vm_counts))
        ends: list[Vm | ReplicaHandle] = [
            *self._site.vms.values(), *self._site.replicas.values(),
        ]  # fmt: skip
        inside = [item for item in ends if item.zone == zone]
        outside = [item for item in ends if item.zone != zone]
        pairs = set()
        for first in inside:
            for second in outside:
                vm, other = (first, second) if isinstance(first, Vm) else (second, first)
                if isinstance(vm, Vm):
                    pairs.add((vm.ip, other.ip))
        # The store is in one of the zones.
        is_with_store = rng.random() < 1.0 / len(self._site.site.vm_counts)
        pairs |= {(item.ip, STORE_IP) for item in (outside if is_with_store else inside)}
        await self._hold(pairs, entry)

    async def _step_clocks(self, entry: Entry, rng: random.Random) -> None:
        """Have the time of day jump; a replica notices it when it starts."""
        ends: list[Vm | ReplicaHandle] = [
            *self._site.vms.values(), *self._site.replicas.values(),
        ]  # fmt: skip
        step_s = (entry.x or 2_000.0) / 1e3 * (-1.0 if "back" in entry.how else 1.0)
        hit = [item.ip for item in _drawn(ends, entry, rng, 0.3)]
        self._site.steps_s.update(dict.fromkeys(hit, step_s))
        self._site.write_surroundings()
        await asyncio.sleep(entry.duration_s)
        for ip in hit:
            self._site.steps_s.pop(ip, None)
        self._site.write_surroundings()

    # The store

    async def _disturb_store(self, entry: Entry, rng: random.Random) -> None:
        form = next((word for word in STATE_FORMS if word in entry.how), "silent")
        vms: list[str] = []
        if "nodes" in entry.how:
            vms = [vm.ip for vm in self._vms(entry, rng, 0.35)]
            if not vms:
                return
        name = f"down-{next(self._names)}"
        self._site.tell_store(do="fault", name=name, form=form, vms=vms, lapse="lapse" in entry.how)
        if "revoke" in entry.how:
            self._take_keys(rng, 1)
        await asyncio.sleep(entry.duration_s)
        self._site.tell_store(do="mend", name=name)

    async def _slow_store(self, entry: Entry, rng: random.Random) -> None:
        self._site.tell_store(do="slow", x=entry.x or 50.0)
        await asyncio.sleep(entry.duration_s)
        self._site.tell_store(do="slow", x=0.0)

    async def _lose_writes(self, entry: Entry, rng: random.Random) -> None:
        if "late" in entry.how:
            self._site.tell_store(do="late", share=entry.x or 0.3)
            await asyncio.sleep(entry.duration_s)
            self._site.tell_store(do="late", share=0.0)
            return
        self._site.tell_store(do="lose", on=True)
        await asyncio.sleep(entry.duration_s)
        self._site.tell_store(do="lose", on=False)

    async def _compact_store(self, entry: Entry, rng: random.Random) -> None:
        name = f"compact-{next(self._names)}"
        vms = [vm.ip for vm in self._site.vms.values()]
        self._site.tell_store(do="fault", name=name, form="cut", vms=vms, lapse=False)
        if "drain" in entry.how:
            for replica in self._replicas(entry, rng, 0.01):
                replica.is_busy = True
                task = self._drain(replica, self._site.site.drain_s, rng)
                self._draining = asyncio.create_task(task)
        await asyncio.sleep(1.0)
        self._site.tell_store(do="compact", keyed="keyed" in entry.how)
        self._site.tell_store(do="mend", name=name)

    # Configuration

    async def _change_configuration(self, entry: Entry, rng: random.Random) -> None:
        if "tenant" in entry.how:
            name = f"tenant-{len(self._site.keys)}"
            self._site.keys[name] = [self._site.new_key()]
        if "timeout" in entry.how:
            self._site.timeout_factor = rng.choice((0.9, 1.0, 1.1))
        if "route" in entry.how:
            self._site.extra_routes_count += 1
        self._site.publish()

    async def _change_often(self, entry: Entry, rng: random.Random) -> None:
        count = entry.count or max(1, int(entry.duration_s / entry.gap_s))
        for _ in range(count):
            self._site.publish()
            await asyncio.sleep(entry.gap_s)

    async def _add_routes(self, entry: Entry, rng: random.Random) -> None:
        self._site.extra_routes_count += entry.count or 100
        self._site.publish()

    async def _revoke(self, entry: Entry, rng: random.Random) -> None:
        for _ in range(entry.count or 1):
            self._take_keys(rng, 1)
            await asyncio.sleep(entry.gap_s)

    def _take_keys(self, rng: random.Random, count: int) -> None:
        for _ in range(count):
            tenant = rng.choice(list(self._site.keys))
            keys = self._site.keys[tenant]
            keys.remove(rng.choice(keys))
            keys.append(self._site.new_key())
        self._site.publish()

    # Callers

    async def _change_callers(self, entry: Entry, rng: random.Random) -> None:
        name = f"callers-{next(self._names)}"
        share = entry.share if entry.share is not None else 1.0
        x = entry.x if entry.x is not None or entry.kind == "give_up" else 2.0
        self._site.tell_callers(
            do="fault", name=name, kind=entry.kind, x=x, share=share,
            request_kind=entry.request_kind,
        )  # fmt: skip
        await asyncio.sleep(entry.duration_s)
        self._site.tell_callers(do="mend", name=name)


def _drawn(
    candidates: Sequence[Item], entry: Entry, rng: random.Random, default: float
) -> list[Item]:
    """Return the part of the candidates that an entry hits, at least one of them."""
    count = entry.count
    if count is None:
        count = max(
            1, round((entry.share if entry.share is not None else default) * len(candidates))
        )
    return rng.sample(list(candidates), min(count, len(candidates)))
