"""A VM that hears of a newer configuration and cannot read it fetches it from another VM."""

from __future__ import annotations

import pytest
from gateway_driver import GatewayDriver, make_deployment

from coriandershelf_core.internal.gateway.actions import FetchConfiguration
from coriandershelf_core.internal.gateway.configuration_fetches import (
    FETCH_AFTER_S,
    FETCH_RETRY_S,
)
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import (
    ConfigurationFetched,
    DeploymentRead,
    DigestArrived,
)
from coriandershelf_rig.internal.spread_bench import SpreadBench, SpreadSettings

APPLY_LIMIT_S = 3.0


class Fetcher:
    """A VM of zone-0 with version 1, and peers that name versions."""

    def __init__(self) -> None:
        self.driver = GatewayDriver().begin()
        self.driver.run(5.0)
        self._sequence = 0

    def hear(self, versions: dict[str, int], zone: str = "zone-0") -> None:
        """Let peers send digests that name their versions."""
        self._sequence += 1
        for vm_id, version in versions.items():
            self.driver.post(
                DigestArrived(
                    Digest(
                        vm_id, f"{vm_id}:7500", zone, 1, self._sequence, 0.0,
                        configuration_version=version,
                    )
                )
            )  # fmt: skip

    def fetches(self) -> list[str]:
        """Return the VMs that were asked so far."""
        return [
            action.vm_id for action in self.driver.actions if isinstance(action, FetchConfiguration)
        ]

    def end_fetch(self, succeeded: bool) -> None:
        self.driver.post(ConfigurationFetched(self.fetches()[-1], succeeded))


def test_a_version_that_the_vm_reads_by_itself_is_not_fetched():
    fetcher = Fetcher()
    fetcher.hear({"vm-2": 2})
    fetcher.driver.run(FETCH_AFTER_S - 0.1)
    fetcher.driver.post(DeploymentRead(make_deployment(2)))
    fetcher.driver.run(2.0)
    assert fetcher.fetches() == []


def test_a_version_that_the_vm_does_not_read_is_fetched_once_from_a_vm_that_names_it():
    fetcher = Fetcher()
    fetcher.hear({"vm-2": 1, "vm-3": 2})
    fetcher.hear({"vm-4": 2}, zone="zone-1")
    fetcher.driver.run(FETCH_AFTER_S + 0.1)
    assert fetcher.fetches() == ["vm-3"]
    fetcher.driver.run(2.0)
    assert fetcher.fetches() == ["vm-3"], "one fetch at a time"
    fetcher.driver.post(DeploymentRead(make_deployment(2)))
    fetcher.end_fetch(succeeded=True)
    fetcher.driver.run(2.0)
    assert fetcher.fetches() == ["vm-3"]


# Guards against a VM that asks one peer again and again although others have the version.
def test_after_a_failed_fetch_every_other_vm_that_names_the_version_is_asked_first():
    fetcher = Fetcher()
    named = {"vm-2": 2, "vm-3": 2, "vm-4": 2}
    for _ in range(2 * len(named)):
        fetcher.hear(named)
        fetcher.driver.run(FETCH_AFTER_S + FETCH_RETRY_S)
        fetcher.end_fetch(succeeded=False)
    asked = fetcher.fetches()
    assert set(asked[:3]) == set(asked[3:]) == set(named)


# Guards against a delay that begins anew with each version while versions follow each other.
def test_versions_in_quick_succession_do_not_put_off_a_fetch():
    fetcher = Fetcher()
    for version in range(2, 8):
        fetcher.hear({"vm-2": version})
        fetcher.driver.run(0.2)
    assert fetcher.fetches() == ["vm-2"]


# Guards against requests that are handled by an old configuration in a part of a large site: the
# store turns those VMs away while it serves the others.
@pytest.mark.parametrize("seed, whole_zone", [(1, False), (2, True)])
def test_vms_that_the_store_turns_away_have_a_version_in_force_in_time(seed: int, whole_zone: bool):
    bench = SpreadBench(seed, SpreadSettings(vms_count=40, whole_zone=whole_zone))
    first = bench.publish(to_all=True)
    bench.time.run(5.0)
    assert bench.late_vms(first, 5.0, 100.0) == []
    for _ in range(3):
        published_at_s = bench.time.now_s
        version = bench.publish()
        bench.time.run(APPLY_LIMIT_S)
        assert bench.late_vms(version, APPLY_LIMIT_S, published_at_s) == []
    assert bench.fetches_count - bench.refusals_count <= 3 * len(bench.turned_away)


# Guards against a VM that the whole site asks at once, so that its link carries none of the answers
# in time: one VM reads the store, and its peers have the version from each other.
def test_a_version_that_one_vm_reads_spreads_over_the_others_links():
    bench = SpreadBench(3, SpreadSettings(vms_count=30, zones_count=1, turned_away_share=29 / 30))
    bench.publish(to_all=True)
    bench.time.run(5.0)
    published_at_s = bench.time.now_s
    version = bench.publish()
    bench.time.run(APPLY_LIMIT_S)
    assert bench.late_vms(version, APPLY_LIMIT_S, published_at_s) == []
    assert max(bench.sent_bytes.values()) <= bench.settings.configuration_bytes * 14
