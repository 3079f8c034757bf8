"""Decides how to recover from a failed attempt."""

from __future__ import annotations

import random
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.events import FailureCause
from coriandershelf_core.internal.vocabulary.outcome import NotRun, Unknown
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason, RetryReason
from coriandershelf_core.internal.vocabulary.settings import CoreSettings
from coriandershelf_core.internal.vocabulary.work import WorkItem

RETRY_REASONS = {
    FailureCause.CONNECT: RetryReason.CONNECT_FAILED,
    FailureCause.CONNECT_TIMEOUT: RetryReason.CONNECT_FAILED,
    FailureCause.CLOSED: RetryReason.CONNECTION_LOST,
    FailureCause.REFUSED: RetryReason.UPSTREAM_REFUSED,
    FailureCause.SERVER_ERROR: RetryReason.UPSTREAM_ERROR,
    FailureCause.FIRST_TOKEN_TIMEOUT: RetryReason.FIRST_TOKEN_LATE,
    FailureCause.GAP_TIMEOUT: RetryReason.TOKEN_GAP,
    FailureCause.ANSWER_TIMEOUT: RetryReason.FIRST_TOKEN_LATE,
    FailureCause.LEAVING: RetryReason.UPSTREAM_LEAVING,
}


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to start another attempt."""

    reason: RetryReason


def backoff_s(failure_count: int, settings: CoreSettings, rng: random.Random) -> float:
    """Return the wait before a retry: none before the first, then exponential with jitter.

    Jitter spreads out the retries that one failure caused at the same time.
    """
    if failure_count <= 1:
        return 0.0
    doubled_s = settings.retry_backoff_s * 2.0 ** (failure_count - 2)
    delay_s = min(settings.retry_backoff_max_s, doubled_s)
    return delay_s * (0.5 + 0.5 * rng.random())


def decide_recovery(
    work: WorkItem, cause: FailureCause, sent: bool, settings: CoreSettings, now_s: float
) -> Retry | NotRun | Unknown:
    """Return a retry, or the final outcome if a work item is given up.

    :param sent: whether any byte of the failed attempt may have reached its upstream.
    """
    if sent and not work.repeatable:
        return Unknown(RefusalReason.OUTCOME_LOST, retry_after_s=5.0)
    exhausted = work.failure_count >= settings.attempts_max_count
    expired = now_s >= work.request.deadline_s
    if exhausted or expired:
        reason = RefusalReason.DEADLINE if expired else RefusalReason.RETRIES_EXHAUSTED
        if sent or work.may_have_run:
            return Unknown(reason, retry_after_s=2.0)
        return NotRun(reason, retry_after_s=2.0)
    return Retry(RETRY_REASONS[cause])


def late_outcome(work: WorkItem) -> NotRun | Unknown:
    """Return the final outcome of a work item whose deadline passed before it completed."""
    if work.attempt_count:
        return Unknown(RefusalReason.DEADLINE, retry_after_s=2.0)
    return NotRun(RefusalReason.DEADLINE, retry_after_s=2.0)
