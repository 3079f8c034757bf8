"""Chooses the replica of a request."""

from __future__ import annotations

import math
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
# Replicas where a session belongs, and the trust that other VMs have sent it there, too.
HOMES_COUNT = 2
HOME_TRUSTS = (0.9, 0.5)
HOME_WEIGHT_STEPS = 2
# A prompt token that is read again holds up everything behind it, so it weighs more than its time.
UNCACHED_WEIGHT = 4.0
# Prompt reading delays each stream of the batch a little; weight of running streams in seconds.
STREAM_WEIGHT_S = 0.004
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
    :param cost_s: what the choice weighs: the expected time and what others are held up.
    """

    state: ReplicaState
    uncached_tokens: int
    expected_s: float
    usual_s: float
    cost_s: float


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

    def cached_tokens(self, parts: Sequence[PromptPart], replica_id: str, now_s: float) -> int:
        """Return the tokens of the leading parts that a replica still keeps."""
        tokens_count = 0
        for part in parts:
            read_at_s = self._parts.get(part.part_id, {}).get(replica_id)
            if read_at_s is None or now_s - read_at_s > PART_KEEP_S:
                break
            tokens_count += part.tokens_count
        return tokens_count


def homes_of(part_id: str, states: Sequence[ReplicaState]) -> list[str]:
    """Return the replicas where a session belongs, the first one before the one it spills to.

    Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005):
    every entry VM finds the same ones without a message, and slow replicas get fewer sessions.
    """
    ranked = sorted(
        ((_home_score(part_id, state), state.replica.replica_id) for state in states), reverse=True
    )
    return [name for _, name in ranked[:HOMES_COUNT]]


def _home_score(part_id: str, state: ReplicaState) -> float:
    name = f"{part_id}/{state.replica.replica_id}"
    point = (xxhash.xxh64_intdigest(name.encode()) + 1) / 2.0**64
    # In coarse steps, so that VMs that learnt slightly different speeds still agree.
    weight = 1.0 / max(1.0, round(state.slowness * HOME_WEIGHT_STEPS) / HOME_WEIGHT_STEPS)
    return -weight / math.log(min(point, 1.0 - 1e-12))


class Chooser:
    """Chooses by the expected time to the first event, from own and other VMs' counts.

    :param zone: this VM's availability zone.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self.parts = PartMemory()

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
        parts = passage.arrival.parts
        homes = homes_of(parts[-1].part_id, candidates) if parts else []
        return min(
            (self._engine(passage, state, homes, now_s) for state in candidates),
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
        self, passage: Passage, state: ReplicaState, homes: list[str], now_s: float
    ) -> Chosen:
        parts = passage.arrival.parts
        name = state.replica.replica_id
        cached = float(self.parts.cached_tokens(parts, name, now_s))
        if name in homes:
            trust = HOME_TRUSTS[homes.index(name)]
            cached = max(cached, trust * sum(part.tokens_count for part in parts))
        elif parts:
            # The first part is the system prompt, which every replica has read.
            cached = max(cached, float(parts[0].tokens_count))
        uncached = max(0, passage.arrival.prompt_tokens - int(cached))
        read_s = (uncached + state.waiting_tokens) * PROMPT_TOKEN_S
        usual_s = FIRST_EVENT_S + read_s
        pace = state.current_pace(now_s)
        expected_s = usual_s * state.slowness * pace
        load = state.count / max(1, state.replica.slots_count)
        held_up_s = (UNCACHED_WEIGHT - 1.0) * uncached * PROMPT_TOKEN_S
        held_up_s += STREAM_WEIGHT_S * state.count
        cost_s = expected_s + held_up_s * state.slowness + self._hop_s(state)
        if load >= 1.0:
            cost_s += FULL_S * load
        return Chosen(state, uncached, expected_s, usual_s, cost_s + TIE_S * self._rng.random())

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
