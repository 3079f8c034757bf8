"""Replicas of the soak: they record every execution and misbehave on demand."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from coriandershelf_rig.internal.relay import Relay
from coriandershelf_rig.internal.replica_rules import LimitedPeriod
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
    :param version: number of its software version.
    :param limits: the periods in which it states a request limit; VMs by request id.
    :param arrivals: time, id and incarnation of each request that reached it.
    """

    number: int
    service: str
    executions: Executions
    fault_mode: str = ""
    incarnation: int = 1
    version: int = 1
    limits: list[LimitedPeriod] = field(default_factory=list)
    arrivals: list[tuple[float, str, int]] = field(default_factory=list)
    server: Replica | None = None
    relay: Relay | None = None
    address: str = ""

    @property
    def replica_id(self) -> str:
        """Return the id of the current start."""
        return f"{self.service}-{self.number}-{self.incarnation}"

    @property
    def limit(self) -> LimitedPeriod | None:
        """Return the limit that the current start states at the moment."""
        return self.limits[-1] if self.limits and self.limits[-1].to_s == float("inf") else None

    def state_limit(self, per_s: float) -> None:
        """State a request limit in all responses from now on."""
        self.end_limit()
        self.limits.append(LimitedPeriod(self.replica_id, per_s, time.monotonic()))

    def end_limit(self) -> None:
        """State no request limit any more."""
        if self.limit is not None:
            self.limit.to_s = time.monotonic()

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
        request_id = request.headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request_id, self.incarnation))
        if self.fault_mode == "refuses":
            head = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
            head += "".join(
                f"{name}: {value}\r\n" for name, value in self._stated(request_id).items()
            )
            await connection.send(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        self.executions.record_start(request_id)
        if request.target.startswith(("/plan/", "/ask/")):
            await self._send_stream(request, request_id, connection)
        else:
            await self._send_plain(request, request_id, connection)

    def _stated(self, request_id: str) -> dict[str, str]:
        """Return the headers by which a response states the limit."""
        limit = self.limit
        if limit is None:
            return {}
        limit.informed_at_s.setdefault(request_id, time.monotonic())
        return {"Server-Limit": f"{limit.per_s:g}"}

    async def _send_plain(
        self, request: ReceivedRequest, request_id: str, connection: ReplicaConnection
    ) -> None:
        await asyncio.sleep(PLAIN_SERVICE_TIME_S)
        if self.fault_mode == "loses-answers":
            connection.reset()
            return
        if self.fault_mode == "errors":
            await connection.send(
                receipt_response(request, b"error", 500, **self._stated(request_id))
            )
            return
        answer = receipt_response(
            request, f"done {request_id}".encode(), 200, **self._stated(request_id)
        )
        if self.fault_mode == "garbles":
            answer = answer.replace(b"X-Response-Seal", b"X-Response-Sea1", 1)
        await connection.send(answer)

    async def _send_stream(
        self, request: ReceivedRequest, request_id: str, connection: ReplicaConnection
    ) -> None:
        if self.fault_mode == "errors":
            await connection.send(
                receipt_response(request, b"error", 500, **self._stated(request_id))
            )
            return
        version = self.version
        first = int(request.headers.get("last-event-id", "0")) + 1
        stated = self._stated(request_id)
        head = receipt_head(request, 200, Content_Type="text/event-stream", **stated)
        await connection.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_PERIOD_S)
            if self.fault_mode in ("loses-answers", "garbles") and number > EVENT_COUNT // 2:
                await connection.send(b"zz\r\n" if self.fault_mode == "garbles" else b"")
                connection.reset()
                return
            event = f"id: {number}\ndata: {request_id} {number} v{version}\n\n"
            await connection.send(chunk(event.encode()))
        await connection.send(b"0\r\n\r\n")
