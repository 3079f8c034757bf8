"""A VM that started again uses nothing that the others know to be gone."""

from __future__ import annotations

import pytest
from gateway_driver import GatewayDriver, make_deployment, make_replicas
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import Refusal
from coriandershelf_core.internal.gateway.configuration_versions import SETTLING_S
from coriandershelf_core.internal.gateway.deployment import Customer
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import (
    ConfigurationProved,
    DeploymentRead,
    DigestArrived,
    ReplicasRead,
)
from coriandershelf_core.internal.gateway.pool import LEFT_SHARED_S

OLD = make_deployment(1)
# The key is withdrawn.
NEW = make_deployment(2, customers=(Customer("customer-1", ("another",)),), customer_of_key={})


class Peer:
    """Another VM, which sends digests."""

    def __init__(self, driver: GatewayDriver) -> None:
        self._driver = driver
        self._sequence = 0

    def tell(self, **fields: object) -> None:
        self._sequence += 1
        driver = self._driver
        digest = Digest(
            "vm-2", "vm-2:7500", "zone-0", 1, self._sequence,
            driver.now_s + driver.clock_offset_s,
        )  # fmt: skip
        driver.post(DigestArrived(replace(digest, **fields)))


def load(driver: GatewayDriver, deployment=OLD) -> None:
    driver.post(DeploymentRead(deployment))
    driver.post(ReplicasRead(make_replicas(), complete=True))
    driver.post(ConfigurationProved(driver.now_s))


def refusal(driver: GatewayDriver) -> Refusal | None:
    refusals = driver.refusals(driver.ask("/read/1"))
    return refusals[0].refusal if refusals else None


# Guards against a key that had been withdrawn and is in use again after a restart, since the store
# gave an older copy of the configuration: the others have a newer version.
@pytest.mark.parametrize("heard_first", [False, True])
def test_a_fresh_vm_with_an_older_configuration_than_its_peers_serves_no_keys(heard_first):
    driver = GatewayDriver()
    peer = Peer(driver)
    if heard_first:
        peer.tell(configuration_version=2)
        load(driver)
    else:
        load(driver)
        peer.tell(configuration_version=2)
    for _ in range(8):
        assert not driver.gateway.ready
        assert refusal(driver) is Refusal.STALE_KEYS
        driver.now_s += 0.5
        peer.tell(configuration_version=2)
        driver.post(ConfigurationProved(driver.now_s))
    load(driver, NEW)
    assert driver.gateway.ready and refusal(driver) is Refusal.UNKNOWN_KEY
    assert refusal_of_other_key(driver) is None


def refusal_of_other_key(driver: GatewayDriver) -> Refusal | None:
    refusals = driver.refusals(driver.ask("/read/1", key="another"))
    return refusals[0].refusal if refusals else None


# Guards against proofs by reads of an older copy on a VM that runs: its keys age from the time at
# which it heard of the newer version.
def test_reads_of_an_older_copy_prove_nothing_on_a_running_vm_either():
    driver = GatewayDriver()
    load(driver)
    driver.run(SETTLING_S + 1.0)
    peer = Peer(driver)
    peer.tell(configuration_version=2)
    assert refusal(driver) is None
    for _ in range(12):
        driver.now_s += 0.5
        peer.tell(configuration_version=2)
        driver.post(ConfigurationProved(driver.now_s))
    assert refusal(driver) is Refusal.STALE_KEYS
    events = [getattr(action, "event", "") for action in driver.actions]
    assert events.count("configuration older than that of peers") == 1


# Guards against a VM that refuses keys between a peer's read of a version and its own.
def test_a_new_version_that_a_peer_reads_first_stops_no_requests():
    driver = GatewayDriver()
    load(driver)
    driver.run(SETTLING_S + 1.0)
    Peer(driver).tell(configuration_version=2)
    driver.run(0.5, confirmed=False)
    assert refusal(driver) is None
    driver.post(DeploymentRead(make_deployment(2)))
    driver.post(ConfigurationProved(driver.now_s))
    assert refusal(driver) is None


# Guards against a final refusal of a route or key that was added in a version which this VM knows
# of and does not have yet.
@pytest.mark.parametrize("changes", [{"host": "new.example"}, {"key": "another"}])
def test_a_vm_that_knows_of_a_newer_version_denies_nothing_for_good(changes):
    driver = GatewayDriver()
    load(driver)
    driver.run(SETTLING_S + 1.0)
    denied = driver.refusals(driver.ask("/read/1", **changes))[0].refusal
    assert denied in (Refusal.NO_ROUTE, Refusal.UNKNOWN_KEY)
    Peer(driver).tell(configuration_version=2)
    denied = driver.refusals(driver.ask("/read/1", **changes))[0].refusal
    assert denied is Refusal.NO_CONFIGURATION


# Guards against a peer's word that outlives it: a version that no live peer has stops nothing.
def test_a_version_that_no_live_peer_has_does_not_count():
    driver = GatewayDriver()
    Peer(driver).tell(configuration_version=9)
    driver.run(10.0, confirmed=False)
    load(driver)
    assert driver.gateway.ready and refusal(driver) is None


def registration(driver: GatewayDriver, leaving: bool = False) -> None:
    replica = make_replicas()["plain-0"]
    assert replica is not None
    driver.post(
        ReplicasRead(
            {"plain-0": replace(replica, started_at_ms=7, leaving=leaving)}, complete=False
        )
    )


def usable(driver: GatewayDriver) -> set[str]:
    return {state.replica.replica_id for state in driver.gateway.pool.usable("plain")}


# Guards against a replica that left and is used again because a late heartbeat registers it as
# ready, after its draining and the removal of its registration.
def test_a_start_that_drained_is_never_ready_again():
    driver = GatewayDriver().begin()
    registration(driver, leaving=True)
    driver.post(ReplicasRead({"plain-0": None}, complete=False))
    registration(driver)
    assert "plain-0" not in usable(driver)
    replica = make_replicas()["plain-0"]
    assert replica is not None
    driver.post(ReplicasRead({"plain-0": replace(replica, started_at_ms=8)}, complete=False))
    assert "plain-0" in usable(driver)


# Guards against the same at a VM that started again and knows nothing of the draining: it hears of
# it from its peers, before or after it reads the registry.
@pytest.mark.parametrize("heard_first", [False, True])
def test_a_fresh_vm_hears_of_replicas_that_left(heard_first):
    driver = GatewayDriver()
    peer = Peer(driver)
    if heard_first:
        peer.tell(left={"plain-0": 7})
    registration(driver)
    if not heard_first:
        peer.tell(left={"plain-0": 7})
    assert "plain-0" not in usable(driver)


# Guards against a VM that starts long after a replica drained: its peers tell it for as long as the
# registry says that the replica is ready.
def test_peers_tell_of_a_leaving_replica_while_it_is_registered_as_ready():
    driver = GatewayDriver().begin()
    registration(driver, leaving=True)
    registration(driver)
    driver.run(LEFT_SHARED_S + 5.0)
    assert driver.gateway.pool.recently_left(driver.now_s) == {"plain-0": 7}


# A registration that vanished without a leave may be back, as after an outage of the store.
def test_a_replica_whose_registration_only_vanished_may_come_back():
    driver = GatewayDriver().begin()
    registration(driver)
    driver.post(ReplicasRead({"plain-0": None}, complete=False))
    registration(driver)
    assert "plain-0" in usable(driver)
