"""States of VMs (live, leaving, gone) from the platform's list, reclaim notices and messages."""

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
    """State of one VM and when it was last seen alive.

    :param last_seen_at_s: when it was last alive, observed directly or through a peer's digest.
    :param known_since_s: when this incarnation was first known here.
    :param listed_gone: whether the platform's list reports it as gone.
    """

    status: VmStatus
    state: VmState
    last_seen_at_s: float
    known_since_s: float
    listed_gone: bool = False
    missing_since_s: float | None = None


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Last state of an evicted incarnation."""

    incarnation: int
    state: VmState


def member_key(vm_id: str, incarnation: int) -> int:
    """Return the hash that identifies an incarnation in digests.

    Collisions are harmless, as a digest only contains the times at which VMs were last seen.
    """
    return zlib.crc32(f"{vm_id}/{incarnation}".encode())


class Membership:
    """All known VMs by id; an incarnation's state only moves forward.

    A VM that is missing from the platform's list keeps its state, because the list lags and may be
    empty or truncated. Once it has been missing and silent for long enough, it is evicted and only
    a tombstone with its last state is kept. A VM that the list reports as gone while it is still
    responsive also keeps its state until it has been silent for ``peer_lost_s``.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._members: dict[str, Member] = {}
        self._by_key: dict[int, Member] = {}
        self._disputed: set[str] = set()
        self._tombstones: OrderedDict[str, Tombstone] = OrderedDict()
        self._next_eviction_at_s = 0.0
        self._pending_notices: dict[str, float] = {}
        self._last_list: tuple[VmStatus, ...] = ()
        self.generation = 0

    def on_vm_list(self, vms: tuple[VmStatus, ...], now_s: float) -> None:
        """Merge the platform's list, which lags and may be incomplete."""
        if not vms:
            self._context.count(Counter.EMPTY_VM_LISTS)
        # Most polls return an unchanged list; comparing is cheaper than merging.
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
        """Mark a VM as leaving; a notice for a VM that is not known yet is kept for it.

        A notice whose time had passed before this incarnation was known is ignored: it was for an
        earlier VM of the same name.
        """
        member = self._members.get(vm_id)
        if member is None:
            self._pending_notices[vm_id] = at_s
        elif at_s >= min(member.known_since_s, now_s - LIST_LAG_S):
            self._advance(member, VmState.LEAVING)

    def on_heard(self, vm_id: str, seen_at_s: float) -> None:
        """Record that a VM was alive at a time."""
        member = self._members.get(vm_id)
        if member is not None:
            member.last_seen_at_s = max(member.last_seen_at_s, seen_at_s)

    def on_peer(self, status: VmStatus, now_s: float) -> None:
        """Merge the status in an entry VM's own heartbeat, even if the list lacks the VM."""
        member = self._members.get(status.vm_id)
        if member is None or status.incarnation > member.status.incarnation:
            self._add(status, status.state, now_s)
        elif status.incarnation == member.status.incarnation:
            member.last_seen_at_s = now_s
            self._advance(member, status.state)

    def on_digest(self, keys: tuple[int, ...], ages_s: tuple[float, ...], now_s: float) -> None:
        """Merge the times at which a peer last saw other VMs."""
        for key, age_s in zip(keys, ages_s, strict=True):
            member = self._by_key.get(key)
            if member is not None and now_s - age_s > member.last_seen_at_s:
                member.last_seen_at_s = now_s - age_s

    def on_leaving(self, vm_id: str, incarnation: int) -> bool:
        """Mark an incarnation as leaving on a peer's report; return whether it was live before."""
        member = self._members.get(vm_id)
        if member is None or member.status.incarnation != incarnation:
            return False
        was_live = member.state is VmState.LIVE
        self._advance(member, VmState.LEAVING)
        return was_live

    def on_tick(self, now_s: float) -> None:
        """Mark VMs that the list reports as gone once they are silent; evict missing VMs."""
        for vm_id in list(self._disputed):
            member = self._members[vm_id]
            if member.listed_gone and not self._answers(member, now_s):
                self._advance(member, VmState.GONE)
            if not member.listed_gone or member.state is VmState.GONE:
                self._disputed.discard(vm_id)
        if now_s >= self._next_eviction_at_s:
            self._next_eviction_at_s = now_s + self._context.settings.heartbeat_s
            self._evict_missing(now_s)

    def _evict_missing(self, now_s: float) -> None:
        """Drop expired notices, and evict VMs that have been missing and silent for long enough."""
        for vm_id, at_s in list(self._pending_notices.items()):
            if at_s < now_s - LIST_LAG_S:
                del self._pending_notices[vm_id]
        before_s = now_s - self._context.settings.member_forget_s
        for vm_id, member in list(self._members.items()):
            missing_since_s = member.missing_since_s
            if missing_since_s is None or max(missing_since_s, member.last_seen_at_s) > before_s:
                continue
            del self._members[vm_id]
            self._by_key.pop(member_key(vm_id, member.status.incarnation), None)
            self._disputed.discard(vm_id)
            self._tombstones[vm_id] = Tombstone(member.status.incarnation, member.state)
            while len(self._tombstones) > TOMBSTONES_MAX_COUNT:
                self._tombstones.popitem(last=False)
            self.generation += 1

    def state_of(self, vm_id: str) -> VmState | None:
        """Return a VM's state, or ``None`` if it is not known.

        An evicted VM that was leaving or gone keeps that state; if it was live, the state is
        unknown.
        """
        member = self._members.get(vm_id)
        if member is not None:
            return member.state
        tombstone = self._tombstones.get(vm_id)
        not_live = tombstone is not None and tombstone.state is not VmState.LIVE
        return tombstone.state if tombstone is not None and not_live else None

    def member(self, vm_id: str) -> Member | None:
        """Return the record of a VM, or ``None`` if it is not known."""
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
        """Return a VM's newest known incarnation, or ``None`` if the VM is not known."""
        member = self._members.get(vm_id)
        return None if member is None else member.status.incarnation

    def live_peers(self, identity: VmIdentity) -> list[VmStatus]:
        """Return the other entry VMs that are neither leaving nor gone."""
        return [
            status for status in self.peers(identity) if self.state_of(status.vm_id) is VmState.LIVE
        ]

    def address_of(self, vm_id: str) -> str | None:
        """Return the address of a VM that is known and not gone, or ``None``."""
        member = self._members.get(vm_id)
        if member is None or member.state is VmState.GONE:
            return None
        return member.status.address

    def answers(self, vm_id: str, now_s: float) -> bool:
        """Return whether a VM was seen alive within the last ``peer_lost_s``."""
        member = self._members.get(vm_id)
        return member is not None and self._answers(member, now_s)

    def silence_s(self, vm_id: str, now_s: float) -> float:
        """Return the time since a VM was last seen alive."""
        member = self._members.get(vm_id)
        return math.inf if member is None else now_s - member.last_seen_at_s

    def peers(self, identity: VmIdentity) -> list[VmStatus]:
        """Return the other entry VMs that are not gone."""
        return [
            member.status
            for member in self._members.values()
            if member.status.role is VmRole.ENTRY
            and member.state is not VmState.GONE
            and member.status.vm_id != identity.vm_id
        ]

    def bought_vms(self) -> list[VmStatus]:
        """Return the bought upstreams, those with a service in the list, that are not gone."""
        return [
            member.status
            for member in self._members.values()
            if member.status.service and member.state is not VmState.GONE
        ]

    def leaving(self) -> list[VmStatus]:
        """Return the VMs that are leaving."""
        return [item.status for item in self._members.values() if item.state is VmState.LEAVING]

    def _answers(self, member: Member, now_s: float) -> bool:
        return now_s - member.last_seen_at_s < self._context.settings.peer_lost_s

    def _merge_listed(self, status: VmStatus, now_s: float) -> None:
        member = self._members.get(status.vm_id)
        if member is None or status.incarnation > member.status.incarnation:
            self._add(status, status.state, now_s)
            return
        if status.incarnation < member.status.incarnation:
            return
        if status.state is not VmState.GONE:
            member.listed_gone = False
            self._advance(member, status.state)
        elif self._answers(member, now_s) and self._context.is_enabled("own-evidence"):
            if not member.listed_gone and member.state is not VmState.GONE:
                self._context.count(Counter.DISPUTED_VMS)
                self._context.log("list says gone but the VM answers", vm_id=status.vm_id)
                self._disputed.add(status.vm_id)
            member.listed_gone = True
        else:
            member.listed_gone = True
            self._advance(member, VmState.GONE)

    def _add(self, status: VmStatus, state: VmState, now_s: float) -> None:
        """Add a VM or a new incarnation of it, unless it is older than an evicted incarnation."""
        evicted = self._tombstones.get(status.vm_id)
        if evicted is not None and status.incarnation < evicted.incarnation:
            return
        known = self._members.get(status.vm_id)
        assert (
            known is None or known.status.incarnation < status.incarnation
        ), "older incarnation replaces a newer one"
        if known is not None:
            self._by_key.pop(member_key(status.vm_id, known.status.incarnation), None)
            self._disputed.discard(status.vm_id)
        notice_at_s = self._pending_notices.pop(status.vm_id, now_s - 2 * LIST_LAG_S)
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
