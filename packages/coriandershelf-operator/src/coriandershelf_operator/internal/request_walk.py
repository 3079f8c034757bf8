"""One request's way, told from the log lines of entry VMs."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from coriandershelf_operator.internal.causes import REFUSED, SENT_AGAIN

# What a VM learnt this long before a request ended may have decided it.
CONTEXT_S = 5.0
CONTEXT_MAX_COUNT = 20
# Events of the VM's own state that bear on any of its requests.
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
class Walk:
    """What the logs tell of a request at one VM.

    :param lines: its own lines, in order of time.
    :param context: lines of the same VM on its replicas and the VM's state shortly before the end.
    :param cause: one sentence on how it ended; ``look`` is where to look next.
    """

    vm: str
    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    cause: str
    look: str


def parse_lines(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Return the JSON objects of log lines, and how many lines held none.

    What stands before the first brace, such as a collector's own time and name, is passed over.
    """
    lines = []
    others_count = 0
    for text in texts:
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            line = None
        if isinstance(line, dict) and "event" in line:
            lines.append(line)
        elif text.strip():
            others_count += 1
    return lines, others_count


def walks_of(request_id: str, lines: Iterable[Line]) -> list[Walk]:
    """Return a request's way at each VM that logged it, in order of the VMs' names."""
    known = list(lines)
    own: dict[str, list[Line]] = {}
    for line in known:
        if line.get("request_id") == request_id:
            own.setdefault(str(line.get("vm", "?")), []).append(line)
    return [_walk(vm, items, known) for vm, items in sorted(own.items())]


def _walk(vm: str, own: list[Line], known: list[Line]) -> Walk:
    own.sort(key=_at_s)
    end_s = _at_s(own[-1])
    replicas = {line["replica"] for line in own if "replica" in line}
    context = [
        line
        for line in known
        if str(line.get("vm", "?")) == vm
        and "request_id" not in line
        and end_s - CONTEXT_S <= _at_s(line) <= end_s
        and (line.get("replica") in replicas or line["event"] in VM_EVENTS)
    ]
    context.sort(key=_at_s)
    cause, look = _cause(own[-1])
    return Walk(vm, tuple(own), tuple(context[-CONTEXT_MAX_COUNT:]), cause, look)


def _cause(last: Line) -> tuple[str, str]:
    event, reason = last["event"], str(last.get("reason", ""))
    if event == "refused":
        meaning, look = REFUSED.get(reason, (f"reason {reason} is not known here", "its release"))
        return f"refused ({reason}): {meaning}", look
    if event == "answered":
        return f"answered with the replica's own status {last.get('status')}", "the replica's logs"
    if event == "stream ended":
        return "served as a whole stream", "'first_ms' against 'expected_ms'"
    if event == "stream broken":
        text = "the stream was cut after its head was sent, since it could not go on elsewhere"
        return text, "the replica's lines: unreachable, shut out, gone; the attempts of the route"
    if event == "caller left":
        return "the caller left before its answer was whole", "its time limit against 'age_ms'"
    return f"no line tells how it ended; the last one is '{event}'", "'lines dropped' of the VM"


def _at_s(line: Line) -> float:
    value = line.get("at_s", 0.0)
    return float(value) if isinstance(value, int | float) else 0.0


def describe(walk: Walk) -> str:
    """Return a walk as text: its lines, what the VM knew, and the cause."""
    start_s = _at_s(walk.lines[0]) - float(walk.lines[0].get("age_ms", 0.0)) / 1e3
    texts = [f"{walk.vm}: {walk.cause}"]
    texts += [_describe_line(line, start_s) for line in walk.lines]
    if walk.context:
        texts.append("what the VM knew in the seconds before its end:")
        texts += [_describe_line(line, start_s) for line in walk.context]
    texts.append(f"look next at: {walk.look}")
    return "\n".join(texts)


def _describe_line(line: Line, start_s: float) -> str:
    left_out = {"vm", "event", "level", "at_s", "unix_s", "request_id"}
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in left_out)
    meaning = SENT_AGAIN.get(str(line.get("reason"))) if line["event"] == "sent again" else None
    note = f"  ({meaning})" if meaning else ""
    return f"{(_at_s(line) - start_s) * 1e3:>10.1f} ms  {line['event']:30} {fields}{note}"
