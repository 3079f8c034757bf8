"""Callers of the soak: they keep connections open and write down what they were told."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from coriandershelf_rig.internal.fault_soak.replicas import EVENTS_COUNT

HOST = "site.example"
LIMIT_S = 4.0
PAUSE_S = 0.05
CONNECT_PAUSE_S = 0.1
KINDS = ("book", "read", "plan", "ask")


@dataclass(slots=True)
class Record:
    """One request as its caller saw it.

    :param status: ``None`` where no head came.
    :param whole: whether the answer ended as its framing says.
    :param abandoned: whether the caller left on purpose.
    """

    request_id: str
    kind: str
    vm: int
    key: str
    sent_at_s: float
    ended_at_s: float = 0.0
    status: int | None = None
    body: bytes = b""
    whole: bool = False
    abandoned: bool = False

    @property
    def is_right(self) -> bool:
        """Return whether a successful answer holds just what its replica made."""
        if self.kind in ("book", "read"):
            return self.body == f"done {self.request_id}".encode()
        return self.body == expected_events(self.request_id)


def expected_events(request_id: str) -> bytes:
    """Return all events of a stream."""
    numbers = range(1, EVENTS_COUNT + 1)
    return "".join(f"id: {n}\ndata: {request_id} {n}\n\n" for n in numbers).encode()


class SoakCaller:
    """Sends requests to one entry VM, one after the other on a kept connection."""

    def __init__(self, number: int, vm: int, port: int, seed: int, records: list[Record]) -> None:
        self._number = number
        self._vm = vm
        self._port = port
        self._rng = random.Random(f"{seed}/{number}")
        self._records = records
        self._sent_count = 0
        self.keys: list[str] = []

    async def run(self, until_s: float) -> None:
        """Send until a monotonic time."""
        while time.monotonic() < until_s:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                await asyncio.sleep(CONNECT_PAUSE_S)
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._converse(reader, writer, until_s)
            writer.close()

    async def ask_once(self, kind: str) -> Record | None:
        """Send one request on a connection of its own; ``None`` if there is none to be had."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return None
        record = self._next_record(kind)
        await self._exchange(record, reader, writer)
        writer.close()
        return record

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until_s: float
    ) -> None:
        while time.monotonic() < until_s:
            record = self._next_record(self._rng.choice(KINDS))
            self._records.append(record)
            keeps_open = await self._exchange(record, reader, writer)
            await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))
            if not keeps_open:
                return

    def _next_record(self, kind: str) -> Record:
        self._sent_count += 1
        request_id = f"{kind}-{self._number}-{self._sent_count}"
        key = self._rng.choice(self.keys)
        return Record(request_id, kind, self._vm, key, time.monotonic())

    async def _exchange(
        self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        leaves_after_s = LIMIT_S + 3.0
        if self._rng.random() < 0.03:
            leaves_after_s = self._rng.uniform(0.0, 0.2)
        method = "GET" if record.kind == "read" else "POST"
        lines = [
            f"{method} /{record.kind}/{record.request_id} HTTP/1.1", f"Host: {HOST}",
            f"X-Request-Id: {record.request_id}", f"X-Api-Key: {record.key}",
            f"X-Deadline-Ms: {LIMIT_S * 1e3:.0f}", "Content-Length: 0",
        ]  # fmt: skip
        keeps_open = False
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            async with asyncio.timeout(leaves_after_s):
                keeps_open = await _read_answer(record, reader)
        except TimeoutError:
            record.abandoned = leaves_after_s < LIMIT_S
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        record.ended_at_s = time.monotonic()
        return keeps_open


async def _read_answer(record: Record, reader: asyncio.StreamReader) -> bool:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    record.status = int(head[0].split(" ")[1])
    if "content-length" in headers:
        record.body = await reader.readexactly(int(headers["content-length"]))
    else:
        while True:
            size = int((await reader.readline()).strip(), 16)
            data = await reader.readexactly(size + 2)
            record.body += data[:-2]
            if size == 0:
                break
    record.whole = True
    return headers.get("connection") != "close"
