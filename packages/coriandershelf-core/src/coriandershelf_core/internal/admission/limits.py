"""Adaptive concurrency limits of this entry VM at each replica.

Every entry VM sees only a part of the load, and load reports are delayed, so none can count a
replica's free slots. Two methods are used, one for each class of work:

- Short work: additive increase, multiplicative decrease (AIMD) of the requests in flight, driven
  by how much longer first tokens take than the minimum time seen (as in TCP Vegas, Brakmo and
  Peterson, 1994). The sum over entry VMs converges to a short queue in the engine.
- Long work: a floor of slots, each owned by one entry VM, so that long work never starves and the
  floors never sum to more than the slots. Above the floor, an entry VM may use only its part of
  the slots that the last report showed as free, less a reserve for short work.
"""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field

from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.settings import CoreSettings
from coriandershelf_core.internal.vocabulary.work import (
    Attempt,
    AttemptPurpose,
    WorkClass,
    WorkItem,
)

LIMIT_MIN_COUNT = 1.0
INCREASE_COUNT = 0.5
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_S = 0.25
MIN_WAIT_MEMORY_S = 30.0
LONG_CREDIT_SHARE = 2.0
LONG_SELECTIVE_S = 1.0
SPEED_TIER_FACTOR = 1.2
LONG_CREDIT_PERIOD_S = 0.2
ENGINE_QUEUE_SHARE = 0.1


@dataclass(slots=True)
class ReplicaLimit:
    """This entry VM's limits and counts of requests in flight at one replica.

    :param slots_count: the replica's slots.
    :param limit_count: limit of short requests in flight.
    :param long_owned_count: slots of the floor for long work that only this entry VM uses.
    :param long_credit_count: long requests allowed above the floor until the next report.
    :param others_known: whether ``others_count`` is valid, as all other entry VMs sent digests.
    """

    slots_count: int
    limit_count: float
    long_owned_count: int = 0
    long_credit_count: float = 0.0
    short_count: int = 0
    long_count: int = 0
    others_count: int = 0
    others_known: bool = False
    min_gap_s: float = math.inf
    min_wait_s: float = math.inf
    min_wait_at_s: float = 0.0
    decreased_at_s: float = -math.inf
    credited_at_s: float = -math.inf

    @property
    def occupied_count(self) -> int:
        """Return the known number of requests in flight at the replica, of all entry VMs."""
        return self.short_count + self.long_count + self.others_count

    @property
    def has_slot(self) -> bool:
        """Return whether a slot is free or the engine's own queue is short enough.

        The short queue keeps the engine busy until the entry VMs learn that a slot became free.
        """
        return (
            not self.others_known
            or self.occupied_count < self.slots_count + self.engine_queue_count
        )

    @property
    def engine_queue_count(self) -> int:
        """Return how many requests may wait in the engine."""
        return max(1, round(ENGINE_QUEUE_SHARE * self.slots_count))

    @property
    def preemption_queue_count(self) -> int:
        """Return how many requests may wait in the engine when one is preempted."""
        return 2 * self.engine_queue_count + 1


@dataclass(slots=True)
class _SlotUse:
    """How an attempt is counted at its replica.

    :param at_limit: whether the limit of short requests was reached when it started.
    """

    replica_id: str
    work_class: WorkClass
    at_limit: bool


