"""Chooses the replica of a request."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.pool import ReplicaState
from coriandershelf_core.internal.gateway.request import Passage, PromptPart

# Time that an engine takes for a prompt token, before its slowness is learnt.
PROMPT_TOKEN_S = 1.0e-5
FIRST_EVENT_S = 0.065
PLAIN_ANSWER_S = 0.03
# A part is taken to be cached at a replica for this long after its last use there.
PART_KEEP_S = 30.0
PARTS_MAX_COUNT = 4096
# Part of a route's requests whose last part was seen before, from which on it counts as shared.
SEEN_SHARE_MIN = 0.2
SEEN_WEIGHT = 0.05
# Replicas where a session belongs, and the trust that other VMs have sent it there, too.
HOMES_COUNT = 3
# From so many replicas on, long routes prefer one half of them and the others the other half.
GROUPS_MIN_COUNT = 16
OTHER_GROUP_S = 0.06
LONG_ROUTE_FACTOR = 1.5
LENGTH_WEIGHT = 0.02
HOME_TRUSTS = (0.8, 0.6, 0.4)
# What a choice weighs: the time to the first event, the reading that it costs the replica and so
# everything behind it, and the time beyond an easy part of the route's objective.
LATENCY_WEIGHT = 0.3
WORK_WEIGHT = 1.5
LATE_WEIGHT = 4.0
EASY_SHARE = 0.35
# Each running stream delays a first event by its part of a step.
STREAM_WEIGHT_S = 0.002
ZONE_HOP_S = 0.004
# A request beyond the slots waits for one to end.
FULL_S = 0.5
# Replicas closer to each other than this are chosen by chance, so that VMs spread.
TIE_S = 0.003
TIE_SHARE = 0.05
# Requests beyond the slots that may wait in a replica's own queue, as a share of its slots.
QUEUE_SHARE = 0.25
EJECTED_MAX_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Chosen:
    """A replica for a request, and what is expected of it there.

    :param uncached_tokens: prompt tokens that it has to read.
    :param expected_s: expected time to the whole answer, or to a stream's first event.
    :param usual_s: the same at a replica of usual speed.
    :param home_rank: its place among the homes of the request's session, if it is one.
    :param cost_s: what the choice weighs: the expected time and what others are held up.
    """

    state: ReplicaState
    uncached_tokens: int
    expected_s: float
    usual_s: float
    cost_s: float
    home_rank: int | None = None


class PartMemory:
    """Which replicas have read which parts of prompts lately, by this VM's own requests."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> None:
        """Remember that a replica reads these parts."""
        for part in parts:
            self._parts.setdefault(part.part_id, {})[replica_id] = now_s
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > PARTS_MAX_COUNT:
            self._parts.popitem(last=False)

    def knows(self, part_id: str) -> bool:
        """Return whether any replica was seen to read a part."""
        return part_id in self._parts

    def cached_tokens(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> int:
        """Return the tokens of the leading parts that a replica still keeps."""
        tokens_count = 0
        for part in parts:
            read_at_s = self._parts.get(part.part_id, {}).get(replica_id)
            if read_at_s is None or now_s - read_at_s > PART_KEEP_S:
                break
            tokens_count += part.tokens_count
        return tokens_count


class SharedParts:
    """Learns, by route, whether the last part of a prompt comes again or is the request's own."""

    def __init__(self) -> None:
        self._seen_shares: dict[str, float] = {}

    def shared_parts(self, passage: Passage, memory: PartMemory) -> tuple[PromptPart, ...]:
        """Return the leading parts that other requests of the route have, too."""
        parts = passage.arrival.parts
        if not parts:
            return ()
        name = passage.route.name
        share = self._seen_shares.get(name, 0.0)
        seen = memory.knows(parts[-1].part_id)
        share += SEEN_WEIGHT * ((1.0 if seen else 0.0) - share)
        self._seen_shares[name] = share
        if share > SEEN_SHARE_MIN or len(parts) == 1:
            return parts
        return parts[:-1]


class RouteLengths:
    """Learns which routes' prompts are long beside the other prompts of their service."""

    def __init__(self) -> None:
        self._route_means: dict[str, float] = {}
        self._service_means: dict[str, float] = {}

    def is_long(self, passage: Passage) -> bool:
        """Take a request's prompt into account; return whether its route is a long one."""
        tokens = float(passage.arrival.prompt_tokens)
        route_mean = _learn(self._route_means, passage.route.name, tokens)
        service_mean = _learn(self._service_means, passage.service, tokens)
        return route_mean > LONG_ROUTE_FACTOR * service_mean


def _learn(means: dict[str, float], name: str, value: float) -> float:
    mean = means.get(name, value)
    mean += LENGTH_WEIGHT * (value - mean)
    means[name] = mean
    return mean


def _group(states: Sequence[ReplicaState], long_route: bool) -> Sequence[ReplicaState]:
    """Return the half of the replicas that long, or other, routes prefer.

    A long prompt holds up every stream beside it for as long as it is read. Where replicas are few,
    all take everything: a half could be lost with one zone.
    """
    if len(states) < GROUPS_MIN_COUNT:
        return states
    return [
        state
        for state in states
        if (xxhash.xxh64_intdigest(state.replica.replica_id.encode()) % 2 == 0) is long_route
    ]


def homes_of(part_id: str, states: Sequence[ReplicaState]) -> list[str]:
    """Return the replicas where a session belongs, the first one before the one it spills to.

    Rendezvous hashing (Thaler and Ravishankar 1998): every entry VM finds the same ones without a
    message. What is learnt of replicas stays out of it, since each VM learns it at other times.
    """
    names = (state.replica.replica_id for state in states)
    ranked = sorted(
        ((xxhash.xxh64_intdigest(f"{part_id}/{name}".encode()), name) for name in names),
        reverse=True,
    )
    return [name for _, name in ranked[:HOMES_COUNT]]


class Chooser:
    """Chooses by the expected time to the first event, from own and other VMs' counts.

    :param zone: this VM's availability zone.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self.parts = PartMemory()
        self.shares = SharedParts()
        self.lengths = RouteLengths()

    def choose(
        self, passage: Passage, service: Service, states: Sequence[ReplicaState], now_s: float
    ) -> Chosen | None:
        """Return the best replica with room, or ``None``."""
        candidates = [
            state
            for state in _in_order(states, now_s)
            if state.replica.replica_id not in passage.tried and _has_room(state, now_s)
        ]
        if not candidates:
            return None
        if not service.is_engine:
            return min(
                (self._plain(state, now_s) for state in candidates),
                key=lambda chosen: chosen.cost_s,
            )
        shared = self.shares.shared_parts(passage, self.parts)
        long_route = self.lengths.is_long(passage)
        group = _group(states, long_route)
        homes = homes_of(shared[-1].part_id, group) if shared else []
        shared_tokens = sum(part.tokens_count for part in shared)
        return min(
            (
                self._engine(passage, state, homes, shared_tokens, state not in group, now_s)
                for state in candidates
            ),
            key=lambda chosen: chosen.cost_s,
        )

    def _plain(self, state: ReplicaState, now_s: float) -> Chosen:
        load = state.count / max(1, state.replica.slots_count)
        work_s = PLAIN_ANSWER_S * state.slowness * state.current_pace(now_s)
        expected_s = work_s * (1.0 + load) + self._hop_s(state)
        if load >= 1.0:
            expected_s += work_s * load
        cost_s = expected_s * (1.0 + TIE_SHARE * self._rng.random())
        return Chosen(state, 0, expected_s, PLAIN_ANSWER_S * (1.0 + load), cost_s)

    def _engine(
        self,
        passage: Passage,
        state: ReplicaState,
        homes: list[str],
        shared_tokens: int,
        other_group: bool,
        now_s: float,
    ) -> Chosen:
        parts = passage.arrival.parts
        name = state.replica.replica_id
        cached = float(self.parts.cached_tokens(parts, name, now_s))
        if name in homes:
            trust = HOME_TRUSTS[homes.index(name)]
            cached = max(cached, trust * shared_tokens)
        elif parts:
            # The first part is the system prompt, which every replica has read.
            cached = max(cached, float(parts[0].tokens_count))
        uncached = max(0, passage.arrival.prompt_tokens - int(cached))
        read_s = (uncached + state.waiting_tokens) * PROMPT_TOKEN_S
        usual_s = FIRST_EVENT_S + read_s + STREAM_WEIGHT_S * state.count
        pace = state.current_pace(now_s)
        expected_s = usual_s * state.slowness * pace
        load = state.count / max(1, state.replica.slots_count)
        # Within an easy part of the objective the work that is saved counts, beyond it the delay.
        work_s = uncached * PROMPT_TOKEN_S * state.slowness
        easy_s = EASY_SHARE * passage.route.objective_s
        cost_s = LATENCY_WEIGHT * expected_s + WORK_WEIGHT * work_s + self._hop_s(state)
        cost_s += LATE_WEIGHT * max(0.0, expected_s - easy_s)
        if load >= 1.0:
            cost_s += FULL_S * load
        if other_group:
            cost_s += OTHER_GROUP_S * state.slowness
        cost_s += TIE_S * self._rng.random()
        home_rank = homes.index(name) if name in homes else None
        return Chosen(state, uncached, expected_s, usual_s, cost_s, home_rank)

    def _hop_s(self, state: ReplicaState) -> float:
        return 0.0 if state.replica.zone == self._zone else ZONE_HOP_S


def _has_room(state: ReplicaState, now_s: float) -> bool:
    slots_count = max(1, state.replica.slots_count)
    limit = slots_count + max(2, int(QUEUE_SHARE * slots_count))
    return state.count < limit and now_s >= state.full_until_s


def _in_order(states: Sequence[ReplicaState], now_s: float) -> Sequence[ReplicaState]:
    """Return the replicas that are not shut out; all where too many would be.

    When most replicas fail, the cause is not any one of them, and fewer would make it worse.
    """
    kept = [state for state in states if now_s >= state.ejected_until_s]
    if len(kept) < len(states) * (1.0 - EJECTED_MAX_SHARE):
        return states
    return kept
