"""Admission control: refuses early what cannot be served in time."""

from __future__ import annotations

import random

from coriandershelf_core.internal.admission.queue import WorkQueue
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Rules
from coriandershelf_core.internal.vocabulary.outcome import NotRun
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason
from coriandershelf_core.internal.vocabulary.request import Request
from coriandershelf_core.internal.vocabulary.settings import CoreSettings
from coriandershelf_core.internal.vocabulary.work import WorkClass, WorkItem

# The rest of the first-token target is left for the network and the prefill.
QUEUE_SHARE_OF_TARGET = 0.1
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 30.0
RETRY_AFTER_SPREAD = 0.5


def admit(request: Request, inventory: Inventory, stopping: bool, now_s: float) -> NotRun | None:
    """Return why a request is refused regardless of load, or ``None``."""
    if stopping:
        return NotRun(RefusalReason.STOPPING, retry_after_s=0.0)
    if inventory.service(request.service) is None:
        return NotRun(RefusalReason.UNKNOWN_SERVICE, detail=f"no service {request.service!r}")
    if request.deadline_s <= now_s:
        return NotRun(RefusalReason.DEADLINE, retry_after_s=0.0)
    return None


def admit_work(
    work: WorkItem,
    rules: Rules,
    queue: WorkQueue,
    settings: CoreSettings,
    rng: random.Random,
    now_s: float,
) -> NotRun | None:
    """Return why a work item is refused under the current load, or ``None`` if it may queue.

    The decision is made now, from the estimated wait: a work item that waited and was refused near
    its deadline would have cost its caller the time to try elsewhere.
    """
    wait_s = queue.wait_s(work, now_s)
    limit_s = wait_limit_s(work, rules, settings, now_s)
    if len(queue) >= settings.queue_max_count or wait_s > limit_s:
        over_share = queue.over_share(work, now_s)
        reason = RefusalReason.OVER_SHARE if over_share else RefusalReason.OVERLOADED
        return NotRun(reason, retry_after_s(wait_s - limit_s, rng))
    service_s = work.expected_tokens * rules.token_gap_target_s
    if wait_s > 0.0 and now_s + wait_s + service_s > work.request.deadline_s:
        return NotRun(RefusalReason.DEADLINE, retry_after_s(wait_s, rng))
    return None


def wait_limit_s(work: WorkItem, rules: Rules, settings: CoreSettings, now_s: float) -> float:
    """Return the longest estimated wait at which a work item is still accepted."""
    if work.work_class is WorkClass.LONG:
        return work.request.deadline_s - now_s
    if work.priority <= rules.priority_at_most:
        return rules.first_token_target_s * QUEUE_SHARE_OF_TARGET
    return settings.wait_limit_s


def retry_after_s(excess_s: float, rng: random.Random) -> float:
    """Return when to retry: after the excess has drained, with jitter against a thundering herd."""
    bounded_s = min(max(excess_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return bounded_s * (1.0 + RETRY_AFTER_SPREAD * rng.random())
