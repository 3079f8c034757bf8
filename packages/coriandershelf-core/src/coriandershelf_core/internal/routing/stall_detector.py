"""Detects stalled replicas from their streams in flight and moves the streams elsewhere."""

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
from coriandershelf_core.internal.vocabulary.work import Attempt, AttemptPurpose, WorkItem

CHECK_PERIOD_S = 0.01
MOVES_MAX_COUNT = 8
LIVE_ATTEMPTS_MAX_COUNT = 2
RECONNECT_FACTOR = 4.0
RECONNECT_NO_PROGRESS_FACTOR = 16.0
PROBE_SILENCE_MAX_S = 0.5

SendVerdict = Callable[[str, bool], None]


class StallDetector:
    """Checks streams in flight every few milliseconds while events arrive.

    All streams of a replica receive tokens in the steps of one batch. So when none of them has
    received a token for longer than the replica's longest normal gap, the replica is stalled, and
    there is no need to wait for any single stream's time limit.

    :param send_verdict: notifies other entry VMs that a replica stalled or recovered.
    :param overloaded: returns whether work items wait for a replica.
    """

    def __init__(
        self,
        context: Context,
        replicas: ReplicaTable,
        router: Router,
        attempts: Attempts,
        ejector: Ejector,
        limits: Limits,
        send_verdict: SendVerdict,
        overloaded: Callable[[], bool],
    ) -> None:
        self._context = context
        self._replicas = replicas
        self._router = router
        self._attempts = attempts
        self._ejector = ejector
        self._limits = limits
        self._send_verdict = send_verdict
        self._overloaded = overloaded
        self._checked_at_s: float | None = None
        self.hedges = HedgeBudget(context.settings)

    def check(self, now_s: float) -> None:
        """Check for stalls, at most once per ``CHECK_PERIOD_S``."""
        if self._checked_at_s is not None and now_s - self._checked_at_s < CHECK_PERIOD_S:
            return
        paused = (
            self._checked_at_s is not None
            and now_s - self._checked_at_s > self._context.settings.own_pause_s
        )
        self._checked_at_s = now_s
        if paused:
            self._reset_silence(now_s)
            return
        for state in self._replicas:
            if state.in_flight:
                self._check_replica(state, now_s)

    def on_first_token(self, attempt: Attempt, now_s: float) -> None:
        """Cancel the other attempts of a work item when one receives its first token."""
        self._attempts.cancel_losers(attempt, now_s)

    def on_token(self, state: ReplicaState, attempt: Attempt, gap_s: float, now_s: float) -> None:
        """Record a token gap of the probe of an ejected replica."""
        if not state.health.ejected or state.health.probe_id != attempt.attempt_id:
            return
        in_time = gap_s <= self._stall_limit_s(state)
        if self._ejector.on_probe_token(state, in_time):
            self._send_verdict(state.replica.replica_id, True)
            self._cancel_kept_probes(state)

    def on_verdict(self, replica_id: str, in_order: bool, now_s: float) -> None:
        """Apply another entry VM's verdict; recent tokens at this VM override a stall verdict."""
        state = self._replicas.get(replica_id)
        if state is None or not self._context.is_enabled("ejection"):
            return
        if in_order:
            self._ejector.readmit(state)
            self._cancel_kept_probes(state)
            return
        progressing = now_s - state.health.progress_at_s <= self._stall_limit_s(state)
        if not state.health.ejected and not progressing:
            self._ejector.eject(state, now_s, hint=True)

    def _reset_silence(self, now_s: float) -> None:
        """Restart the silence measurement of all attempts after this VM itself was paused."""
        for attempt in self._attempts.live.values():
            attempt.silence_from_s = now_s

    def _stall_limit_s(self, state: ReplicaState) -> float:
        settings = self._context.settings
        return state.health.stall_limit_s(
            settings.stall_typical_factor, settings.stall_peak_factor, settings.stall_floor_s
        )

    def _check_replica(self, state: ReplicaState, now_s: float) -> None:
        attempts = [item for item in self._attempts.at_replica(state) if _is_model(item.work)]
        streaming = [
            item for item in attempts if item.token_count and not self._is_kept_probe(item)
        ]
        waiting = [item for item in attempts if not item.token_count]
        late = [item for item in streaming if item.silence_s(now_s) > self._stall_limit_s(state)]
        stalled = bool(streaming) and len(late) == len(streaming)
        if stalled and not state.health.ejected:
            self._on_stall(state, now_s)
        if stalled or state.health.ejected:
            for attempt in late:
                self._move(attempt, state, now_s)
            self._keep_probe(state, late)
        else:
            for attempt in late:
                self._reconnect(attempt, state, now_s)
        for attempt in waiting:
            if attempt.silence_s(now_s) > self._first_token_limit_s(attempt, state, stalled):
                self._on_late_first_token(attempt, state, now_s)
        self._cancel_silent_probe(state, now_s)

    def _reconnect(self, attempt: Attempt, state: ReplicaState, now_s: float) -> None:
        """Resume a stream that alone is silent, over a new connection to the same replica.

        The replica's other streams receive tokens, so only the connection is lost and the KV cache
        is still there. If the stream is silent again at the same position, it is moved to another
        replica together with that cache.
        """
        work = attempt.work
        limit_s = max(self._context.settings.reconnect_floor_s, 2 * self._stall_limit_s(state))
        if attempt.silence_s(now_s) <= limit_s or not self._context.is_enabled("reconnect"):
            return
        if not work.repeatable or self._attempts.serving_count(work) > 1:
            return
        if work.reconnect_position == work.position or not state.usable:
            if attempt.token_count:
                self._move(attempt, state, now_s)
            return
        work.reconnect_position = work.position
        if not attempt.token_count:
            # A prefill that is still running starts over.
            self.hedges.charge(work.request.prompt_tokens + work.position)
        self._attempts.cancel(attempt)
        self._start_attempt(
            attempt, state, AttemptPurpose.RECONNECT, RetryReason.RECONNECTED, "", now_s
        )

    def _is_kept_probe(self, attempt: Attempt) -> bool:
        """Return whether an attempt is kept running only as a probe."""
        probing = attempt.purpose is AttemptPurpose.LEFT_AS_PROBE
        return probing and self._attempts.serving_count(attempt.work) > 0

    def _keep_probe(self, state: ReplicaState, late: list[Attempt]) -> None:
        """Keep, as the replica's probe, the old attempt of the moved stream with most tokens left.

        It shows within a step or two that the replica has recovered, at the cost of the few tokens
        that a stalled replica generates. A new request sent there as a probe would make its caller
        wait.
        """
        health = state.health
        moved = [item for item in late if len(item.work.live_attempts) > 1]
        if not health.ejected or health.probe_id or not moved:
            return
        if not self._context.is_enabled("left-probe"):
            return
        probe = max(moved, key=lambda item: item.work.expected_tokens - item.work.position)
        probe.purpose = AttemptPurpose.LEFT_AS_PROBE
        self._ejector.on_probe_started(state, probe)

    def _cancel_kept_probes(self, state: ReplicaState) -> None:
        """Cancel the attempts kept as probes, after their result is known."""
        for attempt in self._attempts.at_replica(state):
            if self._is_kept_probe(attempt):
                self._attempts.cancel(attempt)

    def _cancel_silent_probe(self, state: ReplicaState, now_s: float) -> None:
        """Give up a probe without tokens, as its connection may be the cause of the silence."""
        probe = self._attempts.live.get(state.health.probe_id)
        if probe is None or probe.silence_s(now_s) <= PROBE_SILENCE_MAX_S:
            return
        if self._is_kept_probe(probe):
            self._attempts.cancel(probe)
        self._ejector.schedule_probe(state, now_s)

    def _on_stall(self, state: ReplicaState, now_s: float) -> None:
        if self._context.is_enabled("ejection") and self._ejector.eject(state, now_s):
            self._send_verdict(state.replica.replica_id, False)

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
            self._ejector.schedule_probe(state, now_s)
        if self._attempts.serving_count(attempt.work) >= LIVE_ATTEMPTS_MAX_COUNT:
            return
        limit_s = self._first_token_limit_s(attempt, state, False)
        progressing = now_s - state.health.progress_at_s <= self._stall_limit_s(state)
        factor = RECONNECT_FACTOR if progressing else RECONNECT_NO_PROGRESS_FACTOR
        if not state.health.ejected and attempt.silence_s(now_s) > factor * limit_s:
            self._reconnect(attempt, state, now_s)
            return
        if not self._context.is_enabled("hedge") or not _may_run_twice(attempt.work):
            return
        target = self._choose_other_replica(attempt.work, now_s)
        if target is None:
            return
        cost = attempt.work.request.prompt_tokens + attempt.work.position
        if not self.hedges.spend(cost, self._overloaded()):
            if not attempt.hedge_denied:
                self._context.count(Counter.HEDGES_OVER_BUDGET)
            attempt.hedge_denied = True
            return
        self._start_attempt(attempt, target, AttemptPurpose.HEDGE, RetryReason.HEDGE, "", now_s)

    def _move(self, attempt: Attempt, state: ReplicaState, now_s: float) -> None:
        """Move a stream with its KV cache; the old attempt runs until the new one gets a token."""
        work = attempt.work
        if not self._context.is_enabled("move") or not _may_run_twice(work):
            return
        if self._attempts.serving_count(work) >= LIVE_ATTEMPTS_MAX_COUNT:
            return
        if work.move_count >= MOVES_MAX_COUNT:
            return
        target = self._choose_other_replica(work, now_s)
        if target is None:
            return
        work.move_count += 1
        source = state.replica
        kv_source = source.address
        self._start_attempt(
            attempt, target, AttemptPurpose.MOVE, RetryReason.MOVED, kv_source, now_s
        )

    def _choose_other_replica(self, work: WorkItem, now_s: float) -> ReplicaState | None:
        used_replica_ids = {
            self._attempts.live[attempt_id].replica_id for attempt_id in work.live_attempts
        }
        pool = [
            state
            for state in self._replicas.healthy(work.request.service, now_s)
            if state.replica.replica_id not in used_replica_ids
        ]
        available = self._limits.with_capacity(work, pool, now_s)
        return self._router.choose(work, available or pool, now_s, any_zone=True)

    def _start_attempt(
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


def _is_model(work: WorkItem) -> bool:
    return kind_of(work) is ServiceKind.MODEL


def _may_run_twice(work: WorkItem) -> bool:
    """Return whether a second attempt may run concurrently; never for a suspect."""
    return work.repeatable and not work.suspected
