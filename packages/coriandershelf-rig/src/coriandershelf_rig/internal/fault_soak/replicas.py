"""Replicas of the soak: they record every execution and misbehave on demand."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from coriandershelf_rig.internal.relay import Relay
from coriandershelf_rig.internal.replica_process import (
    Framing,
    end_response,
    framed_head,
    framed_part,
    parts_of,
)
from coriandershelf_rig.internal.replica_rules import LimitedPeriod
from coriandershelf_rig.internal.standin_replica import (
    REPORT_TARGET,
    ReceivedRequest,
    Replica,
    ReplicaConnection,
    receipt_head,
    receipt_response,
    report_response,
)

HEALTH_TARGET = "/h"
PLAIN_SERVICE_TIME_S = 0.01
# Bodies take long enough that replicas are killed in the middle of some.
PLAIN_PART_PERIOD_S = 0.02
PLAIN_PARTS_COUNT = 8
# Half of the responses end with their connection, where the end proves least.
FRAMINGS = (Framing.LENGTH, Framing.CHUNKS, Framing.CLOSE, Framing.CLOSE)
EVENT_PERIOD_S = 0.02
EVENT_COUNT = 24
PAUSE_S = 2.0
# What ends the lines of a stream's events; each run of a stream has its own.
LINE_ENDS = (b"\n", b"\r\n", b"\r")
# A stream that breaks off goes on elsewhere; without any, versions are never joined.
BREAK_SHARE = 0.015
# A replica that states a wrong id goes back by this many events.
WRONG_ID_STEP = 5
WRONG_ID_SHARE = 0.05
BREAK_AFTER_WRONG_ID_SHARE = 0.5


@dataclass
class Executions:
    """Start times of every execution at any replica, by request id.

    :param unended_count: executions that have started and not ended, by the form of their response.
    """

    started_at_s: dict[str, list[float]] = field(default_factory=dict)
    keys_of: dict[str, str] = field(default_factory=dict)
    unended_count: Counter[str] = field(default_factory=Counter)

    def record_start(self, request_id: str, form: str, at_s: float) -> None:
        """Record that a replica starts to execute a request."""
        self.started_at_s.setdefault(request_id, []).append(at_s)
        self.unended_count[form] += 1

    def record_end(self, form: str) -> None:
        """Record that a replica has sent a response, or broken it off."""
        self.unended_count[form] -= 1


@dataclass
class SoakReplica:
    """One replica behind a relay.

    :param fault_mode: how the replica misbehaves at the moment, empty if it works.
    :param incarnation: number of this start; each start has a new id.
    :param version: number of its software version.
    :param started_at_ms: Unix time at which its process started.
    :param makes_reports: whether it states its start when it is asked.
    :param is_running: whether its process runs.
    :param reaches_store: whether its network path to the store works.
    :param state: the state that it registers, empty while it registers nothing.
    :param is_pausing: whether it asks for a pause and closes its connections after responses.
    :param limits: the periods in which it states a request limit; VMs by request id.
    :param arrivals: time, id and incarnation of each request that reached it.
    """

    number: int
    service: str
    executions: Executions
    fault_mode: str = ""
    incarnation: int = 1
    version: int = 1
    started_at_ms: int = field(default_factory=lambda: int(time.time() * 1e3))
    makes_reports: bool = True
    is_running: bool = True
    reaches_store: bool = True
    state: str = ""
    is_pausing: bool = False
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
        self.server = await Replica(self._handle, started_at_ms=None).start()
        self.relay = Relay(self.server.address, passes_resets=True)
        self.address = f"127.0.0.1:{port}"
        await self.relay.start(self.address)

    async def serve_forever(self) -> None:
        """Listen without a relay until the process ends."""
        host, _, port = self.address.rpartition(":")
        self.server = await Replica(self._handle, started_at_ms=None).start(host, int(port))
        await asyncio.Event().wait()

    async def end_process(self, is_silent: bool) -> None:
        """End the process.

        :param is_silent: whether its connections stay open without a byte.
        """
        assert self.relay is not None, "the replica must have been started"
        self.is_running = False
        self.is_pausing = False
        self.end_limit()
        await self.relay.end_process(is_silent)

    async def start_process(self, version: int) -> None:
        """Start the next process under the same id and address."""
        assert self.relay is not None, "the replica must have been started"
        self.version = version
        self.started_at_ms = int(time.time() * 1e3)
        await self.relay.start(self.address)
        self.is_running = True

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
        if request.target == HEALTH_TARGET:
            await self._send_health(connection)
            return
        if request.target == REPORT_TARGET:
            if self.makes_reports:
                await connection.send(report_response(request, self.started_at_ms))
            else:
                await connection.send(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            return
        request_id = request.headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request_id, self.incarnation))
        if self.fault_mode == "refuses" or self.is_pausing:
            head = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
            if self.is_pausing:
                head += f"Retry-After: {PAUSE_S}\r\nConnection: close\r\n"
            head += "".join(
                f"{name}: {value}\r\n" for name, value in self._stated(request_id).items()
            )
            await connection.send(f"{head}Content-Length: 0\r\n\r\n".encode())
            if "Connection: close" in head:
                connection.close()
            return
        is_stream = request.target.startswith(("/plan/", "/ask/"))
        first = int(request.headers.get("last-event-id", "0")) + 1
        rng = random.Random(f"{request_id} {first}")
        framing = rng.choice(FRAMINGS)
        form = f"{'stream' if is_stream else 'body'}/{framing.value}"
        self.executions.record_start(request_id, form, time.monotonic())
        try:
            if is_stream:
                await self._send_stream(request, request_id, connection, framing, rng)
            else:
                await self._send_plain(request, request_id, connection, framing, rng)
        finally:
            self.executions.record_end(form)

    async def _send_health(self, connection: ReplicaConnection) -> None:
        closes = "Connection: close\r\n" if self.is_pausing else ""
        await connection.send(f"HTTP/1.1 200 X\r\n{closes}Content-Length: 0\r\n\r\n".encode())
        if closes:
            connection.close()

    def _stated(self, request_id: str) -> dict[str, str]:
        """Return the headers by which a response states the limit."""
        limit = self.limit
        if limit is None:
            return {}
        limit.informed_at_s.setdefault(request_id, time.monotonic())
        return {"Server-Limit": f"{limit.per_s:g}"}

    async def _send_plain(
        self,
        request: ReceivedRequest,
        request_id: str,
        connection: ReplicaConnection,
        framing: Framing,
        rng: random.Random,
    ) -> None:
        await asyncio.sleep(PLAIN_SERVICE_TIME_S)
        if self.fault_mode == "loses-answers" and rng.random() < 0.5:
            connection.reset()
            return
        if self.fault_mode == "errors":
            await connection.send(
                receipt_response(request, b"error", 500, **self._stated(request_id))
            )
            return
        parts = body_parts(request_id)
        head = framed_head(receipt_head(request, 200, **self._stated(request_id)), framing, parts)
        if self.fault_mode == "garbles":
            head = head.replace(b"X-Response-Seal", b"X-Response-Sea1", 1)
        await connection.send(head)
        lost_from = rng.randrange(PLAIN_PARTS_COUNT)
        for index, part in enumerate(parts):
            if self.fault_mode == "loses-answers" and index >= lost_from:
                connection.reset()
                return
            await connection.send(framed_part(part, framing))
            await asyncio.sleep(PLAIN_PART_PERIOD_S)
        await end_response(connection, framing)

    async def _send_stream(
        self,
        request: ReceivedRequest,
        request_id: str,
        connection: ReplicaConnection,
        framing: Framing,
        rng: random.Random,
    ) -> None:
        if self.fault_mode == "errors":
            await connection.send(
                receipt_response(request, b"error", 500, **self._stated(request_id))
            )
            return
        version = self.version
        first = int(request.headers.get("last-event-id", "0")) + 1
        is_close_delimited = framing is Framing.CLOSE
        numbers = range(first, EVENT_COUNT + 1)
        stated = self._stated(request_id)
        head = receipt_head(request, 200, Content_Type="text/event-stream", **stated)
        line_end = rng.choice(LINE_ENDS)
        events = [
            event_of(request_id, number, f"v{version}", number, line_end) for number in numbers
        ]
        await connection.send(framed_head(head, framing, events))
        for number in numbers:
            await asyncio.sleep(EVENT_PERIOD_S)
            breaks_off = rng.random() < BREAK_SHARE
            if self.fault_mode in ("loses-answers", "garbles"):
                breaks_off = breaks_off or number > EVENT_COUNT // 2
            if breaks_off:
                event = event_of(request_id, number, f"v{version}", number, line_end)
                part = _part_of(event, rng) if rng.random() < 0.5 else b""
                part = framed_part(part, framing) if part else part
                await connection.send(b"zz\r\n" if self.fault_mode == "garbles" else part)
                if is_close_delimited or rng.random() < 0.5:
                    connection.reset()
                else:
                    connection.close()
                return
            stated_id = number
            # Another id would change the length of the event.
            may_be_wrong = framing is not Framing.LENGTH and self.fault_mode == "states-wrong-ids"
            if may_be_wrong and rng.random() < WRONG_ID_SHARE:
                stated_id = max(1, number - WRONG_ID_STEP)
            event = event_of(request_id, number, f"v{version}", stated_id, line_end)
            await connection.send(framed_part(event, framing))
            if stated_id != number and rng.random() < BREAK_AFTER_WRONG_ID_SHARE:
                connection.reset()
                return
        await end_response(connection, framing)


def body_parts(request_id: str) -> list[bytes]:
    """Return the parts of the body that answers a request for no stream."""
    return parts_of(request_id, False, PLAIN_PARTS_COUNT)


def _part_of(event: bytes, rng: random.Random) -> bytes:
    """Return an event without its end; in half of the cases only the last line ends are cut."""
    if rng.random() < 0.5:
        return event[: -rng.randint(1, 3)]
    return event[: rng.randrange(1, len(event))]


def event_of(
    request_id: str, number: int, version: str, stated_id: int, line_end: bytes = b"\n"
) -> bytes:
    """Return an event; its data tell its true number, and end in ``!`` if its id is wrong."""
    mark = "" if stated_id == number else "!"
    data = f"data: {request_id} {number} {version}{mark}".encode()
    return line_end.join([b"id: %d" % stated_id, data, b"", b""])
