"""Jobs under faults at random times, in virtual time; the seed determines the run."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.vocabulary.events import ReclaimNotice, VmState
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import Deployment, kingston
from coriandershelf_rig.internal.job_callers import JobCallers, LoadBalancer

FAULT_PHASE_S = 60.0
RECOVERY_S = 90.0
JOBS_PER_S = 0.7
FAULT_INTERVAL_S = 4.0
LIST_LAG_S = 1.0
REPLACEMENT_DELAY_S = 4.0


@dataclass(slots=True)
class JobFaultsResult:
    """The result of one run.

    :param jobs: accepted jobs.
    :param incomplete: accepted jobs that did not end or whose output was incomplete.
    :param inconsistent: jobs with a read that did not continue where the caller had stopped.
    :param restarted: jobs whose output was lost after their caller had read part of it.
    """

    jobs: int = 0
    incomplete: int = 0
    inconsistent: int = 0
    restarted: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    counters: dict[str, int] = field(default_factory=dict)


class JobFaults:
    """A load of jobs and a schedule of random faults.

    :param kinds: faults to choose from, keys of ``FAULTS``.
    """

    def __init__(
        self,
        seed: int,
        kinds: tuple[str, ...],
        disabled: frozenset[str] = frozenset(),
        deployment: Deployment | None = None,
    ) -> None:
        self.bench = Bench(deployment or kingston(), seed, disabled=disabled)
        self.rng = random.Random(seed)
        self.result = JobFaultsResult()
        self._kinds = kinds
        self._cuts: set[tuple[str, str]] = set()
        self.bench.is_cut = lambda source, target: (source, target) in self._cuts
        self.bench.run(1.0)
        balancer = LoadBalancer(self.bench, 1.0)
        balancer.watch()
        self.callers = JobCallers(self.bench, balancer.choose)

    def run(self) -> JobFaultsResult:
        """Run the schedule, let every fault end, and return the result."""
        self._schedule(JOBS_PER_S, self._post_job)
        self._schedule(1 / FAULT_INTERVAL_S, self._inject_fault)
        self.bench.run(FAULT_PHASE_S + RECOVERY_S)
        result = self.result
        accepted = [job for job in self.callers.jobs if job.accepted]
        result.jobs = len(accepted)
        result.incomplete = sum(not job.is_complete for job in accepted)
        result.inconsistent = sum(job.inconsistent for job in accepted)
        result.restarted = sum(job.restarted for job in accepted)
        result.counters = dict(self.bench.counters)
        return result

    def _schedule(self, rate_per_s: float, callback: Callable[[], None]) -> None:
        at_s = self.rng.expovariate(rate_per_s)
        while at_s < FAULT_PHASE_S:
            self.bench.at(at_s, callback)
            at_s += self.rng.expovariate(rate_per_s)

    def _post_job(self) -> None:
        customer = self.rng.choice(self.bench.deployment.customers).name
        self.callers.post(customer, self.rng.randint(50, 1200))

    def _inject_fault(self) -> None:
        kind = self.rng.choice(self._kinds)
        self.result.faults[kind] += 1
        FAULTS[kind](self)

    def choose_entry(self) -> str:
        """Return a random entry VM that is live and not paused."""
        alive = [
            vm_id
            for vm_id, entry in self.bench.entries.items()
            if entry.alive and not entry.paused and self.bench.vms[vm_id].state is VmState.LIVE
        ]
        return self.rng.choice(alive)

    def kill(self) -> None:
        """Crash an entry VM without notice; a replacement takes its name later."""
        self._replace(self.choose_entry())

    def reclaim(self) -> None:
        """Give notice of an entry VM's reclaim, then reclaim it."""
        vm_id = self.choose_entry()
        notice_s = self.rng.uniform(1.0, 6.0)
        self.bench.set_vm_state(vm_id, VmState.LEAVING)
        for observer in self.bench.entries:
            self.bench.feed(observer, ReclaimNotice(vm_id, self.bench.now_s + notice_s))
        self.bench.at(notice_s, lambda: self._replace(vm_id))

    def pause(self) -> None:
        """Suspend an entry VM for a while."""
        vm_id = self.choose_entry()
        entry = self.bench.entries[vm_id]
        self.bench.pause_entry(vm_id)

        def resume() -> None:
            if entry.alive:
                self.bench.resume_entry(vm_id)

        self.bench.at(self.rng.uniform(1.0, 15.0), resume)

    def cut_one_way(self) -> None:
        """Drop one entry VM's messages to another VM or to the log for a while."""
        source = self.choose_entry()
        target = self.rng.choice([*self.bench.entries, "log"])
        self._add_cuts({(source, target)}, self.rng.uniform(1.0, 12.0))

    def cut_zone(self) -> None:
        """Cut one zone's entry VMs off from the others, and in half of the cases from the log."""
        zone = self.rng.choice(self.bench.deployment.zones)
        zone_of = {vm_id: entry.zone for vm_id, entry in self.bench.entries.items()}
        cuts = {
            (sender, receiver)
            for sender in zone_of
            for receiver in zone_of
            if self._crosses_zone_border(zone, sender, receiver)
        }
        if self.rng.random() < 0.5:
            cuts |= {(vm_id, "log") for vm_id, name in zone_of.items() if name == zone}
        self._add_cuts(cuts, self.rng.uniform(2.0, 12.0))

    def log_outage(self) -> None:
        """Take the log down for a while."""
        self.bench.log.down = True
        self.bench.at(self.rng.uniform(2.0, 15.0), lambda: setattr(self.bench.log, "down", False))

    def lose_answers(self) -> None:
        """Let the log drop a share of its answers for a while."""
        self.bench.log.lost_answer_share = 0.4
        self.bench.at(10.0, lambda: setattr(self.bench.log, "lost_answer_share", 0.0))

    def kill_upstream(self) -> None:
        """Crash a replica and restart it later."""
        alive = [name for name, upstream in self.bench.upstreams.items() if upstream.alive]
        replica_id = self.rng.choice(alive)
        self.bench.kill_upstream(replica_id)
        self.bench.at(REPLACEMENT_DELAY_S, lambda: self.bench.restart_upstream(replica_id))

    def _crosses_zone_border(self, zone: str, sender: str, receiver: str) -> bool:
        entries = self.bench.entries
        return (entries[sender].zone == zone) != (entries[receiver].zone == zone)

    def _add_cuts(self, cuts: set[tuple[str, str]], duration_s: float) -> None:
        self._cuts |= cuts
        self.bench.at(duration_s, lambda: self._cuts.difference_update(cuts))

    def _replace(self, vm_id: str) -> None:
        entry = self.bench.entries[vm_id]
        self.bench.kill_entry(vm_id)
        self.bench.at(LIST_LAG_S, lambda: self.bench.set_vm_state(vm_id, VmState.GONE))
        self.bench.at(REPLACEMENT_DELAY_S, lambda: self._restart(vm_id, entry.zone))

    def _restart(self, vm_id: str, zone: str) -> None:
        if not self.bench.entries[vm_id].alive:
            self.bench.start_entry(vm_id, zone)


FAULTS: dict[str, Callable[[JobFaults], None]] = {
    "kill": JobFaults.kill,
    "reclaim": JobFaults.reclaim,
    "pause": JobFaults.pause,
    "cut": JobFaults.cut_one_way,
    "cut-zone": JobFaults.cut_zone,
    "log-outage": JobFaults.log_outage,
    "lost-answers": JobFaults.lose_answers,
    "kill-upstream": JobFaults.kill_upstream,
}
