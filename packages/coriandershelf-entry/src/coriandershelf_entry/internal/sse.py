"""Server-sent events of an engine's stream, parsed as they come."""

from __future__ import annotations

from dataclasses import dataclass

END_MARKER = b"[DONE]"
EVENT_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event: who made it, where it stands, what it holds."""

    attempt_id: str
    position: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class BadStream:
    """The stream does not follow the protocol."""

    reason: str


class StreamParser:
    """Splits a stream's bytes into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[StreamEvent] | BadStream:
        """Return the events that ``chunk`` completes."""
        *blocks, self._buffer = (self._buffer + chunk).split(b"\n\n")
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            return BadStream("an event is too large")
        events = []
        for block in blocks:
            event = _parse_event(block)
            if isinstance(event, BadStream):
                return event
            events.append(event)
        return events


def _parse_event(block: bytes) -> StreamEvent | BadStream:
    head, separator, payload = block.partition(b"\ndata: ")
    if not separator or not head.startswith(b"id: "):
        return BadStream("an event lacks its id or data")
    attempt_id, colon, position = head[4:].rpartition(b":")
    if not colon or not position.isdigit():
        return BadStream("an event's id is not attempt:position")
    return StreamEvent(attempt_id.decode("utf-8", "replace"), int(position), payload)
