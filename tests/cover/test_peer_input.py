"""Messages of other entry VMs and records of the store that no build should have written."""

from __future__ import annotations

import asyncio
import json
import math
from dataclasses import dataclass, field

import msgspec
import pytest
from gateway_driver import GatewayDriver
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from platform_site import Site

from coriandershelf_core.internal.gateway.digest import Digest, HolderInfo, ServiceRates
from coriandershelf_core.internal.gateway.events import Event, ReportedLoad
from coriandershelf_core.internal.gateway.load_tracking import (
    AttemptStep,
    AttemptUpdate,
    LoadTracker,
)
from coriandershelf_core.internal.gateway.rollout import RolloutNews, RolloutState
from coriandershelf_core.internal.gateway.rollout_counts import RouteCounts, VersionCounts
from coriandershelf_platform import header_names, peer_link
from coriandershelf_platform.caller_server import TOKENS_MAX_COUNT
from coriandershelf_platform.peer_checks import fault_of, split_address
from coriandershelf_platform.peer_link import PeerLink
from coriandershelf_rig.internal.standin_store import StoreState

DIGEST = Digest("vm-2", "10.0.0.2:7500", "zone-1", 1, 1, 1_700_000_100.0, complete=True)
ROLLOUT = RolloutState("engine", "v2", 12.0, 31, 1, 1, "canary", 0.0, 1.0, 1.0)
NAN_SHARE = RolloutState("engine", "v2", 12.0, 31, 1, 1, "canary", math.nan, 1.0, 1.0)
ALL_TAGS = sorted(peer_link._TYPE_OF_TAG)


@dataclass
class Transport:
    sent: list[tuple[bytes, tuple[str, int]]] = field(default_factory=list)

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        self.sent.append((data, target))


@dataclass
class Receiver:
    """A gateway behind a peer link without a socket."""

    driver: GatewayDriver = field(default_factory=lambda: GatewayDriver().begin())
    dropped: list[str] = field(default_factory=list)
    topic_messages: list[object] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.link = PeerLink(self._post, self.topic_messages.append, self._on_dropped)
        self.link._socket = Transport()

    def _on_dropped(self, reason: str, address: str, detail: str) -> None:
        self.dropped.append(reason)

    def _post(self, event: Event) -> None:
        for action in self.driver.post(event):
            message = getattr(action, "message", None)
            if message is not None:
                self.link.send(message, (action.address,))

    def receive(self, data: bytes) -> None:
        self.link.on_datagram(data, ("10.0.0.2", 7500))


def encode(message: object) -> bytes:
    return peer_link._TAG_OF_TYPE[type(message)] + msgspec.msgpack.encode(message)


numbers = (
    st.sampled_from([math.nan, math.inf, -math.inf, -1, -1.0, 0, 2**63, 1e308, 2**64 - 1])
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
)
texts = st.sampled_from(["", "vm-2", "10.0.0.2:7500", "x:y", ":", "10.0.0.2:99999", "engine-0"])
leaves = st.none() | st.booleans() | numbers | texts | st.binary(max_size=8)
values = st.recursive(
    leaves,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(texts | st.integers(0, 9), inner, max_size=3),
    max_leaves=8,
)


def with_wrong_values(draw, value):
    """Replace some of the values of a message, most of them by others of the same kind."""
    if isinstance(value, dict):
        return {key: with_wrong_values(draw, item) for key, item in value.items()}
    if isinstance(value, list):
        return [with_wrong_values(draw, item) for item in value]
    if draw(st.integers(0, 7)):
        return value
    if isinstance(value, bool):
        return draw(st.booleans() | values)
    if isinstance(value, int):
        return draw(st.integers(-(2**63), 2**64 - 1) | values)
    if isinstance(value, float):
        return draw(numbers.map(float))
    return draw(texts | values)


