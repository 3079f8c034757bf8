"""The holder of the duties while the store does not answer, or answers from an older copy."""

from __future__ import annotations

import asyncio
import json

import pytest
import structlog
from gateway_driver import GatewayDriver

from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.duty_lease import LEASE_KEY, DutyLease, LeaseRecord
from coriandershelf_core.internal.gateway.events import DigestArrived, Tick
from coriandershelf_core.internal.gateway.scaling import Autoscaler
from coriandershelf_core.internal.gateway.topic_sharing import KeyedRecord
from coriandershelf_platform import duties, header_names
from coriandershelf_platform.duties import OTHERS_POLL_PERIOD_S, DutyRunner
from coriandershelf_platform.http_client import CallResponse
from coriandershelf_platform.store import Appended, NewestRecords

LEASE_S = 3.0
POLLS_MAX_COUNT = 100


class SilentStore:
    """A store that accepts one append, and then answers nothing."""

    def __init__(self) -> None:
        self.appends_count = 0

    async def newest(self, topic: str) -> NewestRecords:
        return NewestRecords((), 7, 0.0, 0.0)

    async def append(self, topic: str, key: str, value: bytes, at: int | None = None) -> Appended:
        self.appends_count += 1
        if self.appends_count > 1:
            await asyncio.Event().wait()
        return Appended(8, 0.0)


async def wait_until(condition) -> None:
    for _ in range(POLLS_MAX_COUNT):
        if condition():
            return
        await asyncio.sleep(OTHERS_POLL_PERIOD_S)
    raise AssertionError("not reached")


def make_runner(driver: GatewayDriver, store: object, duty: str, cloud: object) -> DutyRunner:
    return DutyRunner(
        "vm-1",
        (duty,),
        DutyLease("vm-1", 1, LEASE_S, 3.6, 1.2),
        driver.gateway,
        Autoscaler(1000.0, 1000.0),
        store,
        cloud,
        lambda: driver.now_s,
        structlog.get_logger(),
        driver.post,
    )


async def hold_and_lose() -> GatewayDriver:
    driver = GatewayDriver().begin()
    store = SilentStore()
    runner = make_runner(driver, store, "autoscale", None)
    task = asyncio.create_task(runner.run())
    try:
        await wait_until(lambda: driver.gateway.own_lease is not None)
        driver.now_s += 1.5
        await wait_until(lambda: store.appends_count > 1)
        driver.now_s += LEASE_S
        await wait_until(lambda: driver.gateway.own_lease is None)
        await wait_until(lambda: driver.gateway.released_number)
    finally:
        task.cancel()
    return driver


# Guards against digests that name this VM as the holder after its term, for as long as a call to a
# silent store lasts: no other VM takes over meanwhile.
def test_a_holder_gives_its_token_up_while_its_renewal_is_not_answered():
    driver = asyncio.run(hold_and_lose())
    assert driver.gateway.released_number == 8, "one more than the appends before it"
    assert driver.gateway.lease_end == 0


class Platform:
    """Accepts usage reports, and records the tokens and windows of the calls."""

    def __init__(self) -> None:
        self.tokens: list[int] = []
        self.windows: list[int] = []

    async def call(self, method, path, body, timeout_s, headers) -> CallResponse:
        self.tokens.append(int(dict(headers)[header_names.FENCING_TOKEN]))
        self.windows.append(json.loads(body)["window"])
        return CallResponse(200, b"", 0.0, 0.0)


class OlderStore(SilentStore):
    """A store that came back from an older copy: a lease of this VM's former process."""

    async def newest(self, topic: str) -> NewestRecords:
        record = LeaseRecord("vm-1", 0, 4, ((10, {"customer-1": 1}),))
        return NewestRecords((KeyedRecord(LEASE_KEY, record.encode()),), 7, 0.0, 0.0, (6,))

    async def append(self, topic: str, key: str, value: bytes, at: int | None = None) -> Appended:
        self.appends_count += 1
        return Appended(7 + self.appends_count, 0.0)


@pytest.fixture
def fast_polls(monkeypatch):
    monkeypatch.setattr(duties, "POLL_PERIOD_S", 0.0)
    monkeypatch.setattr(duties, "OTHERS_POLL_PERIOD_S", 0.0)


async def report_after_a_drill(token: int, reported: int) -> Platform:
    driver = GatewayDriver().begin()
    window = driver.gateway.usage.window_of(driver.now_s + driver.clock_offset_s)
    digest = Digest(
        "vm-2", "vm-2:7500", "zone-0", 1, 1, driver.now_s + driver.clock_offset_s,
        token=token, reported=window + reported,
    )  # fmt: skip
    driver.post(DigestArrived(digest))
    platform = Platform()
    runner = make_runner(driver, OlderStore(), "usage_report", platform)
    task = asyncio.create_task(runner.run())
    try:
        for _ in range(300):
            # Each step lets both tasks of the runner poll.
            await asyncio.sleep(0.002)
            driver.now_s += 0.05
            driver.post(Tick())
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert platform.windows == sorted(set(platform.windows))
    platform.windows = [item - window for item in platform.windows]
    return platform


# Guards against a fencing token of two holders, and a window with two counts, after the store came
# back without the record of the holder between: its digests named both.
def test_after_a_drill_of_the_store_no_token_and_no_window_is_used_again(fast_polls):
    platform = asyncio.run(report_after_a_drill(token=9, reported=-2))
    assert min(platform.windows) == -1
    assert min(platform.tokens) == 10


def test_without_word_of_another_holder_reports_go_on_where_the_store_ends(fast_polls):
    platform = asyncio.run(report_after_a_drill(token=0, reported=-5))
    assert min(platform.windows) == -4
    assert min(platform.tokens) == 5
