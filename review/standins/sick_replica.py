"""A replica as a process of its own, which falls ill after some seconds.

From then on each answer to a request has a body that never ends, until the caller closes the
connection. Before, and with an illness far in the future, it answers soundly.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

from deployment import Record, Replica
from http11 import Request

# Chunks of one byte each, as a server has them that flushes after each byte.
BLOCK = b"1\r\nx\r\n" * 10_000


def head(headers: dict[str, str]) -> bytes:
    """Return the head of an answer in chunks."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/plain", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def main() -> None:
    """Serve until the process is killed."""
    replica_id, address, record_file, began_s, ill_after_s, ill_for_s = sys.argv[1:7]
    record = Record(Path(record_file), float(began_s))
    replica = Replica(replica_id, "despacho", address, "heredia", record)
    ill_from_s = time.monotonic() + float(ill_after_s)
    ill_until_s = ill_from_s + float(ill_for_s)

    async def answer(
        replica: Replica, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        if not ill_from_s <= time.monotonic() < ill_until_s:
            return await replica.answer_soundly(request, writer, headers)
        request_id = request.headers["x-request-id"]
        record.write("endless answer begins", request_id)
        writer.write(head(headers | {"X-Response-Seal": f"{replica_id}.{request_id}"}))
        sent_bytes = 0
        with contextlib.suppress(OSError):
            while not writer.transport.is_closing():
                writer.write(BLOCK)
                await writer.drain()
                sent_bytes += len(BLOCK)
                # Other callers are served meanwhile.
                await asyncio.sleep(0)
        record.write("endless answer ended", request_id, f"wire_bytes={sent_bytes}")
        return False

    replica.answer = answer
    await replica.start()
    await asyncio.Event().wait()


asyncio.run(main())
