"""Malformed input costs the attempt, the record or the call that brought it, never the process."""

from __future__ import annotations

import asyncio
import json

import pytest
from platform_site import Site

from coriandershelf_core.internal.gateway.duty_lease import LeaseRecord
from coriandershelf_platform.application import steady_s
from coriandershelf_platform.client_connection import ResponseHead
from coriandershelf_platform.configuration import decode_configuration
from coriandershelf_platform.registry import decode_replica
from coriandershelf_platform.replica_client import _parse_idle_limit_s, _parse_load
from coriandershelf_platform.settings_file import read_settings
from coriandershelf_platform.sse import EventCutter
from coriandershelf_platform.store import StoreClient, StoreFailure
from coriandershelf_rig.internal.standin_replica import Replica, receipt_response

DEEP = b"[" * 100_000
# ``str.isdigit`` accepts the first, and Python converts no number as long as the second.
NO_NUMBERS = ("\xb2", "9" * 5000, "-1", "", "1e3")


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


# Guards against a header or an event id that raises in the attempt's task and ends the process.
@pytest.mark.parametrize("text", NO_NUMBERS)
def test_a_number_that_cannot_be_read_counts_as_absent(text):
    assert _parse_load(ResponseHead(200, (("x-server-load", f"1,{text},2"),))) is None
    assert _parse_idle_limit_s(f"timeout={text}") == _parse_idle_limit_s(None)
    events = EventCutter().feed(f"id: {text}\ndata: x\n\n".encode("latin1"))
    assert events is not None and events.last_event_id is None


# Guards against a registered port that no connection can be opened to: it raised in each attempt.
def test_a_replica_with_a_port_beyond_the_largest_is_no_replica():
    entry = {
        "service": "a", "address": "10.0.0.1:65535", "zone": "z", "slots": 1, "state": "ready",
        "version": "v1",
    }  # fmt: skip
    assert decode_replica("r", json.dumps(entry).encode()) is not None
    entry["address"] = "10.0.0.1:65536"
    assert decode_replica("r", json.dumps(entry).encode()) is None


# Guards against nesting so deep that decoders raise RecursionError.
def test_deeply_nested_records_and_settings_are_malformed(tmp_path):
    nested = b'{"x":' + DEEP + b"]" * len(DEEP) + b"}"
    assert decode_replica("r", nested) is None
    assert isinstance(decode_configuration(nested), str)
    assert LeaseRecord.decode(nested) is None
    assert LeaseRecord.decode(b'{"vm_id": "a", "incarnation": 1e999, "reports": []}') is None
    path = tmp_path / "node.json"
    path.write_bytes(nested)
    assert isinstance(read_settings(str(path)), str)


# Guards against an answer of the store that raises in a consumer's task and ends the process.
@pytest.mark.parametrize(
    "body",
    [
        b'{"items": [], "more": false, "end": 1e999}', DEEP, b"[]", b'{"items": 3}', b"\xff",
        b'{"items": [{"key": "k", "value": "!"}], "more": false, "end": 1e999}',
    ],
)  # fmt: skip
def test_an_answer_of_the_store_of_another_shape_is_a_failed_call(body):
    async def script(request, connection) -> None:
        await connection.send(receipt_response(request, body))

    async def scenario() -> None:
        store = await Replica(script).start()
        client = StoreClient(lambda: store.address, steady_s)
        assert await client.newest("keyed.op") is StoreFailure.MALFORMED
        assert await client.append("keyed.op", "key", b"value") is StoreFailure.LOST
        assert await client.read("keyed.op", 0, 0.0) is StoreFailure.MALFORMED
        client.close()
        await store.stop()

    run(scenario)


async def respond_done(request, connection) -> None:
    await connection.send(receipt_response(request))


# Guards against a target that tornado accepts and h11 cannot send: it raised in the attempt's task,
# so that one caller could end any process. No replica may be blamed for it either.
@pytest.mark.parametrize("line", ["GET /read/\xff", "CONNECT /read/1"])
def test_a_request_that_no_replica_can_be_sent_is_answered_with_400(line):
    async def scenario() -> None:
        async with Site() as site:
            replica = await site.add_replica("plain", respond_done)
            client = await site.connect()
            head = f"{line} HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key-1\r\n\r\n"
            client.send_raw(head.encode("latin1"))
            response = await client.read()
            assert (response.status, response.headers["x-reason"]) == (400, "invalid-request")
            client.send("/read/1")
            assert (await client.read()).status == 200
            assert len(replica.received) == 1 and site.application._exit_code == 0

    run(scenario)


# Guards against a header that h11 accepts and tornado refuses to write: it raised in the attempt's
# task, so that one replica could end every process that sent it a request.
def test_a_response_with_a_control_character_in_a_header_fails_its_attempt_only():
    async def script(request, connection) -> None:
        await connection.send(receipt_response(request, X_Other="a\x01b"))

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", script)
            client = await site.connect()
            client.send("/book/1")
            assert (await client.read()).status == 502
            assert site.application._exit_code == 0 and not site.application._ended.is_set()

    run(scenario)


# Guards against an unexpected error in one attempt that ends the process with all its requests,
# and against a caller that is left without an answer by it.
@pytest.mark.parametrize(
    ("error", "exit_code"), [(RuntimeError("x"), 0), (AssertionError("x"), 70)]
)
def test_an_error_in_an_attempt_costs_the_attempt_and_a_broken_invariant_the_process(
    monkeypatch, error, exit_code
):
    async def fail(*_: object) -> None:
        raise error

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done)
            monkeypatch.setattr("coriandershelf_platform.application.run_attempt", fail)
            client = await site.connect()
            client.send("/book/1")
            if exit_code:
                assert await site.application.wait() == exit_code
                return
            assert (await client.read()).status == 502
            lines = [line["event"] for line in site.logs()]
            assert "attempt failed unexpectedly" in lines
            monkeypatch.undo()
            client.send("/book/2")
            assert (await client.read()).status == 200
            assert not site.application._ended.is_set()

    run(scenario)


# Guards against a record whose decoding raises: it ended the process, which read it again as it
# started again.
@pytest.mark.parametrize("decoder", ["decode_replica", "decode_configuration"])
def test_a_record_that_cannot_be_decoded_costs_that_record(monkeypatch, decoder):
    def fail(*_: object) -> None:
        raise RuntimeError("x")

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done)
            monkeypatch.setattr(f"coriandershelf_platform.topic_consumers.{decoder}", fail)
            if decoder == "decode_replica":
                site.register("odd", "plain", "10.0.0.1:1")
            else:
                site.store.put("keyed.op", "config", {"version": 2})
            counts = site.application._metrics._counts
            while not counts["records", "malformed"]:
                await asyncio.sleep(0.01)
            client = await site.connect()
            client.send("/book/1")
            assert (await client.read()).status == 200
            assert not site.application._ended.is_set()

    run(scenario)
