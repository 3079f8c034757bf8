"""HTTP/1.1 over asyncio streams, as far as the stand-ins of the review need it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LINE_MAX_BYTES = 1 << 20


@dataclass
class Request:
    """A request that a stand-in received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """A response that a client received."""

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def _read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


@dataclass
class Server:
    """An HTTP server; the handler returns whether the connection stays open."""

    handler: Handler
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=LINE_MAX_BYTES)

    def stop(self) -> None:
        """Stop listening and reset all open connections, as a crash does."""
        self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers = await _read_headers(reader)
                method, target, _ = line.split(" ")
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = await _read_chunks(reader)
                elif "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                if not await self.handler(Request(method, target, headers, body), writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response with a length or in chunks; raises if it is incomplete."""
    line, headers = await _read_headers(reader)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return Response(int(line.split(" ")[1]), headers, body)


async def call(host: str, port: int, head: str, body: bytes, timeout_s: float) -> Response | None:
    """Send one request on a new connection; ``None`` if there is no whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head.encode() + body)
            return await read_response(reader)
    except (
        OSError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
        ValueError,
        TimeoutError,
    ):
        return None
    finally:
        if writer is not None:
            writer.close()
