"""Filter: choose a replica for a work."""

from __future__ import annotations

from collections.abc import Sequence

from coriandershelf_core.internal.routing.affinity import Affinity, home_of
from coriandershelf_core.internal.routing.replicas import ReplicaState
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.work import Work

SAMPLES_COUNT = 2
BUSY_LOAD = 0.7
BUSY_PENALTY = 4.0
FULL_PENALTY_S = 2.0
WAIT_NORMAL_S = 0.1
WAIT_FACTOR = 8.0
SPILL_FACTOR = 1.15
ZONE_HOP_S = 0.002


def relative_load(state: ReplicaState) -> float:
    """Return the requests in flight from here per slot."""
    return len(state.in_flight) / state.replica.slots


def expected_latency_s(state: ReplicaState, work: Work, cached_tokens: int, now_s: float) -> float:
    """Return the expected time until a work's answer is whole at a replica.

    Own evidence goes first: the gap between tokens that this VM's streams see shows the batch's
    present size, whoever filled it. Reports only add what has not shown yet.
    """
    load = state.load(now_s)
    uncached = max(0, work.request.prompt_tokens + work.position - cached_tokens)
    first_s = state.health.expected_first_token_s(uncached)
    rest_s = max(1.0, work.expected_tokens - work.position) * state.health.expected_gap_s
    busy = 1.0 + BUSY_PENALTY * max(0.0, load - BUSY_LOAD)
    full_s = FULL_PENALTY_S * max(0.0, load - 1.0)
    # Computing a prompt holds up every stream of the batch; what the cache saves counts for each.
    saved_s = cached_tokens * state.health.prefill_cost_s * load * state.replica.slots
    wait_s = max(0.0, state.oldest_wait_s(now_s) - WAIT_NORMAL_S)
    return (first_s + rest_s) * busy - saved_s + full_s + WAIT_FACTOR * wait_s


class Router:
    """Chooses replicas; remembers where prefixes went.

    Power of two choices (Mitzenmacher, 2001) over the expected latency: sorting by a late report
    would send every entry VM to the same replica until the next report.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._turn = 0
        self.affinity = Affinity()

    def choose(
        self,
        work: Work,
        candidates: Sequence[ReplicaState],
        now_s: float,
        any_zone: bool = False,
    ) -> ReplicaState | None:
        """Return the replica for the next attempt, or ``None`` if none has room.

        :param any_zone: give this zone no preference. Where one of its replicas is ejected, its
            work would fill the zone's others while those of other zones have room.
        """
        roomy = [state for state in candidates if relative_load(state) < 1.0]
        fresh = [state for state in roomy if state.replica.replica_id not in work.tried_replicas]
        pool = fresh or roomy
        if not pool:
            return None
        if not self._context.enabled("routing"):
            self._turn += 1
            return pool[self._turn % len(pool)]
        if not self._context.enabled("sampling"):
            return min(pool, key=_reported_load)
        cached = self._cached_tokens(work)
        zone = self._context.identity.zone
        near = [state for state in pool if state.replica.zone == zone and not any_zone]
        far = [state for state in pool if state.replica.zone != zone or any_zone]
        sampled = self._sample(near) + self._sample(far)
        sampled += [state for state in pool if state.replica.replica_id in cached]
        sampled += self._home(work, near or pool)

        def score(state: ReplicaState) -> float:
            held = cached.get(state.replica.replica_id, 0)
            latency_s = expected_latency_s(state, work, held, now_s)
            if state.replica.zone == zone or any_zone:
                return latency_s
            return latency_s * SPILL_FACTOR + ZONE_HOP_S

        return min(sampled, key=score)

    def note(self, work: Work, replica_id: str) -> None:
        """Remember where a work was sent."""
        self.affinity.note(work.request.prefix_hashes, replica_id)

    def _cached_tokens(self, work: Work) -> dict[str, int]:
        if not work.request.prefix_hashes or not self._context.enabled("affinity"):
            return {}
        return self.affinity.cached_tokens(work.request.prefix_hashes)

    def _home(self, work: Work, pool: Sequence[ReplicaState]) -> list[ReplicaState]:
        if not work.request.prefix_hashes or not self._context.enabled("affinity"):
            return []
        slots = {item.replica.replica_id: item.replica.slots for item in pool}
        name = home_of(work.request.prefix_hashes[0], slots)
        return [state for state in pool if state.replica.replica_id == name]

    def _sample(self, pool: Sequence[ReplicaState]) -> list[ReplicaState]:
        """Return some replicas, larger ones more often, without repeats."""
        keyed = [(self._context.rng.random() ** (1 / state.replica.slots), state) for state in pool]
        keyed.sort(key=lambda pair: pair[0], reverse=True)
        return [state for _, state in keyed[:SAMPLES_COUNT]]


def _reported_load(state: ReplicaState) -> float:
    count = state.reported_running_count + state.reported_waiting_count
    return count / state.replica.slots
