"""Restarts of replicas under their ids at another software version, of which VMs see little."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Sequence

from coriandershelf_rig.internal.fault_soak.plan import Fault
from coriandershelf_rig.internal.fault_soak.replicas import SoakReplica
from coriandershelf_rig.internal.fault_soak.site import SoakSite

SERIES_MAX_COUNT = 3
SERIES_PAUSE_MAX_S = 2.0
# Streams must begin between outages, and between losses of all VMs.
SERVED_S = 4.0
REPLICAS_MIN_COUNT, REPLICAS_MAX_COUNT = 2, 3
QUICK_MIN_S, QUICK_MAX_S, DOWN_MAX_S = 0.1, 0.3, 1.2
# Longer than an entry is kept without heartbeats.
CUT_MIN_S, CUT_MAX_S = 4.0, 7.0
OUTAGE_LEAD_S = 0.7
OUTAGE_MIN_S, OUTAGE_MAX_S = 1.0, 4.0
# Share of losses of all VMs that come in an outage, and of outages in which entries expire.
OUTAGE_SHARE = 0.7
EXPIRY_SHARE = 0.3
UNSEEN_WAIT_S = 5.0
# Replicas may be cut off from the store as they start again, so that only late writes tell of them.
MAY_BE_CUT_FORMS = ("unseen", "kill-all", "late-writes")
CRASH_FORMS = ("same-version", "other-version", "new-id")
# Replicas that are killed together die at times that differ by less than a response takes.
CRASH_LEAD_MAX_S = 0.3
UNSEEN_POLL_S = 0.002
# Time for replicas to send registrations that are executed after they have started again, and for
# streams to begin at the next processes before those register in time.
LATE_LEAD_MAX_S = 1.2
LATE_MIN_S, LATE_MAX_S = 1.0, 3.0


class ReplicaRestarts:
    """Restarts some replicas together, in series.

    :param replicas: replicas of one service, or ones that run as processes of their own.
    :param busy: replicas that restart at the moment; shared with other faults.
    :param kill_all: kills and starts all VMs.
    :param until_s: monotonic time after which no series goes on.
    """

    def __init__(
        self,
        site: SoakSite,
        replicas: Sequence[SoakReplica],
        busy: set[int],
        kill_all: Callable[[], Coroutine[None, None, None]],
        until_s: float,
    ) -> None:
        self._site = site
        self._replicas = replicas
        self._busy = busy
        self._kill_all = kill_all
        self._until_s = until_s
        self._disturbs_site = False
        self.counts: dict[str, int] = {}

    async def inject(self, fault: Fault) -> None:
        """Restart replicas once or several times, in the form that a fault's kind names."""
        form = fault.kind.partition("-")[2]
        rng = random.Random(str(fault))
        is_of_site = form in ("outage", "kill-all")
        if is_of_site and self._disturbs_site:
            return
        self._disturbs_site |= is_of_site
        for _ in range(rng.randint(1, SERIES_MAX_COUNT)):
            if time.monotonic() >= self._until_s:
                break
            await self._restart_some(form, fault.target, rng)
            await asyncio.sleep(SERVED_S if is_of_site else rng.uniform(0.0, SERIES_PAUSE_MAX_S))
        self._disturbs_site &= not is_of_site

    async def _restart_some(self, form: str, first: int, rng: random.Random) -> None:
        count = rng.randint(REPLICAS_MIN_COUNT, REPLICAS_MAX_COUNT)
        ordered = [*self._replicas[first:], *self._replicas[:first]]
        chosen = [replica for replica in ordered if id(replica) not in self._busy][:count]
        if not chosen:
            return
        newest = max(replica.version for replica in self._replicas)
        is_outdated = any(replica.version < newest for replica in chosen)
        version = newest if is_outdated else newest + 1
        restarts = [
            (
                self._crash(form, replica, version, rng)
                if form in CRASH_FORMS
                else self._restart(form, replica, version, rng)
            )
            for replica in chosen
        ]
        if form == "kill-all":
            restarts.append(self._kill_all())
        self._busy.update(id(replica) for replica in chosen)
        try:
            if form == "outage" or (form == "kill-all" and rng.random() < OUTAGE_SHARE):
                with self._site.outage(expires_entries=rng.random() < EXPIRY_SHARE):
                    await asyncio.gather(*restarts)
                    await asyncio.sleep(rng.uniform(OUTAGE_MIN_S, OUTAGE_MAX_S))
            elif form == "late-writes":
                with self._site.late_writes(rng):
                    await asyncio.gather(*restarts)
                    await asyncio.sleep(rng.uniform(LATE_MIN_S, LATE_MAX_S))
            else:
                await asyncio.gather(*restarts)
        finally:
            self._busy.difference_update(id(replica) for replica in chosen)

    async def _restart(
        self, form: str, replica: SoakReplica, version: int, rng: random.Random
    ) -> None:
        is_silent = form == "silent" or (form != "quick" and rng.random() < 0.5)
        is_cut = form == "cut" or (form in MAY_BE_CUT_FORMS and rng.random() < 0.5)
        # An outage of the store has the effect of a cut.
        is_cut = is_cut and not self._site.store.refuse
        down_s = rng.uniform(QUICK_MIN_S, QUICK_MAX_S if form == "quick" else DOWN_MAX_S)
        cut_s = rng.uniform(CUT_MIN_S, CUT_MAX_S)
        if form == "outage":
            await asyncio.sleep(OUTAGE_LEAD_S)
        if form == "late-writes":
            if not self._site.store.refuse:
                self._site.register(replica)
            await asyncio.sleep(rng.uniform(0.0, LATE_LEAD_MAX_S))
        if form == "unseen" and not await _await_unseen(replica):
            return
        self.counts[form] = self.counts.get(form, 0) + 1
        replica.reaches_store = not is_cut
        await replica.end_process(is_silent)
        await asyncio.sleep(down_s)
        await replica.start_process(version)
        if is_cut:
            await asyncio.sleep(cut_s)
            replica.reaches_store = True

    async def _crash(
        self, form: str, replica: SoakReplica, version: int, rng: random.Random
    ) -> None:
        """Kill a process; the next one registers at once, or with its first heartbeat."""
        await asyncio.sleep(rng.uniform(0.0, CRASH_LEAD_MAX_S))
        self.counts[form] = self.counts.get(form, 0) + 1
        await replica.end_process(is_silent=False)
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, DOWN_MAX_S))))
        if form == "new-id":
            replica.incarnation += 1
        changes_version = form == "other-version" or (form == "new-id" and rng.random() < 0.5)
        await replica.start_process(version if changes_version else replica.version)
        if rng.random() < 0.5 and not self._site.store.refuse:
            self._site.register(replica)


async def _await_unseen(replica: SoakReplica) -> bool:
    """Wait until no VM is connected to a replica, which asks all VMs for a pause."""
    assert replica.relay is not None, "the replica must have been started"
    replica.is_pausing = True
    until_s = time.monotonic() + UNSEEN_WAIT_S
    while replica.relay.has_connections and time.monotonic() < until_s:
        await asyncio.sleep(UNSEEN_POLL_S)
    replica.is_pausing = False
    return not replica.relay.has_connections
