"""A read of the store that holds a part of the records proves nothing about the others."""

from __future__ import annotations

import asyncio
import struct
import time
from types import SimpleNamespace

import pytest
import structlog

from coriandershelf_platform import store as store_module
from coriandershelf_platform.store import (
    ReadContents,
    ReadRecords,
    StoreClient,
    StoreFailure,
    keyed_content,
)
from coriandershelf_platform.topic_consumers import TopicConsumer
from coriandershelf_platform.topic_readers import TopicReaders
from coriandershelf_rig.internal.standin_replica import Replica
from coriandershelf_rig.internal.standin_store import REGISTRY_TOPIC, StoreState, start_store

KEYS = [f"r-{number}" for number in range(9)]
VALUE = {"text": "x" * 400}


class Following:
    """A consumer of the registry, and what it passed on."""

    def __init__(self, address: str) -> None:
        self.keys: list[str] = []
        self.watermarks: list[tuple[float, int]] = []
        peers = SimpleNamespace(count=0, live_digests=lambda now_s: [])
        gateway = SimpleNamespace(vm_id="vm-1", peers=peers)
        readers = TopicReaders(
            gateway, "zone", "vm-1", lambda message, addresses: None, time.monotonic
        )
        self.store = StoreClient(lambda: address, time.monotonic)
        self.consumer = TopicConsumer(
            REGISTRY_TOPIC, 1.0, 0.3, self.store, self._on_records, self._on_watermark,
            lambda: 0.0, readers, structlog.get_logger(), lambda kind, reason: None,
        )  # fmt: skip

    def _on_records(self, records, complete, after_outage) -> None:
        self.keys += [record.key for record in records]

    def _on_watermark(self, at_s: float) -> None:
        self.watermarks.append((at_s, len(self.keys)))


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30.0))


# Guards against a proof that all registrations are known while a page of them is still to be read:
# the only version that was read stands in for streams of another one.
def test_a_page_is_no_proof_that_all_records_before_it_was_read_are_known(monkeypatch):
    monkeypatch.setattr(store_module, "READ_MAX_KB", 1)

    async def scenario() -> None:
        state = StoreState()
        server, address = await start_store(state)
        following = Following(address)
        task = asyncio.create_task(following.consumer.run(time.monotonic))
        while not following.watermarks:
            await asyncio.sleep(0.01)
        for key in KEYS:
            state.put(REGISTRY_TOPIC, key, VALUE)
        written_at_s = time.monotonic()
        while following.watermarks[-1][0] <= written_at_s:
            await asyncio.sleep(0.01)
        counts = [count for at_s, count in following.watermarks if at_s > written_at_s]
        assert set(counts) == {len(KEYS)} and following.keys == KEYS
        assert following.consumer.batch.earliest_s <= time.monotonic()
        task.cancel()
        following.store.close()
        server.stop()
        await server.close_all_connections()

    run(scenario)


def cut_answer(records_count: int) -> bytes:
    """Return an answer with neither a length nor chunks, of which the last records are missing."""
    contents = [keyed_content(key, b"1") for key in KEYS[:records_count]]
    body = struct.pack(">QQ", len(KEYS), 0)
    body += b"".join(struct.pack(">I", len(content)) + content for content in contents)
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


# Guards against an answer that its store, as it ended, cut between two records.
@pytest.mark.parametrize("records_count", [0, 1, len(KEYS)])
def test_an_answer_that_was_cut_between_records_proves_nothing(records_count):
    async def script(request, connection) -> None:
        await connection.send(cut_answer(records_count))
        connection.close()

    async def scenario() -> None:
        server = await Replica(script).start()
        following = Following(server.address)
        read = await following.store.read(REGISTRY_TOPIC, 0, 0.0)
        if records_count:
            assert isinstance(read, ReadRecords) and len(read.records) == records_count
            assert read.reaches_end is (records_count == len(KEYS))
        else:
            assert read is StoreFailure.MALFORMED
        following.consumer._shared.on_loaded(0, 0.0)
        await following.consumer.prove(following.store)
        assert not following.watermarks
        following.store.close()
        await server.stop()

    run(scenario)


# Guards against origins of streams that count as never stored, as their read was cut: a stream goes
# on at the only version that is registered, whichever began it.
def test_an_answer_without_records_though_there_are_some_is_no_answer():
    async def script(request, connection) -> None:
        await connection.send(cut_answer(0))
        connection.close()

    async def scenario() -> None:
        server = await Replica(script).start()
        store = StoreClient(lambda: server.address, time.monotonic)
        assert await store.read_contents("stream-origins", 0) is StoreFailure.MALFORMED
        at_end = await store.read_contents("stream-origins", len(KEYS))
        assert isinstance(at_end, ReadContents) and not at_end.contents
        store.close()
        await server.stop()

    run(scenario)
