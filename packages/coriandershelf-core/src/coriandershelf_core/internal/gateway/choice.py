"""Chooses the replica of a request."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.part_memory import PartMemory
from coriandershelf_core.internal.gateway.pool import ReplicaState
from coriandershelf_core.internal.gateway.request import Passage, PromptPart
from coriandershelf_core.internal.gateway.room import PROMPT_TOKEN_S, Room

FIRST_EVENT_S = 0.065
PLAIN_ANSWER_S = 0.03
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
# Replicas beside a session's homes whose accounts are asked for; the best of a few chosen by chance
# is nearly the best of all (Mitzenmacher 2001).
OTHERS_ASKED_COUNT = 5


@dataclass(frozen=True, slots=True)
class Chosen:
    """A replica for a request, and what is expected of it there.

    :param uncached_tokens: prompt tokens that it has to read.
    :param expected_s: expected time to the whole answer, or to a stream's first event.
    :param usual_s: the same at a replica of usual speed.
    :param cost_s: what the choice weighs: the expected time and what others are held up.
    :param running_count: requests there, as far as known; ``waiting_tokens``: their prompts.
    :param home_rank: its place among the homes of the request's session, if it is one.
    :param asked: whether the figures are those of the replica's account.
    """

    state: ReplicaState
    uncached_tokens: int
    expected_s: float
    usual_s: float
    cost_s: float
    running_count: int
    waiting_tokens: int
    home_rank: int | None = None
    asked: bool = False


@dataclass(frozen=True, slots=True)
class Prospect:
    """Where a request may go.

    :param homes: the replicas where its session belongs, the first one first.
    :param shared_tokens: tokens of its prompt that other requests have, too.
    :param group: the replicas that routes like its own prefer.
    :param shortlist: those whose accounts are worth asking for.
    """

    service: Service
    candidates: Sequence[ReplicaState]
    homes: Sequence[str] = ()
    shared_tokens: int = 0
    group: frozenset[str] = frozenset()
    shortlist: Sequence[ReplicaState] = ()


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

    def prospect(
        self, passage: Passage, service: Service, states: Sequence[ReplicaState], now_s: float
    ) -> Prospect | None:
        """Return where a request may go; ``None`` if nowhere."""
        candidates = [
            state
            for state in _in_order(states, now_s)
            if state.replica.replica_id not in passage.tried and now_s >= state.full_until_s
        ]
        if not candidates:
            return None
        if not service.is_engine:
            few = self._rng.sample(candidates, min(OTHERS_ASKED_COUNT, len(candidates)))
            return Prospect(service, candidates, shortlist=few)
        shared = self.shares.shared_parts(passage, self.parts)
        group = _group(states, self.lengths.is_long(passage))
        homes = homes_of(shared[-1].part_id, group) if shared else []
        shared_tokens = sum(part.tokens_count for part in shared)
        others = [state for state in candidates if state.replica.replica_id not in homes]
        chance = self._rng.sample(others, min(OTHERS_ASKED_COUNT, len(others)))
        at_home = [state for state in candidates if state.replica.replica_id in homes]
        group_ids = frozenset(state.replica.replica_id for state in group)
        shortlist = (*at_home, *chance)
        return Prospect(service, candidates, homes, shared_tokens, group_ids, shortlist)

    def choose(
        self,
        passage: Passage,
        prospect: Prospect,
        now_s: float,
        rooms: Mapping[str, Room] | None = None,
    ) -> Chosen | None:
        """Return the best replica with room, or ``None``.

        :param rooms: accounts of replicas; where some have room, only they are weighed.
        """
        candidates = [state for state in prospect.candidates if not state.leaving]
        known = rooms or {}
        told = [
            state
            for state in candidates
            if (room := known.get(state.replica.replica_id)) is not None
            and not room.shut_out
            and _has_room(room.running_count, state)
        ]
        unasked = [
            state
            for state in candidates
            if state.replica.replica_id not in known and _has_room(state.count, state)
        ]
        weigh = self._engine if prospect.service.is_engine else self._plain
        return min(
            (
                weigh(passage, state, prospect, known.get(state.replica.replica_id), now_s)
                for state in told or unasked
            ),
            key=lambda chosen: chosen.cost_s,
            default=None,
        )

    def _plain(
        self,
        passage: Passage,
        state: ReplicaState,
        prospect: Prospect,
        room: Room | None,
        now_s: float,
    ) -> Chosen:
        running_count = state.count if room is None else room.running_count
        load = running_count / max(1, state.replica.slots_count)
        work_s = PLAIN_ANSWER_S * state.slowness * state.current_pace(now_s)
        expected_s = work_s * (1.0 + load) + self._hop_s(state)
        if load >= 1.0:
            expected_s += work_s * load
        cost_s = expected_s * (1.0 + TIE_SHARE * self._rng.random())
        usual_s = PLAIN_ANSWER_S * (1.0 + load)
        asked = room is not None
        return Chosen(state, 0, expected_s, usual_s, cost_s, running_count, 0, asked=asked)

    def _engine(
        self,
        passage: Passage,
        state: ReplicaState,
        prospect: Prospect,
        room: Room | None,
        now_s: float,
    ) -> Chosen:
        parts = passage.arrival.parts
        name = state.replica.replica_id
        homes = prospect.homes
        running_count = state.count if room is None else room.running_count
        waiting_tokens = state.waiting_tokens if room is None else room.waiting_tokens
        cached = float(self.parts.cached_tokens(parts, name, now_s))
        if room is not None:
            cached = max(cached, float(room.cached_tokens))
        elif name in homes:
            trust = HOME_TRUSTS[homes.index(name)]
            cached = max(cached, trust * prospect.shared_tokens)
        if parts:
            # The first part is the system prompt, which every replica has read.
            cached = max(cached, float(parts[0].tokens_count))
        uncached = max(0, passage.arrival.prompt_tokens - int(cached))
        read_s = (uncached + waiting_tokens) * PROMPT_TOKEN_S
        usual_s = FIRST_EVENT_S + read_s + STREAM_WEIGHT_S * running_count
        pace = state.current_pace(now_s)
        slowness = state.slowness
        if room is not None and room.slowness is not None:
            slowness = room.slowness
        expected_s = usual_s * slowness * pace
        load = running_count / max(1, state.replica.slots_count)
        # Within an easy part of the objective the work that is saved counts, beyond it the delay.
        work_s = uncached * PROMPT_TOKEN_S * slowness
        easy_s = EASY_SHARE * passage.route.objective_s
        cost_s = LATENCY_WEIGHT * expected_s + WORK_WEIGHT * work_s + self._hop_s(state)
        cost_s += LATE_WEIGHT * max(0.0, expected_s - easy_s)
        if load >= 1.0:
            cost_s += FULL_S * load
        if name not in prospect.group:
            cost_s += OTHER_GROUP_S * slowness
        cost_s += TIE_S * self._rng.random()
        home_rank = homes.index(name) if name in homes else None
        asked = room is not None
        return Chosen(
            state, uncached, expected_s, usual_s, cost_s, running_count, waiting_tokens,
            home_rank, asked,
        )  # fmt: skip

    def _hop_s(self, state: ReplicaState) -> float:
        return 0.0 if state.replica.zone == self._zone else ZONE_HOP_S


def _has_room(running_count: int, state: ReplicaState) -> bool:
    slots_count = max(1, state.replica.slots_count)
    return running_count < slots_count + max(2, int(QUEUE_SHARE * slots_count))


def _in_order(states: Sequence[ReplicaState], now_s: float) -> Sequence[ReplicaState]:
    """Return the replicas that are not shut out; all where too many would be.

    When most replicas fail, the cause is not any one of them, and fewer would make it worse.
    """
    kept = [state for state in states if now_s >= state.ejected_until_s]
    if len(kept) < len(states) * (1.0 - EJECTED_MAX_SHARE):
        return states
    return kept
