"""When behaviour that needs all entry VMs may start, and when it ends."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
import pytest
from gateway_driver import GatewayDriver
from hypothesis import given
from hypothesis import strategies as st

from coriandershelf_core.internal.gateway.actions import LogLine, SendDigest
from coriandershelf_core.internal.gateway.builds import (
    BUILD,
    PROTOCOL_LEVEL,
    VERSION,
    level_of,
    lowest_level,
)
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import DigestArrived, EntryVmsRead
from coriandershelf_core.internal.gateway.peers import (
    DIGEST_MIN_AGE_S,
    REMOVE_AFTER_S,
    Peers,
)
from coriandershelf_platform.metrics import Metrics

ROOT = Path(__file__).parents[2]


def make_peers(*vm_ids: str) -> Peers:
    peers = Peers("vm-1")
    peers.on_registered({vm_id: f"{vm_id}:7500" for vm_id in vm_ids}, 0.0)
    return peers


def hear(peers: Peers, vm_id: str, now_s: float, build: str = BUILD, incarnation: int = 1) -> None:
    sequence = round(now_s * 1e3)
    digest = Digest(vm_id, f"{vm_id}:7500", "z", incarnation, sequence, 0.0, build=build)
    assert peers.on_digest(digest, now_s)


@pytest.mark.parametrize(
    "build, level",
    [
        (BUILD, PROTOCOL_LEVEL), ("0.2.0+12", 12), ("", 0), ("0.2.0", 0), ("7", 0), ("+3", 3),
        ("1+-2", 0), ("1+2x", 0), ("1+99999", 0), ("1+\u00b2", 0),
    ],
)  # fmt: skip
def test_a_build_names_its_level(build, level):
    assert level_of(build) == level


@given(st.text())
def test_any_text_has_a_level(text):
    assert 0 <= level_of(text) <= 9999


def test_the_version_is_that_of_the_package():
    for folder in ("packages/coriandershelf-core", "platform"):
        project = tomllib.loads((ROOT / folder / "pyproject.toml").read_text())["project"]
        assert project["version"] == VERSION


def test_a_level_is_supported_by_all_or_not_in_effect():
    assert lowest_level([]) == PROTOCOL_LEVEL
    assert lowest_level([PROTOCOL_LEVEL, PROTOCOL_LEVEL + 3]) == PROTOCOL_LEVEL
    assert lowest_level([PROTOCOL_LEVEL, 0]) == 0


# Guards against new behaviour at a VM that does not know the others yet.
def test_a_vm_that_has_not_read_the_registrations_supports_nothing_new():
    assert Peers("vm-1").lowest_level(0.0) == 0
    assert make_peers().lowest_level(0.0) == PROTOCOL_LEVEL


def test_registered_vms_that_were_never_heard_hold_a_level_back_for_a_while_only():
    peers = make_peers("vm-2", "vm-3")
    hear(peers, "vm-2", 0.1)
    assert peers.lowest_level(0.2) == 0
    assert peers.lowest_level(DIGEST_MIN_AGE_S + 0.1) == PROTOCOL_LEVEL


# Guards against new behaviour that goes on beside a VM which was downgraded.
def test_a_vm_that_comes_back_with_an_older_build_ends_new_behaviour_at_its_first_digest():
    peers = make_peers("vm-2")
    hear(peers, "vm-2", 0.1)
    assert peers.lowest_level(0.2) == PROTOCOL_LEVEL
    hear(peers, "vm-2", 5.0, build="", incarnation=2)
    assert peers.lowest_level(5.0) == 0
    hear(peers, "vm-2", 9.0, incarnation=3)
    assert peers.lowest_level(9.0) == PROTOCOL_LEVEL


# Guards against new behaviour beside an older VM that serves on the other side of a network cut.
def test_a_silent_older_vm_counts_until_it_is_removed():
    peers = make_peers("vm-2", "vm-3")
    hear(peers, "vm-2", 0.1, build="")
    for tenths in range(1, 400):
        now_s = tenths / 10.0
        hear(peers, "vm-3", now_s)
        peers.due("z", now_s)
        is_removed = now_s > 0.1 + REMOVE_AFTER_S
        assert peers.lowest_level(now_s) == (PROTOCOL_LEVEL if is_removed else 0), now_s


def test_the_gateway_sends_its_build_and_logs_each_change_of_the_lowest_level():
    driver = GatewayDriver().begin()
    driver.post(EntryVmsRead({"vm-2": "vm-2:7500"}))
    sent = [action for action in driver.run(0.3) if isinstance(action, SendDigest)]
    assert {action.digest.build for action in sent} == {BUILD}
    levels = []
    for sequence, build in enumerate((BUILD, BUILD, "", BUILD), 1):
        digest = Digest("vm-2", "vm-2:7500", "z", 1, sequence, 0.0, build=build)
        driver.post(DigestArrived(digest))
        lines = [action for action in driver.run(0.3) if isinstance(action, LogLine)]
        levels += [
            dict(x.fields)["protocol_level"] for x in lines if x.event == "lowest protocol level"
        ]
        assert driver.gateway.relay.paths._entry_vms.lowest_level == level_of(build)
    assert levels == [PROTOCOL_LEVEL, 0, PROTOCOL_LEVEL]


def test_the_build_costs_a_digest_few_bytes_and_is_a_metric():
    digest = Digest("vm-2", "vm-2:7500", "z", 1, 1, 0.0)
    sizes = [len(msgspec.msgpack.encode(item)) for item in (digest, DIGEST_WITH_BUILD)]
    assert sizes[1] - sizes[0] <= 10
    text = Metrics().text().decode()
    assert f'coriandershelf_build_info{{level="{PROTOCOL_LEVEL}",version="{VERSION}"}} 1.0' in text


DIGEST_WITH_BUILD = Digest("vm-2", "vm-2:7500", "z", 1, 1, 0.0, build=BUILD)
