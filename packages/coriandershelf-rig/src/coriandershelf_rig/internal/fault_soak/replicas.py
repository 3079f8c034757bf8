"""Replicas of the soak: they keep account of every run and misbehave on demand."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from coriandershelf_rig.internal.relay import Relay
from coriandershelf_rig.internal.standin_replica import (
    Received,
    Replica,
    Talk,
    chunk,
    sealed_answer,
    sealed_head,
)

PLAIN_WORK_S = 0.01
EVENT_PAUSE_S = 0.02
EVENTS_COUNT = 12


@dataclass
class Runs:
    """Every run of a request at any replica, by request id, with its times."""

    begun: dict[str, list[float]] = field(default_factory=dict)
    keys_of: dict[str, str] = field(default_factory=dict)

    def note(self, request_id: str) -> None:
        """Note that a replica begins to run a request."""
        self.begun.setdefault(request_id, []).append(time.monotonic())


@dataclass
class SoakReplica:
    """One replica behind a relay; ``mood`` says how it misbehaves at the moment.

    :param born: counts its starts, each under a new id.
    """

    number: int
    service: str
    runs: Runs
    mood: str = ""
    born: int = 1
    replica: Replica | None = None
    way: Relay | None = None
    address: str = ""

    @property
    def name(self) -> str:
        """Return the id of its present start."""
        return f"{self.service}-{self.number}-{self.born}"

    async def start(self, port: int) -> None:
        """Listen behind a relay at a port."""
        self.replica = await Replica(self._answer).start()
        self.way = Relay(self.replica.address)
        self.address = f"127.0.0.1:{port}"
        await self.way.start(self.address)

    async def stop(self) -> None:
        """Stop listening and break off what runs."""
        if self.way is not None:
            await self.way.stop()
        if self.replica is not None:
            await self.replica.stop()

    async def _answer(self, request: Received, talk: Talk) -> None:
        expected = request.headers.get("x-expect-instance")
        if expected != self.name:
            await talk.send(b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        if self.mood == "refuses":
            await talk.send(b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        request_id = request.headers.get("x-request-id", "")
        self.runs.note(request_id)
        if request.target.startswith(("/plan/", "/ask/")):
            await self._stream(request, request_id, talk)
        else:
            await self._plain(request, request_id, talk)

    async def _plain(self, request: Received, request_id: str, talk: Talk) -> None:
        await asyncio.sleep(PLAIN_WORK_S)
        if self.mood == "loses-answers":
            talk.reset()
            return
        if self.mood == "errors":
            await talk.send(sealed_answer(request, b"error", 500))
            return
        answer = sealed_answer(request, f"done {request_id}".encode())
        if self.mood == "garbles":
            answer = answer.replace(b"X-Response-Seal", b"X-Response-Sea1", 1)
        await talk.send(answer)

    async def _stream(self, request: Received, request_id: str, talk: Talk) -> None:
        if self.mood == "errors":
            await talk.send(sealed_answer(request, b"error", 500))
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = sealed_head(request, Content_Type="text/event-stream")
        await talk.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, EVENTS_COUNT + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            if self.mood in ("loses-answers", "garbles") and number > EVENTS_COUNT // 2:
                await talk.send(b"zz\r\n" if self.mood == "garbles" else b"")
                talk.reset()
                return
            event = f"id: {number}\ndata: {request_id} {number}\n\n"
            await talk.send(chunk(event.encode()))
        await talk.send(b"0\r\n\r\n")
