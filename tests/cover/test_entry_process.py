"""One entry VM's process with one engine, tested through its APIs and command line."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httpclient import HTTPClientError
from tornado.iostream import IOStream

from coriandershelf_rig.internal.cluster import Cluster
from coriandershelf_rig.internal.deployments import OPERATOR_KEY, single_zone
from coriandershelf_rig.internal.engine_model import EngineShape, EngineToken
from coriandershelf_rig.internal.standin_engine import encode_payload

FAST = EngineShape(slots=64, step_base_s=0.0001, step_per_sequence_s=0.0)
# Generates 60,000 tokens in ten minutes, far longer than any test takes to cancel them.
STEADY = EngineShape(slots=64, step_base_s=0.01, step_per_sequence_s=0.0)
SLOW_READER_TOKENS_COUNT = 60_000


def with_cluster(check: Callable[[Cluster], Awaitable[None]], engine: EngineShape = FAST) -> None:
    async def run() -> None:
        async with Cluster(single_zone(engine, 1)) as cluster:
            await check(cluster)

    asyncio.run(run())


def chat(length: int, **more: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": "which span?"}]
    return {"model": "model", "messages": messages, "max_tokens": length, **more}


async def post(cluster: Cluster, path: str, body: bytes, **headers: str):
    return await cluster.client.fetch(
        f"http://{cluster.addresses['entry-1']}{path}",
        method="POST",
        body=body,
        headers={"Authorization": "Bearer caller-demo-key", **headers},
        raise_error=False,
    )


def test_bad_input_is_refused_with_a_reason_and_what_to_do():
    async def check(cluster: Cluster) -> None:
        async def refused(path: str, body: bytes, **headers: str) -> tuple[int, str, str]:
            answer = await post(cluster, path, body, **headers)
            error = json.loads(answer.body)["error"]
            assert answer.headers["X-Outcome"] == "not-run"
            return answer.code, error["code"], error["message"]

        path = "/v1/chat/completions"
        good = json.dumps(chat(3)).encode()
        code, reason, message = await refused(path, b"{")
        assert (code, reason) == (400, "bad-request")
        code, reason, message = await refused(path, json.dumps(chat(3, stream=7)).encode())
        assert (code, reason) == (400, "bad-request")
        assert "$.stream" in message
        assert (await refused(path, good, Authorization="Bearer nobody"))[:2] == (
            401,
            "unknown-key",
        )
        wrong = json.dumps(chat(3, model="other")).encode()
        assert (await refused(path, wrong))[:2] == (404, "unknown-service")
        late = {"X-Request-Deadline-Ms": "-1"}
        assert (await refused(path, good, **late))[:2] == (400, "bad-request")
        large = b"x" * ((1 << 20) + 1)
        assert (await refused(path, large))[:2] == (413, "body-too-large")
        call = "/v1/services/calls/orders/new"
        assert (await refused(call, b"pole 7"))[:2] == (400, "key-missing")

    with_cluster(check)


def test_an_unknown_path_is_answered_in_json():
    async def check(cluster: Cluster) -> None:
        answer = await post(cluster, "/v2/nothing", b"")
        assert answer.code == 404
        assert json.loads(answer.body)["error"]["code"] == "http-error"

    with_cluster(check)


def test_only_the_operator_reads_status_and_a_request_is_explained():
    async def check(cluster: Cluster) -> None:
        answer = await post(cluster, "/v1/chat/completions", json.dumps(chat(3)).encode())
        request_id = answer.headers["X-Request-Id"]
        url = f"http://{cluster.addresses['entry-1']}/admin/explain/{request_id}"
        with pytest.raises(HTTPClientError, match="403"):
            await cluster.client.fetch(url)
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        explained = json.loads((await cluster.client.fetch(url, headers=headers)).body)
        assert [step["step"] for step in explained["steps"]][-1] == "done"

    with_cluster(check)


async def open_stream(cluster: Cluster, length: int, receive_buffer_bytes: int = 1 << 16):
    """Send a streaming request over a raw socket and return the connection, unread."""
    host, _, port = cluster.addresses["entry-1"].rpartition(":")
    raw_socket = socket.socket()
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    stream = IOStream(raw_socket, max_buffer_size=receive_buffer_bytes)
    await stream.connect((host, int(port)))
    body = json.dumps(chat(length, stream=True)).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer caller-demo-key\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    await stream.write(head.encode() + body)
    return stream


async def engine_record(cluster: Cluster) -> dict[str, Any]:
    return await cluster.get(f"http://{cluster.addresses['engine-1']}/record")


def test_a_caller_that_closes_cancels_its_sequence_at_the_engine():
    async def check(cluster: Cluster) -> None:
        stream = await open_stream(cluster, SLOW_READER_TOKENS_COUNT)
        await stream.read_bytes(1000)
        stream.close()
        while (await engine_record(cluster))["running"]:
            await asyncio.sleep(0.02)
        assert (await engine_record(cluster))["tokens_generated"] < SLOW_READER_TOKENS_COUNT

    with_cluster(check, STEADY)


def send_buffer_limit_bytes() -> int:
    with open("/proc/sys/net/ipv4/tcp_wmem") as file:
        return int(file.read().split()[2])


def test_a_caller_that_does_not_read_holds_back_its_upstream_and_is_not_failed_as_silent():
    async def check(cluster: Cluster) -> None:
        receive_buffer_bytes = 1 << 16
        stream = await open_stream(cluster, SLOW_READER_TOKENS_COUNT, receive_buffer_bytes)
        await stream.read_bytes(1000)
        while (await engine_record(cluster))["running"]:
            await asyncio.sleep(0.1)
        # Longer than the limit on the gap between tokens, after which a stream counts as failed.
        await asyncio.sleep(3.0)
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"http://{cluster.addresses['entry-1']}/admin/status"
        answer = await cluster.client.fetch(url, headers=headers)
        counters = json.loads(answer.body)["counters"]
        payload_bytes = len(encode_payload(EngineToken("a", "r" * 32, 0, 0, False)))
        buffered_bytes = send_buffer_limit_bytes() + 2 * receive_buffer_bytes
        # The mailbox and the chunk being added to it, in addition to the socket buffers.
        chunk_count = 65536 // payload_bytes
        limit_count = 256 + 2 * chunk_count + buffered_bytes // payload_bytes
        assert limit_count < SLOW_READER_TOKENS_COUNT
        assert counters["tokens.relayed"] <= limit_count
        assert not [name for name in counters if name.startswith("retry.")]
        stream.close()

    with_cluster(check)


def run_entry(*flags: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "coriandershelf_entry", *flags]
    environment = {
        **os.environ,
        "CORIANDERSHELF_ZONE": "z",
        "CORIANDERSHELF_LISTEN": "127.0.0.1:1",
        "CORIANDERSHELF_PEER_LISTEN": "127.0.0.1:2",
        "CORIANDERSHELF_LOG_ADDRESS": "127.0.0.1:3",
        "CORIANDERSHELF_PLATFORM_ADDRESS": "127.0.0.1:3",
    }
    return subprocess.run(command, capture_output=True, text=True, env=environment, timeout=60)


def test_a_wrong_setting_ends_the_process_with_code_2_and_one_line():
    missing = run_entry()
    assert missing.returncode == 2
    assert missing.stderr.count("\n") == 1
    assert "--vm-id (CORIANDERSHELF_VM_ID)" in missing.stderr
    invalid = run_entry("--vm-id", "e", "--heartbeat-s", "0")
    assert invalid.returncode == 2
    assert "heartbeat_s=0.0 is below 0.01" in invalid.stderr


def test_help_names_each_flag_with_its_environment_variable():
    shown = run_entry("--help").stdout
    for name in ("LOG_ADDRESS", "HEARTBEAT_S", "BODY_LIMIT_BYTES"):
        assert f"--{name.lower().replace('_', '-')}" in shown
        assert f"CORIANDERSHELF_{name}" in shown


def test_a_stock_client_lists_the_models_that_its_key_may_name():
    async def check(cluster: Cluster) -> None:
        async def list_models(key: str) -> tuple[int, dict[str, Any]]:
            url = f"http://{cluster.addresses['entry-1']}/v1/models"
            headers = {"Authorization": f"Bearer {key}"}
            answer = await cluster.client.fetch(url, headers=headers, raise_error=False)
            return answer.code, json.loads(answer.body)

        status, document = await list_models("caller-demo-key")
        assert status == 200 and document["object"] == "list"
        assert [item["id"] for item in document["data"]] == ["model"]
        assert all(item["object"] == "model" for item in document["data"])
        status, document = await list_models("nobody")
        assert (status, document["error"]["code"]) == (401, "unknown-key")

    with_cluster(check)