FULL_BODIES = {
    b"D": {
        "vm_id": "vm-2", "address": "10.0.0.2:7500", "zone": "z", "incarnation": 1, "sequence": 2,
        "clock_s": 1.7e9, "replicas": {"engine-0": {"running_count": 2, "waiting_tokens": 3,
        "slowness_percent": 110, "pace_percent": 120, "pace_age_ms": 5}},
        "spent": {"customer-1": 5.0}, "demand": {"customer-1": 4.0},
        "begun": {340000000: {"customer-1": 3}}, "crashes": {7: 1},
        "died": {7: {9: 1}},
        "work": {"engine": {"requests_per_s": 1.0, "tokens_per_s": 2.0, "late_tokens_per_s": 0.5,
        "running_count": 1}}, "left": {"engine-1": 5}, "limits": {"engine-0": {"started_at_ms": 0,
        "per_s": 2.5, "age_ms": 10, "sent_count": 3}},
        "parts": {9: [[[1, 50, 20]], 30, False, [1]]},
        "holder": {"vm_id": "vm-2", "number": 3}, "complete": True,
    },
    b"A": {
        "vm_id": "vm-2", "address": "10.0.0.2:7500", "ask_id": 1, "replicas": ["engine-0"],
        "parts": [{"part_id": "p", "tokens_count": 5}],
    },
    b"T": {"vm_id": "vm-2", "ask_id": 1, "rooms": [{"replica_id": "engine-0", "running_count": 1,
        "waiting_tokens": 2, "cached_tokens": 3, "pace": 1.5, "pace_age_s": 0.5, "slowness": 1.0,
        "streams_count": 1}]},
    b"N": {
        "vm_id": "vm-2", "incarnation": 1, "replica_id": "engine-0", "attempt_id": 5,
        "step": "started", "tokens_count": 10, "keep_s": 5.0,
        "parts": [{"part_id": "p", "tokens_count": 5}], "pace": 1.5, "slowness": 1.2,
    },
    b"O": {"stream_id": "s", "version": "v1"},
    b"W": {"vm_id": "vm-2", "address": "10.0.0.2:7500", "query_id": 1, "stream_id": "s"},
    b"V": {"vm_id": "vm-2", "query_id": 1, "stream_id": "s", "version": "v1"},
    b"B": {"address": "10.0.0.2:7500", "origins": [{"stream_id": "s", "version": "v1"}]},
    b"S": {"stream_ids": ["s"]},
    b"Q": {"vm_id": "vm-2", "address": "10.0.0.2:7500", "query_id": 1, "topic": "keyed.op",
        "next_offset": 3},
    b"R": {"vm_id": "vm-2", "query_id": 1, "topic": "keyed.op", "proof_age_s": 0.1,
        "records": [{"key": "config", "value": b"x"}], "after_outage": False},
}  # fmt: skip


def encode_body(value: object) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b"\xc1"


@st.composite
def wrong_messages(draw) -> bytes:
    tag = draw(st.sampled_from(ALL_TAGS))
    return tag + encode_body(with_wrong_values(draw, FULL_BODIES[tag]))


datagrams = (
    wrong_messages()
    | wrong_messages()
    | st.binary(max_size=40)
    | st.tuples(st.sampled_from(ALL_TAGS), values.map(encode_body)).map(b"".join)
)


def test_every_message_type_has_a_body_whose_values_are_replaced():
    assert sorted(FULL_BODIES) == ALL_TAGS
    for tag, body in FULL_BODIES.items():
        receiver = Receiver()
        receiver.receive(tag + msgspec.msgpack.encode(body))
        assert not receiver.dropped, tag


# Guards against a peer's datagram that raises in a VM, be it at once or in a later tick.
@settings(max_examples=400)
@given(st.lists(datagrams, min_size=1, max_size=4))
def test_any_datagram_is_used_or_counted(data):
    receiver = Receiver()
    for item in data:
        receiver.receive(item)
    receiver.driver.gateway.load_queries.enabled = True
    handle = receiver.driver.ask("/plan/x")
    receiver.driver.run(0.2)
    gateway = receiver.driver.gateway
    time_of_day_s = gateway.clock_estimate.time_of_day_s(receiver.driver.now_s)
    assert math.isfinite(time_of_day_s)
    load = gateway.service_load("engine", receiver.driver.now_s)
    assert math.isfinite(load.tokens_per_s) and math.isfinite(load.latency_ratio)
    for state in gateway.pool:
        assert state.running_count >= 0
        assert math.isfinite(state.current_slowdown(receiver.driver.now_s))
    assert receiver.driver.attempts(handle) or receiver.driver.refusals(handle) or handle


@pytest.mark.parametrize(
    "changes, fault",
    [
        ({"vm_id": ""}, "vm_id"),
        ({"address": ""}, "address"),
        ({"address": "no-host:7500"}, "address"),
        ({"address": "10.0.0.2:99999"}, "address"),
        ({"digest_port": 99_999}, "digest_port"),
        ({"clock_s": math.nan}, "clock_s, sequence or holder"),
        ({"sequence": -1}, "clock_s, sequence or holder"),
        ({"holder": HolderInfo("vm-2", -1)}, "clock_s, sequence or holder"),
        ({"token": -1}, "token or reported"),
        ({"reported": 2**60}, "token or reported"),
        ({"spent": {"c": math.inf}}, "spent"),
        ({"demand": {"c": math.nan}}, "demand"),
        ({"begun": {3: {"c": -1}}}, "begun"),
        ({"crashes": {3: -1}}, "crashes"),
        ({"died": {3: {9: -1}}}, "died"),
        ({"work": {"engine": ServiceRates(0.0, math.inf)}}, "work"),
        ({"rollouts": {"engine": RolloutNews(ROLLOUT, -1)}}, "rollouts"),
        ({"rollouts": {"engine": RolloutNews(NAN_SHARE, 1)}}, "rollouts"),
        ({"versions": {"engine": VersionCounts(31, -1)}}, "versions"),
        ({"versions": {"engine": VersionCounts(31, 0, {"r": RouteCounts(-1)})}}, "versions"),
    ],
)
def test_a_digest_with_a_value_that_no_build_sends_is_dropped_whole(changes, fault):
    assert fault_of(DIGEST) is None
    assert fault_of(replace(DIGEST, **changes)) == fault
    receiver = Receiver()
    receiver.receive(encode(replace(DIGEST, **changes)))
    assert receiver.dropped == ["invalid"]
    assert not receiver.driver.gateway.peers.count


