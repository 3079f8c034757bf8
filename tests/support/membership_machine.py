"""Checks one membership table under random lists, notices, heartbeats and periods of silence."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coriandershelf_core import CoreSettings
from coriandershelf_core.internal.membership.membership import Membership, member_key
from coriandershelf_core.internal.vocabulary.context import Context, VmIdentity
from coriandershelf_core.internal.vocabulary.events import VmRole, VmState, VmStatus

VM_IDS = ("entry-1", "entry-2", "replica-1", "replica-2")
VMS = st.sampled_from(VM_IDS)
INCARNATIONS = st.integers(1, 3)
STATES = st.sampled_from(list(VmState))


def status_of(vm_id: str, incarnation: int, state: VmState) -> VmStatus:
    role = VmRole.ENTRY if vm_id.startswith("entry") else VmRole.UPSTREAM
    return VmStatus(vm_id, incarnation, role, "zone", state, vm_id)


class MembershipMachine(RuleBasedStateMachine):
    """An incarnation's state only moves forward, and a list never removes a responsive VM."""

    def __init__(self) -> None:
        super().__init__()
        identity = VmIdentity("me", "zone", 1)
        self.context = Context(identity, CoreSettings(), random.Random(0))
        self.membership = Membership(self.context)
        self.now_s = 1000.0
        self.seen: dict[str, tuple[int, int]] = {}

    @rule(rows=st.lists(st.tuples(VMS, INCARNATIONS, STATES), max_size=4))
    def read_list(self, rows):
        answering = [
            vm_id
            for vm_id in VM_IDS
            if self.membership.answers(vm_id, self.now_s)
            and self.membership.state_of(vm_id) is not VmState.GONE
        ]
        known = {vm_id: self.membership.member(vm_id) for vm_id in answering}
        self.membership.on_vm_list(tuple(status_of(*row) for row in rows), self.now_s)
        for vm_id, member in known.items():
            if self.membership.member(vm_id) is member:
                assert member.state is not VmState.GONE, "a VM that answers was given up"

    @rule(vm_id=VMS, in_s=st.floats(-700, 60))
    def notice(self, vm_id, in_s):
        self.membership.on_notice(vm_id, self.now_s + in_s, self.now_s)
        if in_s >= 0 and self.membership.state_of(vm_id) is not None:
            assert self.membership.state_of(vm_id) is not VmState.LIVE

    @rule(vm_id=st.sampled_from(VM_IDS[:2]), incarnation=INCARNATIONS, stopping=st.booleans())
    def heartbeat(self, vm_id, incarnation, stopping):
        state = VmState.LEAVING if stopping else VmState.LIVE
        self.membership.on_peer(status_of(vm_id, incarnation, state), self.now_s)

    @rule(vm_id=VMS, incarnation=INCARNATIONS, age_s=st.floats(0, 20))
    def digest(self, vm_id, incarnation, age_s):
        self.membership.on_digest((member_key(vm_id, incarnation),), (age_s,), self.now_s)

    @rule(vm_id=VMS, incarnation=INCARNATIONS)
    def peer_says_leaving(self, vm_id, incarnation):
        self.membership.on_leaving(vm_id, incarnation)

    @rule(vm_id=VMS)
    def hear(self, vm_id):
        self.membership.on_heard(vm_id, self.now_s)

    @rule(passed_s=st.floats(0.05, 90))
    def wait(self, passed_s):
        self.now_s += passed_s
        self.membership.on_tick(self.now_s)

    @invariant()
    def an_incarnation_only_moves_forward(self):
        for vm_id in VM_IDS:
            member = self.membership.member(vm_id)
            if member is None:
                state = self.membership.state_of(vm_id)
                before = self.seen.get(vm_id, (0, 0))[1]
                assert (state.value if state is not None else 0) >= before, "a state was forgotten"
                continue
            current = (member.status.incarnation, member.state.value)
            assert current >= self.seen.get(vm_id, (0, 0)), vm_id
            self.seen[vm_id] = current
