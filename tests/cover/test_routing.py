"""Routing by expected latency, without herding on one replica and never to a leaving replica."""

from __future__ import annotations

import random
from collections import Counter as Tally

import pytest

from coriandershelf_core import CoreSettings, Request, RequestKind, VmIdentity
from coriandershelf_core.internal.routing.replicas import (
    NOTICE_EXPIRY_S,
    ReplicaState,
    ReplicaTable,
)
from coriandershelf_core.internal.routing.route import Router
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmState
from coriandershelf_core.internal.vocabulary.inventory import Inventory, Replica
from coriandershelf_core.internal.vocabulary.work import WorkClass, WorkItem, WorkOwner
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import consorcio


def make_work(prefix_hashes: tuple[int, ...] = (), prompt_tokens: int = 100) -> WorkItem:
    request = Request(
        "r1",
        RequestKind.CHAT,
        "",
        "model",
        100.0,
        prompt_tokens=prompt_tokens,
        prefix_hashes=prefix_hashes,
    )
    return WorkItem(request, "c", 0, 1.0, WorkOwner.CALLER, WorkClass.SHORT, True, 0.0, 100.0)


def make_router(*disabled: str, zone: str = "a") -> Router:
    identity = VmIdentity("e1", zone, 1)
    return Router(Context(identity, CoreSettings(), random.Random(7), frozenset(disabled)))


def make_states(count: int = 6, slots: int = 8) -> list[ReplicaState]:
    return [
        ReplicaState(Replica(f"m{index}", "model", "ab"[index % 2], "", slots))
        for index in range(count)
    ]


def count_choices(router: Router, states: list[ReplicaState], times: int = 200) -> Tally[str]:
    tally: Tally[str] = Tally()
    for _ in range(times):
        state = router.choose(make_work(), states, 1.0)
        assert state is not None
        tally[state.replica.replica_id] += 1
    return tally


def test_one_late_report_does_not_draw_every_choice_to_one_replica():
    states = make_states()
    for state in states[1:]:
        state.on_report(4, 0, 1.0)
    assert count_choices(make_router("sampling"), states)["m0"] == 200
    assert count_choices(make_router(), states)["m0"] < 200


def test_work_stays_in_its_zone_while_there_is_room_and_spills_over_when_there_is_none():
    states = make_states()
    assert set(count_choices(make_router(), states)) <= {"m0", "m2", "m4"}
    for state in states[::2]:
        state.in_flight.update(f"x{number}" for number in range(8))
    assert set(count_choices(make_router(), states)) <= {"m1", "m3", "m5"}


def test_own_evidence_outweighs_a_report():
    slow, fast = make_states(4)[::2]
    slow.health.gap_s = 0.08
    fast.health.gap_s = 0.02
    slow.on_report(0, 0, 1.0)
    fast.on_report(4, 0, 1.0)
    assert count_choices(make_router(), [slow, fast]) == {"m2": 200}


def test_a_report_counts_less_the_older_it_is():
    state = make_states(1)[0]
    state.on_report(8, 0, 1.0)
    assert state.load(1.0) == pytest.approx(1.0)
    assert state.load(20.0) < 0.01


def test_own_work_inside_a_report_is_not_counted_twice():
    state = make_states(1)[0]
    state.in_flight.update(("x1", "x2"))
    state.sample(1.0)
    state.on_report(3, 0, 1.5)
    assert state.others_count == 1


def test_a_known_prefix_draws_work_until_its_replica_is_loaded():
    router = make_router()
    states = make_states()
    work = make_work((11, 12, 13), prompt_tokens=2000)
    router.record(work, "m2")
    assert router.choose(work, states, 1.0) is states[2]
    states[2].in_flight.update(f"x{number}" for number in range(8))
    assert router.choose(work, states, 1.0) is not states[2]


def test_a_leaving_replica_gets_no_new_work():
    bench = Bench(consorcio(), 3)
    bench.run(1.0)
    bench.set_vm_state("route-1", VmState.LEAVING)
    bench.run(1.0)
    before = bench.upstreams["route-1"].engine.counters.sequences
    for index in range(100):
        bench.at(index * 0.01, lambda: bench.send("entry-1", bench.chat("limpiatechos")))
    bench.run(5.0)
    assert bench.upstreams["route-1"].engine.counters.sequences == before


def make_table() -> ReplicaTable:
    replicas = tuple(Replica(name, "model", "a", "", 8) for name in ("m0", "m1"))
    table = ReplicaTable()
    table.apply_inventory(Inventory(1, (), (), replicas, ()))
    return table


def test_an_announced_leave_counts_before_the_vm_list_knows_the_vm():
    table = make_table()
    leaving = table.get("m0")
    assert leaving is not None
    leaving.announce_leave(60.0, 1.0)
    assert [state.replica.replica_id for state in table.healthy("model", 1.0)] == ["m1"]


def test_announced_replicas_serve_on_where_no_other_is_and_once_their_time_has_passed():
    table = make_table()
    for state in table:
        state.announce_leave(60.0, 1.0)
    assert len(table.healthy("model", 1.0)) == 2
    other = table.get("m1")
    assert other is not None
    other.leaves_at_s = 600.0
    assert [s.replica.replica_id for s in table.healthy("model", 65.0)] != ["m0"]
    after = 60.0 + NOTICE_EXPIRY_S
    assert [s.replica.replica_id for s in table.healthy("model", after)] == ["m0"]
