"""Which VMs are live, leaving or gone."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.context import Context, VmIdentity
from coriandershelf_core.internal.events import VmRole, VmState, VmStatus


@dataclass(slots=True)
class Member:
    """One VM and when it was last heard of."""

    status: VmStatus
    state: VmState
    heard_at_s: float


class Membership:
    """Every VM by id; an incarnation's state only moves forward."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._members: dict[str, Member] = {}

    def on_vm_list(self, vms: tuple[VmStatus, ...], now_s: float) -> None:
        """Merge the platform's list, which lags and may be incomplete."""
        for status in vms:
            self._merge(status, now_s)

    def on_notice(self, vm_id: str) -> None:
        """Mark a VM as leaving."""
        member = self._members.get(vm_id)
        if member is not None and member.state is VmState.LIVE:
            member.state = VmState.LEAVING

    def state_of(self, vm_id: str) -> VmState | None:
        """Return a VM's state, or ``None`` where it is not known."""
        member = self._members.get(vm_id)
        return None if member is None else member.state

    def is_gone(self, vm_id: str, incarnation: int) -> bool:
        """Return whether an incarnation is known to have ended."""
        member = self._members.get(vm_id)
        if member is None:
            return False
        if member.status.incarnation != incarnation:
            return member.status.incarnation > incarnation
        return member.state is VmState.GONE

    def incarnation_of(self, vm_id: str) -> int | None:
        """Return a VM's newest known incarnation, or ``None`` where it is not known."""
        member = self._members.get(vm_id)
        return None if member is None else member.status.incarnation

    def live_peers(self, identity: VmIdentity) -> list[VmStatus]:
        """Return the other entry VMs that are neither leaving nor gone."""
        return [
            status for status in self.peers(identity) if self.state_of(status.vm_id) is VmState.LIVE
        ]

    def address_of(self, vm_id: str) -> str | None:
        """Return where a VM that is not gone is reached, or ``None``."""
        member = self._members.get(vm_id)
        if member is None or member.state is VmState.GONE:
            return None
        return member.status.address

    def peers(self, identity: VmIdentity) -> list[VmStatus]:
        """Return the other entry VMs that are not gone."""
        return [
            member.status
            for member in self._members.values()
            if member.status.role is VmRole.ENTRY
            and member.state is not VmState.GONE
            and member.status.vm_id != identity.vm_id
        ]

    def _merge(self, status: VmStatus, now_s: float) -> None:
        member = self._members.get(status.vm_id)
        if member is None or status.incarnation > member.status.incarnation:
            self._members[status.vm_id] = Member(status, status.state, now_s)
            return
        if status.incarnation < member.status.incarnation:
            return
        if status.state.value > member.state.value:
            member.state = status.state
        member.status = status
        member.heard_at_s = now_s
