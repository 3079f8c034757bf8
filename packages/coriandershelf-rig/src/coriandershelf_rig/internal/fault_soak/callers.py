"""Load generators of the soak: they reuse connections and record the responses they get."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from coriandershelf_rig.internal.fault_soak.replicas import EVENT_COUNT

HOST = "site.example"
DEADLINE_S = 4.0
THINK_TIME_MAX_S = 0.05
RECONNECT_DELAY_S = 0.1
REQUEST_KINDS = ("book", "read", "plan", "ask")


@dataclass(slots=True)
class RequestRecord:
    """One request as seen by its caller.

    :param status: ``None`` if no response head arrived.
    :param is_complete: whether the response ended as its framing says.
    :param abandoned: whether the caller disconnected on purpose.
    """

    request_id: str
    kind: str
    vm: int
    key: str
    sent_at_s: float
    ended_at_s: float = 0.0
    status: int | None = None
    body: bytes = b""
    is_complete: bool = False
    abandoned: bool = False

    @property
    def is_correct(self) -> bool:
        """Return whether the body is exactly what a replica sends for this request."""
        if self.kind in ("book", "read"):
            return self.body == f"done {self.request_id}".encode()
        return self.body == expected_events(self.request_id)


def expected_events(request_id: str) -> bytes:
    """Return the complete body of a stream."""
    numbers = range(1, EVENT_COUNT + 1)
    return "".join(f"id: {number}\ndata: {request_id} {number}\n\n" for number in numbers).encode()


def vm_of_request(request_id: str, vm_count: int) -> int:
    """Return the entry VM that a caller sends a request to."""
    return int(request_id.split("-")[1]) % vm_count


class SoakCaller:
    """Sends requests to one entry VM, one after another on a persistent connection."""

    def __init__(
        self, number: int, vm: int, port: int, seed: int, records: list[RequestRecord]
    ) -> None:
        self._number = number
        self._vm = vm
        self._port = port
        self._rng = random.Random(f"{seed}/{number}")
        self._records = records
        self._sent_count = 0
        self.api_keys: list[str] = []

    async def run(self, until_s: float) -> None:
        """Send requests until a monotonic time, reconnecting as needed."""
        while time.monotonic() < until_s:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._send_on_connection(reader, writer, until_s)
            writer.close()

    async def send_once(self, kind: str) -> RequestRecord | None:
        """Send one request on a new connection; return ``None`` if connecting fails."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return None
        record = self._next_record(kind)
        await self._send(record, reader, writer)
        writer.close()
        return record

    async def _send_on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until_s: float
    ) -> None:
        while time.monotonic() < until_s:
            record = self._next_record(self._rng.choice(REQUEST_KINDS))
            self._records.append(record)
            keeps_open = await self._send(record, reader, writer)
            await asyncio.sleep(self._rng.uniform(0.0, THINK_TIME_MAX_S))
            if not keeps_open:
                return

    def _next_record(self, kind: str) -> RequestRecord:
        self._sent_count += 1
        request_id = f"{kind}-{self._number}-{self._sent_count}"
        key = self._rng.choice(self.api_keys)
        return RequestRecord(request_id, kind, self._vm, key, time.monotonic())

    async def _send(
        self, record: RequestRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        disconnect_after_s = DEADLINE_S + 3.0
        if self._rng.random() < 0.03:
            disconnect_after_s = self._rng.uniform(0.0, 0.2)
        method = "GET" if record.kind == "read" else "POST"
        head_lines = [
            f"{method} /{record.kind}/{record.request_id} HTTP/1.1", f"Host: {HOST}",
            f"X-Request-Id: {record.request_id}", f"X-Api-Key: {record.key}",
            f"X-Deadline-Ms: {DEADLINE_S * 1e3:.0f}", "Content-Length: 0",
        ]  # fmt: skip
        keeps_open = False
        try:
            writer.write(("\r\n".join(head_lines) + "\r\n\r\n").encode())
            async with asyncio.timeout(disconnect_after_s):
                keeps_open = await _read_response(record, reader)
        except TimeoutError:
            record.abandoned = disconnect_after_s < DEADLINE_S
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        record.ended_at_s = time.monotonic()
        return keeps_open


async def _read_response(record: RequestRecord, reader: asyncio.StreamReader) -> bool:
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
    record.is_complete = True
    return headers.get("connection") != "close"
