"""Minimal HTTP/1.1 for the stand-ins: a server, and a client that makes one call a connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

HEAD_MAX_BYTES = 65_536


@dataclass
class Request:
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass(eq=False)
class Connection:
    """One connection of a server."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def reset(self) -> None:
        """Close the connection with a reset."""
        reset(self.writer)

    async def wait_closed(self) -> None:
        """Wait until the peer closes the connection."""
        while await self.reader.read(1 << 16):
            pass

    async def send(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a whole response."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def begin_chunks(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a response in chunks."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the response."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()


Handler = Callable[[Request, Connection], Awaitable[None]]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; ``None`` at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = data.decode("latin1").split("\r\n")
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body until the last one."""
    while True:
        size = int((await reader.readline()).partition(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """A server whose process can be taken away and come back at its address."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1") -> None:
        self._handler = handler
        self._host = host
        self._server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Return the host and port."""
        return f"{self._host}:{self.port}"

    @property
    def is_listening(self) -> bool:
        """Return whether the process runs."""
        return self._server is not None

    async def start(self) -> None:
        """Listen, on the port of before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port, limit=1 << 20, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Listen no more, and reset the connections, as the end of the process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self._handler(Request(method, target, head[1], body), connection)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # The peer or this server has ended.
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


@dataclass
class Response:
    """What a client read; ``is_whole`` is false if the response was broken off.

    :param status: 0 if there was no response.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
    on_data: Callable[[Response], bool] = lambda response: True,
) -> Response:
    """Make a call on a connection of its own.

    :param on_data: called with the response so far; false breaks the connection.
    """
    response = Response()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return response
            response.status, response.headers = int(head[0].split(" ")[1]), head[1]
            if response.headers.get("transfer-encoding", "").lower() != "chunked":
                response.body = await read_body(reader, response.headers)
                response.is_whole = True
                return response
            async for chunk in read_chunks(reader):
                response.body += chunk
                if not on_data(response):
                    return response
            response.is_whole = True
    except (TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return response
