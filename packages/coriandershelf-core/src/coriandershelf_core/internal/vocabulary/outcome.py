"""The three outcomes of a request: done, not run, unknown."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.reasons import RefusalReason

# HTTP statuses by which callers know that a request did not run and never will. A response with
# such a status is passed on only if its replica stated as much.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran; holds its result.

    :param status: HTTP status of the response.
    :param body: response body; empty if tokens were streamed.
    """

    status: int = 200
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will.

    :param reason: why it did not run.
    :param retry_after_s: delay before the caller should retry; ``None`` if it should not.
    :param detail: message for the caller in addition to the reason's remedy.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run.

    :param reason: why its result is not known.
    :param retry_after_s: delay before the caller should ask again.
    :param detail: message for the caller in addition to the reason's remedy.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


Outcome = Done | NotRun | Unknown
