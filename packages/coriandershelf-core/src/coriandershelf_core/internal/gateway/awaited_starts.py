"""Requests that wait until it is known to which start of their replica a connection leads."""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import ActiveRequest

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

        Those of which nothing casts doubt on the start go first, then those in doubt, to which an
        older connection may lead.
        """
        untried = [item for item in states if item.replica.replica_id not in request.tried_ids]
        known = [item for item in untried if now_s <= item.evidence.connected_by_s]
        if known or not untried:
            return known or states
        return [item for item in untried if item.replica.replica_id not in request.unverified_ids]

    def add(self, request: ActiveRequest, now_s: float) -> None:
        """Let a request wait. Connections that were opened for it may be used once known."""
        self._awaiting.append(AwaitedStart(request, now_s))

    def pop_ready(self) -> list[ActiveRequest]:
        """Remove and return the requests for which there is a replica of their version."""
        if not self._awaiting:
            return []
        known_by_s: dict[tuple[str, str | None], float] = {}
        ready: list[AwaitedStart] = []
        awaiting: list[AwaitedStart] = []
        for item in self._awaiting:
            key = (item.request.service, item.request.software_version)
            if key not in known_by_s:
                known_by_s[key] = self._known_by_s(*key)
            (ready if known_by_s[key] >= item.since_s else awaiting).append(item)
        self._awaiting = awaiting
        for item in ready:
            item.request.unverified_ids.clear()
        return [item.request for item in ready]

    def pop_overdue(self, now_s: float) -> list[ActiveRequest]:
        """Remove and return the requests that have waited for too long."""
        overdue = [item.request for item in self._awaiting if now_s - item.since_s >= AWAIT_MAX_S]
        self._awaiting = [item for item in self._awaiting if now_s - item.since_s < AWAIT_MAX_S]
        return overdue

    def _known_by_s(self, service: str, version: str | None) -> float:
        """Return until when accepted connections lead to some replica of a version."""
        return max(
            (
                state.evidence.connected_by_s
                for state in self.pool.usable(service)
                if state.replica.software_version == version
            ),
            default=-math.inf,
        )
