"""Incremental parser of the server-sent events in an engine's stream."""

from __future__ import annotations

from dataclasses import dataclass

END_MARKER = b"[DONE]"
EVENT_LIMIT_BYTES = 1 << 20
# Python converts no number of more than 4,300 digits.
POSITION_MAX_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream.

    :param attempt_id: attempt that generated the event; may be an earlier one of the request.
    :param position: index of the event in the response.
    """

    attempt_id: str
    position: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class BadStream:
    """Why a stream violates the protocol."""

    reason: str


class StreamParser:
    """Splits the bytes of a stream into events, whose lines end with LF, CRLF or CR."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._after_cr = False

    def feed(self, chunk: bytes) -> list[StreamEvent] | BadStream:
        """Return the events completed by ``chunk``."""
        # Only the new bytes are searched, and one before: the cost is linear in the bytes received.
        searched_from = max(0, len(self._buffer) - 1)
        self._buffer += self._end_lines_with_lf(chunk)
        blocks: list[bytes] = []
        if self._buffer.find(b"\n\n", searched_from) >= 0:
            *blocks, rest = bytes(self._buffer).split(b"\n\n")
            self._buffer = bytearray(rest)
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            return BadStream("an event is too large")
        events = []
        for block in blocks:
            event = _parse_event(block)
            if isinstance(event, BadStream):
                return event
            if event is not None:
                events.append(event)
        return events

    def _end_lines_with_lf(self, chunk: bytes) -> bytes:
        """Return the bytes with one end of lines, so that no payload holds another one."""
        if self._after_cr and chunk:
            # The second half of a CRLF ends no further line.
            chunk = chunk.removeprefix(b"\n")
            self._after_cr = False
        if b"\r" not in chunk:
            return chunk
        self._after_cr = chunk.endswith(b"\r")
        return chunk.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _parse_event(block: bytes) -> StreamEvent | BadStream | None:
    """Return the event of a block of lines, or ``None`` if it holds nothing for callers."""
    id_line, separator, payload = block.partition(b"\ndata: ")
    if not separator or not id_line.startswith(b"id: ") or b"\n" in id_line or b"\n" in payload:
        # Comments and other fields may stand before, between and after the two lines.
        values = _field_values(block)
        if not values:
            return None
        if len(values) < 2:
            return BadStream("an event lacks its id or data")
        id_line, payload = b"id: " + values[b"id"], values[b"data"]
    attempt_id, colon, position = id_line[4:].rpartition(b":")
    if not colon or not position.isdigit() or len(position) > POSITION_MAX_DIGITS:
        return BadStream("an event's id is not attempt:position")
    return StreamEvent(attempt_id.decode("utf-8", "replace"), int(position), payload)


def _field_values(block: bytes) -> dict[bytes, bytes]:
    """Return the id and the data of a block; clients pass over all other lines."""
    values: dict[bytes, bytes] = {}
    for line in block.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name in (b"id", b"data"):
            value = value.removeprefix(b" ")
            if name == b"data" and name in values:
                # As it is written to callers, who join the lines.
                value = values[name] + b"\ndata: " + value
            values[name] = value
    return values
