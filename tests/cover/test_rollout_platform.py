"""Roll-outs at the platform's border, with the stand-in store: orders, kept state and status."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest
from platform_site import Site

from coriandershelf_core.internal.gateway.rollout import RolloutState
from coriandershelf_core.internal.gateway.topic_sharing import KeyedRecord
from coriandershelf_platform.rollouts import decode_order, decode_state, encode_state
from coriandershelf_rig.internal.standin_replica import (
    ReceivedRequest,
    ReplicaConnection,
    receipt_response,
)
from coriandershelf_rig.internal.standin_store import OPERATOR_TOPIC

KEY = "rollout/plain"
STATUS_TOPIC = "keyed.status"
DUTY_TOPIC = "keyed.duty"


def run(scenario) -> None:
    asyncio.run(scenario())


async def respond_done(request: ReceivedRequest, connection: ReplicaConnection) -> None:
    await connection.send(receipt_response(request))


def place_order(site: Site, target: str = "v2", duration_s: float = 2.0) -> None:
    order = {"service": "plain", "target": target, "duration_s": duration_s}
    site.store.put(OPERATOR_TOPIC, KEY, order)


def statuses(site: Site) -> list[tuple[str, str]]:
    """Return target and state of the status records so far."""
    records = [json.loads(value) for key, value in site.store.topic(STATUS_TOPIC).records]
    return [(item["target"], item["state"]) for item in records]


def make_state(**changes: object) -> RolloutState:
    fields: dict[str, object] = {
        "service": "plain", "target": "v2", "duration_s": 2.0, "offset": 1, "number": 1, "step": 1,
        "phase": "reverted", "share": 0.0, "started_s": 1.0, "changed_s": 2.0,
        "barred": ("v2",), **changes,
    }  # fmt: skip
    return RolloutState(**fields)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.02)


def test_a_roll_out_is_told_once_per_change_and_its_state_is_kept_first():
    """Fails if a status is repeated, or written before the state that a next holder reads."""

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done, "r-1")
            place_order(site)
            new = await site.add_replica("plain", respond_done, "r-2", version="v2")
            await until(lambda: len(statuses(site)) == 2)
            assert statuses(site) == [("v2", "in_progress"), ("v2", "completed")]
            kept = [json.loads(v) for k, v in site.store.topic(DUTY_TOPIC).records if k == KEY]
            assert kept[-1]["phase"] == "completed"
            client = await site.connect()
            client.send("/read/a")
            assert (await client.read()).status == 200
            assert len(new.received) == 1
            events = [line["event"] for line in site.logs()]
            assert events.count("rollout status") == 2

    run(scenario)


def test_a_status_whose_answer_was_lost_is_not_written_again():
    """Fails if the holder repeats an append that the store carried out."""

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done, "r-1", version="v2")
            await until(lambda: site.application._gateway.ready)
            place_order(site)
            await until(lambda: bool(site.store.topic(DUTY_TOPIC).newest_by_key.get(KEY)))
            site.store.lose_answers = True
            await asyncio.sleep(0.5)
            site.store.lose_answers = False
            await until(lambda: bool(statuses(site)))
            await asyncio.sleep(1.0)
            assert statuses(site) == [("v2", "completed")]

    run(scenario)


def test_a_vm_that_starts_after_a_revert_never_uses_the_version():
    """Fails if a restarted VM forgets the verdict, which only the store has then."""

    async def scenario() -> None:
        site = Site()
        place_order(site)
        site.store.topic(DUTY_TOPIC).append(KEY, encode_state(make_state(offset=0)))
        async with site:
            old = await site.add_replica("plain", respond_done, "r-1")
            new = await site.add_replica("plain", respond_done, "r-2", version="v2")
            client = await site.connect()
            for number in range(20):
                client.send(f"/read/{number}", request_id=f"id-{number}")
                assert (await client.read()).status == 200
                await asyncio.sleep(0.05)
            assert (len(old.received), len(new.received)) == (20, 0)

    run(scenario)


def test_a_second_order_for_the_same_version_is_a_new_one():
    """Fails if orders are told apart by their text: a reverted version could never return."""

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done, "r-1")
            place_order(site, duration_s=1.0)
            await until(lambda: statuses(site)[-1:] == [("v2", "reverted")])
            place_order(site, duration_s=1.0)
            await site.add_replica("plain", respond_done, "r-2", version="v2")
            await until(lambda: statuses(site)[-1:] == [("v2", "completed")])
            assert [state for _, state in statuses(site)] == [
                "in_progress", "reverted", "in_progress", "completed",
            ]  # fmt: skip

    run(scenario)


def test_a_malformed_order_costs_one_line():
    """Fails if a bad record ends the consumer or starts a roll-out."""

    async def scenario() -> None:
        async with Site() as site:
            await site.add_replica("plain", respond_done, "r-1")
            for value in (b"\xff", b"[]", b'{"service": "other", "target": "v2", "duration_s": 1}'):
                site.store.topic(OPERATOR_TOPIC).append(KEY, value)
            site.store.put(OPERATOR_TOPIC, KEY, None)
            place_order(site, target="v1")
            await until(lambda: statuses(site) == [("v1", "completed")])
            events = [line["event"] for line in site.logs()]
            assert events.count("rollout order not understood") == 3
            assert "task failed" not in events

    run(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b"", b"{}", b'{"service": "", "target": "v2", "duration_s": 1}',
        b'{"service": "plain", "target": "v2", "duration_s": 0}',
        b'{"service": "plain", "target": "v2", "duration_s": 1e9}',
        b'{"service": "plain", "target": 2, "duration_s": 1}',
    ],
)  # fmt: skip
def test_orders_out_of_bounds_are_rejected(value: bytes):
    """Fails if a duration of 0, or a version that is no text, reaches the decision."""
    assert isinstance(decode_order(KeyedRecord(KEY, value), 1, None), str)


def test_a_kept_state_survives_the_store():
    """Fails if a field of the state is lost, so that a next holder decides otherwise."""
    state = make_state(phase="moving", share=0.25, reason="good", observed_s=1.5)
    assert decode_state(KeyedRecord(KEY, encode_state(state))) == state
    assert decode_state(KeyedRecord(KEY, b"{}")) is None
    newer_build = json.loads(encode_state(state)) | {"field_of_a_newer_build": 1}
    assert decode_state(KeyedRecord(KEY, json.dumps(newer_build).encode())) == state
