"""Model of VMs that compete for the lease on a store with delayed writes and lost replies."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.duty_lease import DutyLease, LeaseRecord, LeaseStep

LEASE_S = 3.0
TAKEOVER_WAIT_S = 3.6
RENEW_S = 1.2
STEP_S = 0.05


@dataclass
class Store:
    """One partition with one key, and writes that take effect late."""

    record: LeaseRecord | None = None
    end: int = 0
    delayed: list[tuple[float, LeaseRecord, int]] = field(default_factory=list)

    def write(self, record: LeaseRecord, expected_end: int) -> bool:
        if expected_end != self.end:
            return False
        self.record, self.end = record, self.end + 1
        return True

    def apply_delayed(self, now_s: float) -> None:
        for item in [item for item in self.delayed if item[0] <= now_s]:
            self.delayed.remove(item)
            self.write(item[1], item[2])


@dataclass
class Vm:
    """A VM that competes for the lease.

    :param reply: when the reply to its store call arrives, and the function that handles it.
    """

    lease: DutyLease
    paused_until_s: float = 0.0
    reply: tuple[float, object] | None = None
    digests: list[tuple[float, str, tuple[int, int] | None, int]] = field(default_factory=list)


@dataclass
class LeaseModel:
    """Steps all VMs in simulated time and records each step at which a VM holds the lease."""

    seed: int
    vms_count: int = 3
    now_s: float = 0.0
    holder_steps: list[tuple[float, str, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.store = Store()
        self.vms = [
            Vm(DutyLease(f"vm-{index}", 1, LEASE_S, TAKEOVER_WAIT_S, RENEW_S))
            for index in range(self.vms_count)
        ]

    def run(self, duration_s: float, faults: bool = True) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.store.apply_delayed(self.now_s)
            for rank, vm in enumerate(self.vms):
                if faults and self.rng.random() < 0.002:
                    vm.paused_until_s = self.now_s + self.rng.uniform(0.5, 8.0)
                if self.now_s >= vm.paused_until_s:
                    self._step(vm, rank, faults)

    def holders(self) -> list[str]:
        return [vm.lease.vm_id for vm in self.vms if vm.lease.is_held(self.now_s)]

    def _step(self, vm: Vm, rank: int, faults: bool) -> None:
        if vm.reply is not None:
            reply_at_s, reply = vm.reply
            if self.now_s < reply_at_s:
                return
            vm.reply = None
            reply()
        self._exchange_digests(vm, faults)
        if vm.lease.is_held(self.now_s):
            self.holder_steps.append((self.now_s, vm.lease.vm_id, vm.lease.fencing_number))
        step = vm.lease.next_step(rank, self.now_s)
        if step is LeaseStep.NONE:
            return
        vm.lease.call_in_flight = True
        sent_at_s = self.now_s
        reply = (
            self._read(vm, sent_at_s)
            if step is LeaseStep.READ
            else self._write(vm, sent_at_s, faults)
        )
        vm.reply = (self.now_s + self.rng.choice([0.0, 0.0, 0.05, 0.3]), reply)

    def _exchange_digests(self, vm: Vm, faults: bool) -> None:
        """Handle the digests that have arrived, and send this VM's, which may be late or lost."""
        lease = vm.lease
        for item in [item for item in vm.digests if item[0] <= self.now_s]:
            vm.digests.remove(item)
            _, sender, holder, released = item
            lease.on_released(sender, released, self.now_s)
            if holder is not None:
                lease.on_holder_digest(sender, *holder, item[0])
        lease.release_expired(self.now_s)
        holder = None
        if lease.is_held(self.now_s):
            holder = (lease.fencing_number, lease.end_offset or 0)
        for other in self.vms:
            if other is not vm and not (faults and self.rng.random() < 0.3):
                at_s = self.now_s + self.rng.choice([0.0, 0.05, 0.3] if faults else [0.0])
                other.digests.append((at_s, lease.vm_id, holder, lease.released_number))

    def _read(self, vm: Vm, sent_at_s: float):
        record, end = self.store.record, self.store.end
        return lambda: vm.lease.on_read(record, end, sent_at_s, self.now_s)

    def _write(self, vm: Vm, sent_at_s: float, faults: bool):
        record, expected_end = vm.lease.next_record(()), vm.lease.end_offset
        assert expected_end is not None
        roll = self.rng.random() if faults else 1.0
        if roll < 0.05:
            self.store.delayed.append(
                (self.now_s + self.rng.uniform(1.0, 6.0), record, expected_end)
            )
            return lambda: vm.lease.on_unknown_result(self.now_s)
        written = self.store.write(record, expected_end)
        end = self.store.end
        if roll < 0.15:
            return lambda: vm.lease.on_unknown_result(self.now_s)
        if written:
            return lambda: vm.lease.on_write_succeeded(record, end, sent_at_s, self.now_s)
        return lambda: vm.lease.on_conflict(self.now_s)
