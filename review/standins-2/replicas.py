"""Stand-ins of replicas: they serve requests, register in the store and state their start.

They follow the users' pages on replicas and on the registry: ``X-Expect-Instance``, the seal, the
health path, reports with ``born``, heartbeats, and streams that go on after ``Last-Event-Id``.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from http1 import Connection, Request, Server
from store import Store

REGISTRY_TOPIC = "keyed.servers"
HEALTH_PATH = "/health"
HEARTBEAT_S = 1.2
# A registration is removed after three heartbeats of silence.
SILENCE_S = 3 * HEARTBEAT_S
# Time to the first event of a stream: without prefill, and for each token that is not cached.
FIRST_EVENT_S = 0.065
PREFILL_TOKEN_S = 1e-5


class Replica:
    """One replica.

    :param on_run: called with the replica and each request that it runs.
    :param event_period_s: time between two events of a stream; 0 answers with a plain body.
    :param answer_s: time that a plain request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        on_run: Callable[[Replica, Request], None],
        zone: str = "a",
        version: str = "v1",
        slots: int = 64,
        event_period_s: float = 0.0,
        events_count: int = 0,
        answer_s: float = 0.01,
    ) -> None:
        self.name, self.service, self.zone, self.version = name, service, zone, version
        self.slots, self.events_count = slots, events_count
        self.event_period_s, self.answer_s = event_period_s, answer_s
        self.reaches_store = True
        self.is_registered = False
        self.is_draining = False
        self.running_count = 0
        self._store = store
        self._on_run = on_run
        self._server = Server(self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self._born_ms = 0
        self._seq = 0
        self._beat_at_s = 0.0
        self._cached: set[str] = set()

    async def start(self, first_beat_after_s: float = 0.0) -> None:
        """Serve and register."""
        self._born_ms = int(time.time() * 1e3)
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._beat(first_beat_after_s)),
            asyncio.create_task(self._watch_silence()),
        ]

    def stop(self) -> None:
        """End at once, as a crash does."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()

    def drain(self) -> None:
        """Report that the replica is about to leave; it goes on serving."""
        self.is_draining = True
        self.write_entry()

    def leave(self) -> None:
        """End, and remove the registration."""
        self.stop()
        self.is_registered = False
        self._store.put(REGISTRY_TOPIC, self.name, None)

    def write_entry(self) -> None:
        """Write the registration, which says that the replica lives."""
        self._seq += 1
        self._beat_at_s = time.monotonic()
        self.is_registered = True
        entry = {
            "service": self.service, "address": self._server.address, "zone": self.zone,
            "version": self.version, "slots": self.slots,
            "state": "draining" if self.is_draining else "ready", "cold_left_ms": 0,
            "seq": self._seq, "born": self._born_ms,
        }  # fmt: skip
        self._store.put(REGISTRY_TOPIC, self.name, entry)

    async def _beat(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while True:
            if self.reaches_store and self._store.is_reachable:
                self.write_entry()
                await asyncio.sleep(HEARTBEAT_S)
            else:
                # A call that hangs behind a cut arrives as the cut ends.
                await asyncio.sleep(0.01)

    async def _watch_silence(self) -> None:
        """Remove the registration as the store does once the replica has been silent."""
        while True:
            await asyncio.sleep(0.02)
            if not self._store.is_reachable:
                continue
            if self.is_registered and time.monotonic() - self._beat_at_s >= SILENCE_S:
                self.is_registered = False
                self._store.put(REGISTRY_TOPIC, self.name, None)

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await connection.send(421, {"X-Not-Executed": "1"})
            return
        echoed = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.path == HEALTH_PATH:
            await connection.send(200, echoed | {"X-Instance-Id": self.name} | self._load())
            return
        if request.path == "/report":
            report = {
                "stage": "both", "models": [], "busy": False, "seq": 0, "queued": 0,
                "active": self.running_count, "kv_used": 0, "kv_total": 1_000_000, "handles": 0,
                "born": self._born_ms,
            }  # fmt: skip
            await connection.send(200, echoed, json.dumps(report).encode())
            return
        self._on_run(self, request)
        self.running_count += 1
        head = echoed | {"X-Response-Seal": f"{self.name}.{request.headers.get('x-request-id')}"}
        try:
            if self.events_count:
                await self._send_stream(request, connection, head)
            else:
                await asyncio.sleep(self.answer_s)
                await connection.send(200, head | self._load(), self.name.encode())
        finally:
            self.running_count -= 1

    async def _send_stream(
        self, request: Request, connection: Connection, head: dict[str, str]
    ) -> None:
        head = head | {"Content-Type": "text/event-stream"} | self._load()
        await asyncio.sleep(FIRST_EVENT_S + PREFILL_TOKEN_S * self._prefill_tokens(request))
        await connection.begin_chunks(200, head)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events_count + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n"
            await connection.send_chunk(event.encode())
            await asyncio.sleep(self.event_period_s)
        await connection.send_chunk(b"")

    def _prefill_tokens(self, request: Request) -> int:
        """Return the prompt tokens that are not cached; they are from now on."""
        tokens = 0
        for item in request.headers.get("x-prefix-hash", "").split(","):
            part, _, count = item.partition(":")
            if count and part not in self._cached:
                self._cached.add(part)
                tokens += int(count)
        return tokens

    def _load(self) -> dict[str, str]:
        return {"X-Server-Load": f"{self.running_count},0,{self.slots},100"}
