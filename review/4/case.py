"""Replicas spoil a figure in the head of some answers; those requests are never answered."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Replica, Site, run_case  # noqa: E402
from http11 import Request  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VM_COUNT = 3
CLIENTS_PER_VM = 12
LENGTH_S = 18.0
SPOILT_FROM_S, SPOILT_FOR_S = 5.0, 5.0
SPOILT_SHARE = 0.03
SPOILING_REPLICAS_COUNT = 2
# The route's time-out in the configuration; the clients would wait for longer.
TIMEOUT_S = 3.0
CLIENT_LIMIT_S = 6.0
# RULES.md, CONFIG: half a second after the route's time-out; eight or more, and over half.
LATE_S = 0.5
LATE_MIN_COUNT = 8
LATE_MIN_SHARE = 0.5


class SpoilingReplica(Replica):
    """A replica that tells how long its work takes, and spoils a byte of some answers."""

    spoilt = (0.0, 0.0)
    rng = random.Random(7)

    async def answer_soundly(
        self, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Answer; the body and all else in the head are right."""
        headers["X-Server-Load"] += ",100"
        is_ill = self.spoilt[0] <= time.monotonic() < self.spoilt[1]
        if is_ill and self.rng.random() < SPOILT_SHARE:
            self.record.write("spoils an answer", self.replica_id, headers["X-Request-Id"])
            headers["X-Server-Load"] = headers["X-Server-Load"][:-3] + "000"
        return await super().answer_soundly(request, writer, headers)


async def main() -> int:
    site = Site(HERE, vm_count=VM_COUNT, replica_class=SpoilingReplica)
    taken: list[float] = []
    unanswered: list[str] = []
    try:
        await site.start()
        if not await site.await_ready():
            return 2
        began_s = time.monotonic()
        if TROUBLE:
            from_s = began_s + SPOILT_FROM_S
            for replica in site.replicas[:SPOILING_REPLICAS_COUNT]:
                replica.spoilt = (from_s, from_s + SPOILT_FOR_S)

        async def client(vm: int, number: int) -> None:
            count = 0
            while time.monotonic() < began_s + LENGTH_S:
                count += 1
                kind = "book" if number % 2 else "look"
                request_id = f"{kind}-{vm}-{number}-{count}"
                sent_s = time.monotonic()
                await site.request(vm, kind, request_id, CLIENT_LIMIT_S)
                taken.append(time.monotonic() - sent_s)
                if taken[-1] > TIMEOUT_S + LATE_S:
                    unanswered.append(request_id)
                await asyncio.sleep(0.1)

        clients = [client(vm, number) for vm in range(VM_COUNT) for number in range(CLIENTS_PER_VM)]
        await asyncio.gather(*clients)
        site.record.write("unanswered:", *unanswered)
        long_count = sum(1 for item in taken if item > TIMEOUT_S)
        summary = (
            f"requests={len(taken)} unanswered at the time-out={long_count}, "
            f"and half a second later={len(unanswered)}"
        )
        site.record.write(summary)
        print(summary)
        is_broken = (
            len(unanswered) >= LATE_MIN_COUNT and len(unanswered) > long_count * LATE_MIN_SHARE
        )
        return 1 if is_broken else 0
    finally:
        site.stop()


run_case(main)
