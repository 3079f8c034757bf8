"""Draining the process of an entry VM lets its requests in flight finish."""

from __future__ import annotations

import asyncio
import json

from click.testing import CliRunner
from tornado.httpclient import HTTPRequest

from coriandershelf_operator.internal.cli import main
from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import OPERATOR_KEY, kingston
from coriandershelf_rig.internal.faults import reduce_deployment
from coriandershelf_rig.internal.load import expected_tokens, streamed_tokens

EXIT_TIMEOUT_S = 60.0


def run_drain(address: str) -> int:
    arguments = ["drain", "--entry", address, "--operator-key", OPERATOR_KEY, "--json"]
    return CliRunner().invoke(main, arguments).exit_code


async def drain_during_stream():
    body = {
        "model": "inspection-model",
        "messages": [{"role": "user", "content": "wire 7"}],
        "max_tokens": 250,
        "stream": True,
    }
    async with Cluster(reduce_deployment(kingston()), seed=1) as cluster:
        address = cluster.addresses["entry-1"]
        received = bytearray()
        first_chunk = asyncio.Event()

        def on_chunk(chunk: bytes) -> None:
            received.extend(chunk)
            first_chunk.set()

        key = next(iter(cluster.description()["keys"].values()))
        request = HTTPRequest(
            f"http://{address}/v1/chat/completions",
            method="POST",
            headers={"Authorization": f"Bearer {key}"},
            body=json.dumps(body),
            streaming_callback=on_chunk,
            request_timeout=EXIT_TIMEOUT_S,
        )
        stream = asyncio.ensure_future(cluster.client.fetch(request))
        await first_chunk.wait()
        drain_code = await asyncio.to_thread(run_drain, address)
        ready = await cluster.client.fetch(f"http://{address}/readyz", raise_error=False)
        await stream
        process_code = await asyncio.to_thread(cluster.processes.wait, "entry-1", EXIT_TIMEOUT_S)
        tokens = streamed_tokens(bytes(received))
        return drain_code, ready.code, process_code, tokens == expected_tokens(body)


def test_a_drained_process_loses_readiness_finishes_its_stream_and_ends():
    assert asyncio.run(drain_during_stream()) == (0, 503, 0, True)
