"""Finds replicas that stall, from streams in flight, and takes their streams elsewhere."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.routing.attempts import Attempts, kind_of
from coriandershelf_core.internal.routing.eject import Ejector
from coriandershelf_core.internal.routing.hedge import HedgeBudget
from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.routing.route import Router
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.reasons import Counter, RetryReason
from coriandershelf_core.internal.vocabulary.work import Attempt, AttemptPurpose, Work

CHECK_PERIOD_S = 0.01
MOVES_MAX_COUNT = 8
LIVE_ATTEMPTS_MAX_COUNT = 2
RECONNECT_FACTOR = 4.0
RECONNECT_BLIND_FACTOR = 16.0
PROBE_SILENCE_MAX_S = 0.5

TellVerdict = Callable[[str, bool], None]


class Stalls:
    """Checks streams in flight every few milliseconds while events come.

    All streams of a replica move in the steps of one batch. So when none of them has moved for
    longer than the replica's own longest normal gap, the replica stalls, and there is no need to
    wait for any one stream's deadline.

    :param tell: tells other entry VMs of a replica that stalls or is in order again.
    :param overloaded: whether works wait for a replica.
    """

    def __init__(
        self,
        context: Context,
        replicas: ReplicaTable,
        router: Router,
        attempts: Attempts,
        ejector: Ejector,
        limits: Limits,
        tell: TellVerdict,
        overloaded: Callable[[], bool],
    ) -> None:
        self._context = context
        self._replicas = replicas
        self._router = router
        self._attempts = attempts
        self._ejector = ejector
        self._limits = limits
        self._tell = tell
        self._overloaded = overloaded
        self._checked_at_s: float | None = None
        self.hedges = HedgeBudget(context.settings)

    def check(self, now_s: float) -> None:
        """Look for stalls, unless the last look was just now."""
        if self._checked_at_s is not None and now_s - self._checked_at_s < CHECK_PERIOD_S:
            return
        paused = (
            self._checked_at_s is not None
            and now_s - self._checked_at_s > self._context.settings.own_pause_s
        )
        self._checked_at_s = now_s
        if paused:
            self._forgive(now_s)
            return
        for state in self._replicas:
            if state.in_flight:
                self._check_replica(state, now_s)

    def on_first_token(self, attempt: Attempt, now_s: float) -> None:
        """Let the attempt that got its first token win over the others of its work."""
        self._attempts.cancel_losers(attempt, now_s)

    def on_token(self, state: ReplicaState, attempt: Attempt, gap_s: float, now_s: float) -> None:
        """Take a token's gap as evidence on an ejected replica."""
        if not state.health.ejected or state.health.probe_id != attempt.attempt_id:
            return
        in_time = gap_s <= self._stall_limit_s(state)
        if self._ejector.on_probe_token(state, in_time):
            self._tell(state.replica.replica_id, True)
            self._drop_probes(state)

    def on_verdict(self, replica_id: str, in_order: bool, now_s: float) -> None:
        """Take another entry VM's word where there is no own evidence against it."""
        state = self._replicas.get(replica_id)
        if state is None or not self._context.enabled("ejection"):
            return
        if in_order:
            self._ejector.readmit(state)
            self._drop_probes(state)
            return
        fresh = now_s - state.health.progress_at_s <= self._stall_limit_s(state)
        if not state.health.ejected and not fresh:
            self._ejector.eject(state, now_s, hint=True)

    def _forgive(self, now_s: float) -> None:
        """Hold no silence against anyone after this VM itself was paused."""
        for attempt in self._attempts.live.values():
            attempt.watched_from_s = now_s

    def _stall_limit_s(self, state: ReplicaState) -> float:
        settings = self._context.settings
        return state.health.stall_limit_s(
            settings.stall_typical_factor, settings.stall_peak_factor, settings.stall_floor_s
        )

    def _check_replica(self, state: ReplicaState, now_s: float) -> None:
        attempts = [item for item in self._attempts.at(state) if _is_model(item.work)]
        streaming = [item for item in attempts if item.token_count and not self._left(item)]
        waiting = [item for item in attempts if not item.token_count]
        late = [item for item in streaming if item.silent_s(now_s) > self._stall_limit_s(state)]
        stalled = bool(streaming) and len(late) == len(streaming)
        if stalled and not state.health.ejected:
            self._on_stall(state, now_s)
        if stalled or state.health.ejected:
            for attempt in late:
                self._move(attempt, state, now_s)
            self._leave_probe(state, late)
        else:
            for attempt in late:
                self._reconnect(attempt, state, now_s)
        for attempt in waiting:
            if attempt.silent_s(now_s) > self._first_token_limit_s(attempt, state, stalled):
                self._on_late_first_token(attempt, state, now_s)
        self._drop_silent_probe(state, now_s)

    def _reconnect(self, attempt: Attempt, state: ReplicaState, now_s: float) -> None:
        """Resume a stream that alone is silent, over a fresh connection to the same replica.

        The replica's other streams move, so its connection is what is lost, and the KV cache is
        still there. Silence again at the same position takes the stream elsewhere with that cache.
        """
        work = attempt.work
        limit_s = max(self._context.settings.reconnect_floor_s, 2 * self._stall_limit_s(state))
        if attempt.silent_s(now_s) <= limit_s or not self._context.enabled("reconnect"):
            return
        if not work.repeatable or self._attempts.serving_count(work) > 1:
            return
        if work.reconnect_position == work.position or not state.usable:
            if attempt.token_count:
                self._move(attempt, state, now_s)
            return
        work.reconnect_position = work.position
        if not attempt.token_count:
            # A prompt that is still being computed starts again.
            self.hedges.charge(work.request.prompt_tokens + work.position)
        self._attempts.cancel(attempt)
        self._start(attempt, state, AttemptPurpose.RECONNECT, RetryReason.RECONNECTED, "", now_s)

    def _left(self, attempt: Attempt) -> bool:
        """Return whether an attempt runs on only as a probe."""
        probing = attempt.purpose is AttemptPurpose.LEFT_AS_PROBE
        return probing and self._attempts.serving_count(attempt.work) > 0

    def _leave_probe(self, state: ReplicaState, late: list[Attempt]) -> None:
        """Let the moved stream with most to come run on at a stalled replica, as its probe.

        It shows in a step or two that the replica is in order again, at the cost of the few tokens
        that a stalled replica makes. A new request sent there as a probe would wait for its caller.
        """
        health = state.health
        moved = [item for item in late if len(item.work.live_attempts) > 1]
        if not health.ejected or health.probe_id or not moved:
            return
        if not self._context.enabled("left-probe"):
            return
        probe = max(moved, key=lambda item: item.work.expected_tokens - item.work.position)
        probe.purpose = AttemptPurpose.LEFT_AS_PROBE
        self._ejector.on_probe_started(state, probe)

    def _drop_probes(self, state: ReplicaState) -> None:
        """Cancel streams left behind as probes, after their verdict."""
        for attempt in self._attempts.at(state):
            if self._left(attempt):
                self._attempts.cancel(attempt)

    def _drop_silent_probe(self, state: ReplicaState, now_s: float) -> None:
        """Give up a probe that never moves: its connection may be what is silent."""
        probe = self._attempts.live.get(state.health.probe_id)
        if probe is None or probe.silent_s(now_s) <= PROBE_SILENCE_MAX_S:
            return
        if self._left(probe):
            self._attempts.cancel(probe)
        self._ejector.plan_probe(state, now_s)

    def _on_stall(self, state: ReplicaState, now_s: float) -> None:
        if self._context.enabled("ejection") and self._ejector.eject(state, now_s):
            self._tell(state.replica.replica_id, False)

    def _first_token_limit_s(self, attempt: Attempt, state: ReplicaState, stalled: bool) -> float:
        settings = self._context.settings
        uncached = attempt.work.request.prompt_tokens
        if attempt.purpose in (AttemptPurpose.MOVE, AttemptPurpose.RECONNECT):
            uncached = 0
        expected_s = state.health.expected_first_token_s(uncached)
        if stalled or state.health.ejected:
            return expected_s + settings.stall_floor_s
        return settings.first_token_factor * expected_s + self._stall_limit_s(state)

    def _on_late_first_token(self, attempt: Attempt, state: ReplicaState, now_s: float) -> None:
        if state.health.probe_id == attempt.attempt_id:
            self._ejector.plan_probe(state, now_s)
        if self._attempts.serving_count(attempt.work) >= LIVE_ATTEMPTS_MAX_COUNT:
            return
        limit_s = self._first_token_limit_s(attempt, state, False)
        moving = now_s - state.health.progress_at_s <= self._stall_limit_s(state)
        factor = RECONNECT_FACTOR if moving else RECONNECT_BLIND_FACTOR
        if not state.health.ejected and attempt.silent_s(now_s) > factor * limit_s:
            self._reconnect(attempt, state, now_s)
            return
        if not self._context.enabled("hedge") or not _may_run_twice(attempt.work):
            return
        target = self._elsewhere(attempt.work, now_s)
        if target is None:
            return
        cost = attempt.work.request.prompt_tokens + attempt.work.position
        if not self.hedges.spend(cost, self._overloaded()):
            if not attempt.hedge_refused:
                self._context.count(Counter.HEDGES_OVER_BUDGET)
            attempt.hedge_refused = True
            return
        self._start(attempt, target, AttemptPurpose.HEDGE, RetryReason.HEDGE, "", now_s)

    def _move(self, attempt: Attempt, state: ReplicaState, now_s: float) -> None:
        """Take a stream elsewhere with its KV cache; the old attempt runs until the new moves."""
        work = attempt.work
        if not self._context.enabled("move") or not _may_run_twice(work):
            return
        if self._attempts.serving_count(work) >= LIVE_ATTEMPTS_MAX_COUNT:
            return
        if work.move_count >= MOVES_MAX_COUNT:
            return
        target = self._elsewhere(work, now_s)
        if target is None:
            return
        work.move_count += 1
        source = state.replica
        kv_source = source.address
        self._start(attempt, target, AttemptPurpose.MOVE, RetryReason.MOVED, kv_source, now_s)

    def _elsewhere(self, work: Work, now_s: float) -> ReplicaState | None:
        busy = {self._attempts.live[attempt_id].replica_id for attempt_id in work.live_attempts}
        pool = [
            state
            for state in self._replicas.in_order(work.request.service, now_s)
            if state.replica.replica_id not in busy
        ]
        roomy = self._limits.with_room(work, pool, now_s)
        return self._router.choose(work, roomy or pool, now_s, any_zone=True)

    def _start(
        self,
        attempt: Attempt,
        target: ReplicaState,
        purpose: AttemptPurpose,
        reason: RetryReason,
        kv_source: str,
        now_s: float,
    ) -> None:
        self._context.count(reason)
        self._context.log(
            "attempt beside a slow one",
            request_id=attempt.work.work_id,
            attempt_id=attempt.attempt_id,
            customer=attempt.work.customer,
            reason=reason.code,
            source=attempt.replica_id,
            target=target.replica.replica_id,
        )
        self._attempts.start(attempt.work, target, purpose, now_s, kv_source)


def _is_model(work: Work) -> bool:
    return kind_of(work) is ServiceKind.MODEL


def _may_run_twice(work: Work) -> bool:
    """Return whether a second attempt may run beside the first; never for a suspect."""
    return work.repeatable and not work.suspected
