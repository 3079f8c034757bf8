"""Graceful stop: report not ready, wait for the load balancer, refuse new work, drain.

The load balancer keeps sending requests for a while after this VM reports not ready. Refusing them
at once was rejected: callers would be turned away although this VM can still serve them.
"""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.inventory import Rules
from coriandershelf_core.internal.vocabulary.outcome import NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason
from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
from coriandershelf_core.internal.vocabulary.work import WorkItem

FINAL_ANSWERS_MARGIN_S = 0.25
PLAIN_EXPECTED_S = 1.0


def begin_stop(context: Context, deadline_s: float, urgent: bool, now_s: float) -> None:
    """Begin to stop; a repeated call can only bring the deadline forward.

    :param urgent: refuse new work at once, without waiting for the load balancer.
    """
    if not context.stopping:
        context.stopping = True
        context.stop_deadline_s = deadline_s
        context.refuse_from_s = now_s + context.settings.readiness_lag_s
        context.log("stopping", in_s=round(deadline_s - now_s, 3))
    context.stop_deadline_s = min(context.stop_deadline_s, deadline_s)
    if urgent or not context.is_enabled("readiness-lag"):
        context.refuse_from_s = min(context.refuse_from_s, now_s)


def must_refuse(context: Context, request: Request, rules: Rules, now_s: float) -> bool:
    """Return whether a stopping VM must refuse a request.

    A request whose answer could not complete before the deadline is refused as well: nothing of it
    has run, and another VM can serve it completely. A job is accepted, because it is handed over.
    """
    if not context.stopping:
        return False
    if now_s >= context.refuse_from_s:
        return True
    if request.kind is RequestKind.JOB:
        return False
    return now_s + _expected_s(request, rules) > context.stop_deadline_s - FINAL_ANSWERS_MARGIN_S


def must_abort(context: Context, now_s: float) -> bool:
    """Return whether the deadline is so near that outcomes must be sent to callers now."""
    return context.stopping and now_s >= context.stop_deadline_s - FINAL_ANSWERS_MARGIN_S


def aborted_outcome(work: WorkItem) -> Outcome:
    """Return the final outcome of a work item that is aborted by the stop."""
    if work.attempt_count:
        return Unknown(RefusalReason.STOPPING, retry_after_s=0.0)
    return NotRun(RefusalReason.STOPPING, retry_after_s=0.0)


def _expected_s(request: Request, rules: Rules) -> float:
    if request.kind is RequestKind.SERVICE:
        return PLAIN_EXPECTED_S
    return rules.first_token_target_s + request.max_tokens * rules.token_gap_target_s
