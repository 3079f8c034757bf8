"""Isolates requests suspected of crashing upstreams: holds, tries, then clears or refuses them."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.routing.attempts import Attempts
from coriandershelf_core.internal.routing.replicas import ReplicaState, ReplicaTable
from coriandershelf_core.internal.routing.suspects import Suspects, identity_of
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.messages import (
    CrashSeen,
    Message,
    SuspectVerdict,
    TrialStarted,
)
from coriandershelf_core.internal.vocabulary.outcome import NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.work import Attempt, AttemptPurpose, WorkItem

TRIAL_SPREAD_S = 0.2
TRIAL_PASS_TOKENS_COUNT = 8

Broadcast = Callable[[Message], None]


class Quarantine:
    """Holds suspected work items outside the queue, so that no other waits behind them.

    A held work item is tried at a replica without any other suspect. It is cleared if it produces
    tokens, and refused as a poison request once two crashes are attributed to it.

    :param settle: called with a work item and its final outcome.
    :param broadcast: sends a message to every other entry VM.
    """

    def __init__(
        self,
        context: Context,
        replicas: ReplicaTable,
        attempts: Attempts,
        settle: Callable[[WorkItem, Outcome, float], None],
        broadcast: Broadcast,
    ) -> None:
        self._context = context
        self._replicas = replicas
        self._attempts = attempts
        self._settle = settle
        self._broadcast = broadcast
        self._held: list[tuple[float, WorkItem]] = []
        self.suspects = Suspects(context.settings.suspicion_keep_s)

    def hold_if_suspected(self, work: WorkItem, now_s: float) -> bool:
        """Hold or refuse a suspected work item; false if it may run normally."""
        if not self._context.is_enabled("quarantine"):
            return False
        identity = identity_of(work.request)
        if self.suspects.is_blocked(identity):
            self._refuse(work, now_s)
            return True
        if not self.suspects.is_suspected(identity):
            work.suspected = False
            return False
        work.suspected = True
        # Random delay: all entry VMs see a crash at once, and their trials must not overlap.
        due_s = now_s + TRIAL_SPREAD_S * self._context.rng.random()
        self._held.append((due_s, work))
        self._context.count(Counter.SUSPECTS_HELD)
        self._context.trace(work.work_id, now_s, "held", "suspected of crashing an upstream")
        return True

    def on_closed(self, attempt: Attempt, now_s: float) -> None:
        """Record a suspected crash for the request of an attempt whose connection closed early.

        A replica that is leaving is exempt: it closes its connections without a crash. So is an
        attempt that produced as many tokens as a trial must: it ran without crashing the replica.
        """
        state = self._replicas.get(attempt.replica_id)
        if state is None or not state.usable or not self._context.is_enabled("quarantine"):
            return
        if attempt.token_count >= TRIAL_PASS_TOKENS_COUNT:
            return
        identity = identity_of(attempt.work.request)
        guilty = self.suspects.on_crash(identity, attempt.replica_id, now_s)
        if not self.suspects.is_suspected(identity):
            return
        self._context.count(Counter.SUSPECTS)
        self._context.log(
            "request in flight at a crash",
            request_id=attempt.work.work_id,
            replica_id=attempt.replica_id,
            guilty=guilty,
        )
        self._broadcast(CrashSeen(attempt.replica_id, identity))
        if guilty:
            self._broadcast(SuspectVerdict(identity, True))

    def on_tokens(self, attempt: Attempt, now_s: float) -> None:
        """Clear a suspect whose trial produced enough tokens."""
        work = attempt.work
        if work.suspected and attempt.token_count >= TRIAL_PASS_TOKENS_COUNT:
            self.clear(work, now_s)

    def on_unsent(self, attempt: Attempt) -> None:
        """End a trial whose request never reached its replica."""
        if attempt.work.suspected:
            self.suspects.end_trial(identity_of(attempt.work.request))

    def clear(self, work: WorkItem, now_s: float) -> None:
        """Clear a suspect that ran without a crash."""
        work.suspected = False
        identity = identity_of(work.request)
        self.suspects.on_verdict(identity, False, now_s)
        self._context.count(Counter.SUSPECTS_CLEARED)
        self._context.trace(work.work_id, now_s, "cleared")
        self._broadcast(SuspectVerdict(identity, False))

    def on_message(self, message: CrashSeen | TrialStarted | SuspectVerdict, now_s: float) -> None:
        """Apply another entry VM's message about a crash, a trial or a verdict."""
        match message:
            case CrashSeen(replica_id, identity):
                self.suspects.on_crash(identity, replica_id, now_s)
            case TrialStarted(replica_id, identity):
                self.suspects.on_trial(identity, replica_id, now_s)
            case SuspectVerdict(identity, guilty):
                self.suspects.on_verdict(identity, guilty, now_s)

    def release(self, now_s: float) -> list[WorkItem]:
        """Start the trials that may start; return work items that are no longer suspected."""
        self.suspects.on_tick(now_s)
        held, self._held = self._held, []
        cleared = []
        for due_s, work in held:
            identity = identity_of(work.request)
            if self.suspects.is_blocked(identity):
                self._refuse(work, now_s)
            elif work.request.deadline_s <= now_s:
                self._settle(work, self._outcome(work, RefusalReason.DEADLINE), now_s)
            elif not self.suspects.is_suspected(identity):
                work.suspected = False
                cleared.append(work)
            elif due_s > now_s or not self._start_trial(work, identity, now_s):
                self._held.append((due_s, work))
        return cleared

    def remove(self, work: WorkItem) -> None:
        """Remove a work item whose result is no longer needed."""
        self._held = [item for item in self._held if item[1] is not work]

    def _start_trial(self, work: WorkItem, identity: str, now_s: float) -> bool:
        """Start a trial at the replica with the fewest requests; false if none is available."""
        pool: list[ReplicaState] = [
            state
            for state in self._replicas.healthy(work.request.service, now_s)
            if self.suspects.may_start_trial(identity, state.replica.replica_id, now_s)
        ]
        if not pool:
            return False
        state = min(pool, key=lambda item: item.load(now_s) * item.replica.slots)
        replica_id = state.replica.replica_id
        self.suspects.on_trial(identity, replica_id, now_s)
        self._broadcast(TrialStarted(replica_id, identity))
        self._context.count(Counter.TRIALS)
        self._attempts.start(work, state, AttemptPurpose.TRIAL, now_s)
        return True

    def _refuse(self, work: WorkItem, now_s: float) -> None:
        self._settle(work, self._outcome(work, RefusalReason.POISON), now_s)

    def _outcome(self, work: WorkItem, reason: RefusalReason) -> Outcome:
        if work.attempt_count:
            return Unknown(reason)
        return NotRun(reason)
