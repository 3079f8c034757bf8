"""What the store keeps of versions and origins of streams, over HTTP and with malformed records."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from coriandershelf_core.internal.gateway.actions import (
    AppendOrigins,
    ReadOrigins,
    RecordVersions,
    RetireVersion,
)
from coriandershelf_core.internal.gateway.events import (
    Event,
    OriginsAppended,
    OriginsRead,
    VersionsRecorded,
)
from coriandershelf_core.internal.gateway.origin_messages import ServiceVersion, StreamOrigin
from coriandershelf_platform.origin_store import (
    ORIGINS_TOPIC,
    RECORDS_READ_MAX_COUNT,
    VERSIONS_TOPIC,
    OriginAction,
    OriginStore,
    decode_origins,
    decode_version,
    encode_origins,
    encode_version,
)
from coriandershelf_platform.store import StoreClient
from coriandershelf_rig.internal.standin_store import PAGE_KEYS_COUNT, StoreState, start_store

V1, V2 = ServiceVersion("engine", "v1"), ServiceVersion("engine", "v2")


class ListLog:
    """Keeps the events of log lines."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append(event)

    warning = info


class Site:
    """A store and the part of an entry VM that calls it."""

    def __init__(self, state: StoreState, address: str) -> None:
        self.state = state
        self.log = ListLog()
        self.counted: list[tuple[str, str]] = []
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        loop_time = asyncio.get_running_loop().time
        self.clients = [StoreClient(lambda: address, loop_time) for _ in range(2)]
        post = self._events.put_nowait
        self.origins = OriginStore(
            *self.clients, post, self.log, lambda *item: self.counted.append(item)
        )

    async def call(self, action: OriginAction) -> Event:
        """Perform an action and return its outcome."""
        self.origins.perform(action)
        return await self._events.get()


def run_site(test: Callable[[Site], Awaitable[None]]) -> None:
    async def run() -> None:
        state = StoreState()
        server, address = await start_store(state)
        site = Site(state, address)
        tasks = [asyncio.create_task(work) for work in site.origins.tasks()]
        try:
            await test(site)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for client in site.clients:
                client.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def test_versions_and_origins_are_read_as_they_were_written():
    async def test(site: Site) -> None:
        # More versions than the store returns in one page.
        versions = tuple(ServiceVersion("engine", f"v{n}") for n in range(2 * PAGE_KEYS_COUNT))
        assert await site.call(RecordVersions(versions)) == VersionsRecorded(versions, True)
        origins = (StreamOrigin("id-1", "v1"), StreamOrigin("id-2", "v2"))
        assert await site.call(AppendOrigins(origins)) == OriginsAppended(True)
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead) and read.versions is not None
        assert set(read.versions) == set(versions)
        assert set(read.origins) == set(origins)
        assert read.end == len(versions)

    run_site(test)


def test_origins_are_not_read_while_each_service_has_one_version():
    async def test(site: Site) -> None:
        versions = (V1, ServiceVersion("other", "v2"))
        await site.call(RecordVersions(versions))
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead) and set(read.versions or ()) == set(versions)
        assert ("GET", "/log-read") not in site.state.calls

    run_site(test)


def test_origins_are_read_from_the_first_record_that_the_store_still_has():
    async def test(site: Site) -> None:
        await site.call(RecordVersions((V1, V2)))
        await site.call(AppendOrigins((StreamOrigin("old", "v1"),)))
        site.state.topic(ORIGINS_TOPIC).drop_history()
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead) and read.versions is not None and not read.origins
        await site.call(AppendOrigins((StreamOrigin("new", "v2"),)))
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead) and read.origins == (StreamOrigin("new", "v2"),)

    run_site(test)


def test_only_the_newest_records_are_read():
    async def test(site: Site) -> None:
        await site.call(RecordVersions((V1, V2)))
        topic = site.state.topic(ORIGINS_TOPIC)
        for number in range(RECORDS_READ_MAX_COUNT + 50):
            topic.append("", encode_origins((StreamOrigin(f"id-{number}", "v1"),)))
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead)
        assert [origin.stream_id for origin in read.origins][0] == "id-50"
        assert len(read.origins) == RECORDS_READ_MAX_COUNT

    run_site(test)


def test_a_retired_version_is_gone_unless_something_was_recorded_meanwhile():
    async def test(site: Site) -> None:
        await site.call(RecordVersions((V1, V2)))
        site.origins.perform(RetireVersion(V1, 1))
        await site.call(AppendOrigins(()))
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead) and set(read.versions or ()) == {V1, V2}
        site.origins.perform(RetireVersion(V1, read.end))
        await site.call(AppendOrigins(()))
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead) and read.versions == (V2,)

    run_site(test)


def test_a_store_that_refuses_or_loses_calls_is_reported_as_failed():
    async def test(site: Site) -> None:
        site.state.refuse = True
        assert await site.call(RecordVersions((V1,))) == VersionsRecorded((V1,), False)
        assert await site.call(AppendOrigins(())) == OriginsAppended(False)
        assert await site.call(ReadOrigins()) == OriginsRead(None)
        site.state.refuse, site.state.lose_answers = False, True
        assert await site.call(RecordVersions((V1,))) == VersionsRecorded((V1,), False)
        assert await site.call(AppendOrigins(())) == OriginsAppended(False)

    run_site(test)


# A record of another writer, or of a newer build, costs a line, not a stream or the process.
def test_records_that_are_malformed_or_newer_are_passed_over():
    async def test(site: Site) -> None:
        await site.call(RecordVersions((V1, V2)))
        site.state.put(VERSIONS_TOPIC, "other", {"service": 7})
        newer = {"service": "engine", "version": "v3", "to_come": [1]}
        site.state.put(VERSIONS_TOPIC, "newer", newer)
        topic = site.state.topic(ORIGINS_TOPIC)
        topic.append("", b"\xc1")
        topic.append("", msgspec.msgpack.encode({"versions": {"v1": "id-1"}}))
        topic.append("", msgspec.msgpack.encode({"versions": {"v1": ["id-1"]}, "to_come": 1}))
        read = await site.call(ReadOrigins())
        assert isinstance(read, OriginsRead)
        assert set(read.versions or ()) == {V1, V2, ServiceVersion("engine", "v3")}
        assert read.origins == (StreamOrigin("id-1", "v1"),)
        assert site.counted == [("records", "malformed")] * 3
        assert site.log.events.count("record of origins not understood") == 2
        assert site.log.events.count("version record not understood") == 1

    run_site(test)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_record_or_none(content):
    assert decode_version(content) is None or isinstance(decode_version(content), ServiceVersion)
    origins = decode_origins(content)
    assert origins is None or all(isinstance(item, StreamOrigin) for item in origins)


@given(st.lists(st.tuples(st.text(min_size=1, max_size=20), st.text(max_size=9)), max_size=9))
def test_records_hold_any_names(items):
    origins = tuple(StreamOrigin(*item) for item in items)
    assert sorted(decode_origins(encode_origins(origins)), key=repr) == sorted(origins, key=repr)
    for service, version in items:
        item = ServiceVersion(service, version)
        assert decode_version(encode_version(item)) == item
