"""Replicas that return from a cut from the store: do streams of their version go on?"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from cloud import Cloud  # noqa: E402
from configuration import HOST, configuration, route, service  # noqa: E402
from http1 import Request, Response, call  # noqa: E402
from replicas import HEARTBEAT_S, Replica  # noqa: E402
from store import Store  # noqa: E402
from vms import Site, running_site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VMS_COUNT = 8
OLD_COUNT, NEW_COUNT = 3, 12
KEY = "key-1"
EVENTS_COUNT, EVENT_PERIOD_S = 32, 0.44
TIME_LIMIT_S = 15.0
STREAMS_PER_S = 36.0
# Times in seconds after the start of the load. The kinds page gives 5 s as the length of a cut.
CUT_AT_S, CUT_S = 8.0, 5.0
DRAIN_AT_S = 13.6
# The replica serves for drain_ms after its report and a little longer.
EXIT_AT_S = 15.8
END_AT_S = 20.0
TAKE_UPS_MIN_COUNT = 12


@dataclass
class Stream:
    """One stream of a client, over its tries.

    :param began: whether a first event came.
    :param tries: status of each try that takes the stream up, and whether it brought an event.
    """

    number: int
    began_at_s: float = 0.0
    began: bool = False
    version: str = ""
    last_id: int = 0
    is_whole: bool = False
    taken_up_at_s: float | None = None
    goes_on: bool = False
    tries: list[str] = field(default_factory=list)


class Clients:
    """Sends streams to the VMs, and takes up those that break off."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._rng = random.Random(1)
        self._ids = itertools.count(1)
        self.started_at_s = time.monotonic()
        self.streams: list[Stream] = []

    def now_s(self) -> float:
        """Return the time since the start of the load."""
        return time.monotonic() - self.started_at_s

    async def run(self) -> None:
        """Begin streams until the end, then wait for the last ones."""
        tasks = []
        while self.now_s() < END_AT_S:
            tasks.append(asyncio.create_task(self._stream()))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.wait(tasks, timeout=TIME_LIMIT_S + 1.0)
        for task in tasks:
            task.cancel()

    async def _stream(self) -> None:
        stream = Stream(len(self.streams), self.now_s())
        self.streams.append(stream)
        ends_at_s = time.monotonic() + TIME_LIMIT_S
        request_id = f"r{next(self._ids):08x}"
        await self._try(stream, request_id, {}, ends_at_s)
        if not stream.began or stream.is_whole:
            return
        # The channel was broken after events had come.
        stream.taken_up_at_s = self.now_s()
        for _ in range(3):
            before = stream.last_id
            more = {"Resumes": request_id, "Last-Event-Id": str(before)}
            response = await self._try(stream, f"r{next(self._ids):08x}", more, ends_at_s)
            stream.goes_on = stream.goes_on or stream.last_id > before or stream.is_whole
            reason = response.headers.get("x-reason", "")
            stream.tries.append(f"{response.status} {reason}".strip())
            if stream.goes_on or time.monotonic() > ends_at_s:
                return
            await asyncio.sleep(float(response.headers.get("retry-after", "0.3")))

    async def _try(
        self, stream: Stream, request_id: str, more: dict[str, str], ends_at_s: float
    ) -> Response:
        left_s = max(0.05, ends_at_s - time.monotonic())
        headers = {
            "Host": HOST, "X-Request-Id": request_id, "X-Api-Key": KEY, "X-Model": "m",
            "X-Token-Usage": "11992,160", "X-Prefix-Hash": _prompt_parts(stream.number),
            "X-Deadline-Ms": str(round(left_s * 1e3)), **more,
        }  # fmt: skip

        def on_data(response: Response) -> bool:
            events = response.body.decode().split("\n\n")[:-1]
            if events:
                stream.began = True
                stream.last_id = int(events[-1].split("\n")[0].removeprefix("id: "))
                stream.version = events[0].split("data: ")[1].split(" ")[0]
            return True

        front = self._rng.choice(self._site.fronts)
        response = await call(
            front, "POST", "/plan/x", headers, b"{}", timeout_s=left_s, on_data=on_data
        )
        stream.is_whole = response.is_whole and response.status == 200
        return response


def _prompt_parts(number: int) -> str:
    """Return the parts of a prompt: one of all, one of a session, and the request's own."""
    return f"5c1e07a2:512,{number % 156:04x}:4870,{number:08x}:6610"


