"""Life cycle of a work item in this VM: queue, route, dispatch, time out, recover."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.admit import admit_work
from coriandershelf_core.internal.admission.capacity import CapacityFinder
from coriandershelf_core.internal.admission.classify import LONG_TOKENS_COUNT, cost_tokens
from coriandershelf_core.internal.admission.lengths import LengthEstimator, observe
from coriandershelf_core.internal.admission.limits import Limits
from coriandershelf_core.internal.admission.preempt import Preemption
from coriandershelf_core.internal.admission.queue import WorkQueue
from coriandershelf_core.internal.admission.ranking import engine_priority
from coriandershelf_core.internal.routing.attempts import Attempts, kind_of
from coriandershelf_core.internal.routing.completion import is_complete
from coriandershelf_core.internal.routing.digests import Digests
from coriandershelf_core.internal.routing.eject import Ejector
from coriandershelf_core.internal.routing.migration import Migration
from coriandershelf_core.internal.routing.quarantine import Broadcast, Quarantine
from coriandershelf_core.internal.routing.recover import late_outcome
from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.routing.retries import Retries
from coriandershelf_core.internal.routing.route import Router
from coriandershelf_core.internal.routing.stall_detector import StallDetector
from coriandershelf_core.internal.routing.timeouts import timeout_cause
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import (
    AttemptFailed,
    AttemptOpened,
    FailureCause,
    LoadReported,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
)
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.messages import InFlightDigest, Message, ReplicaVerdict
from coriandershelf_core.internal.vocabulary.outcome import (
    NOT_RUN_STATUSES,
    Done,
    NotRun,
    Outcome,
)
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.work import (
    Attempt,
    AttemptPurpose,
    WorkClass,
    WorkItem,
)

UNREACHABLE_S = 1.0

Deliver = Callable[[WorkItem, tuple[bytes, ...], float], None]
Finish = Callable[[WorkItem, Outcome, float], None]


class Dispatcher:
    """Runs work items on replicas and reports their output and outcome through callbacks.

    :param deliver: called with each batch of new payloads.
    :param finish: called once with a work item's final outcome.
    :param broadcast: sends a message to every other entry VM.
    """

    def __init__(
        self, context: Context, deliver: Deliver, finish: Finish, broadcast: Broadcast
    ) -> None:
        self._context = context
        self._deliver = deliver
        self._finish = finish
        self.replicas = ReplicaTable()
        self.lengths = LengthEstimator()
        self._unsent_observations: list[Message] = []
        self.limits = Limits(
            context.settings, context.identity.vm_id, context.rng, context.is_enabled("limits")
        )
        self.digests = Digests(context, self.replicas, self.limits)
        self.queue = WorkQueue(
            context.settings.usage_memory_s,
            context.is_enabled("fair-queue"),
            context.is_enabled("length-classes"),
        )
        self.router = Router(context)
        self.work_items: dict[str, WorkItem] = {}
        self.attempts = Attempts(context, self.replicas, self.limits, self._engine_priority)
        self.retries = Retries(context)
        self._preemption = Preemption(context, self.attempts, self.limits, self.queue.usage_ratio)
        self._capacity = CapacityFinder(context, self.limits, self.queue, self._preemption)
        self._ejector = Ejector(context, self.replicas)
        self.stall_detector = StallDetector(
            context,
            self.replicas,
            self.router,
            self.attempts,
            self._ejector,
            self.limits,
            lambda replica_id, in_order: broadcast(ReplicaVerdict(replica_id, in_order)),
            lambda: len(self.queue) > 0,
        )
        self._migration = Migration(
            context,
            self.replicas,
            self.attempts,
            self._choose,
            self._dispatch,
            self._remove_attempt,
        )
        self.quarantine = Quarantine(context, self.replicas, self.attempts, self._settle, broadcast)

    def check_admission(self, work: WorkItem, now_s: float) -> NotRun | None:
        """Return why a work item is refused under the current load, or ``None``."""
        context = self._context
        inventory = context.inventory
        assert inventory is not None, f"{work.work_id} was classified without a configuration"
        if context.is_enabled("admission"):
            return admit_work(
                work, inventory.rules, self.queue, context.settings, context.rng, now_s
            )
        if len(self.queue) >= context.settings.queue_max_count:
            return NotRun(RefusalReason.OVERLOADED, retry_after_s=2.0)
        return None

    def enqueue(self, work: WorkItem, now_s: float) -> None:
        """Accept a work item and dispatch whatever can be dispatched."""
        assert (
            work.work_id not in self.work_items
        ), f"{work.work_id} is already running in this entry VM"
        self.work_items[work.work_id] = work
        if self.quarantine.hold_if_suspected(work, now_s):
            return
        self.queue.push(work, now_s)
        self._context.trace(work.work_id, now_s, "queued", work.work_class.value)
        self.dispatch_waiting(now_s)

    def dispatch_waiting(self, now_s: float) -> None:
        """Dispatch waiting work items while replicas have capacity."""
        while len(self.queue) and not self._context.hold_dispatch:
            taken = self.queue.take_first(lambda work: self._choose(work, now_s), now_s)
            if taken is None:
                return
            work, state = taken
            self._dispatch(work, state, now_s)

    def cancel(self, work_id: str) -> WorkItem | None:
        """Remove a work item whose result is no longer needed; ``None`` if its id is unknown."""
        work = self.work_items.pop(work_id, None)
        if work is None:
            return None
        self.queue.remove(work_id)
        self.quarantine.remove(work)
        self.attempts.cancel_all(work)
        return work

    def on_opened(self, event: AttemptOpened, now_s: float) -> None:
        """Record that an upstream accepted an attempt."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is not None:
            attempt.opened_at_s = now_s

    def on_tokens(self, event: TokensArrived, now_s: float) -> None:
        """Deliver new payloads; drop those that are late, repeated or of another attempt."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is None or event.stream_attempt_id != event.attempt_id:
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            return
        work = attempt.work
        if is_complete(work.payloads):
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            return
        repeated_count = work.position - event.first_position
        if repeated_count < 0:
            # Tokens are missing in between, so the rest of the stream cannot be used.
            self._context.count(Counter.TOKENS_DROPPED, len(event.payloads))
            self.attempts.send_cancel(attempt)
            self._fail(attempt, FailureCause.CLOSED, True, now_s)
            return
        self._record_tokens(attempt, len(event.payloads), now_s)
        self.quarantine.on_tokens(attempt, now_s)
        if not self._context.hold_dispatch:
            self.stall_detector.check(now_s)
        new_payloads = event.payloads[repeated_count:] if repeated_count else event.payloads
        if repeated_count:
            dropped = min(repeated_count, len(event.payloads))
            self._context.count(Counter.TOKENS_DROPPED, dropped)
            self.stall_detector.hedges.charge(dropped)
        if not new_payloads:
            return
        work.payloads.extend(new_payloads)
        if work.position > LONG_TOKENS_COUNT and work.work_class is WorkClass.SHORT:
            self._reclassify_as_long(work, now_s)
        self._deliver(work, new_payloads, now_s)

    def on_paused(self, attempt_id: str, paused: bool, now_s: float) -> None:
        """Record whether reading of an attempt's stream is paused for a slow caller."""
        attempt = self.attempts.live.get(attempt_id)
        if attempt is not None:
            attempt.paused = paused
            attempt.last_token_at_s = now_s

    def on_stream_ended(self, event: StreamEnded, now_s: float) -> None:
        """Finish a work item whose answer is complete; a truncated one is a failed attempt."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is None:
            return
        misdirected = event.stream_attempt_id != event.attempt_id
        if misdirected or event.position != attempt.work.position:
            self.attempts.send_cancel(attempt)
            self._fail(attempt, FailureCause.CLOSED, True, now_s)
            return
        self._complete(attempt, Done(), now_s)

    def on_plain_answered(self, event: PlainAnswered, now_s: float) -> None:
        """Finish a call with the plain service's response."""
        attempt = self.attempts.live.get(event.attempt_id)
        if attempt is None:
            return
        if event.status in NOT_RUN_STATUSES:
            # The service did not state that the call did not run, as its status would.
            self._fail(attempt, FailureCause.REFUSED, True, now_s)
            return
        self._complete(attempt, Done(event.status, event.body), now_s)

    def on_failed(self, event: AttemptFailed, now_s: float) -> None:
        """Recover from a failed attempt."""
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
        """Apply another entry VM's digest of its requests in flight."""
        if self.digests.on_digest(digest, now_s):
            self.dispatch_waiting(now_s)

    def due_messages(self, now_s: float) -> list[Message]:
        """Return the messages that are due to be sent to the other entry VMs."""
        messages, self._unsent_observations = self._unsent_observations, []
        digest = self.digests.due(now_s)
        return messages if digest is None else [*messages, digest]

    def on_load(self, event: LoadReported) -> None:
        """Apply a replica's own load report."""
        state = self.replicas.get(event.replica_id)
        if state is not None:
            state.on_report(event.running_count, event.waiting_count, event.reported_at_s)
            self.limits.on_report(state, event.reported_at_s)

    def _record_tokens(self, attempt: Attempt, count: int, now_s: float) -> None:
        """Update the statistics of a replica from the arrival of tokens."""
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
            self.stall_detector.on_first_token(attempt, now_s)
        elif state is not None:
            gap_s = (now_s - last_s) / count
            state.health.on_gap(gap_s, now_s)
            self.limits.on_gap(attempt.replica_id, gap_s)
            self.stall_detector.on_token(state, attempt, gap_s, now_s)

    def on_tick(self, now_s: float) -> None:
        """Expire and dispatch waiting work items; fail attempts that timed out."""
        for state in self.replicas:
            state.sample(now_s)
        self.digests.apply(now_s)
        for work in self.queue.take_expired(now_s):
            self._settle(work, late_outcome(work), now_s)
        if not self._context.hold_dispatch:
            self.stall_detector.check(now_s)
        for attempt in list(self.attempts.live.values()):
            kind = kind_of(attempt.work)
            cause = timeout_cause(attempt, kind, self._context.settings, now_s)
            if cause is not None and attempt.attempt_id in self.attempts.live:
                self.attempts.send_cancel(attempt)
                self._fail(attempt, cause, True, now_s)
        self._migration.migrate_leaving(now_s)
        self._queue_due_retries(now_s)
        for work in self.quarantine.release(now_s):
            self.queue.push(work, now_s)
        self.dispatch_waiting(now_s)

    def _choose(self, work: WorkItem, now_s: float) -> ReplicaState | None:
        pool = self.replicas.of_service(work.request.service)
        zone = self._context.identity.zone
        degraded = any(state.health.ejected and state.replica.zone == zone for state in pool)
        probed = self._ejector.probe_for(work, pool, now_s)
        if probed is not None:
            return probed
        healthy = self.replicas.healthy(work.request.service, now_s)
        available = self._capacity.available(work, healthy, now_s) or self._capacity.available(
            work, pool, now_s
        )
        return self.router.choose(work, available, now_s, any_zone=degraded)

    def _dispatch(self, work: WorkItem, state: ReplicaState, now_s: float) -> None:
        purpose = AttemptPurpose.RETRY if work.attempt_count else AttemptPurpose.FIRST
        if state.health.ejected:
            purpose = AttemptPurpose.PROBE
        kv_source = self.attempts.kv_source(work, state.replica.replica_id)
        victim = None
        if self._capacity.bypasses_limits(work, now_s):
            victim = self._capacity.victim_at(work, state, now_s)
        if victim is not None:
            self._preemption.preempt(victim, now_s)
        attempt = self.attempts.start(work, state, purpose, now_s, kv_source)
        if victim is not None:
            self._preemption.resume(victim, state, now_s)
        self.router.record(work, state.replica.replica_id)
        if state.health.ejected:
            self._ejector.on_probe_started(state, attempt)

    def _engine_priority(self, work: WorkItem, state: ReplicaState, now_s: float) -> int:
        if not self._context.is_enabled("engine-priority"):
            return 0
        within_floor = work.work_class is WorkClass.LONG and self.limits.is_within_floor(state)
        return engine_priority(work, self.queue.over_share(work, now_s), within_floor)

    def _reclassify_as_long(self, work: WorkItem, now_s: float) -> None:
        """Account a work item that turned out longer than estimated as long work."""
        work.work_class = WorkClass.LONG
        # The answer is still being generated; by Lindy's law, twice its present length is the
        # best estimate of its final length.
        self._learn_length(work, 2 * work.position)
        for attempt_id in work.live_attempts:
            self.limits.on_class_changed(self.attempts.live[attempt_id])
        self._context.count(Counter.LENGTH_MISJUDGED)
        self._context.trace(work.work_id, now_s, "length-misjudged", str(work.position))

    def _learn_length(self, work: WorkItem, length_tokens: int) -> None:
        """Record an answer's length; share it with other VMs if its class was misjudged."""
        observed = observe(work.customer, work.request, length_tokens)
        self.lengths.learn(observed)
        was_long = work.expected_tokens > LONG_TOKENS_COUNT
        if was_long != (length_tokens > LONG_TOKENS_COUNT):
            self._unsent_observations.append(observed)

    def _remove_attempt(self, attempt: Attempt, now_s: float, sent: bool = True) -> None:
        self.attempts.remove(attempt, sent)
        self._ejector.on_probe_ended(attempt, now_s)

    def _complete(self, attempt: Attempt, outcome: Outcome, now_s: float) -> None:
        work = attempt.work
        self._remove_attempt(attempt, now_s)
        self.attempts.cancel_all(work)
        if work.suspected:
            self.quarantine.clear(work, now_s)
        overloaded = len(self.queue) > 0
        self.retries.budget.on_success(work.customer, attempt.replica_id, overloaded)
        self.stall_detector.hedges.earn(work.request.prompt_tokens + work.position)
        self._settle(work, outcome, now_s)
        self.dispatch_waiting(now_s)

    def _settle(self, work: WorkItem, outcome: Outcome, now_s: float) -> None:
        del self.work_items[work.work_id]
        if work.attempt_count:
            self.queue.correct_cost(work, cost_tokens(work.request, work.position), now_s)
        if isinstance(outcome, Done) and work.payloads:
            self._learn_length(work, work.position)
        self._finish(work, outcome, now_s)

    def _fail(self, attempt: Attempt, cause: FailureCause, sent: bool, now_s: float) -> None:
        work = attempt.work
        self._remove_attempt(attempt, now_s, sent)
        if sent:
            work.failure_count += 1
        else:
            work.unsent_count += 1
        self._context.trace(work.work_id, now_s, "failed", f"{attempt.replica_id} {cause.value}")
        if work.live_attempts:
            return
        if is_complete(work.payloads):
            self._settle(work, Done(), now_s)
            self.dispatch_waiting(now_s)
            return
        if not sent and not work.payloads and not work.repeatable:
            work.attempt_count -= 1
        if cause is FailureCause.REFUSED:
            self.limits.on_refused(attempt, now_s)
        outcome = self.retries.schedule(attempt, cause, sent, now_s)
        if outcome is not None:
            self._settle(work, outcome, now_s)
        self._queue_due_retries(now_s)
        self.dispatch_waiting(now_s)

    def _queue_due_retries(self, now_s: float) -> None:
        """Queue the work items whose retry backoff has elapsed."""
        for work in self.retries.take_due(now_s):
            known = self.work_items.get(work.work_id) is work
            if known and not self.quarantine.hold_if_suspected(work, now_s):
                self.queue.push(work, now_s)
