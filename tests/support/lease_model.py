"""Several VMs that want the duties' lease, before a store whose answers come late or are lost."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.duty_lease import DutyLease, LeaseRecord, LeaseStep

LEASE_S = 3.0
WAIT_S = 3.6
RENEW_S = 1.2
STEP_S = 0.05


@dataclass
class Store:
    """One partition with one key, and writes that are done late."""

    record: LeaseRecord | None = None
    end: int = 0
    late: list[tuple[float, LeaseRecord, int]] = field(default_factory=list)

    def write(self, record: LeaseRecord, at: int) -> bool:
        if at != self.end:
            return False
        self.record, self.end = record, self.end + 1
        return True

    def run_late(self, now_s: float) -> None:
        for item in [item for item in self.late if item[0] <= now_s]:
            self.late.remove(item)
            self.write(item[1], item[2])


@dataclass
class Vm:
    lease: DutyLease
    paused_until_s: float = 0.0
    reply: tuple[float, object] | None = None


@dataclass
class LeaseModel:
    """Steps every VM in true time; notes each act of a holder."""

    seed: int
    vms_count: int = 3
    now_s: float = 0.0
    acts: list[tuple[float, str, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = Store()
        self.vms = [
            Vm(DutyLease(f"vm-{index}", 1, LEASE_S, WAIT_S, RENEW_S))
            for index in range(self.vms_count)
        ]

    def run(self, seconds: float, faults: bool = True) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.store.run_late(self.now_s)
            for rank, vm in enumerate(self.vms):
                if faults and self.rng.random() < 0.002:
                    vm.paused_until_s = self.now_s + self.rng.uniform(0.5, 8.0)
                if self.now_s >= vm.paused_until_s:
                    self._step(vm, rank, faults)

    def holders(self) -> list[str]:
        return [vm.lease.vm_id for vm in self.vms if vm.lease.holds(self.now_s)]

    def _step(self, vm: Vm, rank: int, faults: bool) -> None:
        if vm.reply is not None:
            due_s, reply = vm.reply
            if self.now_s < due_s:
                return
            vm.reply = None
            reply()
        if vm.lease.holds(self.now_s):
            self.acts.append((self.now_s, vm.lease.vm_id, vm.lease.number))
        step = vm.lease.next_step(rank, self.now_s)
        if step is LeaseStep.NONE:
            return
        vm.lease.busy = True
        sent_s = self.now_s
        reply = (
            self._read(vm, sent_s) if step is LeaseStep.READ else self._write(vm, sent_s, faults)
        )
        vm.reply = (self.now_s + self.rng.choice([0.0, 0.0, 0.05, 0.3]), reply)

    def _read(self, vm: Vm, sent_s: float):
        record, end = self.store.record, self.store.end
        return lambda: vm.lease.on_read(record, end, sent_s, self.now_s)

    def _write(self, vm: Vm, sent_s: float, faults: bool):
        record, at = vm.lease.next_record(()), vm.lease.end
        assert at is not None
        fate = self.rng.random() if faults else 1.0
        if fate < 0.05:
            self.store.late.append((self.now_s + self.rng.uniform(1.0, 6.0), record, at))
            return lambda: vm.lease.on_lost(self.now_s)
        done = self.store.write(record, at)
        end = self.store.end
        if fate < 0.15:
            return lambda: vm.lease.on_lost(self.now_s)
        if done:
            return lambda: vm.lease.on_written(record, end, sent_s, self.now_s)
        return lambda: vm.lease.on_conflict(self.now_s)
