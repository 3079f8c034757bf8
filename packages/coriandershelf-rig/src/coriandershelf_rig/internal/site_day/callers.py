"""The callers of a zone as a process: they send requests at its rate and take streams up."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coriandershelf_rig.internal.fault_soak.callers import events_as_read
from coriandershelf_rig.internal.site_day.child import Records, read_commands, watch_loop

HOST = "site.example"
CONNECT_LIMIT_S = 1.0
READY_PERIOD_S = 1.0
MISSES_COUNT = 2
STREAM_PATIENCE_MIN_S = 2.0
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
TRY_DELAY_S = 0.05
READ_BYTES = 65_536
PARTS_COUNT = 40
WAVE_SWING = 0.3
WAVE_PERIOD_S = 40.0


@dataclass
class Try:
    """One try of a request.

    :param is_complete: whether the response ended as its framing says.
    :param left: whether the caller gave up on it.
    :param is_framed: whether the response has chunks or a length.
    """

    request_id: str
    vm: str
    sent_at_s: float
    status: int | None = None
    body: bytes = b""
    is_complete: bool = False
    left: bool = False
    retry_after_s: float = 0.0
    is_sent: bool = False
    resumes_id: str | None = None
    last_event_id: int = 0
    fault: str = ""
    is_framed: bool = False


@dataclass
class Request:
    """A request over all of its tries.

    :param events: number, software version and run of each event that was read.
    :param first_id: id of the try that brought the first event.
    """

    number: int
    kind: dict[str, Any]
    key: str
    tenant: str
    home: str
    until_s: float
    head_lines: list[str]
    body: bytes
    events_count: int = 0
    events: list[tuple[int, str, str]] = field(default_factory=list)
    first_id: str | None = None
    tries: list[Try] = field(default_factory=list)
    is_complete: bool = False


class ZoneCallers:
    """Sends the requests of a zone."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self._spec = spec
        self._rng = random.Random(f"{spec['seed']}/{spec['zone']}")
        self._records = Records(Path(spec["records"]))
        self._vms: dict[str, dict[str, str]] = spec["vms"]
        self._misses: dict[str, int] = {}
        self._keys: dict[str, list[str]] = spec["keys"]
        self._weights: dict[str, float] = spec["mix"]
        self._factors: dict[str, dict[str, Any]] = {}
        self._connections: dict[tuple[int, str], list[Any]] = {}
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until the day ends and all responses have come, or been given up."""
        helpers = [
            asyncio.create_task(work)
            for work in (
                watch_loop(self._records), read_commands(self._on_command), self._probe_forever(),
            )
        ]  # fmt: skip
        start_s = self._spec["start_at_s"]
        await asyncio.sleep(max(0.0, start_s - time.time()))
        until_s = start_s + self._spec["length_s"]
        at_s = time.time()
        while at_s < until_s:
            name = self._draw_kind()
            at_s += self._rng.expovariate(max(0.1, self._rate(at_s - start_s)))
            await asyncio.sleep(max(0.0, at_s - time.time()))
            task = asyncio.create_task(self._serve(self._make_request(name)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=20.0)
        self._records.write("done", unfinished=len(self._tasks))
        for helper in helpers:
            helper.cancel()

    def _on_command(self, command: dict[str, Any]) -> None:
        match command["do"]:
            case "fault":
                self._factors[command["name"]] = command
            case "mend":
                self._factors.pop(command["name"], None)
            case "vms":
                self._vms = command["vms"]
            case "keys":
                self._keys = command["keys"]

    def _in_force(self, name: str) -> dict[str, Any] | None:
        for fault in self._factors.values():
            if fault["kind"] == name and self._rng.random() < fault.get("share", 1.0):
                return fault
        return None

    def _rate(self, elapsed_s: float) -> float:
        wave = math.sin(2 * math.pi * elapsed_s / WAVE_PERIOD_S)
        factor = 1.0
        total = sum(self._weights.values())
        for fault in self._factors.values():
            if fault["kind"] == "burst":
                share = self._weights.get(fault["request_kind"], total) / total
                factor += (fault["x"] - 1.0) * share
        return float(self._spec["rate_per_s"]) * (1.0 + WAVE_SWING * wave) * factor

    def _draw_kind(self) -> str:
        weights = dict(self._weights)
        for fault in self._factors.values():
            if fault["kind"] == "burst" and fault["request_kind"] in weights:
                weights[fault["request_kind"]] *= fault["x"]
        (name,) = self._rng.choices(list(weights), list(weights.values()))
        return name

    def _draw_size(self, sizes: dict[str, float], least: float = 0.0) -> int:
        if not sizes["spread"]:
            return int(max(least, sizes["mean"]))
        spread = sizes["spread"]
        drawn = sizes["mean"] * math.exp(self._rng.gauss(-spread * spread / 2.0, spread))
        return int(max(least, min(drawn, sizes["maximum"])))

    def _make_request(self, name: str) -> Request:
        self._count += 1
        kind = self._spec["kinds"][name]
        hot = self._in_force("hot_tenant")
        names = [tenant for tenant, keys in self._keys.items() if keys]
        weights = [hot["x"] if hot and index == 0 else 1.0 for index in range(len(names))]
        (tenant,) = self._rng.choices(names, weights)
        key = self._rng.choice(self._keys[tenant])
        client = self._rng.randrange(self._spec["clients_count"])
        head_lines = [f"Host: {HOST}", f"X-Api-Key: {key}"]
        events_count = 0
        if kind["events"] is not None:
            events_count = self._draw_size(kind["events"], 1.0)
            tokens = self._draw_size(kind["prompt_tokens"], 16.0)
            shared = min(tokens - 8, 512)
            hot = self._in_force("hot_key")
            is_hot = hot is not None and hot["request_kind"] in (None, name)
            part = 0 if is_hot else self._rng.randrange(1, PARTS_COUNT)
            own = part if is_hot else self._rng.getrandbits(32)
            head_lines += [
                "X-Model: m",
                f"X-Token-Usage: {tokens},{events_count * kind['stride_tokens']}",
                f"X-Prefix-Hash: {part:08x}:{max(1, shared)},{own:08x}:"
                f"{max(1, tokens - shared)}",
            ]
        body = b"x" * self._draw_size(kind["request_bytes"]) if kind["method"] == "POST" else b""
        return Request(
            self._count,
            kind,
            key,
            tenant,
            str(client),
            time.time() + kind["deadline_s"],
            head_lines,
            body,
            events_count,
        )

    async def _serve(self, request: Request) -> None:
        kind = request.kind
        tries_count = 1 + kind["retries"]
        abuse = self._in_force("retry_abuse")
        if abuse is not None:
            tries_count += int(abuse["x"])
        left = self._in_force("give_up")
        patience_s = None
        if left is not None:
            patience_s = (left["x"] or kind["target_ms"] / 2.0) / 1e3
        for number in range(tries_count):
            left_s = request.until_s - time.time()
            if left_s <= 0.05:
                break
            attempt = self._make_try(request, number)
            request.tries.append(attempt)
            if patience_s is not None:
                left_s = min(left_s, patience_s)
            await self._send(request, attempt, left_s, number > 0)
            self._add_events(request, attempt)
            if attempt.is_complete and attempt.status == 200:
                request.is_complete = True
                break
            if not _may_try_again(request, attempt) or patience_s is not None:
                break
            wait_s = 0.0 if abuse else TRY_DELAY_S
            if attempt.retry_after_s and not abuse:
                wait_s = min(attempt.retry_after_s, (request.until_s - time.time()) / 3.0)
            await asyncio.sleep(max(0.0, wait_s))
        self._record(request)

    def _make_try(self, request: Request, number: int) -> Try:
        request_id = f"{self._spec['zone'][:2]}{request.number:x}t{number}"
        attempt = Try(request_id, self._pick_vm(request, number), time.time())
        if request.events:
            attempt.resumes_id = request.first_id
            attempt.last_event_id = request.events[-1][0]
        return attempt

    def _pick_vm(self, request: Request, number: int) -> str:
        zone = self._spec["zone"]
        own = [name for name, vm in self._vms.items() if vm["zone"] == zone]
        ready = [name for name in own if self._misses.get(name, 0) < MISSES_COUNT]
        chosen = ready if 2 * len(ready) >= len(own) and ready else own
        if own and not ready:
            others = [name for name in self._vms if self._misses.get(name, 0) < MISSES_COUNT]
            chosen = others or own
        tried = {attempt.vm for attempt in request.tries}
        fresh = [name for name in chosen if name not in tried] or chosen
        if number == 0:
            return fresh[hash_of(request.home) % len(fresh)]
        return self._rng.choice(fresh)

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(name) for name in list(self._vms)))
            await asyncio.sleep(READY_PERIOD_S)

    async def _probe(self, name: str) -> None:
        is_ready = False
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(READY_PERIOD_S):
                host, _, port = self._vms[name]["ready"].rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                is_ready = (await reader.readline()).split(b" ")[1:2] == [b"200"]
                writer.close()
        self._misses[name] = 0 if is_ready else self._misses.get(name, 0) + 1

    async def _send(
        self, request: Request, attempt: Try, limit_s: float, on_new_connection: bool
    ) -> None:
        kept = self._connections.setdefault((int(request.home), attempt.vm), [])
        connection = None
        while kept and not on_new_connection and connection is None:
            reader, writer = kept.pop()
            if not reader.at_eof() and not writer.is_closing():
                connection = reader, writer
        keeps_open = False
        try:
            async with asyncio.timeout(limit_s):
                if connection is None:
                    async with asyncio.timeout(CONNECT_LIMIT_S):
                        address = self._vms[attempt.vm]["front"]
                        host, _, port = address.rpartition(":")
                        connection = await asyncio.open_connection(host, int(port))
                reader, writer = connection
                writer.write(_head_of(request, attempt) + request.body)
                attempt.is_sent = True
                keeps_open = await self._read(request, attempt, reader)
        except TimeoutError:
            attempt.left, attempt.fault = attempt.is_sent, "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            attempt.fault = type(error).__name__
        if connection is not None:
            if keeps_open:
                kept.append(connection)
            else:
                connection[1].close()

    async def _read(self, request: Request, attempt: Try, reader: asyncio.StreamReader) -> bool:
        patience_s = request.kind["deadline_s"]
        if request.kind["events"] is not None:
            patience_s = max(
                STREAM_PATIENCE_MIN_S,
                4 * request.kind["target_ms"] / 1e3,
                8 * request.kind["gap_target_ms"] / 1e3,
            )
        async with asyncio.timeout(patience_s):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
        attempt.status = int(head[0].split(" ")[1])
        with contextlib.suppress(ValueError):
            attempt.retry_after_s = float(headers.get("retry-after", 0.0))
        attempt.is_framed = "transfer-encoding" in headers or "content-length" in headers
        pieces: list[bytes] = []
        try:
            if "transfer-encoding" in headers:
                while True:
                    async with asyncio.timeout(patience_s):
                        size = int((await reader.readline()).split(b";")[0], 16)
                        pieces.append((await reader.readexactly(size + 2))[:-2])
                    if size == 0:
                        break
            elif "content-length" in headers:
                rest = int(headers["content-length"])
                while rest:
                    async with asyncio.timeout(patience_s):
                        data = await reader.read(min(rest, READ_BYTES))
                    if not data:
                        raise asyncio.IncompleteReadError(b"", rest)
                    rest -= len(data)
                    pieces.append(data)
            else:
                while True:
                    async with asyncio.timeout(patience_s):
                        data = await reader.read(READ_BYTES)
                    if not data:
                        break
                    pieces.append(data)
            attempt.is_complete = True
        finally:
            attempt.body = b"".join(pieces)
        return headers.get("connection") != "close"

    def _add_events(self, request: Request, attempt: Try) -> None:
        if request.kind["events"] is None or attempt.status != 200:
            return
        read = events_as_read(attempt.body)
        events, _, rest = read.rpartition(b"\n\n")
        if rest and not attempt.is_framed:
            # Where no framing shows the end, a stream that ends inside an event is broken off.
            attempt.is_complete = False
        for block in events.split(b"\n\n") if events else []:
            words = block.decode(errors="replace").partition("data: ")[2].split(" ")
            if len(words) != 4 or words[0] != attempt.request_id or not words[1].isdigit():
                attempt.fault = f"foreign event {block[:120]!r}"
                request.events.append((-1, "?", "?"))
                continue
            if request.first_id is None:
                request.first_id = attempt.request_id
            request.events.append((int(words[1]), words[2], words[3]))

    def _record(self, request: Request) -> None:
        tries = [
            {
                "id": item.request_id, "vm": item.vm, "sent_at_s": round(item.sent_at_s, 3),
                "status": item.status, "is_complete": item.is_complete, "left": item.left,
                "resumes": item.resumes_id, "last": item.last_event_id, "fault": item.fault,
                "body": (
                    item.body[:160].decode("latin1")
                    if request.kind["events"] is None and item.status == 200
                    else ""
                ),
                "size": len(item.body),
            }
            for item in request.tries
        ]  # fmt: skip
        self._records.write(
            "request",
            name=request.kind["name"],
            events_count=request.events_count,
            events=_compressed(request.events),
            is_complete=request.is_complete,
            tries=tries,
        )


def hash_of(text: str) -> int:
    """Return a number that depends on the text alone."""
    return random.Random(text).getrandbits(30)


def _compressed(events: list[tuple[int, str, str]]) -> list[list[object]]:
    """Return the events as rows of first and last number, version and run."""
    rows: list[list[Any]] = []
    for number, version, run in events:
        if rows and rows[-1][1] + 1 == number and rows[-1][2:] == [version, run]:
            rows[-1][1] = number
        else:
            rows.append([number, number, version, run])
    return rows


def _head_of(request: Request, attempt: Try) -> bytes:
    left_ms = (request.until_s - time.time()) * 1e3
    path = f"/{request.kind['name']}/{attempt.request_id}"
    lines = [f"{request.kind['method']} {path} HTTP/1.1", *request.head_lines]
    lines += [f"X-Request-Id: {attempt.request_id}", f"X-Deadline-Ms: {max(1.0, left_ms):.0f}"]
    if request.body or request.kind["method"] == "POST":
        lines.append(f"Content-Length: {len(request.body)}")
    if attempt.resumes_id is not None:
        lines += [f"Resumes: {attempt.resumes_id}", f"Last-Event-Id: {attempt.last_event_id}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


def _may_try_again(request: Request, attempt: Try) -> bool:
    if attempt.status in FINAL or (attempt.status == 200 and attempt.is_complete):
        return False
    if request.kind["kind"] == "idempotent" or request.kind["resumable"]:
        return True
    return not attempt.is_sent or attempt.status in PROMISES


async def _main(path: str) -> None:
    await ZoneCallers(json.loads(Path(path).read_text())).run()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
