"""One replica in trouble sends answers without end; the entry VMs hang."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ILL_AFTER_S = 10.0
ILL_FOR_S = 15.0
# The route's time-out in the configuration; the clients would wait for longer.
TIMEOUT_S = 3.0
CLIENT_LIMIT_S = 6.0
# RULES.md, CONFIG: half a second after the route's time-out; eight or more, and over half.
LATE_S = 0.5
LATE_MIN_COUNT = 8
LATE_MIN_SHARE = 0.5
VM_COUNT = 3
CLIENTS_PER_VM = 6
LENGTH_S = 40.0


async def main() -> int:
    site = Site(HERE, vm_count=VM_COUNT)
    # Of each request: its VM, whether it was still unanswered at the time-out, and 0.5 s later.
    results: list[tuple[int, float]] = []
    try:
        ill_after_s = ILL_AFTER_S if TROUBLE else 1e9
        site.start_sick_replica(ill_after_s, ILL_FOR_S)
        await site.start()
        if not await site.await_ready():
            return 2
        until_s = time.monotonic() + LENGTH_S

        async def client(vm: int, number: int) -> None:
            count = 0
            while time.monotonic() < until_s:
                count += 1
                kind = ("ask", "book", "look")[number % 3]
                sent_s = time.monotonic()
                await site.request(vm, kind, f"{kind}-{vm}-{number}-{count}", CLIENT_LIMIT_S)
                results.append((vm, time.monotonic() - sent_s))
                await asyncio.sleep(0.3)

        async def probe(vm: int) -> None:
            while time.monotonic() < until_s:
                is_ready = await site.ready(vm)
                if not is_ready:
                    site.record.write("no readiness answer", site.name(vm))
                await asyncio.sleep(1.0)

        clients = [client(vm, number) for vm in range(VM_COUNT) for number in range(CLIENTS_PER_VM)]
        await asyncio.gather(*clients, *(probe(vm) for vm in range(VM_COUNT)))
        return judge(site, results)
    finally:
        site.stop()


def judge(site: Site, results: list[tuple[int, float]]) -> int:
    """Apply the rule; all VMs are in touch all the while."""
    for vm in range(VM_COUNT):
        own = [taken_s for number, taken_s in results if number == vm]
        late = sum(1 for taken_s in own if taken_s > TIMEOUT_S + LATE_S)
        site.record.write(
            site.name(vm), f"requests={len(own)} late={late} longest_s={max(own):.1f}"
        )
    long_count = sum(1 for _, taken_s in results if taken_s > TIMEOUT_S)
    late_count = sum(1 for _, taken_s in results if taken_s > TIMEOUT_S + LATE_S)
    summary = f"unanswered at the time-out: {long_count}, and half a second later: {late_count}"
    site.record.write(summary)
    print(summary)
    return 1 if late_count >= LATE_MIN_COUNT and late_count > long_count * LATE_MIN_SHARE else 0


run_case(main)
