"""Whether an upstream still runs after a plain answer that ended with its connection.

An answer with neither a length nor chunks ends with its connection, and the kernel ends those of a
killed process in order too. So a second connection is opened after the first one and before the
call is sent: both lead to the same process, since no two have one address at a time. If it answers
on that one what was sent after the end, it was not killed before.
"""

from __future__ import annotations

import asyncio
import re

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

# A sound upstream may fall silent for a second.
CHECK_TIMEOUT_S = 1.5
STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})[ \r\n]")
STATUS_LINE_MAX_BYTES = 1024
# Sent by an upstream of its own accord before it closes an idle connection.
UNASKED_STATUS = b"408"
ADDRESSES_MAX_COUNT = 4096


class AnswerEnds:
    """Which upstreams' plain answers have shown their ends themselves so far."""

    def __init__(self) -> None:
        self._show_ends: dict[str, bool] = {}

    def may_be_unshown(self, address: str) -> bool:
        """Return whether an answer may end with its connection, as far as is known."""
        return not self._show_ends.get(address, False)

    def note(self, address: str, is_shown: bool) -> None:
        """Record an answer; an upstream may write some with a length and others without."""
        if len(self._show_ends) >= ADDRESSES_MAX_COUNT:
            self._show_ends.clear()
        self._show_ends[address] = is_shown and self._show_ends.get(address, True)


async def still_runs(stream: IOStream, address: str) -> bool:
    """Return whether the process at the other end of an unused connection answers on it.

    It is asked for its load, as in polls; any answer will do, also one that there is no such path.
    """
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            await stream.write(f"GET /load HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            line = await stream.read_until(b"\n", max_bytes=STATUS_LINE_MAX_BYTES)
    except (TimeoutError, StreamClosedError, UnsatisfiableReadError):
        return False
    match = STATUS_LINE_PATTERN.match(line)
    return match is not None and match[1] != UNASKED_STATUS
