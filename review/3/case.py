"""The operator allows larger bodies; a booking with a large body runs with an empty one."""

from __future__ import annotations

import asyncio
import hashlib
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import HOST, KEY, Replica, Site, run_case  # noqa: E402
from http11 import Request, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VM_COUNT = 2
BODY_MAX_BYTES, RAISED_BODY_MAX_BYTES = 4 << 20, 16 << 20
BODIES_BYTES = (1 << 20, 3 << 20, 6 << 20, 9 << 20, 12 << 20)
ROUNDS_COUNT = 3
# RULES.md: a new configuration is in force 2 s after its ack.
APPLY_S = 2.5


def digest(body: bytes) -> str:
    return f"{len(body)} bytes, sha256 {hashlib.sha256(body).hexdigest()[:16]}"


class ReadingReplica(Replica):
    """A replica that notes which body each request had."""

    bodies: dict[str, str] = {}

    async def answer_soundly(
        self, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Answer and note the body."""
        request_id = headers["X-Request-Id"]
        self.bodies[request_id] = digest(request.body)
        self.record.write("body at the replica", request_id, self.bodies[request_id])
        return await super().answer_soundly(request, writer, headers)


async def main() -> int:
    site = Site(HERE, vm_count=VM_COUNT, replica_class=ReadingReplica)
    site.body_max_bytes = BODY_MAX_BYTES
    sent: dict[str, str] = {}
    try:
        await site.start()
        if not await site.await_ready():
            return 2
        await asyncio.sleep(1.0)
        if TROUBLE:
            site.body_max_bytes = RAISED_BODY_MAX_BYTES
        site.publish()
        await asyncio.sleep(APPLY_S)
        for number in range(ROUNDS_COUNT):
            for vm in range(VM_COUNT):
                for size_bytes in BODIES_BYTES:
                    request_id = f"book-{vm}-{number}-{size_bytes >> 20}"
                    body = os.urandom(1024) * (size_bytes // 1024)
                    sent[request_id] = digest(body)
                    site.record.write("sent", request_id, site.name(vm), sent[request_id])
                    head = (
                        f"POST /book/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 3000\r\n"
                        f"X-Api-Key: {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
                    )
                    answer = await call(site.ips[vm], site.front_port, head, body, 4.0)
                    site.record.write(
                        "answered", request_id, answer.status if answer else "nothing"
                    )
        changed = [name for name, text in ReadingReplica.bodies.items() if text != sent[name]]
        summary = f"runs={len(ReadingReplica.bodies)} with another body than sent={len(changed)}"
        site.record.write(summary)
        print(summary)
        return 1 if changed else 0
    finally:
        site.stop()


run_case(main)
