"""Two entry VMs of a zone follow a topic: one reads the store, the other queries it."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import pytest
import structlog

from coriandershelf_core.internal.gateway.topic_sharing import KeyedRecord, reader_ids
from coriandershelf_platform import topic_consumers, topic_readers
from coriandershelf_platform.store import NewestRecords, ReadRecords
from coriandershelf_platform.topic_consumers import TopicConsumer
from coriandershelf_platform.topic_readers import TopicReaders

TOPIC = "keyed.servers"
READER, FOLLOWER = reader_ids(TOPIC, ["vm-1", "vm-2"])


class Store:
    """A topic and the number of calls of one VM."""

    def __init__(self, records: list[KeyedRecord]) -> None:
        self.records = records
        self.calls_count = 0
        self.received_bytes = 0

    async def newest(self, topic: str) -> NewestRecords:
        self.calls_count += 1
        now_s = time.monotonic()
        end = len(self.records)
        return NewestRecords(tuple(self.records), end, now_s, now_s, tuple(range(end)))

    async def read(self, topic: str, offset: int, wait_s: float) -> ReadRecords:
        self.calls_count += 1
        sent_at_s = time.monotonic()
        await asyncio.sleep(0.005)
        records = tuple(self.records[offset:])
        return ReadRecords(records, offset + len(records), sent_at_s, time.monotonic())


class Vm:
    """One entry VM's consumer of the topic."""

    def __init__(self, vm_id: str, records: list[KeyedRecord], network: dict[str, Vm]) -> None:
        self.store = Store(records)
        self.keys: list[str] = []
        self.watermark_s = 0.0
        self.changed = asyncio.Event()
        self.deaf = False
        others = [
            SimpleNamespace(vm_id=name, address=name, zone="zone", stopping=False)
            for name in (READER, FOLLOWER)
            if name != vm_id
        ]
        peers = SimpleNamespace(count=20, live_digests=lambda now_s: others)
        gateway = SimpleNamespace(vm_id=vm_id, peers=peers)

        def send(message, addresses):
            for address in addresses:
                if not network[address].deaf:
                    network[address].readers.on_message(message)

        self.readers = TopicReaders(gateway, "zone", vm_id, send, time.monotonic)
        self.consumer = TopicConsumer(
            TOPIC, 1.0, 1.0, self.store, self._on_records, self._on_watermark,
            lambda: 0.0, self.readers, structlog.get_logger(), lambda kind, reason: None,
        )  # fmt: skip

    def _on_records(self, records, complete, after_outage) -> None:
        self.keys += [record.key for record in records]
        self.changed.set()

    def _on_watermark(self, at_s: float) -> None:
        self.watermark_s = max(self.watermark_s, at_s)
        self.changed.set()

    async def until(self, condition) -> None:
        while not condition():
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), 30.0)


async def follow(scenario) -> None:
    records = [KeyedRecord("first", b"1")]
    network: dict[str, Vm] = {}
    for vm_id in (READER, FOLLOWER):
        network[vm_id] = Vm(vm_id, records, network)
    tasks = [asyncio.create_task(vm.consumer.run(time.monotonic)) for vm in network.values()]
    try:
        await scenario(network[READER], network[FOLLOWER], records)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture(autouse=True)
def fast(monkeypatch):
    monkeypatch.setattr(topic_consumers, "QUERY_PERIOD_S", 0.01)
    monkeypatch.setattr(topic_consumers, "READER_BATCH_DELAY_S", 0.0)
    monkeypatch.setattr(topic_readers, "REPLY_TIMEOUT_S", 0.05)


def test_a_follower_learns_records_and_proofs_without_calls_to_the_store():
    async def scenario(reader: Vm, follower: Vm, records: list[KeyedRecord]) -> None:
        await follower.until(lambda: follower.keys == ["first"])
        await reader.until(lambda: reader.keys == ["first"])
        first_watermark_s = follower.watermark_s
        calls_count = follower.store.calls_count
        records += [KeyedRecord("second", b"2"), KeyedRecord("third", None)]
        await follower.until(lambda: follower.keys == ["first", "second", "third"])
        await follower.until(lambda: follower.watermark_s > first_watermark_s)
        assert follower.store.calls_count - calls_count <= 1
        assert reader.store.calls_count > 2

    asyncio.run(follow(scenario))


def test_a_follower_reads_the_store_by_itself_while_its_reader_is_silent():
    async def scenario(reader: Vm, follower: Vm, records: list[KeyedRecord]) -> None:
        await follower.until(lambda: follower.keys == ["first"])
        reader.deaf = True
        calls_count = follower.store.calls_count
        records.append(KeyedRecord("second", b"2"))
        await follower.until(lambda: follower.keys == ["first", "second"])
        assert follower.store.calls_count > calls_count

    asyncio.run(follow(scenario))
