"""What the stand-ins' processes share: commands, records and how late their loops ran."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

TICK_S = 0.02
LATE_S = 0.05
REPORT_PERIOD_S = 1.0


class Records:
    """Lines of JSON in a file that outlive the process."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def write(self, kind: str, **fields: object) -> None:
        """Write a record with the Unix time."""
        line = json.dumps({"kind": kind, "at_s": round(time.time(), 4), **fields})
        os.write(self._descriptor, line.encode() + b"\n")


def read_records(path: Path) -> list[dict[str, Any]]:
    """Return the records of a process; a last line that is incomplete is left out."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]


async def read_commands(on_command: Callable[[dict[str, Any]], None]) -> None:
    """Pass on each command from standard input until it is closed."""
    reader = asyncio.StreamReader(limit=1 << 22)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        on_command(json.loads(line))


async def watch_loop(records: Records) -> None:
    """Record each second for how long the loop was late."""
    late_s, from_s = 0.0, time.monotonic()
    while True:
        before_s = time.monotonic()
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        delay_s = now_s - before_s - TICK_S
        if delay_s > LATE_S:
            late_s += delay_s
        if now_s - from_s >= REPORT_PERIOD_S:
            records.write("loop", late_s=round(late_s, 3), total_s=round(now_s - from_s, 3))
            late_s, from_s = 0.0, now_s
