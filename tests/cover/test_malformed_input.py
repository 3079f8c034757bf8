"""Malformed input costs the attempt, the record or the call that brought it, never the process."""

from __future__ import annotations

import asyncio
import json

import pytest

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


# Guards against a registered port that no connection can be opened to, which raised in each attempt.
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