# Guards against a newer build's message type that is taken for damage, or raises.
def test_an_unknown_message_type_is_counted_as_such():
    receiver = Receiver()
    receiver.receive(b"Z" + msgspec.msgpack.encode({"vm_id": "vm-2"}))
    receiver.receive(b"")
    receiver.receive(b"D\xc1")
    assert receiver.dropped == ["unknown", "unknown", "malformed"]


@given(st.text(max_size=25) | texts)
def test_an_address_has_an_ip_address_and_a_port_or_is_none(text):
    target = split_address(text)
    assert target is None or (0 < target[1] < 65_536 and target[0])


def test_messages_to_an_unusable_address_are_counted_and_the_others_sent():
    receiver = Receiver()
    receiver.link.send(DIGEST, ("", "nowhere", "10.0.0.3:x", "10.0.0.4:7500", "::1:7500"))
    assert receiver.dropped == ["no-address"] * 3
    targets = [target for _, target in receiver.link._socket.sent]
    assert targets == [("10.0.0.4", 7500), ("::1", 7500)]


def test_a_number_beyond_64_bits_is_counted_and_not_sent():
    receiver = Receiver()
    receiver.link.send(replace(DIGEST, sequence=2**70), ("10.0.0.4:7500",))
    assert receiver.dropped == ["unsendable"]


# Guards against figures of callers and replicas that peers cannot use, so that they drop the
# digests of the VM that passes them on.
def test_stated_figures_of_any_size_leave_digests_usable():
    driver = GatewayDriver().begin()
    state = driver.gateway.pool.get("engine-0")
    assert state is not None
    state.on_load(ReportedLoad(1, 1, 8, 10.0**18 / 100.0), driver.now_s)
    digest = replace(DIGEST, replicas={"engine-0": state.own_digest(driver.now_s)})
    assert fault_of(digest) is None


def test_a_stated_prompt_of_any_length_leaves_digests_usable():
    async def run() -> list[Event]:
        posted: list[Event] = []
        async with Site() as site:
            post = site.application.post
            server = site.application._caller_server
            server._post = lambda event: (posted.append(event), post(event))
            client = await site.connect()
            client.send("/ask/x", **{header_names.TOKEN_USAGE: f"{10**17}, 7"})
            await asyncio.wait_for(client.read(), 5.0)
            client.close()
        return posted

    arrival = asyncio.run(run())[0].arrival
    assert (arrival.prompt_tokens, arrival.output_tokens) == (TOKENS_MAX_COUNT, 7)


# Guards against a division by zero at the VM that tracks a replica which states a pace of 0.
def test_a_stated_pace_of_zero_is_ignored():
    tracker = LoadTracker()
    for step in (AttemptStep.STARTED, AttemptStep.FIRST_EVENT):
        tracker.on_update(AttemptUpdate("vm-2", 1, "r", 1, step, 100, 5.0, (), 0.0), 1.0)
        tracker.on_update(AttemptUpdate("vm-2", 1, "r", 2, step, 100, 5.0, (), 0.0), 1.0)
    tracker.on_update(AttemptUpdate("vm-2", 1, "r", 3, AttemptStep.STARTED, 100, 5.0, (), 0.0), 1.0)
    assert tracker.load("r", (), (0, 0), 1.1).pace == 1.0


# Guards against a record in the topic of the entry VMs that ends each VM which starts.
def test_rubbish_in_the_topic_of_the_entry_vms_ends_no_vm():
    async def run() -> tuple[bool, list[dict[str, object]]]:
        store = StoreState()
        for key, value in RUBBISH_REGISTRATIONS.items():
            store.topic("keyed.entry-vms").append(key, value)
        async with Site(store) as site:
            await asyncio.sleep(1.0)
            return site.application._ended.is_set(), site.logs()

    ended, lines = asyncio.run(run())
    assert not ended
    logged = [line for line in lines if line["event"] == "registrations name no address"]
    assert [line["count"] for line in logged] == [len(RUBBISH_REGISTRATIONS)]


RUBBISH_REGISTRATIONS = {
    "vm-a": b"no address",
    "vm-b": b"10.0.0.9",
    "vm-c": b"\xff\xfe",
    "vm-d": b"10.0.0.9:port",
    "vm-e": b"10.0.0.9:700000",
    "vm-f": json.dumps({"address": "10.0.0.9:7500"}).encode(),
    "vm-g": b"host.example:7500",
}
