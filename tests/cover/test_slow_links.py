"""A VM behind a slow link reads the configuration from the store."""

from __future__ import annotations

import asyncio
import math
import time
from types import SimpleNamespace

import structlog

from coriandershelf_core.internal.gateway.events import DeploymentRead, Event
from coriandershelf_platform.http_client import CallFailure, CallResponse, HttpClient
from coriandershelf_platform.store import StoreClient
from coriandershelf_platform.topic_consumers import make_configuration_consumer
from coriandershelf_platform.topic_readers import TopicReaders
from coriandershelf_rig.internal.standin_store import OPERATOR_TOPIC, StoreState, start_store

# A link of 5 Mbit/s carries one such configuration in 0.3 s, and three in 1 s.
LINK_BYTES_PER_S = 625_000
CONFIGURATION_BYTES = 200_000
CALLS_MAX_COUNT = 6


def configuration(version: int, size_bytes: int) -> dict[str, object]:
    return {"version": version, "routes": [], "services": [], "comment": "x" * size_bytes}


class ConfigurationReader:
    """One VM's consumer of the configuration, without other VMs."""

    def __init__(self, address: str) -> None:
        self.versions: list[int] = []
        gateway = SimpleNamespace(vm_id="vm-1", peers=SimpleNamespace(count=0))
        self.store = StoreClient(lambda: address, time.monotonic)
        self._consumer = make_configuration_consumer(
            self.store, self._post, 3.0,
            TopicReaders(gateway, "zone", "", lambda *_: None, time.monotonic),
            structlog.get_logger(), lambda kind, reason: None,
        )  # fmt: skip

    async def run(self) -> None:
        await self._consumer.run(time.monotonic)

    def _post(self, event: Event) -> None:
        if isinstance(event, DeploymentRead):
            self.versions.append(event.deployment.version)

    async def reads(self, version: int, calls_max_count: int) -> bool:
        """Wait for a version; false if this number of calls did not bring it."""
        calls_count = self.store.calls_count
        while version not in self.versions:
            if self.store.calls_count - calls_count > calls_max_count:
                return False
            await asyncio.sleep(0.01)
        return True


# Guards against a VM that never gets a newer configuration: it missed several while the store
# turned it away, its link cannot carry them in the time-out of a read, and each retry begins anew.
def test_versions_missed_in_an_outage_reach_a_vm_behind_a_slow_link():
    async def scenario() -> None:
        state = StoreState()
        state.put(OPERATOR_TOPIC, "config", configuration(1, 100))
        server, address = await start_store(state)
        reader = ConfigurationReader(address)
        task = asyncio.create_task(reader.run())
        try:
            assert await reader.reads(1, CALLS_MAX_COUNT)
            state.refuse = True
            for version in (2, 3, 4):
                state.put(OPERATOR_TOPIC, "config", configuration(version, CONFIGURATION_BYTES))
            refused_count = len(state.calls) + 1
            while len(state.calls) <= refused_count:
                await asyncio.sleep(0.01)
            state.bytes_per_s = LINK_BYTES_PER_S
            state.refuse = False
            assert await reader.reads(4, CALLS_MAX_COUNT)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            reader.store.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(scenario())


async def call_at_rate(
    bytes_per_s: float, size_bytes: int, timeout_s: float, min_bytes_per_s: float
):
    """Call a server that sends an answer of this size at this rate."""
    state = StoreState()
    state.put(OPERATOR_TOPIC, "config", "x" * size_bytes)
    state.bytes_per_s = bytes_per_s
    server, address = await start_store(state)
    client = HttpClient(lambda: address, time.monotonic)
    try:
        return await client.call(
            "GET", f"/log-newest?topic={OPERATOR_TOPIC}", timeout_s=timeout_s,
            body_min_bytes_per_s=min_bytes_per_s,
        )  # fmt: skip
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


# Guards against an answer that never ends, or whose link stands still: time is given for bytes that
# arrive at the rate, and none beyond.
def test_an_answer_has_time_only_while_its_bytes_arrive_at_the_rate():
    size_bytes = 300_000

    def call(bytes_per_s: float, min_bytes_per_s: float) -> CallResponse | CallFailure:
        return asyncio.run(call_at_rate(bytes_per_s, size_bytes, 0.3, min_bytes_per_s))

    assert isinstance(call(800_000, 100_000), CallResponse)
    assert call(800_000, math.inf) is CallFailure.TIMEOUT
    assert call(50_000, 400_000) is CallFailure.TIMEOUT
