"""Publishes proposals and finds their verdicts, even if the response to an append is lost."""

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
from coriandershelf_operator.internal.http import RequestFailure
from coriandershelf_operator.internal.output import EXIT_NEGATIVE, exit_unknown, print_result
from coriandershelf_operator.internal.platform_log import ConfigurationStream

POLL_PERIOD_S = 0.2
APPEND_RETRY_S = 1.0
PROGRESS_PERIOD_S = 2.0
REFUSED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class VerdictUnknown:
    """The verdict is not known yet; ``appended`` is whether the log may hold the proposal."""

    detail: str
    appended: bool


def make_proposal(
    stream: ConfigurationStream,
    publish_id: str,
    base: int,
    operator: str | None,
    texts: tuple[str, str],
) -> ConfigurationProposed:
    """Return a proposal with the paths that it changes relative to its base."""
    before = stream.texts_of(base)
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
    stream: ConfigurationStream,
    proposal: ConfigurationProposed,
    wait_s: float,
    report_progress: Callable[[str], None],
) -> Verdict | VerdictUnknown:
    """Append a proposal, repeatedly if needed, until the log shows its verdict.

    An append whose response was lost is repeated under the same publish id. Readers of the log use
    only the first copy, so a lost response and a lost append both lead to a single verdict.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_s
    next_append_at_s = loop.time()
    next_report_at_s = loop.time() + PROGRESS_PERIOD_S
    may_be_appended = False
    while True:
        if loop.time() >= next_append_at_s:
            failure = await stream.append(proposal)
            # After any other failure the log may or may not hold the record.
            refused = failure is not None and failure.status in REFUSED_STATUSES
            may_be_appended = may_be_appended or not refused
            next_append_at_s = loop.time() + APPEND_RETRY_S
        read_failure = await stream.refresh()
        verdict = stream.verdict(proposal.publish_id)
        if verdict is not None:
            return verdict
        if loop.time() >= deadline_s:
            detail = "the log does not answer" if read_failure else "the log does not show it yet"
            return VerdictUnknown(detail, may_be_appended)
        if loop.time() >= next_report_at_s:
            report_progress(f"still waiting for the verdict on {proposal.publish_id}")
            next_report_at_s = loop.time() + PROGRESS_PERIOD_S
        await asyncio.sleep(POLL_PERIOD_S)


async def find_verdict(
    stream: ConfigurationStream, publish_id: str
) -> Verdict | RequestFailure | None:
    """Return the verdict on an earlier proposal; ``None`` if the log does not show one."""
    failure = await stream.refresh()
    return failure if failure is not None else stream.verdict(publish_id)


def change_document(change: AcceptedChange) -> dict[str, Any]:
    """Return an accepted change as a JSON document."""
    return {
        "version": change.version,
        "operator": change.operator,
        "at_s": change.at_s,
        "publish_id": change.publish_id,
        "changed_paths": list(change.changed_paths),
    }


def describe_change(change: AcceptedChange) -> str:
    """Return an accepted change as one line."""
    published_at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.at_s))
    paths = ", ".join(change.changed_paths) or "changed paths not recorded"
    return f"version {change.version} by {change.operator} at {published_at} UTC: {paths}"


def exit_with_verdict(stream: ConfigurationStream, verdict: Verdict, as_json: bool) -> None:
    """Print a verdict with the changes that preceded it, and exit with its exit code."""
    preceding = stream.log.conflicting_changes(verdict)
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
        lines.append("merge these changes with `coriandershelf diff`, then publish again")
    print_result(document, as_json, "\n".join(lines))
    sys.exit(0 if verdict.accepted else EXIT_NEGATIVE)


def exit_verdict_unknown(
    publish_id: str, log_address: str, outcome: VerdictUnknown, as_json: bool
) -> None:
    """Print that the verdict is not known and how to query it, and exit."""
    command = f"coriandershelf verdict {publish_id} --log-address {log_address}"
    document = {
        "verdict": "not-known",
        "publish_id": publish_id,
        "may_stand": outcome.appended,
        "ask": command,
    }
    text = f"not known yet: {outcome.detail}; ask with:\n  {command}"
    if not outcome.appended:
        text = f"not published: the log refused every attempt; {text}"
    exit_unknown(document, as_json, text)
