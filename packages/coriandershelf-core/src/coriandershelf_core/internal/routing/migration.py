"""Moves streams, with their KV cache, off replicas whose VM will be reclaimed before they end."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.routing.attempts import Attempts
from coriandershelf_core.internal.routing.completion import is_complete
from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import RetryReason
from coriandershelf_core.internal.vocabulary.work import Attempt, WorkItem


class Migration:
    """Moves streams off replicas that are about to leave.

    :param choose: returns the replica that may take a work item now, or ``None``.
    :param dispatch: starts a work item at a replica.
    :param remove_attempt: removes an attempt that was cancelled.
    """

    def __init__(
        self,
        context: Context,
        replicas: ReplicaTable,
        attempts: Attempts,
        choose: Callable[[WorkItem, float], ReplicaState | None],
        dispatch: Callable[[WorkItem, ReplicaState, float], None],
        remove_attempt: Callable[[Attempt, float], None],
    ) -> None:
        self._context = context
        self._replicas = replicas
        self._attempts = attempts
        self._choose = choose
        self._dispatch = dispatch
        self._remove_attempt = remove_attempt

    def migrate_leaving(self, now_s: float) -> None:
        """Move every stream that would be cut off, as far as there is capacity elsewhere."""
        if not self._context.is_enabled("move-on-notice"):
            return
        leaving = [state for state in self._replicas if state.must_move(now_s)]
        for state in leaving:
            for attempt in self._attempts.at_replica(state):
                if attempt.work.repeatable and not is_complete(attempt.work.payloads):
                    self._migrate_if_possible(attempt, state.must_move_now(now_s), now_s)

    def _migrate_if_possible(self, attempt: Attempt, forced: bool, now_s: float) -> None:
        """Move a stream once another replica has capacity.

        A stream that waited in this VM's queue would lose its KV cache with the leaving replica.

        :param forced: take the least loaded replica if none has capacity; the stream then waits
            in that replica's engine.
        """
        work = attempt.work
        target = self._choose(work, now_s)
        if target is None and forced:
            pool = self._replicas.of_service(work.request.service)
            target = min(pool, key=lambda state: state.load(now_s), default=None)
        if target is None:
            return
        work.kv_replica_id = attempt.replica_id
        self._attempts.send_cancel(attempt)
        self._remove_attempt(attempt, now_s)
        self._context.count(RetryReason.UPSTREAM_LEAVING)
        if not work.live_attempts:
            self._dispatch(work, target, now_s)
