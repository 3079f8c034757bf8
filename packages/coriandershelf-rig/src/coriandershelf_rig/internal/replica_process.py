"""A replica as a process of its own: ``python -m coriandershelf_rig.internal.replica_process``.

The kernel ends a killed process's connections in order if it had read all that was sent to it,
where a stand-in inside the test's process would have to reset them or close them itself.
"""

from __future__ import annotations

import asyncio
import time
from enum import Enum

import click

from coriandershelf_rig.internal.standin_replica import (
    ReceivedRequest,
    Replica,
    ReplicaConnection,
    Script,
    chunk,
    receipt_head,
)

HEALTH_TARGET = "/health"
PART_PERIOD_S = 0.02


class Framing(Enum):
    """How a response shows its end."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


def parts_of(request_id: str, is_stream: bool, parts_count: int) -> list[bytes]:
    """Return the parts of the whole response to a request: the events of a stream, or lines."""
    if is_stream:
        return [
            f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            for number in range(1, parts_count + 1)
        ]
    return [f"{request_id} {number}\n".encode() for number in range(1, parts_count + 1)]


def framed_head(head: bytes, framing: Framing, parts: list[bytes]) -> bytes:
    """Return the head of a response, given without its blank line, that will have these parts."""
    match framing:
        case Framing.LENGTH:
            head += f"Content-Length: {sum(map(len, parts))}\r\n".encode()
        case Framing.CHUNKS:
            head += b"Transfer-Encoding: chunked\r\n"
        case Framing.CLOSE:
            head += b"Connection: close\r\n"
    return head + b"\r\n"


def framed_part(part: bytes, framing: Framing) -> bytes:
    """Return a part of a response as it is sent."""
    return chunk(part) if framing is Framing.CHUNKS else part


async def end_response(connection: ReplicaConnection, framing: Framing) -> None:
    """Show that a response is complete."""
    if framing is Framing.CHUNKS:
        await connection.send(b"0\r\n\r\n")
    elif framing is Framing.CLOSE:
        connection.close()


def make_script(replica_id: str, framing: Framing, parts_count: int) -> Script:
    """Return a script that writes each response in whole parts, with a pause after each."""

    async def script(request: ReceivedRequest, connection: ReplicaConnection) -> None:
        if request.target == HEALTH_TARGET:
            headers = f"X-Instance-Id: {replica_id}\r\nContent-Length: 0"
            await connection.send(f"HTTP/1.1 200 X\r\n{headers}\r\n\r\n".encode())
            return
        is_stream = request.target.startswith(("/plan/", "/ask/"))
        parts = parts_of(request.headers.get("x-request-id", ""), is_stream, parts_count)
        parts = parts[int(request.headers.get("last-event-id", "0")) :]
        content_type = "text/event-stream" if is_stream else "text/plain"
        head = receipt_head(request, Content_Type=content_type)
        await connection.send(framed_head(head, framing, parts))
        for part in parts:
            await connection.send(framed_part(part, framing))
            await asyncio.sleep(PART_PERIOD_S)
        await end_response(connection, framing)

    return script


@click.command()
@click.option("--replica-id", required=True)
@click.option("--port", type=int, required=True)
@click.option("--framing", type=click.Choice([item.value for item in Framing]), required=True)
@click.option("--parts-count", type=int, default=20, show_default=True)
@click.option("--started-at-ms", type=int, help="Start that it states; the present time if unset.")
def main(
    replica_id: str, port: int, framing: str, parts_count: int, started_at_ms: int | None
) -> None:
    """Serve on 127.0.0.1 until a signal ends the process."""
    if started_at_ms is None:
        started_at_ms = round(time.time() * 1e3)
    script = make_script(replica_id, Framing(framing), parts_count)
    asyncio.run(_serve(script, port, started_at_ms))


async def _serve(script: Script, port: int, started_at_ms: int) -> None:
    await Replica(script, lambda: started_at_ms).start(port=port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
