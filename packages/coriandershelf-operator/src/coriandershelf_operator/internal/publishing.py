"""Publish a proposal and learn its verdict, whatever becomes of the append's answer."""

from __future__ import annotations

import asyncio
import getpass
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coriandershelf_core.internal.configuration.configuration_log import Verdict, VerdictReason
from coriandershelf_core.internal.vocabulary.records import AcceptedChange, ConfigurationProposed
from coriandershelf_operator.internal.changes import changed_paths, find_changes
from coriandershelf_operator.internal.http import NoAnswer
from coriandershelf_operator.internal.output import EXIT_NO, end_not_known, show
from coriandershelf_operator.internal.platform_log import LogView

POLL_S = 0.2
APPEND_AGAIN_S = 1.0
PROGRESS_S = 2.0
REFUSED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class NotKnown:
    """The verdict is not known yet; ``appended`` tells whether the log may hold the proposal."""

    detail: str
    appended: bool


def make_proposal(
    view: LogView, publish_id: str, base: int, operator: str | None, texts: tuple[str, str]
) -> ConfigurationProposed:
    """Return a proposal that names what it changes against its base."""
    before = view.texts_of(base)
    paths = changed_paths(find_changes(before, texts)) if before is not None else ()
    return ConfigurationProposed(
        publish_id=publish_id,
        base_version=base,
        operator=operator or getpass.getuser(),
        at_s=time.time(),
        inventory_text=texts[0],
        rules_text=texts[1],
        changed_paths=paths,
    )


async def publish(
    view: LogView,
    proposal: ConfigurationProposed,
    wait_s: float,
    report: Callable[[str], None],
) -> Verdict | NotKnown:
    """Append a proposal until the log shows its verdict.

    An append whose answer was lost is sent again under the same publish id: the log's readers
    take the first, so that both a lost answer and a lost append end in the one verdict.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + wait_s
    append_at_s = loop.time()
    report_at_s = loop.time() + PROGRESS_S
    may_stand = False
    while True:
        if loop.time() >= append_at_s:
            failure = await view.append(proposal)
            # Any other failure leaves open whether the log took the record.
            refused = failure is not None and failure.status in REFUSED_STATUSES
            may_stand = may_stand or not refused
            append_at_s = loop.time() + APPEND_AGAIN_S
        unread = await view.refresh()
        verdict = view.verdict(proposal.publish_id)
        if verdict is not None:
            return verdict
        if loop.time() >= until_s:
            detail = "the log does not answer" if unread else "the log does not show it yet"
            return NotKnown(detail, may_stand)
        if loop.time() >= report_at_s:
            report(f"still waiting for the verdict on {proposal.publish_id}")
            report_at_s = loop.time() + PROGRESS_S
        await asyncio.sleep(POLL_S)


async def find_verdict(view: LogView, publish_id: str) -> Verdict | NoAnswer | None:
    """Return the verdict on an earlier proposal; ``None`` where the log does not show one."""
    failure = await view.refresh()
    return failure if failure is not None else view.verdict(publish_id)


def change_document(change: AcceptedChange) -> dict[str, Any]:
    """Return an accepted change for output."""
    return {
        "version": change.version,
        "operator": change.operator,
        "at_s": change.at_s,
        "publish_id": change.publish_id,
        "changed_paths": list(change.changed_paths),
    }


def describe_change(change: AcceptedChange) -> str:
    """Return an accepted change as one line."""
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.at_s))
    paths = ", ".join(change.changed_paths) or "changed paths not recorded"
    return f"version {change.version} by {change.operator} at {at} UTC: {paths}"


def end_with_verdict(view: LogView, verdict: Verdict, as_json: bool) -> None:
    """Print a verdict with the changes that came first, and end with its exit code."""
    preceding = view.log.preceding(verdict)
    document = {
        "verdict": verdict.reason.value,
        "version": verdict.version,
        "base_version": verdict.base_version,
        "publish_id": verdict.publish_id,
        "preceding": [change_document(change) for change in preceding],
    }
    if verdict.accepted:
        lines = [f"accepted: version {verdict.version}"]
        document["preceding"] = []
    elif verdict.reason is VerdictReason.FORMAT:
        lines = ["refused: the log does not allow this format yet; upgrade every entry VM first"]
    else:
        lines = [
            f"conflict: based on version {verdict.base_version}, in force was {verdict.version}"
        ]
        lines += [f"  {describe_change(change)}" for change in preceding]
        lines.append("take these over with `coriandershelf diff`, then publish again")
    show(document, as_json, "\n".join(lines))
    sys.exit(0 if verdict.accepted else EXIT_NO)


def end_verdict_not_known(
    publish_id: str, log_address: str, outcome: NotKnown, as_json: bool
) -> None:
    """Say that the verdict is not known and how to ask for it."""
    command = f"coriandershelf verdict {publish_id} --log-address {log_address}"
    document = {
        "verdict": "not-known",
        "publish_id": publish_id,
        "may_stand": outcome.appended,
        "ask": command,
    }
    text = f"not known yet: {outcome.detail}; ask with:\n  {command}"
    if not outcome.appended:
        text = f"not published: the log refused every try; {text}"
    end_not_known(document, as_json, text)
