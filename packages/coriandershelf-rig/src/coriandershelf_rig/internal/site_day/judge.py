"""Judges a day from what callers and replicas recorded."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from coriandershelf_rig.internal.replica_rules import MIXED_MAX_COUNT
from coriandershelf_rig.internal.site_day.site_file import RequestKind

PROMISES = (408, 421, 429, 503)


@dataclass
class Break:
    """A request on which a rule is broken.

    :param request: what its caller recorded.
    """

    rule: str
    text: str
    request: dict[str, Any]

    @property
    def try_ids(self) -> list[str]:
        """Return the ids of the request's tries."""
        return [item["id"] for item in self.request["tries"]]


@dataclass
class DayVerdict:
    """What was found.

    :param broken: the rules that are broken.
    """

    breaks: list[Break] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def broken(self) -> list[str]:
        """Return the rules that are broken: mixed streams count from the third on."""
        found = Counter(item.rule for item in self.breaks)
        if found["ORDER versions"] <= MIXED_MAX_COUNT:
            del found["ORDER versions"]
        return sorted(found)


def judge_day(
    requests: Iterable[dict[str, Any]],
    runs: Iterable[dict[str, Any]],
    kinds: dict[str, RequestKind],
) -> DayVerdict:
    """Judge what callers read against what replicas ran."""
    verdict = DayVerdict()
    runs_of: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in runs:
        runs_of[run["request"]].append(run)
    for request in requests:
        kind = kinds[request["name"]]
        outcome = "complete" if request["is_complete"] else "not complete"
        verdict.counts[f"{request['name']} {outcome}"] += 1
        if kind.events is not None:
            if request["events"]:
                verdict.counts["streams"] += 1
            verdict.counts["streams taken up"] += sum(
                1 for item in request["tries"] if item["resumes"]
            )
            if len({row[3] for row in request["events"]}) > 1:
                verdict.counts["streams of several runs"] += 1
            found = _stream_breaks(request, kind)
        else:
            found = _plain_breaks(request)
        found += _run_breaks(request, kind, runs_of)
        verdict.breaks += [Break(rule, text, request) for rule, text in found]
        for rule in {rule for rule, _ in found}:
            verdict.counts[f"with {rule} broken"] += 1
    return verdict


def _stream_breaks(request: dict[str, Any], kind: RequestKind) -> list[tuple[str, str]]:
    found = []
    next_number = 1
    runs, versions = set(), []
    for first, last, version, run in request["events"]:
        if first == -1:
            found.append(("ORDER", "holds an event of another request"))
            continue
        if first != next_number:
            found.append(("ORDER", f"event {first} came where {next_number} was due"))
        next_number = last + 1
        runs.add(run)
        if version not in versions:
            versions.append(version)
    if len(runs) > 1 and not kind.resumable:
        found.append(("ORDER", f"joins {len(runs)} runs, and may not be resumed"))
    if len(versions) > 1:
        found.append(("ORDER versions", f"joins the versions {', '.join(versions)}"))
    if request["is_complete"] and next_number <= request["events_count"]:
        found.append(
            ("ORDER", f"ended as complete after {next_number - 1} of {request['events_count']}")
        )
    return found


def _plain_breaks(request: dict[str, Any]) -> list[tuple[str, str]]:
    found = []
    for item in request["tries"]:
        if item["status"] != 200 or not item["is_complete"]:
            continue
        if not item["body"].startswith(f"{item['id']} 0 "):
            found.append(("MIXED", f"{item['id']} got another body: {item['body'][:60]!r}"))
    return found


def _run_breaks(
    request: dict[str, Any], kind: RequestKind, runs_of: dict[str, list[dict[str, Any]]]
) -> list[tuple[str, str]]:
    found = []
    for item in request["tries"]:
        runs = runs_of.get(item["id"], [])
        if kind.kind != "idempotent" and not kind.resumable and len(runs) > 1:
            found.append(("ONCE", f"{item['id']} ran {len(runs)} times"))
        if item["status"] in PROMISES and runs and kind.kind != "idempotent":
            found.append(("REFUSED", f"{item['id']} got {item['status']} and ran"))
    return found
