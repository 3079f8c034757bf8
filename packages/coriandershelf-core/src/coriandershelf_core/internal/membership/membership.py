"""Which VMs are live, leaving or gone, from the platform's list, notices and own evidence."""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.context import Context, VmIdentity
from coriandershelf_core.internal.vocabulary.events import VmRole, VmState, VmStatus
from coriandershelf_core.internal.vocabulary.reasons import Counter

LIST_LAG_S = 10.0
TOMBSTONES_MAX_COUNT = 10_000


@dataclass(slots=True)
class Member:
    """One VM and when it was last heard of.

    :param heard_at_s: last own evidence that it answers, first hand or by a peer's digest.
    :param seen_since_s: when this incarnation was first known here.
    :param listed_gone: whether the platform's list says that it is gone.
    """

    status: VmStatus
    state: VmState
    heard_at_s: float
    seen_since_s: float
    listed_gone: bool = False
    missing_since_s: float | None = None


@dataclass(frozen=True, slots=True)
class Tombstone:
    """What a forgotten incarnation had come to."""

    incarnation: int
    state: VmState


def member_key(vm_id: str, incarnation: int) -> int:
    """Return the short name of an incarnation in digests.

    Two names may meet in one key; a digest only carries when a VM was heard, so that does no harm.
    """
    return zlib.crc32(f"{vm_id}/{incarnation}".encode())


