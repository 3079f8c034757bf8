"""Outcomes of calls whose idempotency key is already claimed."""

from __future__ import annotations

from coriandershelf_core.internal.claims.claim_table import ClaimState
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason
from coriandershelf_core.internal.vocabulary.records import ClaimFinished

IN_PROGRESS_RETRY_S = 2.0
OUTCOME_LOST_RETRY_S = 30.0


def result_entry(
    key_hash: str, request_id: str, outcome: Done | Unknown, max_bytes: int
) -> ClaimFinished:
    """Return the log entry of a call's result; a body above ``max_bytes`` is left out."""
    if not isinstance(outcome, Done):
        return ClaimFinished(key_hash, request_id, False)
    fits = len(outcome.body) <= max_bytes
    body = outcome.body if fits else b""
    return ClaimFinished(key_hash, request_id, True, outcome.status, body, fits)


def outcome_of_result(result: ClaimFinished) -> Outcome:
    """Return the outcome of a repeated call whose first run has this result."""
    if not result.known:
        return Unknown(RefusalReason.OUTCOME_LOST)
    if not result.whole:
        return Unknown(RefusalReason.RESULT_NOT_KEPT, detail=f"status {result.status}")
    return Done(result.status, result.body)


def unfinished_outcome(lost: bool) -> Outcome:
    """Return the outcome of a repeated call that stops waiting for a result.

    :param lost: whether no result can be expected any more.
    """
    if lost:
        return Unknown(RefusalReason.OUTCOME_LOST, OUTCOME_LOST_RETRY_S)
    return Unknown(RefusalReason.IN_PROGRESS, IN_PROGRESS_RETRY_S)


def outcome_of_state(
    state: ClaimState, body_hash: str, past_window: bool, lost: bool
) -> Outcome | None:
    """Return the outcome of a call with a taken key, or ``None`` while the first call runs.

    :param past_window: whether results of the key are no longer kept.
    :param lost: whether no result can be expected any more.
    """
    if state.claim.body_hash and state.claim.body_hash != body_hash:
        return NotRun(RefusalReason.KEY_REUSED)
    if past_window:
        return Unknown(RefusalReason.KEY_EXPIRED)
    if state.finished is None or not state.claim.body_hash:
        return unfinished_outcome(lost) if lost else None
    return outcome_of_result(state.finished)
