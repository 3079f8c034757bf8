"""An entry VM that cannot read the configuration from the store has it from the other VMs."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

import msgspec
import pytest
from platform_site import Site, make_configuration

from coriandershelf_core.internal.gateway.topic_sharing import KeyedRecord, TopicSnapshot
from coriandershelf_platform.configuration_exchange import RECORDS_MAX_BYTES, decode_snapshot
from coriandershelf_rig.internal.standin_store import OPERATOR_TOPIC, StoreState

# Only ends a test that fails.
TEST_TIMEOUT_S = 10.0


def version_of(site: Site) -> int:
    deployment = site.application._gateway.deployment
    return 0 if deployment is None else deployment.version


async def until(condition: Callable[[], bool]) -> None:
    async def wait() -> None:
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(wait(), TEST_TIMEOUT_S)


# Guards against a VM that serves an old configuration although it hears in each digest that others
# have a newer one: the store turns it away, and a reader cannot pass on what exceeds a datagram.
def test_a_vm_that_the_store_turns_away_has_a_new_version_from_its_peers():
    async def scenario() -> None:
        async with (
            Site() as site,
            Site(StoreState(site.store.topics), vm_name="vm-2") as other,
        ):
            await until(lambda: version_of(site) == version_of(other) == 1)
            await until(lambda: other.application._gateway.peers.count == 1)
            other.store.refuse = True
            configuration = {**make_configuration(2), "comment": "x" * 200_000}
            site.store.put(OPERATOR_TOPIC, "config", configuration)
            await until(lambda: version_of(site) == 2)
            await until(lambda: version_of(other) == 2)

    asyncio.run(scenario())


# Guards against a VM that starts while the store turns it away, and knows nothing although its
# peers have a configuration.
def test_a_vm_that_starts_while_the_store_turns_it_away_has_the_configuration_of_its_peers():
    async def scenario() -> None:
        async with Site() as site:
            await until(lambda: version_of(site) == 1)
            refusing = StoreState(site.store.topics, refuse_topics=frozenset({OPERATOR_TOPIC}))
            async with Site(refusing, vm_name="vm-2") as other:
                await until(lambda: version_of(other) == 1)
                await until(lambda: other.application._configuration.snapshot(0.0) is not None)

    asyncio.run(scenario())


def snapshot_body(**changes: object) -> bytes:
    records = [{"key": "config", "value": b"{}"}]
    fields = {
        "next_offset": 4,
        "proof_age_s": 0.5,
        "offsets": [3],
        "records": zlib.compress(msgspec.msgpack.encode(records)),
        **changes,
    }
    return msgspec.msgpack.encode(fields)


def test_a_snapshot_names_its_records_and_where_to_read_on():
    snapshot = decode_snapshot(snapshot_body())
    assert snapshot == TopicSnapshot(4, 0.5, (KeyedRecord("config", b"{}"),), (3,))


# Guards against a message of a peer that ends the process or fills its memory.
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        snapshot_body(next_offset=-1),
        snapshot_body(proof_age_s=-1.0),
        snapshot_body(proof_age_s=float("nan")),
        snapshot_body(offsets=[]),
        snapshot_body(records=b"not compressed"),
        snapshot_body(records=zlib.compress(b"\xc1")),
        snapshot_body(records=zlib.compress(msgspec.msgpack.encode([]))[:-1]),
        snapshot_body(records=zlib.compress(bytes(RECORDS_MAX_BYTES + 1))),
    ],
)
def test_a_malformed_snapshot_is_not_used(body: bytes):
    assert isinstance(decode_snapshot(body), str)