@dataclass(slots=True)
class Limits:
    """The limits at every replica, by replica id.

    :param vm_id: this entry VM.
    :param enabled: whether limits adapt; if not, only the inventory's slots are the limit.
    :param entry_vms: ids of all entry VMs, including this one.
    """

    settings: CoreSettings
    vm_id: str
    rng: random.Random
    enabled: bool = True
    entry_vms: tuple[str, ...] = ()
    _limits: dict[str, ReplicaLimit] = field(default_factory=dict)
    _slot_uses: dict[str, _SlotUse] = field(default_factory=dict)

    def set_entry_vms(self, vm_ids: tuple[str, ...]) -> None:
        """Set the entry VMs that share the slots, including this one."""
        if vm_ids != self.entry_vms:
            self.entry_vms = vm_ids
            for replica_id, limit in self._limits.items():
                limit.long_owned_count = self._owned_count(replica_id, limit.slots_count)
                initial = self._initial_limit_count(limit.slots_count)
                limit.limit_count = min(limit.limit_count, initial)

    @property
    def peer_count(self) -> int:
        """Return the number of other entry VMs."""
        return max(0, len(self.entry_vms) - 1)

    def with_capacity(
        self, work: WorkItem, states: Sequence[ReplicaState], now_s: float
    ) -> Sequence[ReplicaState]:
        """Return the replicas of a model that have capacity for one more work item.

        Long work is selective until it has waited for ``LONG_SELECTIVE_S``: until then it
        uses neither the floor nor, where there are slower replicas, the fastest ones.
        """
        if not self.enabled:
            return [state for state in states if len(state.in_flight) < state.replica.slots]
        if work.work_class is WorkClass.SHORT:
            return [state for state in states if self._has_short_capacity(state)]
        selective = now_s - work.queued_at_s < LONG_SELECTIVE_S
        allowed = self._not_fastest(states) if selective else states
        return self._slowest(
            [state for state in allowed if self._has_long_capacity(state, selective)]
        )

    def with_free_slot(self, states: Sequence[ReplicaState]) -> list[ReplicaState]:
        """Return the replicas with a free slot, by the counts of all entry VMs."""
        limits = [(state, self._limit_of(state)) for state in states]
        return [
            state
            for state, limit in limits
            if limit.others_known and limit.occupied_count < limit.slots_count
        ]

    def may_preempt(self, state: ReplicaState) -> bool:
        """Return whether a replica is full but its engine's own queue is still short.

        A preempted work item waits in that queue. Without the bound, short requests of customers
        who are all at their share would keep preempting each other.
        """
        limit = self._limit_of(state)
        return (
            self.is_full(state)
            and limit.occupied_count < limit.slots_count + limit.preemption_queue_count
        )

    def is_full(self, state: ReplicaState) -> bool:
        """Return whether a replica has no free slot, by the counts of all entry VMs."""
        limit = self._limit_of(state)
        return limit.others_known and limit.occupied_count >= limit.slots_count

    def is_above_floor(self, state: ReplicaState) -> bool:
        """Return whether this VM's long work at a replica exceeds its floor."""
        limit = self._limit_of(state)
        return limit.long_count > limit.long_owned_count

    def on_gap(self, replica_id: str, gap_s: float) -> None:
        """Update the minimum time between two tokens, which measures a replica's speed."""
        limit = self._limits.get(replica_id)
        if limit is not None and gap_s < limit.min_gap_s:
            limit.min_gap_s = gap_s

    def _has_short_capacity(self, state: ReplicaState) -> bool:
        limit = self._limit_of(state)
        return limit.short_count + 1 <= limit.limit_count and limit.has_slot

    def _has_long_capacity(self, state: ReplicaState, selective: bool) -> bool:
        limit = self._limit_of(state)
        owned = not selective and limit.long_count < limit.long_owned_count
        return owned or limit.long_credit_count >= 1.0

    def _not_fastest(self, states: Sequence[ReplicaState]) -> Sequence[ReplicaState]:
        """Return the replicas outside the fastest speed tier, or all if there are none."""
        gaps = [self._limit_of(state).min_gap_s for state in states]
        fastest_s = min(gaps, default=0.0)
        slower = [
            state
            for state, gap_s in zip(states, gaps, strict=True)
            if gap_s > fastest_s * SPEED_TIER_FACTOR
        ]
        return slower or states

    def _slowest(self, states: Sequence[ReplicaState]) -> Sequence[ReplicaState]:
        """Return the slowest replicas, as long work needs slots while short work needs speed."""
        gaps = [self._limit_of(state).min_gap_s for state in states]
        slowest_s = max((gap_s for gap_s in gaps if gap_s < math.inf), default=0.0)
        return [
            state
            for state, gap_s in zip(states, gaps, strict=True)
            if gap_s * SPEED_TIER_FACTOR > slowest_s
        ]

    def is_within_floor(self, state: ReplicaState) -> bool:
        """Return whether one more long work item fits this VM's floor at a replica."""
        limit = self._limit_of(state)
        return limit.long_count < limit.long_owned_count

    def on_started(self, attempt: Attempt, state: ReplicaState) -> None:
        """Count an attempt that was started."""
        limit = self._limit_of(state)
        work_class = attempt.work.work_class
        if work_class is WorkClass.SHORT:
            limit.short_count += 1
        else:
            if limit.long_count >= limit.long_owned_count:
                limit.long_credit_count = max(0.0, limit.long_credit_count - 1.0)
            limit.long_count += 1
        at_limit = limit.short_count + 1 > limit.limit_count
        self._slot_uses[attempt.attempt_id] = _SlotUse(
            state.replica.replica_id, work_class, at_limit
        )

    def on_ended(self, attempt: Attempt) -> None:
        """Remove an attempt that ended from the counts."""
        use = self._slot_uses.pop(attempt.attempt_id, None)
        limit = None if use is None else self._limits.get(use.replica_id)
        if use is None or limit is None:
            return
        if use.work_class is WorkClass.SHORT:
            limit.short_count -= 1
        else:
            limit.long_count -= 1
        assert limit.short_count >= 0 and limit.long_count >= 0, "an attempt was removed twice"

    def on_first_token(self, attempt: Attempt, now_s: float) -> None:
        """Adapt a replica's limit to the time that a first token took."""
        use = self._slot_uses[attempt.attempt_id]
        limit = self._limits.get(use.replica_id)
        resumed = attempt.purpose is AttemptPurpose.PREEMPTED
        if limit is None or resumed or use.work_class is not WorkClass.SHORT:
            return
        waited_s = now_s - attempt.started_at_s
        stale = now_s - limit.min_wait_at_s > MIN_WAIT_MEMORY_S
        if waited_s < limit.min_wait_s or stale:
            limit.min_wait_s = waited_s
            limit.min_wait_at_s = now_s
        if waited_s - limit.min_wait_s > self.settings.engine_wait_target_s:
            self._decrease(limit, now_s)
        elif use.at_limit:
            limit.limit_count += INCREASE_COUNT

    def on_refused(self, attempt: Attempt, now_s: float) -> None:
        """Decrease a replica's limit after it refused an attempt."""
        limit = self._limits.get(attempt.replica_id)
        if limit is not None:
            self._decrease(limit, now_s)

    def on_report(self, state: ReplicaState, now_s: float) -> None:
        """Grant credit for long work from a load report, if digests are missing."""
        limit = self._limit_of(state)
        if not limit.others_known:
            occupied_count = state.reported_running_count + state.reported_waiting_count
            self._grant_credit(limit, occupied_count, now_s)

    def on_digests(self, state: ReplicaState, others_count: int, now_s: float) -> None:
        """Apply the count of other entry VMs' requests at a replica and grant credit from it."""
        limit = self._limit_of(state)
        limit.others_count = others_count
        limit.others_known = True
        if now_s - limit.credited_at_s >= LONG_CREDIT_PERIOD_S:
            self._grant_credit(limit, limit.occupied_count, now_s)

    def on_digests_missing(self) -> None:
        """Discard the other entry VMs' counts, as some sent no recent digest."""
        for limit in self._limits.values():
            limit.others_known = False
            limit.others_count = 0

    def _grant_credit(self, limit: ReplicaLimit, occupied_count: int, now_s: float) -> None:
        limit.credited_at_s = now_s
        open_count = limit.slots_count * (1.0 - self.settings.long_reserve_share)
        spare = max(0.0, open_count - occupied_count) * LONG_CREDIT_SHARE
        credit = spare / max(1, len(self.entry_vms))
        # Randomised rounding: nine entry VMs with a ninth of a slot each grant one slot on average.
        integer_part = int(credit)
        limit.long_credit_count = integer_part + (self.rng.random() < credit - integer_part)

    def on_class_changed(self, attempt: Attempt) -> None:
        """Count an attempt as long after its work item was reclassified."""
        use = self._slot_uses[attempt.attempt_id]
        limit = self._limits.get(use.replica_id)
        if limit is not None and use.work_class is WorkClass.SHORT:
            limit.short_count -= 1
            limit.long_count += 1
            use.work_class = WorkClass.LONG

    def _decrease(self, limit: ReplicaLimit, now_s: float) -> None:
        if now_s - limit.decreased_at_s >= DECREASE_INTERVAL_S:
            limit.decreased_at_s = now_s
            limit.limit_count = max(LIMIT_MIN_COUNT, limit.limit_count * DECREASE_FACTOR)

    def _limit_of(self, state: ReplicaState) -> ReplicaLimit:
        replica = state.replica
        limit = self._limits.get(replica.replica_id)
        if limit is None:
            limit = ReplicaLimit(replica.slots, self._initial_limit_count(replica.slots))
            limit.long_owned_count = self._owned_count(replica.replica_id, replica.slots)
            self._limits[replica.replica_id] = limit
        return limit

    def _initial_limit_count(self, slots: int) -> float:
        """Return the initial limit: one and a half times this VM's part of the slots."""
        return max(LIMIT_MIN_COUNT, 1.5 * slots / max(1, len(self.entry_vms)))

    def _owned_count(self, replica_id: str, slots: int) -> int:
        """Return how many slots of a replica's floor for long work this entry VM owns.

        The slots are assigned round-robin, from a start that depends on the replica's id.
        """
        if self.vm_id not in self.entry_vms:
            return 1
        count = len(self.entry_vms)
        floor = round(self.settings.long_floor_share * slots)
        position = (self.entry_vms.index(self.vm_id) - zlib.crc32(replica_id.encode())) % count
        return len(range(position, floor, count))
