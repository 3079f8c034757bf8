"""An entry VM that cannot read the configuration from the store has it from the other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from platform_site import Site, make_configuration

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
