"""Reconstructs the processing of a request from the log lines of entry VMs."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from coriandershelf_operator.internal.causes import REFUSAL_REASONS, RETRY_REASONS

# State changes of the VM up to this long before the end of a request may have caused it.
CONTEXT_WINDOW_S = 5.0
CONTEXT_MAX_COUNT = 20
# Events about the VM's own state, which may affect any of its requests.
VM_EVENTS = frozenset(
    {
        "configuration in force",
        "history dropped",
        "lines dropped",
        "registered",
        "starting",
        "stop asked",
        "stop signal",
        "store lost",
        "store regained",
    }
)

Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """The log lines about a request at one VM, and how the request ended there.

    :param lines: lines of the request itself, in order of time.
    :param context: lines of the same VM about the request's replicas and the VM's own state,
        shortly before the end.
    :param cause: one sentence on how the request ended.
    :param look: where to look next.
    """

    vm: str
    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    cause: str
    look: str


def parse_lines(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Return the JSON objects in log lines, and the number of lines without one.

    Text before the first brace, such as the timestamp and name added by a collector, is skipped.
    """
    lines = []
    skipped_count = 0
    for text in texts:
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            line = None
        if isinstance(line, dict) and "event" in line:
            lines.append(line)
        elif text.strip():
            skipped_count += 1
    return lines, skipped_count


def timelines_of(request_id: str, lines: Iterable[Line]) -> list[RequestTimeline]:
    """Return the timeline at each VM that logged the request, in order of VM names."""
    all_lines = list(lines)
    request_lines: dict[str, list[Line]] = {}
    for line in all_lines:
        if line.get("request_id") == request_id:
            request_lines.setdefault(str(line.get("vm", "?")), []).append(line)
    return [_build_timeline(vm, items, all_lines) for vm, items in sorted(request_lines.items())]


def _build_timeline(vm: str, request_lines: list[Line], all_lines: list[Line]) -> RequestTimeline:
    request_lines.sort(key=_at_s)
    end_s = _at_s(request_lines[-1])
    replicas = {line["replica"] for line in request_lines if "replica" in line}
    context = [
        line
        for line in all_lines
        if str(line.get("vm", "?")) == vm
        and "request_id" not in line
        and end_s - CONTEXT_WINDOW_S <= _at_s(line) <= end_s
        and (line.get("replica") in replicas or line["event"] in VM_EVENTS)
    ]
    context.sort(key=_at_s)
    cause, look = _explain_end(request_lines[-1])
    return RequestTimeline(
        vm, tuple(request_lines), tuple(context[-CONTEXT_MAX_COUNT:]), cause, look
    )


def _explain_end(last: Line) -> tuple[str, str]:
    event, reason = last["event"], str(last.get("reason", ""))
    if event == "refused":
        meaning, look = REFUSAL_REASONS.get(
            reason, (f"unknown reason {reason}", "the release of the VM")
        )
        return f"refused ({reason}): {meaning}", look
    if event == "answered":
        return f"answered with the replica's own status {last.get('status')}", "the replica's logs"
    if event == "stream ended":
        return "served as a whole stream", "'first_ms' against 'expected_ms'"
    if event == "stream broken":
        text = "the stream was aborted after its head was sent, as no other replica could resume it"
        return text, "the replica's lines: unreachable, shut out, gone; the attempts of the route"
    if event == "caller left":
        return (
            "the caller disconnected before its response was complete",
            "its time limit against 'age_ms'",
        )
    return f"no line tells how it ended; the last one is '{event}'", "'lines dropped' of the VM"


def _at_s(line: Line) -> float:
    value = line.get("at_s", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def describe(timeline: RequestTimeline) -> str:
    """Return a timeline as text: the cause, the request's lines and their context."""
    start_s = _at_s(timeline.lines[0]) - float(timeline.lines[0].get("age_ms", 0.0)) / 1e3
    texts = [f"{timeline.vm}: {timeline.cause}"]
    texts += [_describe_line(line, start_s) for line in timeline.lines]
    if timeline.context:
        texts.append("what the VM knew in the seconds before its end:")
        texts += [_describe_line(line, start_s) for line in timeline.context]
    texts.append(f"look next at: {timeline.look}")
    return "\n".join(texts)


def _describe_line(line: Line, start_s: float) -> str:
    omitted = {"vm", "event", "level", "at_s", "unix_s", "request_id"}
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in omitted)
    meaning = RETRY_REASONS.get(str(line.get("reason"))) if line["event"] == "sent again" else None
    note = f"  ({meaning})" if meaning else ""
    return f"{(_at_s(line) - start_s) * 1e3:>10.1f} ms  {line['event']:30} {fields}{note}"
