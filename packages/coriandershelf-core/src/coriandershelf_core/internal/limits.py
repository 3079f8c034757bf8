"""How much work this entry VM may have at each replica, adapted from its own evidence.

Every entry VM sees only a part of the load, and load reports come late, so none can count a
replica's free slots. Two ways are used, one for each class of work:

- Short work: additive increase, multiplicative decrease of the works in flight, driven by how long
  first tokens wait beyond the least wait seen (as in TCP Vegas, Brakmo and Peterson, 1994). The
  sum over entry VMs settles where a short queue stands in the engine.
- Long work: a floor of slots, each owned by one entry VM, so that long work never starves and the
  floors never sum to more than the slots; above the floor only what the last report showed as
  spare, divided by the entry VMs and kept apart from a reserve for short work.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass, field

from coriandershelf_core.internal.replicas import ReplicaState
from coriandershelf_core.internal.settings import CoreSettings
from coriandershelf_core.internal.work import Attempt, WorkClass

LIMIT_MIN_COUNT = 1.0
INCREASE_COUNT = 0.5
DECREASE_FACTOR = 0.8
DECREASE_PAUSE_S = 0.25
LEAST_WAIT_MEMORY_S = 30.0
LONG_CREDIT_SHARE = 0.5


@dataclass(slots=True)
class ReplicaLimit:
    """What this entry VM may have at one replica, and what it has.

    :param slots_count: the replica's slots.
    :param long_owned_count: slots for long work that only this entry VM fills.
    :param long_credit_count: long works allowed above the floor until the next report.
    """

    slots_count: int
    limit_count: float
    long_owned_count: int = 0
    long_credit_count: float = 0.0
    short_count: int = 0
    long_count: int = 0
    least_wait_s: float = float("inf")
    least_wait_at_s: float = 0.0
    decreased_at_s: float = float("-inf")


@dataclass(slots=True)
class _Held:
    """What an attempt counts as at its replica."""

    replica_id: str
    work_class: WorkClass
    at_limit: bool


@dataclass(slots=True)
class Limits:
    """The limits of every replica by id.

    :param vm_id: this entry VM.
    :param enabled: whether limits adapt; otherwise only the slots of the inventory bound.
    """

    settings: CoreSettings
    vm_id: str
    rng: random.Random
    enabled: bool = True
    entry_vms: tuple[str, ...] = ()
    _limits: dict[str, ReplicaLimit] = field(default_factory=dict)
    _held: dict[str, _Held] = field(default_factory=dict)

    def set_entry_vms(self, vm_ids: tuple[str, ...]) -> None:
        """Take the entry VMs among which long work's floors are divided, this one included."""
        if vm_ids != self.entry_vms:
            self.entry_vms = vm_ids
            for replica_id, limit in self._limits.items():
                limit.long_owned_count = self._owned_count(replica_id, limit.slots_count)

    def has_room(self, work_class: WorkClass, state: ReplicaState) -> bool:
        """Return whether one more work of a class may go to a model's replica."""
        if not self.enabled:
            return len(state.in_flight) < state.replica.slots
        limit = self._limit_of(state)
        if work_class is WorkClass.SHORT:
            return limit.short_count + 1 <= limit.limit_count
        if limit.long_count < limit.long_owned_count:
            return True
        return limit.long_credit_count >= 1.0

    def is_owned(self, state: ReplicaState) -> bool:
        """Return whether one more long work stays within this VM's floor at a replica."""
        limit = self._limit_of(state)
        return limit.long_count < limit.long_owned_count

    def on_started(self, attempt: Attempt, state: ReplicaState) -> None:
        """Account for an attempt that was sent."""
        limit = self._limit_of(state)
        work_class = attempt.work.work_class
        if work_class is WorkClass.SHORT:
            limit.short_count += 1
        else:
            if limit.long_count >= limit.long_owned_count:
                limit.long_credit_count = max(0.0, limit.long_credit_count - 1.0)
            limit.long_count += 1
        at_limit = limit.short_count + 1 > limit.limit_count
        self._held[attempt.attempt_id] = _Held(state.replica.replica_id, work_class, at_limit)

    def on_ended(self, attempt: Attempt) -> None:
        """Account for an attempt that is over."""
        held = self._held.pop(attempt.attempt_id, None)
        limit = None if held is None else self._limits.get(held.replica_id)
        if held is None or limit is None:
            return
        if held.work_class is WorkClass.SHORT:
            limit.short_count -= 1
        else:
            limit.long_count -= 1
        assert limit.short_count >= 0 and limit.long_count >= 0, "an attempt ended twice"

    def on_first_token(self, attempt: Attempt, now_s: float) -> None:
        """Adapt a replica's limit to how long a first token waited."""
        held = self._held[attempt.attempt_id]
        limit = self._limits.get(held.replica_id)
        if limit is None or held.work_class is not WorkClass.SHORT:
            return
        waited_s = now_s - attempt.started_at_s
        stale = now_s - limit.least_wait_at_s > LEAST_WAIT_MEMORY_S
        if waited_s < limit.least_wait_s or stale:
            limit.least_wait_s = waited_s
            limit.least_wait_at_s = now_s
        if waited_s - limit.least_wait_s > self.settings.engine_wait_target_s:
            self._decrease(limit, now_s)
        elif held.at_limit:
            limit.limit_count += INCREASE_COUNT

    def on_refused(self, attempt: Attempt, now_s: float) -> None:
        """Adapt a replica's limit to its refusal of an attempt."""
        limit = self._limits.get(attempt.replica_id)
        if limit is not None:
            self._decrease(limit, now_s)

    def on_report(self, state: ReplicaState) -> None:
        """Grant credit for long work from the spare slots that a report shows."""
        limit = self._limit_of(state)
        slots = state.replica.slots
        reserve = self.settings.long_reserve_share * slots
        taken = state.reported_running_count + state.reported_waiting_count
        spare = max(0.0, slots - reserve - taken) * LONG_CREDIT_SHARE
        credit = spare / max(1, len(self.entry_vms))
        # Rounded at random: nine entry VMs with a ninth of a slot each grant one slot in all.
        whole = int(credit)
        limit.long_credit_count = whole + (self.rng.random() < credit - whole)

    def on_class_changed(self, attempt: Attempt) -> None:
        """Count an attempt as long that turned out longer than guessed."""
        held = self._held[attempt.attempt_id]
        limit = self._limits.get(held.replica_id)
        if limit is not None and held.work_class is WorkClass.SHORT:
            limit.short_count -= 1
            limit.long_count += 1
            held.work_class = WorkClass.LONG

    def _decrease(self, limit: ReplicaLimit, now_s: float) -> None:
        if now_s - limit.decreased_at_s >= DECREASE_PAUSE_S:
            limit.decreased_at_s = now_s
            limit.limit_count = max(LIMIT_MIN_COUNT, limit.limit_count * DECREASE_FACTOR)

    def _limit_of(self, state: ReplicaState) -> ReplicaLimit:
        replica = state.replica
        limit = self._limits.get(replica.replica_id)
        if limit is None:
            # A first guess: this VM's part of the slots and half as much again.
            part = 1.5 * replica.slots / max(1, len(self.entry_vms))
            limit = ReplicaLimit(replica.slots, max(LIMIT_MIN_COUNT, part))
            limit.long_owned_count = self._owned_count(replica.replica_id, replica.slots)
            self._limits[replica.replica_id] = limit
        return limit

    def _owned_count(self, replica_id: str, slots: int) -> int:
        """Return how many slots of a replica's floor for long work are this entry VM's.

        The slots of the floor are dealt out in turn, starting at another VM for each replica.
        """
        if self.vm_id not in self.entry_vms:
            return 1
        count = len(self.entry_vms)
        floor = round(self.settings.long_floor_share * slots)
        place = (self.entry_vms.index(self.vm_id) - zlib.crc32(replica_id.encode())) % count
        return len(range(place, floor, count))
