"""Selects the replica that a request is sent to."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import xxhash
from msgspec import Struct

from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.load_tracking import PREFILL_TOKEN_S, TrackedLoad
from coriandershelf_core.internal.gateway.pool import ReplicaState
from coriandershelf_core.internal.gateway.prompt_cache_index import PromptCacheIndex
from coriandershelf_core.internal.gateway.request import ActiveRequest, PromptPart

# Expected times on an idle replica of nominal speed: an engine's time to first event without
# prefill, and a plain server's response time.
FIRST_EVENT_BASE_S = 0.065
PLAIN_RESPONSE_S = 0.03
# If the last prompt part recurs in at least this share of a route's requests, it counts as shared.
REUSE_SHARE_MIN = 0.2
REUSE_WEIGHT = 0.05
# Number of affinity replicas of a session: its requests prefer these replicas, which are likely to
# have its prompt parts in their KV cache.
AFFINITY_COUNT = 3
# With at least this many replicas, routes with long prompts prefer one half, other routes the rest.
LENGTH_GROUPS_MIN_COUNT = 16
OTHER_GROUP_PENALTY_S = 0.06
LONG_ROUTE_FACTOR = 1.5
PROMPT_MEAN_WEIGHT = 0.02
# Share of a session's shared prompt tokens assumed to be in the KV cache of each affinity replica,
# since other VMs send the session there as well.
AFFINITY_CACHED_SHARES = (0.8, 0.6, 0.4)
# Weights of the cost: time to first event, prefill time (which delays everything queued behind it),
# and the expected time beyond a share of the route's objective.
LATENCY_WEIGHT = 0.3
PREFILL_WEIGHT = 1.5
LATE_PENALTY_WEIGHT = 4.0
LATE_PENALTY_START_SHARE = 0.35
# Prefill pauses the streams that run on a replica. Each of them costs this weight times the pause
# beyond a share of the route's objective for pauses, so long prompts go where few streams run.
PAUSE_PENALTY_WEIGHT = 15.0
PAUSE_PENALTY_START_SHARE = 0.2
# Each running stream delays a first event by its share of a decode step.
STREAM_DELAY_S = 0.002
CROSS_ZONE_DELAY_S = 0.004
# Cost of a replica without a free slot: the request waits until another one ends.
SATURATED_PENALTY_S = 0.5
# Random jitter on the cost, so that VMs spread requests over replicas of nearly equal cost.
JITTER_S = 0.003
JITTER_SHARE = 0.05
# Requests that may wait in a replica's own queue, as a share of its slots.
QUEUE_SHARE = 0.25
EJECTED_MAX_SHARE = 0.5
# A resumed stream rather goes on at a replica that has stated its start to this VM: others may have
# started again, and then cost the stream another try.
UNKNOWN_START_PENALTY_S = 0.3
# Random replicas whose load is queried besides the affinity replicas; the best of a few random
# choices is nearly the best of all (Mitzenmacher 2001).
SAMPLED_OTHERS_COUNT = 5


class ScoredReplica(Struct, frozen=True):
    """A candidate replica with the cost estimate for one request.

    :param uncached_tokens: prompt tokens that the replica has to prefill.
    :param expected_s: expected time to the complete response, or to a stream's first event.
    :param baseline_s: the same on a replica of nominal speed.
    :param cost_s: selection cost: expected time plus the delay caused to other requests.
    :param running_count: requests known to run on the replica.
    :param waiting_tokens: prompt tokens known to await prefill on the replica.
    :param affinity_rank: rank among the affinity replicas of the session, or ``None``.
    :param is_tracked: whether the load figures come from the replica's load tracker.
    """

    state: ReplicaState
    uncached_tokens: int
    expected_s: float
    baseline_s: float
    cost_s: float
    running_count: int
    waiting_tokens: int
    affinity_rank: int | None = None
    is_tracked: bool = False


class CandidateSet(Struct, frozen=True):
    """The replicas that may run a request.

    :param affinity_ids: affinity replicas of the session, most preferred first.
    :param shared_tokens: prompt tokens shared with other requests of the route.
    :param group: replicas preferred for prompts of this length.
    :param shortlist: replicas whose load trackers are queried.
    """

    service: Service
    candidates: Sequence[ReplicaState]
    affinity_ids: Sequence[str] = ()
    shared_tokens: int = 0
    group: frozenset[str] = frozenset()
    shortlist: Sequence[ReplicaState] = ()


class PromptReuse:
    """Learns per route whether the last prompt part is shared or unique to each request."""

    def __init__(self) -> None:
        self._reuse_shares: dict[str, float] = {}

    def shared_parts(
        self, request: ActiveRequest, prompt_cache: PromptCacheIndex, learn: bool = True
    ) -> tuple[PromptPart, ...]:
        """Return the leading parts that are shared with other requests of the route."""
        parts = request.arrival.parts
        if not parts:
            return ()
        name = request.route.name
        share = self._reuse_shares.get(name, 0.0)
        seen = prompt_cache.contains(parts[-1].part_id)
        if learn:
            share += REUSE_WEIGHT * ((1.0 if seen else 0.0) - share)
            self._reuse_shares[name] = share
        if share > REUSE_SHARE_MIN or len(parts) == 1:
            return parts
        return parts[:-1]


class PromptLengths:
    """Learns which routes have long prompts, compared to the mean of their service."""

    def __init__(self) -> None:
        self._route_means: dict[str, float] = {}
        self._service_means: dict[str, float] = {}

    def is_long(self, request: ActiveRequest, learn: bool) -> bool:
        """Update the means with a request; return whether its route has long prompts."""
        tokens = float(request.arrival.prompt_tokens)
        weight = PROMPT_MEAN_WEIGHT if learn else 0.0
        route_mean = _update_mean(self._route_means, request.route.name, tokens, weight)
        service_mean = _update_mean(self._service_means, request.service, tokens, weight)
        return route_mean > LONG_ROUTE_FACTOR * service_mean


def _update_mean(means: dict[str, float], name: str, value: float, weight: float) -> float:
    mean = means.get(name, value)
    mean += weight * (value - mean)
    means[name] = mean
    return mean


def _length_group(states: Sequence[ReplicaState], long_route: bool) -> Sequence[ReplicaState]:
    """Return the half of the replicas preferred for routes with long, or other, prompts.

    Prefill of a long prompt delays every stream on the same replica. With few replicas all of them
    serve every route, since one half could be lost with a single zone.
    """
    if len(states) < LENGTH_GROUPS_MIN_COUNT:
        return states
    return [
        state
        for state in states
        if (xxhash.xxh64_intdigest(state.replica.replica_id.encode()) % 2 == 0) is long_route
    ]


def affinity_ids_of(part_id: str, states: Sequence[ReplicaState]) -> list[str]:
    """Return the affinity replicas of a session, the primary before those it spills over to.

    Rendezvous hashing (Thaler and Ravishankar 1998), so that all entry VMs agree without
    communication. Measured replica state is left out, since each VM learns it at a different time.
    """
    names = (state.replica.replica_id for state in states)
    ranked = sorted(
        ((xxhash.xxh64_intdigest(f"{part_id}/{name}".encode()), name) for name in names),
        reverse=True,
    )
    return [name for _, name in ranked[:AFFINITY_COUNT]]


class ReplicaSelector:
    """Selects by expected time to first event, from this VM's and the peers' counts.

    :param zone: this VM's availability zone.
    :param entry_vms: the VMs among which the request limits of replicas are divided.
    """

    def __init__(self, zone: str, rng: random.Random, entry_vms: EntryVms) -> None:
        self._zone = zone
        self._rng = rng
        self._entry_vms = entry_vms
        self.prompt_cache = PromptCacheIndex()
        self.reuse = PromptReuse()
        self.prompt_lengths = PromptLengths()

    def find_candidates(
        self,
        request: ActiveRequest,
        service: Service,
        states: Sequence[ReplicaState],
        now_s: float,
        learn: bool = True,
    ) -> CandidateSet | None:
        """Return the candidates for a request, or ``None`` if there are none.

        :param learn: whether to learn from the request's prompt; a request that waits counts once.
        """
        candidates = [
            state
            for state in _allowed_states(request, states, now_s)
            if state.replica.replica_id not in request.tried_ids
            and now_s >= state.backoff_until_s
            and state.limit.accepts(self._entry_vms, now_s)
        ]
        if not candidates:
            return None
        if not service.is_engine:
            sampled = self._rng.sample(candidates, min(SAMPLED_OTHERS_COUNT, len(candidates)))
            return CandidateSet(service, candidates, shortlist=sampled)
        shared = self.reuse.shared_parts(request, self.prompt_cache, learn)
        group = _length_group(states, self.prompt_lengths.is_long(request, learn))
        affinity_ids = affinity_ids_of(shared[-1].part_id, group) if shared else []
        shared_tokens = sum(part.tokens_count for part in shared)
        others = [state for state in candidates if state.replica.replica_id not in affinity_ids]
        sampled = self._rng.sample(others, min(SAMPLED_OTHERS_COUNT, len(others)))
        affine = [state for state in candidates if state.replica.replica_id in affinity_ids]
        group_ids = frozenset(state.replica.replica_id for state in group)
        shortlist = (*affine, *sampled)
        return CandidateSet(service, candidates, affinity_ids, shared_tokens, group_ids, shortlist)

    def select(
        self,
        request: ActiveRequest,
        candidate_set: CandidateSet,
        now_s: float,
        tracked_loads: Mapping[str, TrackedLoad] | None = None,
        tracked_only: bool = False,
    ) -> ScoredReplica | None:
        """Return the replica of lowest cost that has capacity, or ``None``.

        :param tracked_loads: loads by replica id, from their trackers; if any of these replicas has
            capacity, only they are considered.
        :param tracked_only: whether to consider no others in any case.
        """
        # All of this may have changed while the loads were queried.
        candidates = [
            state
            for state in candidate_set.candidates
            if not state.leaving
            and now_s >= state.backoff_until_s
            and state.limit.accepts(self._entry_vms, now_s)
        ]
        known_loads = tracked_loads or {}
        tracked_candidates = [
            state
            for state in candidates
            if (tracked := known_loads.get(state.replica.replica_id)) is not None
            and not tracked.shut_out
            and _has_capacity(tracked.running_count, state)
        ]
        untracked = [
            state
            for state in candidates
            if not tracked_only
            and state.replica.replica_id not in known_loads
            and _has_capacity(state.running_count, state)
        ]
        score = self._score_engine if candidate_set.service.is_engine else self._score_plain
        return min(
            (
                score(
                    request, state, candidate_set, known_loads.get(state.replica.replica_id), now_s
                )
                for state in tracked_candidates or untracked
            ),
            key=lambda scored: scored.cost_s,
            default=None,
        )

    def _score_plain(
        self,
        request: ActiveRequest,
        state: ReplicaState,
        candidate_set: CandidateSet,
        tracked: TrackedLoad | None,
        now_s: float,
    ) -> ScoredReplica:
        running_count = state.running_count if tracked is None else tracked.running_count
        utilization = running_count / max(1, state.replica.slots_count)
        service_time_s = PLAIN_RESPONSE_S * state.latency_ratio * state.current_slowdown(now_s)
        expected_s = service_time_s * (1.0 + utilization) + self._zone_delay_s(state)
        if utilization >= 1.0:
            expected_s += service_time_s * utilization
        cost_s = expected_s * (1.0 + JITTER_SHARE * self._rng.random())
        cost_s += _start_penalty_s(request, state)
        baseline_s = PLAIN_RESPONSE_S * (1.0 + utilization)
        is_tracked = tracked is not None
        return ScoredReplica(
            state, 0, expected_s, baseline_s, cost_s, running_count, 0, is_tracked=is_tracked
        )

    def _score_engine(
        self,
        request: ActiveRequest,
        state: ReplicaState,
        candidate_set: CandidateSet,
        tracked: TrackedLoad | None,
        now_s: float,
    ) -> ScoredReplica:
        parts = request.arrival.parts
        name = state.replica.replica_id
        affinity_ids = candidate_set.affinity_ids
        running_count = state.running_count if tracked is None else tracked.running_count
        waiting_tokens = state.waiting_tokens if tracked is None else tracked.waiting_tokens
        cached = float(self.prompt_cache.cached_tokens(parts, name, now_s))
        if tracked is not None:
            cached = max(cached, float(tracked.cached_tokens))
        elif name in affinity_ids:
            cached_share = AFFINITY_CACHED_SHARES[affinity_ids.index(name)]
            cached = max(cached, cached_share * candidate_set.shared_tokens)
        if parts:
            # The first part is the system prompt, which every replica has cached.
            cached = max(cached, float(parts[0].tokens_count))
        uncached = max(0, request.arrival.prompt_tokens - int(cached))
        prefill_s = (uncached + waiting_tokens) * PREFILL_TOKEN_S
        baseline_s = FIRST_EVENT_BASE_S + prefill_s + STREAM_DELAY_S * running_count
        slowdown = state.current_slowdown(now_s)
        latency_ratio = state.latency_ratio
        if tracked is not None and tracked.slowness is not None:
            latency_ratio = tracked.slowness
        expected_s = baseline_s * latency_ratio * slowdown
        utilization = running_count / max(1, state.replica.slots_count)
        # Well within the objective, saved prefill dominates the cost, otherwise the expected delay.
        prefill_work_s = uncached * PREFILL_TOKEN_S * latency_ratio
        late_penalty_start_s = LATE_PENALTY_START_SHARE * request.route.objective_s
        cost_s = (
            LATENCY_WEIGHT * expected_s
            + PREFILL_WEIGHT * prefill_work_s
            + self._zone_delay_s(state)
        )
        cost_s += LATE_PENALTY_WEIGHT * max(0.0, expected_s - late_penalty_start_s)
        if tracked is not None and request.route.gap_objective_s > 0.0:
            pause_s = prefill_s * latency_ratio * slowdown
            pause_start_s = PAUSE_PENALTY_START_SHARE * request.route.gap_objective_s
            penalty_s = PAUSE_PENALTY_WEIGHT * max(0.0, pause_s - pause_start_s)
            cost_s += tracked.streams_count * penalty_s
        if utilization >= 1.0:
            cost_s += SATURATED_PENALTY_S * utilization
        if name not in candidate_set.group:
            cost_s += OTHER_GROUP_PENALTY_S * latency_ratio
        cost_s += JITTER_S * self._rng.random()
        cost_s += _start_penalty_s(request, state)
        affinity_rank = affinity_ids.index(name) if name in affinity_ids else None
        is_tracked = tracked is not None
        return ScoredReplica(
            state, uncached, expected_s, baseline_s, cost_s, running_count, waiting_tokens,
            affinity_rank, is_tracked,
        )  # fmt: skip

    def _zone_delay_s(self, state: ReplicaState) -> float:
        return 0.0 if state.replica.zone == self._zone else CROSS_ZONE_DELAY_S


def _start_penalty_s(request: ActiveRequest, state: ReplicaState) -> float:
    """Return the cost of a replica that may have started again, for a stream that is resumed."""
    if request.software_version is None or state.stated_start_ms is not None:
        return 0.0
    return UNKNOWN_START_PENALTY_S


def _has_capacity(running_count: int, state: ReplicaState) -> bool:
    return running_count < capacity_count(state)


def capacity_count(state: ReplicaState) -> int:
    """Return how many requests may be at a replica, including those in its own queue."""
    slots_count = max(1, state.replica.slots_count)
    return slots_count + max(2, int(QUEUE_SHARE * slots_count))


def _allowed_states(
    request: ActiveRequest, states: Sequence[ReplicaState], now_s: float
) -> Sequence[ReplicaState]:
    """Return the replicas to choose from.

    A stream that may continue at one software version only has few of them, so it rather tries an
    ejected one than be refused.
    """
    kept = not_ejected(states, now_s)
    if request.software_version is None:
        return kept
    has_capacity = any(_has_capacity(state.running_count, state) for state in kept)
    return kept if has_capacity else states


def not_ejected(states: Sequence[ReplicaState], now_s: float) -> Sequence[ReplicaState]:
    """Return the replicas that are not ejected, or all if too many are.

    When most replicas fail, the cause is not a single replica, and concentrating the load on the
    rest would make it worse.
    """
    kept = [state for state in states if now_s >= state.ejected_until_s]
    if len(kept) < len(states) * (1.0 - EJECTED_MAX_SHARE):
        return states
    return kept
