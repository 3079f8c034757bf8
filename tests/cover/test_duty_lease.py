"""At most one lease holder at a time, with paused VMs, lost replies and delayed writes."""

from __future__ import annotations

import pytest
from lease_model import LEASE_S, LeaseModel

from coriandershelf_core.internal.gateway.duty_lease import DutyLease, LeaseRecord, LeaseStep


@pytest.mark.parametrize("seed", range(40))
def test_acts_never_go_back_to_an_older_holder(seed):
    model = LeaseModel(seed)
    model.run(120.0)
    assert len(model.holder_steps) > 200, f"seed {seed}: too few steps with a holder"
    numbers = [number for _, _, number in model.holder_steps]
    assert numbers == sorted(numbers), f"seed {seed}"
    holder_of = {}
    for at_s, vm_id, number in model.holder_steps:
        assert holder_of.setdefault(number, vm_id) == vm_id, f"seed {seed}: at {at_s}"


@pytest.mark.parametrize("seed", range(10))
def test_a_holder_never_returns_within_the_lease_of_the_one_between(seed):
    model = LeaseModel(seed)
    model.run(120.0)
    terms = []
    for at_s, vm_id, _ in model.holder_steps:
        if not terms or terms[-1][1] != vm_id:
            terms.append((at_s, vm_id))
    for (first_s, first), _, (third_s, third) in zip(terms, terms[1:], terms[2:], strict=False):
        assert first != third or third_s - first_s > LEASE_S, f"seed {seed}"


def test_without_faults_the_first_holder_stays():
    model = LeaseModel(1)
    model.run(60.0, faults=False)
    assert {vm_id for _, vm_id, _ in model.holder_steps} == {"vm-0"}


def test_a_lost_holder_is_replaced_within_two_leases():
    model = LeaseModel(1)
    model.run(5.0, faults=False)
    model.vms[0].paused_until_s = float("inf")
    model.run(2.0 * LEASE_S, faults=False)
    assert model.holders() in (["vm-1"], ["vm-2"])


def test_while_the_holder_is_heard_nobody_reads_the_store():
    lease = DutyLease("vm-2", 1, 3.0, 3.6, 1.2)
    lease.on_holder_digest("vm-1", 4, 10.0)
    assert lease.next_step(0, 10.5) is LeaseStep.NONE
    assert lease.next_step(0, 11.5) is LeaseStep.READ


def test_a_restarted_process_of_the_same_vm_takes_over_at_once_with_a_higher_number():
    lease = DutyLease("vm-1", 2, 3.0, 3.6, 1.2)
    lease.on_read(LeaseRecord("vm-1", 1, 4), 9, 10.0, 10.0)
    assert lease.next_step(0, 10.1) is LeaseStep.WRITE
    assert lease.next_record(()).fencing_number == 5


def test_a_record_with_reports_survives_the_store():
    record = LeaseRecord("vm-1", 2, 4, ((7, {"customer": 3}),))
    assert LeaseRecord.decode(record.encode()) == record
    assert LeaseRecord.decode(b"\xff") is None
