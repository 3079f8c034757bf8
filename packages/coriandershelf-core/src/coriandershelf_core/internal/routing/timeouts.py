"""Time limits of attempts."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.events import FailureCause
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_core.internal.vocabulary.settings import CoreSettings
from coriandershelf_core.internal.vocabulary.work import Attempt


def timeout_cause(
    attempt: Attempt, kind: ServiceKind, settings: CoreSettings, now_s: float
) -> FailureCause | None:
    """Return which time limit an attempt has exceeded, or ``None``."""
    waited_s = now_s - attempt.started_at_s
    if kind is ServiceKind.PLAIN:
        return FailureCause.ANSWER_TIMEOUT if waited_s > settings.plain_answer_limit_s else None
    if attempt.opened_at_s is None:
        return FailureCause.CONNECT_TIMEOUT if waited_s > settings.connect_limit_s else None
    if attempt.last_token_at_s is None:
        late = waited_s > settings.first_token_limit_s
        return FailureCause.FIRST_TOKEN_TIMEOUT if late else None
    if attempt.paused:
        return None
    silent_s = now_s - attempt.last_token_at_s
    return FailureCause.GAP_TIMEOUT if silent_s > settings.token_gap_limit_s else None
