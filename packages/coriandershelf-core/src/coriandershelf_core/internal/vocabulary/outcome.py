"""The three outcomes of a request: done, not run, unknown."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.reasons import RefusalReason


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and this is its result.

    :param status: HTTP status of the answer.
    :param body: body of the answer; empty where tokens were streamed.
    """

    status: int = 200
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will.

    :param reason: why.
    :param retry_after_s: when to come back, in seconds; ``None`` if never.
    :param detail: words for the caller beyond the reason's remedy.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run.

    :param reason: why its result is not known.
    :param retry_after_s: when to ask again, in seconds.
    :param detail: where to ask.
    """

    reason: RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


Outcome = Done | NotRun | Unknown
