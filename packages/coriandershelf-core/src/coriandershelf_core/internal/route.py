"""Filter: choose a replica for a work."""

from __future__ import annotations

import random
from collections.abc import Sequence

from coriandershelf_core.internal.replicas import ReplicaState
from coriandershelf_core.internal.work import Work


def relative_load(state: ReplicaState) -> float:
    """Return the requests in flight from here per slot."""
    return len(state.in_flight) / state.replica.slots


def choose_replica(
    work: Work, candidates: Sequence[ReplicaState], zone: str, rng: random.Random
) -> ReplicaState | None:
    """Return the replica for the next attempt, or ``None`` if none has room.

    Two replicas are sampled and the less loaded is taken, which avoids the stampede that sorting
    by a late report causes. Replicas of this zone go first.
    """
    roomy = [state for state in candidates if relative_load(state) < 1.0]
    fresh = [state for state in roomy if state.replica.replica_id not in work.tried_replicas]
    pool = fresh or roomy
    near = [state for state in pool if state.replica.zone == zone]
    pool = near or pool
    if not pool:
        return None
    return min(rng.sample(pool, min(2, len(pool))), key=relative_load)
