"""Latency, CPU time and memory that an entry VM adds to a stream, compared with direct calls."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import click
import psutil
from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import single_zone
from coriandershelf_rig.internal.engine_model import EngineShape
from coriandershelf_rig.internal.load import chat_body
from coriandershelf_rig.internal.report import Report

NAME = "overhead"
ENGINE_COUNT = 4
ENGINE = EngineShape(slots=128, step_base_s=0.02, step_per_sequence_s=0.0, prefill_tokens_per_s=1e6)
STREAM_LENGTHS = (1, 50, 100, 200)
REQUEST_COUNT = 100
START_PERIOD_S = 0.1
OPEN_STREAM_COUNTS = (50, 100, 200, 400)
SETTLE_S = 1.0
IDLE_S = 5.0


@dataclass(slots=True)
class StreamTimings:
    """Stream timings of one run, in microseconds."""

    first_token_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    gap_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    def to_dict(self) -> dict[str, float]:
        """Return percentiles in milliseconds by name."""
        return {
            f"{name}_p{share}_ms": histogram.get_value_at_percentile(share) / 1000
            for name, histogram in (("first_token", self.first_token_us), ("gap", self.gap_us))
            for share in (50, 95, 99)
        }


async def _fetch_stream(
    client: AsyncHTTPClient, address: str, key: str, body: dict[str, Any], timings: StreamTimings
) -> None:
    started_s = time.monotonic()
    last_s = 0.0

    def on_chunk(chunk: bytes) -> None:
        nonlocal last_s
        now_s = time.monotonic()
        if not last_s:
            timings.first_token_us.record_value(int((now_s - started_s) * 1e6))
        else:
            timings.gap_us.record_value(max(1, int((now_s - last_s) * 1e6)))
        last_s = now_s

    request = HTTPRequest(
        f"http://{address}/v1/chat/completions",
        method="POST",
        headers={"Authorization": f"Bearer {key}"},
        body=json.dumps(body),
        streaming_callback=on_chunk,
        request_timeout=120.0,
    )
    await client.fetch(request)


async def _run_streams(
    cluster: Cluster, addresses: list[str], length: int, count: int, seed: int
) -> StreamTimings:
    """Send ``count`` streams at a steady rate and return their timings.

    If all were sent at once, first-token times would reflect queueing, not the entry VM's overhead.
    """
    timings = StreamTimings()
    rng = random.Random(seed)
    key = cluster.deployment.customers[0].key
    streams = []
    for index in range(count):
        body = chat_body("model", rng, length, True)
        address = addresses[index % len(addresses)]
        stream = _fetch_stream(cluster.client, address, key, body, timings)
        streams.append(asyncio.create_task(stream))
        await asyncio.sleep(START_PERIOD_S)
    await asyncio.gather(*streams)
    return timings


def _cpu_time_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _idle_cpu_share(process: psutil.Process) -> float:
    """Return an idle entry VM's CPU usage as a share of a core."""
    cpu_before_s = _cpu_time_s(process)
    await asyncio.sleep(IDLE_S)
    return (_cpu_time_s(process) - cpu_before_s) / IDLE_S


async def _measure_cpu(cluster: Cluster, seed: int, echo: Callable[[str], None]) -> None:
    """Print the entry VM's CPU time per request for several stream lengths."""
    process = psutil.Process(cluster.processes.pid("entry-1"))
    address = cluster.addresses["entry-1"]
    rows = []
    idle_cpu_share = await _idle_cpu_share(process)
    echo(f"idle {idle_cpu_share * 100:.2f}% of a core, taken off below")
    for length in STREAM_LENGTHS:
        started_s = time.monotonic()
        cpu_before_s = _cpu_time_s(process)
        await _run_streams(cluster, [address], length, REQUEST_COUNT, seed)
        cpu_s = _cpu_time_s(process) - cpu_before_s
        cpu_s -= idle_cpu_share * (time.monotonic() - started_s)
        rows.append((length, cpu_s / REQUEST_COUNT))
        echo(f"length {length:4} tokens: {cpu_s / REQUEST_COUNT * 1e6:8.0f} us a request")
    (first, first_s), (last, last_s) = rows[0], rows[-1]
    per_token_s = (last_s - first_s) / (last - first)
    per_request_s = first_s - per_token_s * first
    echo(f"per token {per_token_s * 1e6:.1f} us, {1 / per_token_s:.0f} tokens/s a core")
    echo(f"per request {per_request_s * 1e6:.0f} us, {1 / per_request_s:.0f} requests/s a core")


async def _measure_memory(cluster: Cluster, seed: int, echo: Callable[[str], None]) -> None:
    """Print the entry VM's resident memory by number of open streams."""
    process = psutil.Process(cluster.processes.pid("entry-1"))
    address = cluster.addresses["entry-1"]
    key = cluster.deployment.customers[0].key
    rng = random.Random(seed)
    rows = []
    for count in OPEN_STREAM_COUNTS:
        bodies = [chat_body("model", rng, 200, True) for _ in range(count)]
        streams = [
            asyncio.create_task(_fetch_stream(cluster.client, address, key, body, StreamTimings()))
            for body in bodies
        ]
        await asyncio.sleep(SETTLE_S)
        rows.append((count, process.memory_info().rss))
        await asyncio.gather(*streams)
        echo(f"{count:4} open streams: {rows[-1][1] / 2**20:.1f} MiB resident")
    (first, low_bytes), (last, high_bytes) = rows[0], rows[-1]
    echo(f"per open stream {(high_bytes - low_bytes) / (last - first) / 1024:.1f} KiB")


async def _measure(seed: int, verbose: bool) -> tuple[StreamTimings, StreamTimings]:
    def echo(line: str) -> None:
        if verbose:
            click.echo(line)

    async with Cluster(single_zone(ENGINE, ENGINE_COUNT), seed) as cluster:
        engine_addresses = [
            cluster.addresses[f"engine-{index}"] for index in range(1, ENGINE_COUNT + 1)
        ]
        entry_addresses = [cluster.addresses["entry-1"]]
        await _run_streams(cluster, engine_addresses + entry_addresses, 5, 50, seed)
        direct = await _run_streams(cluster, engine_addresses, 100, REQUEST_COUNT, seed)
        via_entry = await _run_streams(cluster, entry_addresses, 100, REQUEST_COUNT, seed)
        echo(f"direct      {json.dumps(direct.to_dict())}")
        echo(f"through one {json.dumps(via_entry.to_dict())}")
        await _measure_cpu(cluster, seed, echo)
        await _measure_memory(cluster, seed, echo)
        return direct, via_entry


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure the overhead of one entry VM process on loopback."""
    direct, via_entry = asyncio.run(_measure(seed, verbose))
    return Report(
        experiment=NAME,
        seed=seed,
        measure="median first-token time in ms, direct against through an entry VM",
        baseline=direct.to_dict()["first_token_p50_ms"],
        candidate=via_entry.to_dict()["first_token_p50_ms"],
        target=None,
        violations=0,
    )
