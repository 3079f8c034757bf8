"""Works on their way: queue, route, dispatch, watch, recover."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admit import admit_work
from coriandershelf_core.internal.attempts import Attempts, kind_of
from coriandershelf_core.internal.budget import RetryBudget
from coriandershelf_core.internal.classify import LONG_TOKENS_COUNT, cost_tokens
from coriandershelf_core.internal.context import Context
from coriandershelf_core.internal.eject import Ejector
from coriandershelf_core.internal.ending import is_whole
from coriandershelf_core.internal.events import (
    AttemptFailed,
    AttemptOpened,
    FailureCause,
    LoadReported,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_core.internal.inventory import ServiceKind
from coriandershelf_core.internal.lengths import LengthEstimator, observe
from coriandershelf_core.internal.limits import Limits
from coriandershelf_core.internal.messages import InFlightDigest, Message, ReplicaVerdict
from coriandershelf_core.internal.occupancy import Occupancy
from coriandershelf_core.internal.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.preempt import Preemption
from coriandershelf_core.internal.quarantine import Broadcast, Quarantine
from coriandershelf_core.internal.queue import WorkQueue
from coriandershelf_core.internal.ranking import engine_priority
from coriandershelf_core.internal.reasons import Counter, RefusalReason, RetryReason
from coriandershelf_core.internal.recover import Retry, backoff_s, decide_recovery
from coriandershelf_core.internal.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.route import Router
from coriandershelf_core.internal.stalls import Stalls
from coriandershelf_core.internal.watch import overdue
from coriandershelf_core.internal.work import Attempt, AttemptPurpose, Work, WorkClass

UNREACHABLE_S = 1.0

Deliver = Callable[[Work, tuple[bytes, ...], float], None]
Finish = Callable[[Work, Outcome, float], None]


class Serving:
    """Runs works on replicas and tells their owner through two closures.

    :param deliver: called with each run of new payloads.
    :param finish: called once with a work's final outcome.
    :param broadcast: tells every other entry VM.
    """

    def __init__(
        self, context: Context, deliver: Deliver, finish: Finish, broadcast: Broadcast
    ) -> None:
        self._context = context
        self._deliver = deliver
        self._finish = finish
        self.replicas = ReplicaTable()
        self.lengths = LengthEstimator()
        self._observed: list[Message] = []
        self.occupancy = Occupancy(context.settings.digest_period_s)
        self.limits = Limits(
            context.settings, context.identity.vm_id, context.rng, context.enabled("limits")
        )
        self.queue = WorkQueue(
            context.settings.usage_memory_s,
            context.enabled("fair-queue"),
            context.enabled("length-classes"),
        )
        self.router = Router(context)
        self.works: dict[str, Work] = {}
        self.attempts = Attempts(context, self.replicas, self.limits, self._engine_priority)
        self.retries = RetryBudget(context.settings)
        self._delayed: list[tuple[float, Work]] = []
        self._preemption = Preemption(context, self.attempts, self.limits, self.queue.usage_ratio)
        self._ejector = Ejector(context, self.replicas)
        self.stalls = Stalls(
            context,
            self.replicas,
            self.router,
            self.attempts,
            self._ejector,
            self.limits,
            lambda replica_id, in_order: broadcast(ReplicaVerdict(replica_id, in_order)),
            lambda: len(self.queue) > 0,
        )
        self.quarantine = Quarantine(context, self.replicas, self.attempts, self._settle, broadcast)

    def refusal_of(self, work: Work, now_s: float) -> NotRun | None:
        """Return why a work is refused under the present load, or ``None``."""
        context = self._context
        inventory = context.inventory
        assert inventory is not None, f"{work.work_id} was classified without a configuration"
        if context.enabled("admission"):
            return admit_work(
                work, inventory.rules, self.queue, context.settings, context.rng, now_s
            )
        if len(self.queue) >= context.settings.queue_max_count:
            return NotRun(RefusalReason.OVERLOADED, retry_after_s=2.0)
        return None

    def enqueue(self, work: Work, now_s: float) -> None:
        """Accept a work and dispatch what can be dispatched."""
        assert work.work_id not in self.works, f"{work.work_id} runs twice in one entry VM"
        self.works[work.work_id] = work
        if self.quarantine.takes(work, now_s):
            return
        self.queue.push(work, now_s)
        self._context.trace(work.work_id, now_s, "queued", work.work_class.value)
        self.pump(now_s)

    def pump(self, now_s: float) -> None:
        """Dispatch waiting works while replicas have room."""
        while len(self.queue) and not self._context.hold_dispatch:
            taken = self.queue.take_first(lambda work: self._choose(work, now_s), now_s)
            if taken is None:
                return
            work, state = taken
            self._dispatch(work, state, now_s)

    def cancel(self, work_id: str) -> Work | None:
        """Drop a work whose result nobody awaits; ``None`` if it is not known."""
        work = self.works.pop(work_id, None)
        if work is None:
            return None
        self.queue.remove(work_id)
        self.quarantine.forget(work)
        self.attempts.cancel_all(work)
        return work

    def on_opened(self, event: AttemptOpened, now_s: float) -> None:
        """Note that an upstream took an attempt."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is not None:
            attempt.opened_at_s = now_s

    def on_tokens(self, event: TokensArrived, now_s: float) -> None:
        """Deliver the payloads that are new; drop late, crossed and repeated ones."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is None or event.stream_attempt_id != event.attempt_id:
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            return
        work = attempt.work
        if is_whole(work.payloads):
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            return
        repeated = work.position - event.first_position
        if repeated < 0:
            # Tokens are missing in between; the stream is of no use beyond this place.
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            self.attempts.announce_cancel(attempt)
            self._fail(attempt, FailureCause.CLOSED, True, now_s)
            return
        self._learn(attempt, len(event.payloads), now_s)
        self.quarantine.on_tokens(attempt, now_s)
        self.stalls.check(now_s)
        fresh = event.payloads[repeated:] if repeated else event.payloads
        if repeated:
            dropped = min(repeated, len(event.payloads))
            self._context.count(Counter.TOKENS_DROPPED, dropped)
            self.stalls.hedges.charge(dropped)
        if not fresh:
            return
        work.payloads.extend(fresh)
        if work.position > LONG_TOKENS_COUNT and work.work_class is WorkClass.SHORT:
            self._count_as_long(work, now_s)
        self._deliver(work, fresh, now_s)

    def on_paused(self, attempt_id: str, paused: bool, now_s: float) -> None:
        """Note whether an attempt's reading waits for its caller."""
        attempt = self.attempts.live.get(attempt_id)
        if attempt is not None:
            attempt.paused = paused
            attempt.last_token_at_s = now_s

    def on_stream_ended(self, event: StreamEnded, now_s: float) -> None:
        """Finish a work whose answer is whole; a cut answer is a failed attempt."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is None:
            return
        crossed = event.stream_attempt_id != event.attempt_id
        if crossed or event.position != attempt.work.position:
            self.attempts.announce_cancel(attempt)
            self._fail(attempt, FailureCause.CLOSED, True, now_s)
            return
        self._complete(attempt, Done(), now_s)

    def on_plain_answered(self, event: PlainAnswered, now_s: float) -> None:
        """Finish a call with the plain service's answer."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is not None:
            self._complete(attempt, Done(event.status, event.body), now_s)

    def on_failed(self, event: AttemptFailed, now_s: float) -> None:
        """Recover from an attempt that ended early."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is None:
            return
        if event.cause is FailureCause.CLOSED and kind_of(attempt.work) is ServiceKind.MODEL:
            self.quarantine.on_closed(attempt, now_s)
        state = self.replicas.get(attempt.replica_id)
        if event.cause is FailureCause.CONNECT and state is not None:
            state.health.unreachable_until_s = now_s + UNREACHABLE_S
            self._ejector.eject(state, now_s)
            self.quarantine.on_unsent(attempt)
        self._fail(attempt, event.cause, event.sent, now_s)

    def on_digest(self, digest: InFlightDigest, now_s: float) -> None:
        """Note what another entry VM has in flight."""
        if self._context.enabled("digests"):
            self.occupancy.on_digest(digest, now_s)
            self._apply_digests(now_s)
            self.pump(now_s)

    def due_messages(self, now_s: float) -> list[Message]:
        """Return what the other entry VMs are to be told now."""
        messages, self._observed = self._observed, []
        digest = self._due_digest(now_s)
        return messages if digest is None else [*messages, digest]

    def _due_digest(self, now_s: float) -> InFlightDigest | None:
        if not self._context.enabled("digests"):
            return None
        identity = self._context.identity
        counts = {
            state.replica.replica_id: len(state.in_flight)
            for state in self.replicas
            if state.in_flight
        }
        return self.occupancy.due_digest(
            identity.vm_id, identity.incarnation, counts, self.limits.peer_count, now_s
        )

    def _apply_digests(self, now_s: float) -> None:
        """Let fresh digests of all entry VMs stand above the replicas' late reports."""
        self.occupancy.expire(now_s)
        if not self.occupancy.is_complete(self.limits.peer_count):
            self.limits.on_digests_missing()
            return
        for state in self.replicas:
            others_count = self.occupancy.others_count(state.replica.replica_id)
            state.on_digests(others_count, now_s)
            self.limits.on_digests(state, others_count, now_s)

    def on_load(self, event: LoadReported) -> None:
        """Note a replica's own report of its load."""
        state = self.replicas.get(event.replica_id)
        if state is not None:
            state.on_report(event.running_count, event.waiting_count, event.reported_at_s)
            self.limits.on_report(state, event.reported_at_s)

    def _learn(self, attempt: Attempt, count: int, now_s: float) -> None:
        """Take tokens as evidence on their replica."""
        if attempt.last_token_at_s is None:
            self.limits.on_first_token(attempt, now_s)
        state = self.replicas.get(attempt.replica_id)
        last_s = attempt.last_token_at_s
        attempt.last_token_at_s = now_s
        attempt.token_count += count
        if last_s is None:
            if state is not None:
                state.waiting.pop(attempt.attempt_id, None)
                waited_s = now_s - attempt.started_at_s
                if attempt.purpose is not AttemptPurpose.PREEMPTED:
                    state.health.on_first_token(waited_s, attempt.work.request.prompt_tokens, now_s)
            self.stalls.on_first_token(attempt, now_s)
        elif state is not None:
            gap_s = (now_s - last_s) / count
            state.health.on_gap(gap_s, now_s)
            self.limits.on_gap(attempt.replica_id, gap_s)
            self.stalls.on_token(state, attempt, gap_s, now_s)

    def on_tick(self, now_s: float) -> None:
        """Expire waiting works, fail overdue attempts, dispatch what has room."""
        for state in self.replicas:
            state.sample(now_s)
        self._apply_digests(now_s)
        for work in self.queue.take_expired(now_s):
            self._settle(work, self._late_outcome(work), now_s)
        self.stalls.check(now_s)
        for attempt in list(self.attempts.live.values()):
            kind = kind_of(attempt.work)
            cause = overdue(attempt, kind, self._context.settings, now_s)
            if cause is not None and attempt.attempt_id in self.attempts.live:
                self.attempts.announce_cancel(attempt)
                self._fail(attempt, cause, True, now_s)
        self._move_from_leaving(now_s)
        self._release_delayed(now_s)
        for work in self.quarantine.release(now_s):
            self.queue.push(work, now_s)
        self.pump(now_s)

    def _move_from_leaving(self, now_s: float) -> None:
        """Move streams off replicas whose VM is taken before they end, with their KV cache."""
        if not self._context.enabled("move-on-notice"):
            return
        leaving = [state for state in self.replicas if state.must_move(now_s)]
        for state in leaving:
            for attempt in self.attempts.at(state):
                if attempt.work.repeatable and not is_whole(attempt.work.payloads):
                    self._move_if_room(attempt, state.must_move_now(now_s), now_s)

    def _move_if_room(self, attempt: Attempt, last: bool, now_s: float) -> None:
        """Move a stream once another replica has room; at last to one that lets it wait.

        A stream that waited in the queue here would lose its KV cache with the leaving replica.
        """
        work = attempt.work
        target = self._choose(work, now_s)
        if target is None and last:
            pool = self.replicas.of_service(work.request.service)
            target = min(pool, key=lambda state: state.load(now_s), default=None)
        if target is None:
            return
        work.kv_replica_id = attempt.replica_id
        self.attempts.announce_cancel(attempt)
        self._forget(attempt, now_s)
        self._context.count(RetryReason.UPSTREAM_LEAVING)
        if not work.live_attempts:
            self._dispatch(work, target, now_s)

    def _late_outcome(self, work: Work) -> Outcome:
        if work.attempt_count:
            return Unknown(RefusalReason.DEADLINE, retry_after_s=2.0)
        return NotRun(RefusalReason.DEADLINE, retry_after_s=2.0)

    def _choose(self, work: Work, now_s: float) -> ReplicaState | None:
        pool = self.replicas.of_service(work.request.service)
        zone = self._context.identity.zone
        degraded = any(state.health.ejected and state.replica.zone == zone for state in pool)
        probed = self._ejector.probe_for(work, pool, now_s)
        if probed is not None:
            return probed
        healthy = [
            state
            for state in pool
            if not state.health.ejected and state.health.unreachable_until_s <= now_s
        ]
        roomy = self._with_room(work, healthy, now_s) or self._with_room(work, pool, now_s)
        return self.router.choose(work, roomy, now_s, any_zone=degraded)

    def _with_room(self, work: Work, pool: list[ReplicaState], now_s: float) -> list[ReplicaState]:
        """Return the replicas of a model that may take a work now.

        A question inside its customer's share goes to a free slot whatever this VM's limits, or
        to a full replica where another work can give up its slot.
        """
        if kind_of(work) is not ServiceKind.MODEL:
            return pool
        if self._is_express(work, now_s):
            usable = [state for state in pool if not state.health.ejected]
            free = self.limits.with_free_slot(usable)
            if free:
                return free
            givers = [state for state in usable if self._victim_at(work, state, now_s) is not None]
            if givers:
                return givers
        return list(self.limits.with_room(work, pool, now_s))

    def _is_express(self, work: Work, now_s: float) -> bool:
        if not self.limits.enabled or not self._context.enabled("preemption"):
            return False
        question = work.work_class is WorkClass.SHORT and kind_of(work) is ServiceKind.MODEL
        return question and not self.queue.beyond_share(work, now_s)

    def _victim_at(self, work: Work, state: ReplicaState, now_s: float) -> Attempt | None:
        full = self.limits.may_preempt(state)
        return self._preemption.victim_at(work, state, now_s) if full else None

    def _dispatch(self, work: Work, state: ReplicaState, now_s: float) -> None:
        purpose = AttemptPurpose.RETRY if work.attempt_count else AttemptPurpose.FIRST
        if state.health.ejected:
            purpose = AttemptPurpose.PROBE
        kv_source = self._kv_source(work, state.replica.replica_id)
        victim = None
        if self._is_express(work, now_s):
            victim = self._victim_at(work, state, now_s)
        if victim is not None:
            self._preemption.preempt(victim, now_s)
        attempt = self.attempts.start(work, state, purpose, now_s, kv_source)
        if victim is not None:
            self._preemption.resume(victim, state, now_s)
        self.router.note(work, state.replica.replica_id)
        if state.health.ejected:
            self._ejector.on_probe_started(state, attempt)

    def _engine_priority(self, work: Work, state: ReplicaState, now_s: float) -> int:
        if not self._context.enabled("engine-priority"):
            return 0
        owned = work.work_class is WorkClass.LONG and self.limits.is_owned(state)
        return engine_priority(work, self.queue.beyond_share(work, now_s), owned)

    def _count_as_long(self, work: Work, now_s: float) -> None:
        """Let a work that turned out long hold a slot of long work."""
        work.work_class = WorkClass.LONG
        # It is not over yet; twice what it has is the likeliest length by Lindy's rule.
        self._learn_length(work, 2 * work.position)
        for attempt_id in work.live_attempts:
            self.limits.on_class_changed(self.attempts.live[attempt_id])
        self._context.count(Counter.LENGTH_MISJUDGED)
        self._context.trace(work.work_id, now_s, "length-misjudged", str(work.position))

    def _kv_source(self, work: Work, target_id: str) -> str:
        """Return the address of another replica that still holds the KV cache, or empty."""
        source = self.replicas.get(work.kv_replica_id)
        usable = source is not None and not source.gone and work.kv_replica_id != target_id
        if source is None or not usable or not self._context.enabled("kv-move"):
            return ""
        return source.replica.address

    def _learn_length(self, work: Work, length_tokens: int) -> None:
        """Learn an answer's length, and tell the others where the guess was of the wrong class."""
        observed = observe(work.customer, work.request, length_tokens)
        self.lengths.learn(observed)
        was_long = work.expected_tokens > LONG_TOKENS_COUNT
        if was_long != (length_tokens > LONG_TOKENS_COUNT):
            self._observed.append(observed)

    def _forget(self, attempt: Attempt, now_s: float) -> None:
        self.attempts.forget(attempt)
        self._ejector.on_probe_ended(attempt, now_s)

    def _complete(self, attempt: Attempt, outcome: Outcome, now_s: float) -> None:
        work = attempt.work
        self._forget(attempt, now_s)
        self.attempts.cancel_all(work)
        if work.suspected:
            self.quarantine.clear(work, now_s)
        overloaded = len(self.queue) > 0
        self.retries.on_success(work.customer, attempt.replica_id, overloaded)
        self.stalls.hedges.earn(work.request.prompt_tokens + work.position)
        self._settle(work, outcome, now_s)
        self.pump(now_s)

    def _settle(self, work: Work, outcome: Outcome, now_s: float) -> None:
        del self.works[work.work_id]
        if work.attempt_count:
            self.queue.correct(work, cost_tokens(work.request, work.position), now_s)
        if isinstance(outcome, Done) and work.payloads:
            self._learn_length(work, work.position)
        self._finish(work, outcome, now_s)

    def _fail(self, attempt: Attempt, cause: FailureCause, sent: bool, now_s: float) -> None:
        work = attempt.work
        self._forget(attempt, now_s)
        if sent:
            work.failure_count += 1
        else:
            work.unsent_count += 1
        self._context.trace(work.work_id, now_s, "failed", f"{attempt.replica_id} {cause.value}")
        if work.live_attempts:
            return
        if is_whole(work.payloads):
            self._settle(work, Done(), now_s)
            self.pump(now_s)
            return
        if not sent and not work.payloads and not work.repeatable:
            work.attempt_count -= 1
        if cause is FailureCause.REFUSED:
            self.limits.on_refused(attempt, now_s)
        verdict = decide_recovery(work, cause, sent, self._context.settings, now_s)
        if not isinstance(verdict, Retry):
            self._settle(work, verdict, now_s)
            self.pump(now_s)
            return
        costs_nothing = cause is FailureCause.LEAVING or not sent
        if not costs_nothing and not self.retries.spend(work.customer, attempt.replica_id):
            self._context.count(Counter.RETRIES_OVER_BUDGET)
            self._settle(work, self._exhausted(sent), now_s)
            self.pump(now_s)
            return
        self._context.count(verdict.reason)
        self._context.log(
            "retry",
            request_id=work.work_id,
            attempt_id=attempt.attempt_id,
            customer=work.customer,
            reason=verdict.reason.code,
        )
        failures = work.failure_count + work.unsent_count
        delay_s = backoff_s(failures, self._context.settings, self._context.rng)
        self._delayed.append((now_s + delay_s, work))
        self._release_delayed(now_s)
        self.pump(now_s)

    def _exhausted(self, sent: bool) -> Outcome:
        if sent:
            return Unknown(RefusalReason.RETRIES_EXHAUSTED, retry_after_s=2.0)
        return NotRun(RefusalReason.RETRIES_EXHAUSTED, retry_after_s=2.0)

    def _release_delayed(self, now_s: float) -> None:
        """Queue works whose wait before a retry is over."""
        waiting = [item for item in self._delayed if self.works.get(item[1].work_id) is item[1]]
        self._delayed = [item for item in waiting if item[0] > now_s]
        for due_s, work in waiting:
            if due_s <= now_s and not self.quarantine.takes(work, now_s):
                self.queue.push(work, now_s)