async def run() -> tuple[int, list[str]]:
    """Play the case; return the exit code and the record."""
    store, cloud = Store(), Cloud()
    runs: list[tuple[float, str, str]] = []

    def on_run(replica: Replica, request: Request) -> None:
        runs.append((time.monotonic(), replica.name, request.headers.get("x-request-id", "")))

    routes = [
        route("plan", "streaming", "engine", max_attempts=2, resumable=True, timeout_ms=15_000)
    ]
    versions = ["v1"] * OLD_COUNT + ["v2"] * NEW_COUNT
    replicas = [
        Replica(
            f"i-{number:02d}", "engine", store, on_run, "abc"[number % 3], version,
            event_period_s=EVENT_PERIOD_S, events_count=EVENTS_COUNT,
        )
        for number, version in enumerate(versions)
    ]  # fmt: skip
    old = replicas[:OLD_COUNT]
    store.put("keyed.op", "config", configuration(1, routes, [service("engine", 64)], [KEY]))
    rng = random.Random(2)
    async with running_site(store, cloud, VMS_COUNT) as site:
        try:
            for replica in replicas:
                await replica.start(rng.uniform(0.0, HEARTBEAT_S))
            if not await site.wait_ready():
                return 2, ["the VMs did not become ready"]
            # Until then no VM knows the starts of the replicas for certain.
            await asyncio.sleep(5.0)
            clients = Clients(site)
            load = asyncio.create_task(clients.run())
            await asyncio.sleep(CUT_AT_S - clients.now_s())
            for replica in old:
                replica.reaches_store = not TROUBLE
            await asyncio.sleep(CUT_AT_S + CUT_S - clients.now_s())
            for replica in old:
                replica.reaches_store = True
            await asyncio.sleep(DRAIN_AT_S - clients.now_s())
            # The busiest of the old ones is the next to be replaced.
            leaving = max(old, key=lambda replica: replica.running_count)
            leaving.drain()
            await asyncio.sleep(EXIT_AT_S - clients.now_s())
            leaving.leave()
            await load
            return _judge(site, clients, replicas, runs)
        finally:
            for replica in replicas:
                replica.stop()


def _judge(
    site: Site,
    clients: Clients,
    replicas: list[Replica],
    runs: list[tuple[float, str, str]],
) -> tuple[int, list[str]]:
    streams = clients.streams
    taken_up = [item for item in streams if item.taken_up_at_s is not None and item.version == "v1"]
    go_on = [item for item in taken_up if item.goes_on]
    began = [item for item in streams if item.began]
    lines = [
        f"streams sent {len(streams)}, begun {len(began)}, whole "
        f"{sum(item.is_whole for item in streams)}",
        f"streams of v1 taken up by clients {len(taken_up)}, of these gone on {len(go_on)}",
        f"tries of take-ups: {dict(Counter(text for item in taken_up for text in item.tries))}",
    ]
    lines += [
        f"stream {item.number} began at {item.began_at_s:.2f} s, taken up at "
        f"{item.taken_up_at_s:.2f} s after event {item.last_id}: {item.tries}"
        for item in taken_up
    ]
    start_s = clients.started_at_s
    for replica in replicas:
        times = [at_s - start_s for at_s, name, _ in runs if name == replica.name]
        before = sum(1 for at_s in times if at_s < CUT_AT_S)
        after = sum(1 for at_s in times if at_s >= CUT_AT_S + CUT_S + 1.0)
        lines.append(
            f"replica {replica.name} ({replica.version}): {before} runs before the cut, "
            f"{after} from 1 s after it"
        )
    told = Counter(
        line["replica"]
        for line in site.log_lines()
        if line.get("event") == "replica leaves, as another VM read"
    )
    lines.append(f"VMs told by others that a replica leaves: {dict(told)}")
    if site.ended():
        lines.append(f"ended by themselves: {site.ended()}")
    if len(taken_up) < TAKE_UPS_MIN_COUNT:
        lines.append(f"fewer than {TAKE_UPS_MIN_COUNT} streams were taken up: LOST is kept")
        return 0, lines
    share, new_share = len(go_on) / len(taken_up), len(began) / len(streams)
    is_broken = share < 0.5 * new_share
    lines.append(
        f"share that goes on {share:.2f}, share of new streams that begin {new_share:.2f}: "
        f"LOST is {'broken' if is_broken else 'kept'}"
    )
    return (1 if is_broken else 0), lines


if __name__ == "__main__":
    code, record = asyncio.run(run())
    (FOLDER / "record.txt").write_text("\n".join([f"TROUBLE={int(TROUBLE)}", *record, ""]))
    print("\n".join(record))
    sys.exit(code)
