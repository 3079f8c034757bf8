"""Stand-in of the users' replicas whose responses are scripted byte by byte."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

REPORT_TARGET = "/report"
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One request as received by a replica; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class ReplicaConnection:
    """One connection to a replica."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Write bytes unchanged."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.close()

    def close(self) -> None:
        """Close the connection cleanly."""
        self.writer.close()


Script = Callable[[ReceivedRequest, ReplicaConnection], Awaitable[None]]


@dataclass
class Replica:
    """A listening stand-in.

    :param script: called for each request to write the response.
    :param started_at_ms: returns the Unix time of its start, which it states when it is asked;
        ``None`` if it makes no reports, so that the script gets the request.
    :param disconnected: set once a connection has ended.
    """

    script: Script
    started_at_ms: Callable[[], int] | None = lambda: 1
    received: list[ReceivedRequest] = field(default_factory=list)
    connection_count: int = 0
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Replica:
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._on_connection, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        connection = ReplicaConnection(reader, writer)
        try:
            while not writer.is_closing():
                request = await _read_request(reader)
                if request is None:
                    break
                if request.target == REPORT_TARGET and self.started_at_ms is not None:
                    await connection.send(report_response(request, self.started_at_ms()))
                    continue
                self.received.append(request)
                await self.script(request, connection)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.disconnected.set()
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)


def report_response(request: ReceivedRequest, started_at_ms: int) -> bytes:
    """Return the response by which a replica states its start."""
    body = json.dumps({"stage": "both", "models": [], "born": started_at_ms}).encode()
    lines = ["HTTP/1.1 200 X", f"X-Request-Id: {request.headers.get('x-request-id', '')}"]
    lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def receipt_head(request: ReceivedRequest, status: int = 200, **extra: str) -> bytes:
    """Return status line and headers with request id and receipt, without the final blank line."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Request-Id: {request.headers.get('x-request-id', '')}",
        "X-Response-Seal: seal-1",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in extra.items()]
    return ("\r\n".join(lines) + "\r\n").encode()


def receipt_response(
    request: ReceivedRequest, body: bytes = b"done", status: int = 200, **extra: str
) -> bytes:
    """Return a complete response with ``Content-Length``."""
    head = receipt_head(request, status, **extra)
    return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked response body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
