"""Load generators of the soak: they reuse connections and record the responses they get."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import time
from dataclasses import dataclass

import sseclient

from coriandershelf_rig.internal.fault_soak.replicas import EVENT_COUNT, body_parts

HOST = "site.example"
DEADLINE_S = 4.0
THINK_TIME_MAX_S = 0.05
RECONNECT_DELAY_S = 0.1
READ_BYTES = 65_536
REQUEST_KINDS = ("book", "read", "plan", "ask")
RESUMPTIONS_MAX_COUNT = 4
STREAM_KINDS = ("plan", "ask")
# Where common clients split a stream.
EVENT_END_PATTERN = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# Replicas end the data of each event with their software version.
VERSION_PATTERN = re.compile(rb" (v[0-9]+)!?\n\n")
# Their mark tells that the replica stated another id than the event's number.
WRONG_ID_PATTERN = re.compile(rb"id: [0-9]+(\ndata: [^ ]+ ([0-9]+) v[0-9]+)!\n\n")


@dataclass(slots=True)
class RequestRecord:
    """One request as seen by its caller.

    :param status: ``None`` if no response head arrived.
    :param body: of a stream, its events as a common client reads them.
    :param is_complete: whether the response ended as its framing says.
    :param abandoned: whether the caller disconnected on purpose.
    :param resumes_id: id of the request that brought the first event of a stream that it resumes.
    :param last_event_id: the last event of that stream before this request.
    :param resumption: how often the stream was resumed.
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
    resumes_id: str | None = None
    last_event_id: int = 0
    resumption: int = 0

    @property
    def is_correct(self) -> bool:
        """Return whether the body is exactly what a replica sends for this request."""
        return self._comparable_body == self._expected_body

    @property
    def is_short(self) -> bool:
        """Return whether the body is what a replica sends for this request without its end."""
        return not self.is_correct and self._expected_body.startswith(self._comparable_body)

    @property
    def events(self) -> bytes:
        """Return the complete events of the body, without software versions."""
        return _without_versions(self.body[: self.body.rfind(b"\n\n") + 2])

    @property
    def _comparable_body(self) -> bytes:
        return self.body if self.kind in ("book", "read") else _without_versions(self.body)

    @property
    def _expected_body(self) -> bytes:
        if self.kind in ("book", "read"):
            return b"".join(body_parts(self.request_id))
        return expected_events(self.request_id, self.last_event_id)

    @property
    def versions(self) -> list[str]:
        """Return the software version of each event."""
        return [version.decode() for version in VERSION_PATTERN.findall(self.body)]


def _without_versions(body: bytes) -> bytes:
    return VERSION_PATTERN.sub(b"\n\n", WRONG_ID_PATTERN.sub(rb"id: \2\1\n\n", body))


def events_as_read(body: bytes) -> bytes:
    """Return the events that a common client reads of a stream, with lines that end with LF.

    What follows the last complete event is returned as it is.
    """
    ends = [match.end() for match in EVENT_END_PATTERN.finditer(body)]
    end = ends[-1] if ends else 0
    events = sseclient.SSEClient(iter([body[:end]])).events()
    read = "".join(f"id: {event.id}\ndata: {event.data}\n\n" for event in events)
    return read.encode() + body[end:]


def expected_events(request_id: str, last_event_id: int = 0) -> bytes:
    """Return the complete body of a stream after an event, without software versions."""
    numbers = range(last_event_id + 1, EVENT_COUNT + 1)
    return "".join(f"id: {number}\ndata: {request_id} {number}\n\n" for number in numbers).encode()


def vm_of_request(request_id: str) -> int:
    """Return the entry VM that a caller sends a request to."""
    return int(request_id.rpartition("-")[2])


class SoakCaller:
    """Sends requests to one entry VM, one after another on a persistent connection.

    Streams that break off are resumed, at any VM.

    :param ports: the ports of all VMs.
    """

    def __init__(
        self, number: int, vm: int, ports: list[int], seed: int, records: list[RequestRecord]
    ) -> None:
        self._number = number
        self._vm = vm
        self._ports = ports
        self._rng = random.Random(f"{seed}/{number}")
        self._records = records
        self._sent_count = 0
        self.api_keys: list[str] = []

    async def run(self, until_s: float) -> None:
        """Send requests until a monotonic time, reconnecting as needed."""
        while time.monotonic() < until_s:
            try:
                reader, writer = await self._connect(self._vm)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._send_on_connection(reader, writer, until_s)
            writer.close()

    async def send_once(self, kind: str) -> RequestRecord | None:
        """Send one request on a new connection; return ``None`` if connecting fails."""
        try:
            reader, writer = await self._connect(self._vm)
        except OSError:
            return None
        record = self._next_record(kind, self._vm)
        await self._send(record, reader, writer)
        writer.close()
        return record

    async def _connect(self, vm: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._ports[vm])

    async def _resume(self, record: RequestRecord) -> None:
        """Resume a stream that broke off at any VM, as often as allowed."""
        while _may_be_resumed(record):
            await asyncio.sleep(RECONNECT_DELAY_S)
            vm = self._rng.randrange(len(self._ports))
            resumption = self._next_record("plan", vm)
            resumption.resumes_id = record.resumes_id or record.request_id
            resumption.last_event_id = record.last_event_id + len(record.versions)
            resumption.resumption = record.resumption + 1
            record = resumption
            try:
                reader, writer = await self._connect(vm)
            except OSError:
                continue
            self._records.append(record)
            await self._send(record, reader, writer)
            writer.close()

    async def _send_on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until_s: float
    ) -> None:
        while time.monotonic() < until_s:
            record = self._next_record(self._rng.choice(REQUEST_KINDS), self._vm)
            self._records.append(record)
            keeps_open = await self._send(record, reader, writer)
            await self._resume(record)
            await asyncio.sleep(self._rng.uniform(0.0, THINK_TIME_MAX_S))
            if not keeps_open:
                return

    def _next_record(self, kind: str, vm: int) -> RequestRecord:
        self._sent_count += 1
        request_id = f"{kind}-{self._number}-{self._sent_count}-{vm}"
        key = self._rng.choice(self.api_keys)
        return RequestRecord(request_id, kind, vm, key, time.monotonic())

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
        if record.resumes_id is not None:
            head_lines += [
                f"Resumes: {record.resumes_id}", f"Last-Event-Id: {record.last_event_id}",
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
        if record.kind in STREAM_KINDS:
            record.body = events_as_read(record.body)
        record.ended_at_s = time.monotonic()
        return keeps_open


def _may_be_resumed(record: RequestRecord) -> bool:
    holds_events = record.last_event_id + len(record.versions) > 0
    return (
        record.kind == "plan"
        and holds_events
        and not record.is_complete
        and not record.abandoned
        and record.resumption < RESUMPTIONS_MAX_COUNT
    )


async def _read_response(record: RequestRecord, reader: asyncio.StreamReader) -> bool:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    record.status = int(head[0].split(" ")[1])
    if "content-length" in headers:
        record.body = await reader.readexactly(int(headers["content-length"]))
    elif "transfer-encoding" not in headers:
        while data := await reader.read(READ_BYTES):
            record.body += data
    else:
        while True:
            size = int((await reader.readline()).strip(), 16)
            data = await reader.readexactly(size + 2)
            record.body += data[:-2]
            if size == 0:
                break
    record.is_complete = True
    return headers.get("connection") != "close"
