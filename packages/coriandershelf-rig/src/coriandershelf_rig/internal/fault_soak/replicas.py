"""Replicas of the soak: they record every execution and misbehave on demand."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from coriandershelf_rig.internal.relay import Relay
from coriandershelf_rig.internal.standin_replica import (
    ReceivedRequest,
    Replica,
    ReplicaConnection,
    chunk,
    receipt_head,
    receipt_response,
)

PLAIN_SERVICE_TIME_S = 0.01
EVENT_PERIOD_S = 0.02
EVENT_COUNT = 12


@dataclass
class Executions:
    """Start times of every execution at any replica, by request id."""

    started_at_s: dict[str, list[float]] = field(default_factory=dict)
    keys_of: dict[str, str] = field(default_factory=dict)

    def record_start(self, request_id: str) -> None:
        """Record that a replica starts to execute a request."""
        self.started_at_s.setdefault(request_id, []).append(time.monotonic())


@dataclass
class SoakReplica:
    """One replica behind a relay.

    :param fault_mode: how the replica misbehaves at the moment, empty if it works.
    :param incarnation: number of this start; each start has a new id.
    """

    number: int
    service: str
    executions: Executions
    fault_mode: str = ""
    incarnation: int = 1
    server: Replica | None = None
    relay: Relay | None = None
    address: str = ""

    @property
    def replica_id(self) -> str:
        """Return the id of the current start."""
        return f"{self.service}-{self.number}-{self.incarnation}"

    async def start(self, port: int) -> None:
        """Listen behind a relay on a port."""
        self.server = await Replica(self._handle).start()
        self.relay = Relay(self.server.address)
        self.address = f"127.0.0.1:{port}"
        await self.relay.start(self.address)

    async def stop(self) -> None:
        """Stop listening and abort open requests."""
        if self.relay is not None:
            await self.relay.stop()
        if self.server is not None:
            await self.server.stop()

    async def _handle(self, request: ReceivedRequest, connection: ReplicaConnection) -> None:
        expected = request.headers.get("x-expect-instance")
        if expected != self.replica_id:
            await connection.send(
                b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        if self.fault_mode == "refuses":
            await connection.send(
                b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        request_id = request.headers.get("x-request-id", "")
        self.executions.record_start(request_id)
        if request.target.startswith(("/plan/", "/ask/")):
            await self._send_stream(request, request_id, connection)
        else:
            await self._send_plain(request, request_id, connection)

    async def _send_plain(
        self, request: ReceivedRequest, request_id: str, connection: ReplicaConnection
    ) -> None:
        await asyncio.sleep(PLAIN_SERVICE_TIME_S)
        if self.fault_mode == "loses-answers":
            connection.reset()
            return
        if self.fault_mode == "errors":
            await connection.send(receipt_response(request, b"error", 500))
            return
        answer = receipt_response(request, f"done {request_id}".encode())
        if self.fault_mode == "garbles":
            answer = answer.replace(b"X-Response-Seal", b"X-Response-Sea1", 1)
        await connection.send(answer)

    async def _send_stream(
        self, request: ReceivedRequest, request_id: str, connection: ReplicaConnection
    ) -> None:
        if self.fault_mode == "errors":
            await connection.send(receipt_response(request, b"error", 500))
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = receipt_head(request, Content_Type="text/event-stream")
        await connection.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_PERIOD_S)
            if self.fault_mode in ("loses-answers", "garbles") and number > EVENT_COUNT // 2:
                await connection.send(b"zz\r\n" if self.fault_mode == "garbles" else b"")
                connection.reset()
                return
            event = f"id: {number}\ndata: {request_id} {number}\n\n"
            await connection.send(chunk(event.encode()))
        await connection.send(b"0\r\n\r\n")
