"""Chooses a replica for a work item."""

from __future__ import annotations

from collections.abc import Sequence

from coriandershelf_core.internal.routing.affinity import Affinity, preferred_replica_id
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.work import WorkItem

SAMPLES_COUNT = 2
BUSY_LOAD = 0.7
BUSY_PENALTY = 4.0
FULL_PENALTY_S = 2.0
NORMAL_WAIT_S = 0.1
WAIT_FACTOR = 8.0
CROSS_ZONE_FACTOR = 1.15
ZONE_HOP_S = 0.002


def relative_load(state: ReplicaState) -> float:
    """Return this VM's requests in flight per slot."""
    return len(state.in_flight) / state.replica.slots


def expected_latency_s(
    state: ReplicaState, work: WorkItem, cached_tokens: int, now_s: float
) -> float:
    """Return the expected time until a replica would complete a work item's answer.

    This VM's own measurements come first: the gap between tokens in its streams reflects the
    present batch size, including the requests of other VMs. Load reports only add load that does
    not show in the gaps yet.
    """
    load = state.load(now_s)
    uncached = max(0, work.request.prompt_tokens + work.position - cached_tokens)
    first_s = state.health.expected_first_token_s(uncached)
    rest_s = max(1.0, work.expected_tokens - work.position) * state.health.expected_gap_s
    busy = 1.0 + BUSY_PENALTY * max(0.0, load - BUSY_LOAD)
    full_s = FULL_PENALTY_S * max(0.0, load - 1.0)
    # Prefill delays every stream of the batch, so the time that the cache saves counts for each.
    saved_s = cached_tokens * state.health.prefill_cost_s * load * state.replica.slots
    wait_s = max(0.0, state.oldest_wait_s(now_s) - NORMAL_WAIT_S)
    return (first_s + rest_s) * busy - saved_s + full_s + WAIT_FACTOR * wait_s


class Router:
    """Chooses replicas and records which prefixes were sent where.

    Uses the power of two choices (Mitzenmacher, 2001) over the expected latency: if every entry
    VM took the least loaded replica of a delayed report, all would choose the same replica until
    the next report.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._round_robin_index = 0
        self.affinity = Affinity()

    def choose(
        self,
        work: WorkItem,
        candidates: Sequence[ReplicaState],
        now_s: float,
        any_zone: bool = False,
    ) -> ReplicaState | None:
        """Return the replica for the next attempt, or ``None`` if none has capacity.

        :param any_zone: do not prefer this VM's zone. While one of the zone's replicas is
            ejected, its load would otherwise fill the zone's other replicas although those of
            other zones have capacity.
        """
        available = [state for state in candidates if relative_load(state) < 1.0]
        untried = [
            state for state in available if state.replica.replica_id not in work.tried_replicas
        ]
        pool = untried or available
        if not pool:
            return None
        if not self._context.is_enabled("routing"):
            self._round_robin_index += 1
            return pool[self._round_robin_index % len(pool)]
        if not self._context.is_enabled("sampling"):
            return min(pool, key=_reported_load)
        cached = self._cached_tokens(work)
        zone = self._context.identity.zone
        local = [state for state in pool if state.replica.zone == zone and not any_zone]
        remote = [state for state in pool if state.replica.zone != zone or any_zone]
        sampled = self._sample(local) + self._sample(remote)
        sampled += [state for state in pool if state.replica.replica_id in cached]
        sampled += self._preferred_replicas(work, local or pool)

        def score(state: ReplicaState) -> float:
            cached_tokens = cached.get(state.replica.replica_id, 0)
            latency_s = expected_latency_s(state, work, cached_tokens, now_s)
            if state.replica.zone == zone or any_zone:
                return latency_s
            return latency_s * CROSS_ZONE_FACTOR + ZONE_HOP_S

        return min(sampled, key=score)

    def record(self, work: WorkItem, replica_id: str) -> None:
        """Record the replica that a work item was sent to."""
        self.affinity.record(work.request.prefix_hashes, replica_id)

    def _cached_tokens(self, work: WorkItem) -> dict[str, int]:
        if not work.request.prefix_hashes or not self._context.is_enabled("affinity"):
            return {}
        return self.affinity.cached_tokens(work.request.prefix_hashes)

    def _preferred_replicas(
        self, work: WorkItem, pool: Sequence[ReplicaState]
    ) -> list[ReplicaState]:
        if not work.request.prefix_hashes or not self._context.is_enabled("affinity"):
            return []
        slots = {item.replica.replica_id: item.replica.slots for item in pool}
        replica_id = preferred_replica_id(work.request.prefix_hashes[0], slots)
        return [state for state in pool if state.replica.replica_id == replica_id]

    def _sample(self, pool: Sequence[ReplicaState]) -> list[ReplicaState]:
        """Return a random sample without repeats, weighted by the replicas' slots."""
        keyed = [(self._context.rng.random() ** (1 / state.replica.slots), state) for state in pool]
        keyed.sort(key=lambda pair: pair[0], reverse=True)
        return [state for _, state in keyed[:SAMPLES_COUNT]]


def _reported_load(state: ReplicaState) -> float:
    count = state.reported_running_count + state.reported_waiting_count
    return count / state.replica.slots