class Membership:
    """Every VM by id; an incarnation's state only moves forward.

    A VM that is missing from the list keeps its state: the list lags and may come back empty or
    cut. It is forgotten once it has been missing and silent for long, but for what its incarnation
    had come to. A VM that the list calls gone while it still answers here keeps its state, too,
    until it has been silent for the time after which a peer counts as lost.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._members: dict[str, Member] = {}
        self._by_key: dict[int, Member] = {}
        self._disputed: set[str] = set()
        self._tombstones: OrderedDict[str, Tombstone] = OrderedDict()
        self._look_at_s = 0.0
        self._early_notices: dict[str, float] = {}
        self._last_list: tuple[VmStatus, ...] = ()
        self.generation = 0

    def on_vm_list(self, vms: tuple[VmStatus, ...], now_s: float) -> None:
        """Merge the platform's list, which lags and may be incomplete."""
        if not vms:
            self._context.count(Counter.EMPTY_VM_LISTS)
        # An unchanged list comes with every poll; comparing is cheaper than merging.
        if vms == self._last_list:
            return
        self._last_list = vms
        listed = {status.vm_id for status in vms}
        for vm_id, member in self._members.items():
            if vm_id in listed:
                member.missing_since_s = None
            elif member.missing_since_s is None and vms:
                member.missing_since_s = now_s
        for status in vms:
            self._merge_listed(status, now_s)

    def on_notice(self, vm_id: str, at_s: float, now_s: float) -> None:
        """Mark a VM as leaving; keep a notice that comes before the VM is known.

        A notice whose time had passed before this incarnation was known was meant for an earlier
        VM of that name.
        """
        member = self._members.get(vm_id)
        if member is None:
            self._early_notices[vm_id] = at_s
        elif at_s >= min(member.seen_since_s, now_s - LIST_LAG_S):
            self._advance(member, VmState.LEAVING)

    def on_heard(self, vm_id: str, heard_at_s: float) -> None:
        """Note evidence that a VM answers."""
        member = self._members.get(vm_id)
        if member is not None:
            member.heard_at_s = max(member.heard_at_s, heard_at_s)

    def on_peer(self, status: VmStatus, now_s: float) -> None:
        """Merge what an entry VM says of itself, also where the list does not show it yet."""
        member = self._members.get(status.vm_id)
        if member is None or status.incarnation > member.status.incarnation:
            self._put(status, status.state, now_s)
        elif status.incarnation == member.status.incarnation:
            member.heard_at_s = now_s
            self._advance(member, status.state)

    def on_digest(self, keys: tuple[int, ...], ages_s: tuple[float, ...], now_s: float) -> None:
        """Take from a peer's digest when it heard of others."""
        for key, age_s in zip(keys, ages_s, strict=True):
            member = self._by_key.get(key)
            if member is not None and now_s - age_s > member.heard_at_s:
                member.heard_at_s = now_s - age_s

    def on_leaving(self, vm_id: str, incarnation: int) -> bool:
        """Take from a peer that an incarnation is leaving; return whether that was news."""
        member = self._members.get(vm_id)
        if member is None or member.status.incarnation != incarnation:
            return False
        was_live = member.state is VmState.LIVE
        self._advance(member, VmState.LEAVING)
        return was_live

    def on_tick(self, now_s: float) -> None:
        """Give up VMs that the list calls gone once they no longer answer."""
        for vm_id in list(self._disputed):
            member = self._members[vm_id]
            if member.listed_gone and not self._answers(member, now_s):
                self._advance(member, VmState.GONE)
            if not member.listed_gone or member.state is VmState.GONE:
                self._disputed.discard(vm_id)
        if now_s >= self._look_at_s:
            self._look_at_s = now_s + self._context.settings.heartbeat_s
            self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        """Drop notices that have run out and VMs that have long been missing and silent."""
        for vm_id, at_s in list(self._early_notices.items()):
            if at_s < now_s - LIST_LAG_S:
                del self._early_notices[vm_id]
        before_s = now_s - self._context.settings.member_forget_s
        for vm_id, member in list(self._members.items()):
            missing_since_s = member.missing_since_s
            if missing_since_s is None or max(missing_since_s, member.heard_at_s) > before_s:
                continue
            del self._members[vm_id]
            self._by_key.pop(member_key(vm_id, member.status.incarnation), None)
            self._disputed.discard(vm_id)
            self._tombstones[vm_id] = Tombstone(member.status.incarnation, member.state)
            while len(self._tombstones) > TOMBSTONES_MAX_COUNT:
                self._tombstones.popitem(last=False)
            self.generation += 1

    def state_of(self, vm_id: str) -> VmState | None:
        """Return a VM's state, or ``None`` where it is not known.

        A forgotten VM that was leaving or gone stays so; one that was live may be anything.
        """
        member = self._members.get(vm_id)
        if member is not None:
            return member.state
        tombstone = self._tombstones.get(vm_id)
        buried = tombstone is not None and tombstone.state is not VmState.LIVE
        return tombstone.state if tombstone is not None and buried else None

    def member(self, vm_id: str) -> Member | None:
        """Return what is known of a VM, or ``None``."""
        return self._members.get(vm_id)

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

    def answers(self, vm_id: str, now_s: float) -> bool:
        """Return whether a VM was heard of lately."""
        member = self._members.get(vm_id)
        return member is not None and self._answers(member, now_s)

    def silent_s(self, vm_id: str, now_s: float) -> float:
        """Return for how long a VM has not been heard of."""
        member = self._members.get(vm_id)
        return math.inf if member is None else now_s - member.heard_at_s

    def peers(self, identity: VmIdentity) -> list[VmStatus]:
        """Return the other entry VMs that are not gone."""
        return [
            member.status
            for member in self._members.values()
            if member.status.role is VmRole.ENTRY
            and member.state is not VmState.GONE
            and member.status.vm_id != identity.vm_id
        ]

    def bought(self) -> list[VmStatus]:
        """Return the upstreams that are not gone and whose service the list names."""
        return [
            member.status
            for member in self._members.values()
            if member.status.service and member.state is not VmState.GONE
        ]

    def leaving(self) -> list[VmStatus]:
        """Return the VMs that are leaving."""
        return [item.status for item in self._members.values() if item.state is VmState.LEAVING]

    def _answers(self, member: Member, now_s: float) -> bool:
        return now_s - member.heard_at_s < self._context.settings.peer_lost_s

    def _merge_listed(self, status: VmStatus, now_s: float) -> None:
        member = self._members.get(status.vm_id)
        if member is None or status.incarnation > member.status.incarnation:
            self._put(status, status.state, now_s)
            return
        if status.incarnation < member.status.incarnation:
            return
        if status.state is not VmState.GONE:
            member.listed_gone = False
            self._advance(member, status.state)
        elif self._answers(member, now_s) and self._context.enabled("own-evidence"):
            if not member.listed_gone and member.state is not VmState.GONE:
                self._context.count(Counter.DISPUTED_VMS)
                self._context.log("list says gone but the VM answers", vm_id=status.vm_id)
                self._disputed.add(status.vm_id)
            member.listed_gone = True
        else:
            member.listed_gone = True
            self._advance(member, VmState.GONE)

    def _put(self, status: VmStatus, state: VmState, now_s: float) -> None:
        """Take up a VM or a new incarnation of it; one older than a forgotten one is not taken."""
        buried = self._tombstones.get(status.vm_id)
        if buried is not None and status.incarnation < buried.incarnation:
            return
        known = self._members.get(status.vm_id)
        assert known is None or known.status.incarnation < status.incarnation, "an older VM is back"
        if known is not None:
            self._by_key.pop(member_key(status.vm_id, known.status.incarnation), None)
            self._disputed.discard(status.vm_id)
        notice_at_s = self._early_notices.pop(status.vm_id, now_s - 2 * LIST_LAG_S)
        if notice_at_s >= now_s - LIST_LAG_S and state is VmState.LIVE:
            state = VmState.LEAVING
        tombstone = self._tombstones.pop(status.vm_id, None)
        if tombstone is not None and tombstone.incarnation == status.incarnation:
            state = max(state, tombstone.state, key=lambda item: item.value)
        member = Member(status, state, now_s, now_s)
        self._members[status.vm_id] = member
        self._by_key[member_key(status.vm_id, status.incarnation)] = member
        self.generation += 1

    def _advance(self, member: Member, state: VmState) -> None:
        if state.value > member.state.value:
            member.state = state
            self.generation += 1
