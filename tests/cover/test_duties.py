"""What a VM says of its lease while the platform's store does not answer."""

from __future__ import annotations

import asyncio

import structlog
from gateway_driver import GatewayDriver

from coriandershelf_core.internal.gateway.duty_lease import DutyLease
from coriandershelf_core.internal.gateway.scaling import Autoscaler
from coriandershelf_platform.duties import OTHERS_POLL_PERIOD_S, DutyRunner
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


async def hold_and_lose() -> GatewayDriver:
    driver = GatewayDriver().begin()
    store = SilentStore()
    lease = DutyLease("vm-1", 1, LEASE_S, 3.6, 1.2)
    runner = DutyRunner(
        "vm-1",
        ("autoscale",),
        lease,
        driver.gateway,
        Autoscaler(1000.0, 1000.0),
        store,
        None,
        lambda: driver.now_s,
        structlog.get_logger(),
        driver.post,
    )
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
