"""Requests that wait until it is known to which start of their replica a connection leads."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import ActiveRequest
from coriandershelf_core.internal.gateway.selection import capacity_count

# Longest wait: callers abandon a stream of which nothing arrives for four seconds.
AWAIT_MAX_S = 3.5


class AwaitedStart(Struct):
    """A request that resumes a stream, and finds only replicas of which the start is in doubt."""

    request: ActiveRequest
    since_s: float


class AwaitedStarts(Struct):
    """Chooses replicas for requests that may continue at one software version only."""

    pool: Pool
    _awaiting: list[AwaitedStart] = field(default_factory=list)

    def usable(
        self, request: ActiveRequest, states: Sequence[ReplicaState], now_s: float
    ) -> Sequence[ReplicaState]:
        """Return the replicas of the request's version to choose from; none if it has to wait.

        Those of which the start is proved go first, then those of which nothing casts doubt on it,
        then those in doubt, to which an older connection may lead.
        """
        untried = [item for item in states if item.replica.replica_id not in request.tried_ids]
        if not untried:
            return states
        proved = [
            item
            for item in untried
            if now_s <= item.evidence.proved_by_s and item.running_count < capacity_count(item)
        ]
        presumed = [item for item in untried if now_s <= item.evidence.connected_by_s]
        return (
            proved
            or presumed
            or [item for item in untried if item.replica.replica_id not in request.unverified_ids]
        )

    def add(self, request: ActiveRequest, now_s: float) -> None:
        """Let a request wait. Connections that were opened for it may be used once known."""
        self._awaiting.append(AwaitedStart(request, now_s))

    def pop_ready(self, now_s: float) -> list[ActiveRequest]:
        """Remove and return the requests for which there is a replica of their version."""
        ready = [item for item in self._awaiting if self._is_ready(item)]
        self._awaiting = [item for item in self._awaiting if item not in ready]
        for item in ready:
            item.request.unverified_ids.clear()
        return [item.request for item in ready]

    def pop_overdue(self, now_s: float) -> list[ActiveRequest]:
        """Remove and return the requests that have waited for too long."""
        overdue = [item for item in self._awaiting if now_s - item.since_s >= AWAIT_MAX_S]
        self._awaiting = [item for item in self._awaiting if item not in overdue]
        return [item.request for item in overdue]

    def _is_ready(self, item: AwaitedStart) -> bool:
        request = item.request
        return any(
            state.replica.software_version == request.software_version
            and state.evidence.connected_by_s >= item.since_s
            for state in self.pool.usable(request.service)
        )
