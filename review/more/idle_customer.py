"""No case, since it takes 26 minutes: a customer that is silent at one VM ends its process.

The customer asks a few times at the first VM, then only at the second one. After 25 minutes another
customer's requests have to wait at the first VM. Run with the silence in seconds, 1490 by default;
exits with 1 if the first VM's process ended by itself.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import TENANT, Replica, Site  # noqa: E402
from http11 import Request  # noqa: E402

SILENT_S = float(sys.argv[1]) if len(sys.argv) > 1 else 1490.0
SLOW_S = 0.8


class SlowReplica(Replica):
    """A replica that takes long for some requests."""

    async def answer_soundly(
        self, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Answer, some requests late."""
        if "slow" in request.target:
            await asyncio.sleep(SLOW_S)
        return await super().answer_soundly(request, writer, headers)


async def main() -> int:
    site = Site(HERE, vm_count=2, replica_class=SlowReplica)
    site.target_latency_ms = 2900
    site.customers = {TENANT: ["key-a"], "puhu251": ["key-b"]}
    try:
        await site.start()
        if not await site.await_ready():
            return 2
        for number in range(5):
            await site.request(0, "book", f"a0-{number}", key="key-a")
        until_s, count = time.monotonic() + SILENT_S, 0
        while time.monotonic() < until_s:
            count += 1
            await site.request(1, "book", f"a1-{count}", key="key-a")
            await asyncio.sleep(0.3)
        for number in range(3):
            many = [
                site.request(0, "look", f"slow-{number}-{item}", key="key-b") for item in range(80)
            ]
            answers = await asyncio.gather(*many)
            answered = sum(1 for answer in answers if answer is not None)
            print(f"answered {answered} of {len(many)}; exit code {site.processes[0].poll()}")
        return 1 if site.processes[0].poll() is not None else 0
    finally:
        site.stop()


sys.exit(asyncio.run(main()))
