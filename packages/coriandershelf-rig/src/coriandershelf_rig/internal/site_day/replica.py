"""A replica as a process: it streams in batches and misbehaves on command."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from coriandershelf_rig.internal.fault_soak.replicas import LINE_ENDS
from coriandershelf_rig.internal.replica_process import (
    Framing,
    end_response,
    framed_head,
    framed_part,
)
from coriandershelf_rig.internal.site_day.child import Records, read_commands, watch_loop
from coriandershelf_rig.internal.standin_replica import (
    REPORT_TARGET,
    ReceivedRequest,
    Replica,
    ReplicaConnection,
    receipt_head,
    report_response,
)

FRAMINGS = (Framing.CHUNKS, Framing.CHUNKS, Framing.CLOSE)
SPLIT_SHARE = 0.2
PLAIN_PARTS_COUNT = 4
# Share of the spoilt responses of which only line ends of an event are missing.
LINE_END_CUT_SHARE = 0.5
LATE_COPY_MAX_S = 0.3


class _BrokenOffError(Exception):
    """The replica breaks a response off."""


class ReplicaProcess:
    """One start of a replica."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self._spec = spec
        self._id: str = spec["id"]
        self._version: str = spec["version"]
        self._born = int((time.time() + spec["clock_s"]) * 1e3)
        self._rng = random.Random(f"{spec['seed']}/{self._id}/{self._version}")
        self._records = Records(Path(spec["records"]))
        self._faults: dict[str, dict[str, Any]] = {}
        self._state = "ready"
        self._reaches_store: bool = spec["reaches_store"]
        self._active_count = 0
        self._runs_count = 0
        self._seq = 0
        self._beat_now = asyncio.Event()
        # By address of an entry VM: cleared while the path to it is cut.
        self._paths: dict[str, asyncio.Event] = {}
        self._one_way: set[str] = set()
        self._connections: set[ReplicaConnection] = set()
        self._step = asyncio.get_running_loop().create_future()
        self._server = Replica(self._handle, started_at_ms=None)
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Serve until the process is killed or told to leave."""
        host, _, port = self._spec["address"].rpartition(":")
        await self._server.start(host, int(port))
        self._records.write("start", id=self._id, version=self._version, born=self._born)
        tasks = [
            asyncio.create_task(work)
            for work in (
                self._beat_forever(), self._step_forever(), watch_loop(self._records),
                read_commands(self._on_command),
            )
        ]  # fmt: skip
        ended = asyncio.create_task(self._ended.wait())
        await asyncio.wait([tasks[-1], ended], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    def _on_command(self, command: dict[str, Any]) -> None:
        match command["do"]:
            case "fault":
                self._faults[command["name"]] = command
            case "mend":
                self._faults.pop(command["name"], None)
            case "cut":
                self._cut(command["vms"], command["how"])
            case "heal":
                for ip in command["vms"]:
                    self._path(ip).set()
                    self._one_way.discard(ip)
            case "reset":
                for connection in self._open_connections():
                    if self._rng.random() < command["share"]:
                        connection.reset()
            case "store":
                self._reaches_store = command["reaches"]
            case "drain":
                self._state = "draining"
                self._beat_now.set()
            case "dark":
                assert self._server._server is not None, "the replica listens"
                self._server._server.close()
                self._reaches_store = False
                for path in [*self._paths.values(), self._path("")]:
                    path.clear()
                self._faults["dark"] = command
            case "leave":
                self._state = ""
                self._beat_now.set()

    def _path(self, ip: str) -> asyncio.Event:
        if ip not in self._paths:
            self._paths[ip] = asyncio.Event()
            if "dark" not in self._faults:
                self._paths[ip].set()
        return self._paths[ip]

    def _cut(self, vms: list[str], how: str) -> None:
        for ip in vms:
            if how == "reset":
                for connection in self._open_connections():
                    if _ip_of(connection) == ip:
                        connection.reset()
                continue
            if how == "one_way":
                self._one_way.add(ip)
            self._path(ip).clear()

    def _open_connections(self) -> list[ReplicaConnection]:
        return [item for item in self._connections if not item.writer.is_closing()]

    async def _send(self, connection: ReplicaConnection, data: bytes) -> None:
        await self._path(_ip_of(connection)).wait()
        if connection.writer.is_closing():
            raise ConnectionResetError
        await connection.send(data)

    async def _beat_forever(self) -> None:
        while True:
            if self._reaches_store:
                self._seq += 1
                entry = {
                    "service": self._spec["service"], "address": self._spec["address"],
                    "zone": self._spec["zone"], "version": self._version,
                    "slots": self._spec["slots"], "state": self._state, "cold_left_ms": 0,
                    "born": self._born,
                }  # fmt: skip
                body = {"id": self._id, "entry": entry if self._state else None}
                is_told = await _post(self._spec["store"], "/heartbeat", body)
                if not self._state and is_told:
                    self._records.write("left", id=self._id)
                    self._ended.set()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._spec["heartbeat_s"]):
                    await self._beat_now.wait()
            self._beat_now.clear()

    async def _step_forever(self) -> None:
        spec = self._spec
        while True:
            step_ms = spec["step_ms"] + spec["step_ms_per_slot"] * self._active_count
            step_ms *= self._faults.get("slow", {}).get("x", 1.0)
            await asyncio.sleep(max(0.005, spec["stride_tokens"] * step_ms / 1e3 / spec["speed"]))
            step, self._step = self._step, asyncio.get_running_loop().create_future()
            step.set_result(None)

    async def _handle(self, request: ReceivedRequest, connection: ReplicaConnection) -> None:
        ip = _ip_of(connection)
        if connection not in self._connections:
            self._connections.add(connection)
            if len(self._connections) > 2 * self._spec["max_connections"]:
                self._connections = set(self._open_connections())
        if ip not in self._one_way:
            await self._path(ip).wait()
        load = f"X-Server-Load: {self._active_count},0,{self._spec['slots']},100\r\n"
        if request.headers.get("x-expect-instance") not in (None, self._id):
            head = f"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nX-Instance-Id: {self._id}\r\n"
            await self._send(connection, f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        if request.target == self._spec["health_path"]:
            status = 200 if self._state == "ready" else 503
            head = f"HTTP/1.1 {status} X\r\nX-Instance-Id: {self._id}\r\n{load}"
            await self._send(connection, f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        if request.target == REPORT_TARGET:
            await self._send(connection, report_response(request, self._born))
            return
        grey = self._drawn("grey")
        is_full = self._active_count >= self._spec["slots"] + self._spec["queue"]
        if is_full or (grey and grey["how"] in ("shed", "busy")):
            head = f"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n{load}"
            head += f"X-Request-Id: {request.headers.get('x-request-id', '')}\r\n"
            await self._send(connection, f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        self._runs_count += 1
        run = f"{self._id}/{self._born}/{self._runs_count}"
        request_id = request.headers.get("x-request-id", "")
        first = int(request.headers.get("last-event-id", "0")) + 1
        self._records.write(
            "run", request=request_id, run=run, version=self._version, first=first, vm=ip
        )
        self._active_count += 1
        outcome = "gone"
        try:
            outcome = await self._respond(request, connection, run, first, grey)
        except _BrokenOffError as broken:
            outcome = f"broken off: {broken}"
        finally:
            self._active_count -= 1
            self._records.write("end", request=request_id, run=run, outcome=outcome)

    def _drawn(self, name: str) -> dict[str, Any] | None:
        """Return a fault that is in force if it strikes this time."""
        fault = self._faults.get(name)
        return fault if fault is not None and self._rng.random() < fault["x"] else None

    async def _respond(
        self,
        request: ReceivedRequest,
        connection: ReplicaConnection,
        run: str,
        first: int,
        grey: dict[str, Any] | None,
    ) -> str:
        usage = request.headers.get("x-token-usage")
        is_stream = usage is not None and self._spec["stride_tokens"] > 0
        if grey is not None:
            if grey["how"] == "reset":
                connection.reset()
                raise _BrokenOffError("reset")
            if grey["how"] in ("hang", "mute"):
                await asyncio.sleep(60.0)
                raise _BrokenOffError("silent")
            if grey["how"] == "errors":
                head = receipt_head(request, 500) + b"Content-Length: 0\r\n\r\n"
                await self._send(connection, head)
                return "error"
        lost, garble = self._drawn("lost"), self._drawn("garble")
        framing = self._rng.choice(FRAMINGS)
        if garble is not None and "unframed" in garble["how"]:
            framing = Framing.CLOSE
        if is_stream:
            assert usage is not None, "checked above"
            parts = self._events(request, run, first, usage)
        else:
            parts = plain_parts(request.headers.get("x-request-id", ""), self._spec["part_bytes"])
            framing = self._rng.choice((*FRAMINGS, Framing.LENGTH))
        break_at = self._rng.randrange(len(parts) + 1) if lost or garble else None
        if is_stream:
            tokens = int((usage or "0").split(",")[0])
            prefill_s = tokens / self._spec["prefill_tokens_per_ms"] / 1e3
            await asyncio.sleep(self._spec["first_ms"] / 1e3 + prefill_s)
        else:
            await asyncio.sleep(self._rng.expovariate(1e3 / self._spec["work_ms"]))
        closes = "Connection: close\r\n" if self._state != "ready" else ""
        head = receipt_head(
            request, 200, Content_Type="text/event-stream" if is_stream else "text/plain"
        )
        load = f"X-Server-Load: {self._active_count},0,{self._spec['slots']},100\r\n"
        if framing is not Framing.CLOSE:
            load += closes
        if lost and break_at == 0:
            return await self._lose(connection, lost)
        await self._send(connection, framed_head(head + load.encode(), framing, parts))
        for index, part in enumerate(parts):
            if index == break_at and lost:
                return await self._lose(connection, lost)
            if index == break_at and garble:
                return await self._spoil(connection, garble, framing, part)
            if is_stream:
                await asyncio.shield(self._step)
            await self._send_part(connection, part, framing)
        await end_response(connection, framing)
        if garble and "extra" in garble["how"] and framing is not Framing.CLOSE:
            if "late" in garble["how"]:
                await asyncio.sleep(self._rng.uniform(0.0, LATE_COPY_MAX_S))
            copy = b"".join(framed_part(part, framing) for part in parts)
            await self._send(connection, framed_head(head, framing, parts) + copy)
            await end_response(connection, framing)
            return "complete, and a copy"
        if closes:
            connection.close()
        return "complete"

    async def _send_part(
        self, connection: ReplicaConnection, part: bytes, framing: Framing
    ) -> None:
        if len(part) > 1 and self._rng.random() < SPLIT_SHARE:
            cut = self._rng.randrange(1, len(part))
            await self._send(connection, framed_part(part[:cut], framing))
            await asyncio.sleep(0.002)
            part = part[cut:]
        await self._send(connection, framed_part(part, framing))

    async def _lose(self, connection: ReplicaConnection, lost: dict[str, Any]) -> str:
        if "reset" in lost["how"]:
            connection.reset()
            raise _BrokenOffError("answer lost, reset")
        await asyncio.sleep(60.0)
        raise _BrokenOffError("answer lost, silent")

    async def _spoil(
        self, connection: ReplicaConnection, garble: dict[str, Any], framing: Framing, part: bytes
    ) -> str:
        """End a response inside a part, or with bytes that are none."""
        piece = part[: self._rng.randrange(1, len(part))]
        if self._rng.random() < LINE_END_CUT_SHARE:
            piece = part[: -self._rng.randint(1, 2)]
        await self._send(connection, framed_part(piece, framing))
        ends = self._rng.choice(("reset", "close", "spoilt"))
        if ends == "spoilt" and framing is Framing.CHUNKS:
            await self._send(connection, b"zz\r\nno chunk\r\n")
        if ends == "reset":
            connection.reset()
        else:
            connection.close()
        raise _BrokenOffError(f"garbled, {ends}, {framing.value}, after {piece[-12:]!r}")

    def _events(self, request: ReceivedRequest, run: str, first: int, usage: str) -> list[bytes]:
        count = int(usage.split(",")[1]) // self._spec["stride_tokens"]
        request_id = request.headers.get("x-request-id", "")
        line_end = self._rng.choice(LINE_ENDS)
        return [
            line_end.join(
                [
                    b"id: %d" % number,
                    f"data: {request_id} {number} {self._version} {run}".encode(),
                    b"",
                    b"",
                ]
            )
            for number in range(first, count + 1)
        ]


def plain_parts(request_id: str, part_bytes: int) -> list[bytes]:
    """Return the parts of the body that answers a request for no stream."""
    return [
        f"{request_id} {number} ".encode().ljust(part_bytes, b".") + b"\n"
        for number in range(PLAIN_PARTS_COUNT)
    ]


def _ip_of(connection: ReplicaConnection) -> str:
    name = connection.writer.get_extra_info("peername")
    return str(name[0]) if name else ""


async def _post(address: str, path: str, body: object) -> bool:
    host, _, port = address.rpartition(":")
    content = json.dumps(body).encode()
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(content)}\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode() + content)
            status = (await reader.readline()).split(b" ")[1:2]
            writer.close()
    except (OSError, TimeoutError):
        return False
    return status == [b"200"]


async def _main(path: str) -> None:
    await ReplicaProcess(json.loads(Path(path).read_text())).run()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
