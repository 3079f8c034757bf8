"""Questions of this VM for room at replicas, and what it tells their accountants."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.actions import Action, Count, SendRoomMessage, Wake
from coriandershelf_core.internal.gateway.choice import Prospect
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import Passage, PromptPart
from coriandershelf_core.internal.gateway.room import (
    Accountants,
    Room,
    RoomAsk,
    RoomLedger,
    RoomTold,
    WorkNote,
    WorkStep,
)

# Several times two trips between zones (0.5 to 0.9 ms one way on the users' sites); a request waits
# no longer for an answer from a VM that is slow or gone.
ANSWER_WAIT_S = 0.015
# A VM that did not answer is not asked again for this long.
SILENT_PAUSE_S = 0.5


@dataclass(slots=True)
class PendingAsk:
    """A request that waits for the accounts of some replicas.

    :param silent: VMs whose answer has not come.
    """

    passage: Passage
    prospect: Prospect
    due_at_s: float
    silent: set[str]
    rooms: dict[str, Room] = field(default_factory=dict)


class RoomAsks:
    """Both sides of the accounts: asks and tells other VMs, and answers them.

    :param emit: takes the actions for the process.
    """

    def __init__(
        self, vm_id: str, address: str, incarnation: int, pool: Pool, emit: Callable[[Action], None]
    ) -> None:
        self.accountants = Accountants()
        self.addresses: dict[str, str] = {}
        self.ledger = RoomLedger()
        self.enabled = False
        self._vm_id = vm_id
        self._address = address
        self._incarnation = incarnation
        self._pool = pool
        self._emit = emit
        self._pending: dict[int, PendingAsk] = {}
        self._next_ask_id = 1
        self._silent_until_s: dict[str, float] = {}

    def ask(self, passage: Passage, prospect: Prospect, now_s: float) -> PendingAsk | None:
        """Ask for room at a request's shortlist; ``None`` where nobody is to be asked."""
        if not self.enabled or not prospect.shortlist:
            return None
        parts = passage.arrival.parts
        pending = PendingAsk(passage, prospect, now_s + ANSWER_WAIT_S, set())
        questions: dict[str, list[str]] = {}
        for state in prospect.shortlist:
            replica_id = state.replica.replica_id
            vm_id = self.accountants.of(replica_id, state.replica.zone)
            if vm_id == self._vm_id:
                pending.rooms[replica_id] = self._room(state, parts, now_s)
            elif vm_id is not None and now_s >= self._silent_until_s.get(vm_id, 0.0):
                questions.setdefault(vm_id, []).append(replica_id)
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        for vm_id, replicas in questions.items():
            if vm_id in self.addresses:
                ask = RoomAsk(self._vm_id, self._address, ask_id, tuple(replicas), parts)
                self._emit(SendRoomMessage(self.addresses[vm_id], ask))
                pending.silent.add(vm_id)
        if pending.silent:
            self._pending[ask_id] = pending
            self._emit(Wake(ANSWER_WAIT_S))
        return pending

    def on_told(self, told: RoomTold) -> PendingAsk | None:
        """Take an answer; return the question once all its answers have come."""
        pending = self._pending.get(told.ask_id)
        if pending is None:
            return None
        pending.silent.discard(told.vm_id)
        for room in told.rooms:
            pending.rooms[room.replica_id] = room
        if pending.silent:
            return None
        return self._pending.pop(told.ask_id)

    def overdue(self, now_s: float) -> list[PendingAsk]:
        """Return the questions that are not waited for any longer."""
        overdue = []
        for ask_id, pending in list(self._pending.items()):
            if now_s >= pending.due_at_s:
                del self._pending[ask_id]
                overdue.append(pending)
                for vm_id in pending.silent:
                    self._silent_until_s[vm_id] = now_s + SILENT_PAUSE_S
                    self._emit(Count("room_answers", "missed"))
        return overdue

    def on_ask(self, ask: RoomAsk, now_s: float) -> None:
        """Answer another VM's question."""
        states = (self._pool.get(replica_id) for replica_id in ask.replicas)
        rooms = tuple(self._room(state, ask.parts, now_s) for state in states if state is not None)
        told = RoomTold(self._vm_id, ask.ask_id, rooms)
        self._emit(SendRoomMessage(ask.address, told))

    def note(
        self,
        state: ReplicaState,
        attempt_id: int,
        step: WorkStep,
        now_s: float,
        tokens_count: int = 0,
        keep_s: float = 0.0,
        parts: tuple[PromptPart, ...] = (),
        pace: float | None = None,
        slowness: float | None = None,
    ) -> None:
        """Tell a replica's accountant of a step of an attempt there."""
        if not self.enabled:
            return
        replica = state.replica
        vm_id = self.accountants.of(replica.replica_id, replica.zone)
        note = WorkNote(
            self._vm_id, self._incarnation, replica.replica_id, attempt_id, step,
            tokens_count, keep_s, parts, pace, slowness,
        )  # fmt: skip
        if vm_id == self._vm_id:
            self.ledger.on_note(note, now_s)
        elif vm_id in self.addresses:
            self._emit(SendRoomMessage(self.addresses[vm_id], note))

    def _room(self, state: ReplicaState, parts: tuple[PromptPart, ...], now_s: float) -> Room:
        believed = (state.count, state.waiting_tokens)
        return self.ledger.room(state.replica.replica_id, parts, believed, now_s)
