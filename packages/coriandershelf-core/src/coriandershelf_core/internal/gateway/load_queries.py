"""Queries other entry VMs for replica loads, and updates the VMs that track them."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    IncrementCounter,
    ScheduleTick,
    SendLoadMessage,
)
from coriandershelf_core.internal.gateway.load_tracking import (
    AttemptStep,
    AttemptUpdate,
    LoadQuery,
    LoadReply,
    LoadTracker,
    TrackedLoad,
    TrackerAssignment,
)
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import ActiveRequest, PromptPart
from coriandershelf_core.internal.gateway.selection import CandidateSet

# Several round trips between zones (0.5 to 0.9 ms one way on the users' sites); a request waits no
# longer for a reply from a VM that is slow or gone.
REPLY_TIMEOUT_S = 0.015
# A VM that did not reply is not queried again for this long.
UNRESPONSIVE_BACKOFF_S = 0.5


class PendingQuery(Struct):
    """A request that waits for the loads of its shortlisted replicas.

    :param due_at_s: when to select a replica without the missing replies.
    :param awaited_ids: VMs that have not replied yet.
    :param loads: loads received so far, by replica id.
    """

    request: ActiveRequest
    candidate_set: CandidateSet
    due_at_s: float
    awaited_ids: set[str]
    loads: dict[str, TrackedLoad] = field(default_factory=dict)


class LoadQueries:
    """Queries and updates the load trackers of other VMs, and replies for this VM's own.

    :param emit: receives the actions for the process.
    """

    def __init__(
        self, vm_id: str, address: str, incarnation: int, pool: Pool, emit: Callable[[Action], None]
    ) -> None:
        self.assignment = TrackerAssignment()
        self.addresses: dict[str, str] = {}
        self.tracker = LoadTracker()
        self.enabled = False
        self._vm_id = vm_id
        self._address = address
        self._incarnation = incarnation
        self._pool = pool
        self._emit = emit
        self._pending: dict[int, PendingQuery] = {}
        self._next_query_id = 1
        self._backoff_until_s: dict[str, float] = {}

    def query(
        self, request: ActiveRequest, candidate_set: CandidateSet, now_s: float
    ) -> PendingQuery | None:
        """Query the loads of the shortlisted replicas; ``None`` if no query is needed."""
        if not self.enabled or not candidate_set.shortlist:
            return None
        parts = request.arrival.parts
        pending = PendingQuery(request, candidate_set, now_s + REPLY_TIMEOUT_S, set())
        queries: dict[str, list[str]] = {}
        for state in candidate_set.shortlist:
            replica_id = state.replica.replica_id
            vm_id = self.assignment.tracker_of(replica_id, state.replica.zone)
            if vm_id == self._vm_id:
                pending.loads[replica_id] = self._tracked_load(state, parts, now_s)
            elif vm_id is not None and now_s >= self._backoff_until_s.get(vm_id, 0.0):
                queries.setdefault(vm_id, []).append(replica_id)
        query_id = self._next_query_id
        self._next_query_id += 1
        for vm_id, replicas in queries.items():
            if vm_id in self.addresses:
                query = LoadQuery(self._vm_id, self._address, query_id, tuple(replicas), parts)
                self._emit(SendLoadMessage(self.addresses[vm_id], query))
                pending.awaited_ids.add(vm_id)
        if pending.awaited_ids:
            self._pending[query_id] = pending
            self._emit(ScheduleTick(REPLY_TIMEOUT_S))
        return pending

    def on_reply(self, reply: LoadReply) -> PendingQuery | None:
        """Handle a reply; return its query once all replies have arrived."""
        pending = self._pending.get(reply.ask_id)
        if pending is None:
            return None
        pending.awaited_ids.discard(reply.vm_id)
        for load in reply.rooms:
            pending.loads[load.replica_id] = load
        if pending.awaited_ids:
            return None
        return self._pending.pop(reply.ask_id)

    def pop_overdue(self, now_s: float) -> list[PendingQuery]:
        """Remove and return the queries whose time-out has passed."""
        overdue = []
        for query_id, pending in list(self._pending.items()):
            if now_s >= pending.due_at_s:
                del self._pending[query_id]
                overdue.append(pending)
                for vm_id in pending.awaited_ids:
                    self._backoff_until_s[vm_id] = now_s + UNRESPONSIVE_BACKOFF_S
                    self._emit(IncrementCounter("room_answers", "missed"))
        return overdue

    def on_query(self, query: LoadQuery, now_s: float) -> None:
        """Reply to another VM's query."""
        states = (self._pool.get(replica_id) for replica_id in query.replicas)
        loads = tuple(
            self._tracked_load(state, query.parts, now_s) for state in states if state is not None
        )
        reply = LoadReply(self._vm_id, query.ask_id, loads)
        self._emit(SendLoadMessage(query.address, reply))

    def notify(
        self,
        state: ReplicaState,
        attempt_id: int,
        step: AttemptStep,
        now_s: float,
        tokens_count: int = 0,
        keep_s: float = 0.0,
        parts: tuple[PromptPart, ...] = (),
        slowdown: float | None = None,
        latency_ratio: float | None = None,
    ) -> None:
        """Send a step of an attempt to the VM that tracks its replica's load."""
        if not self.enabled:
            return
        replica = state.replica
        vm_id = self.assignment.tracker_of(replica.replica_id, replica.zone)
        update = AttemptUpdate(
            self._vm_id, self._incarnation, replica.replica_id, attempt_id, step,
            tokens_count, keep_s, parts, slowdown, latency_ratio,
        )  # fmt: skip
        if vm_id == self._vm_id:
            self.tracker.on_update(update, now_s)
        elif vm_id in self.addresses:
            self._emit(SendLoadMessage(self.addresses[vm_id], update))

    def _tracked_load(
        self, state: ReplicaState, parts: tuple[PromptPart, ...], now_s: float
    ) -> TrackedLoad:
        digest_load = (state.running_count, state.waiting_tokens)
        return self.tracker.load(state.replica.replica_id, parts, digest_load, now_s)
