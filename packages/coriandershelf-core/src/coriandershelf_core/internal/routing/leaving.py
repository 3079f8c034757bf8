"""Streams at replicas whose VM is taken before they end move, with their KV cache."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.routing.attempts import Attempts
from coriandershelf_core.internal.routing.ending import is_whole
from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import RetryReason
from coriandershelf_core.internal.vocabulary.work import Attempt, Work


class Leaving:
    """Moves streams off leaving replicas.

    :param choose: returns the replica that may take a work now, or ``None``.
    :param dispatch: starts a work at a replica.
    :param forget: drops an attempt that was cancelled.
    """

    def __init__(
        self,
        context: Context,
        replicas: ReplicaTable,
        attempts: Attempts,
        choose: Callable[[Work, float], ReplicaState | None],
        dispatch: Callable[[Work, ReplicaState, float], None],
        forget: Callable[[Attempt, float], None],
    ) -> None:
        self._context = context
        self._replicas = replicas
        self._attempts = attempts
        self._choose = choose
        self._dispatch = dispatch
        self._forget = forget

    def move(self, now_s: float) -> None:
        """Move every stream that would be cut, as far as there is room."""
        if not self._context.enabled("move-on-notice"):
            return
        leaving = [state for state in self._replicas if state.must_move(now_s)]
        for state in leaving:
            for attempt in self._attempts.at(state):
                if attempt.work.repeatable and not is_whole(attempt.work.payloads):
                    self._move_if_room(attempt, state.must_move_now(now_s), now_s)

    def _move_if_room(self, attempt: Attempt, last: bool, now_s: float) -> None:
        """Move a stream once another replica has room; at last to one that lets it wait.

        A stream that waited in the queue here would lose its KV cache with the leaving replica.
        """
        work = attempt.work
        target = self._choose(work, now_s)
        if target is None and last:
            pool = self._replicas.of_service(work.request.service)
            target = min(pool, key=lambda state: state.load(now_s), default=None)
        if target is None:
            return
        work.kv_replica_id = attempt.replica_id
        self._attempts.announce_cancel(attempt)
        self._forget(attempt, now_s)
        self._context.count(RetryReason.UPSTREAM_LEAVING)
        if not work.live_attempts:
            self._dispatch(work, target, now_s)
