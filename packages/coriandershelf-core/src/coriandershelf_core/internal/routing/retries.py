"""Schedules retries with backoff, within the retry budgets."""

from __future__ import annotations

from coriandershelf_core.internal.routing.budget import RetryBudget
from coriandershelf_core.internal.routing.recover import Retry, backoff_s, decide_recovery
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import FailureCause
from coriandershelf_core.internal.vocabulary.outcome import Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.work import Attempt, WorkItem


class Retries:
    """Work items that wait for their retry outside the queue."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._waiting: list[tuple[float, WorkItem]] = []
        self.budget = RetryBudget(context.settings)

    def schedule(
        self, attempt: Attempt, cause: FailureCause, sent: bool, now_s: float
    ) -> Outcome | None:
        """Schedule the retry of a failed attempt's work item, or return its final outcome.

        Attempts that sent nothing, or that failed because the upstream is leaving, are not charged
        to the budgets.
        """
        work = attempt.work
        decision = decide_recovery(work, cause, sent, self._context.settings, now_s)
        if not isinstance(decision, Retry):
            return decision
        exempt = cause is FailureCause.LEAVING or not sent
        if not exempt and not self.budget.spend(work.customer, attempt.replica_id):
            self._context.count(Counter.RETRIES_OVER_BUDGET)
            return Unknown(RefusalReason.RETRIES_EXHAUSTED, retry_after_s=2.0)
        self._context.count(decision.reason)
        self._context.log(
            "retry",
            request_id=work.work_id,
            attempt_id=attempt.attempt_id,
            customer=work.customer,
            reason=decision.reason.code,
        )
        failures = work.failure_count + work.unsent_count
        delay_s = backoff_s(failures, self._context.settings, self._context.rng)
        self._waiting.append((now_s + delay_s, work))
        return None

    def take_due(self, now_s: float) -> list[WorkItem]:
        """Remove and return the work items whose backoff has elapsed."""
        due = [work for due_s, work in self._waiting if due_s <= now_s]
        self._waiting = [item for item in self._waiting if item[0] > now_s]
        return due
