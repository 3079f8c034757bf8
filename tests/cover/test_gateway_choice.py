"""Where requests go: sessions stay together, slow and loaded replicas are passed over."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

from gateway_driver import ASK, ENGINE, PLAN, make_replicas

from coriandershelf_core.internal.gateway.choice import Chooser, Chosen, _group, homes_of
from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.digest import ReplicaDigest
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import Arrival, Passage, PromptPart
from coriandershelf_core.internal.gateway.room import Room

OWN_PARTS = itertools.count()
SERVICE = Service(ENGINE, 100, engine_slots_count=8)


def make_states(count: int = 6) -> list[ReplicaState]:
    pool = Pool()
    pool.apply(make_replicas(engines=count, plains=0), True, False, 0.0)
    return list(pool)


def make_passage(session: str, prompt_tokens: int = 6000) -> Passage:
    own = PromptPart(f"own-{next(OWN_PARTS)}", 1500)
    parts = (PromptPart("system", 500), PromptPart(session, 4000), own)
    arrival = Arrival(
        1, "id", "POST", "h", "/plan/1", "k", 15.0, 1, prompt_tokens=prompt_tokens, parts=parts
    )
    return Passage(arrival, PLAN, ENGINE, None, 1.0, 0.0, 15.0)


def choose_for(
    chooser: Chooser,
    passage: Passage,
    states: list[ReplicaState],
    rooms: dict[str, Room] | None = None,
) -> Chosen | None:
    prospect = chooser.prospect(passage, SERVICE, states, 1.0)
    return None if prospect is None else chooser.choose(passage, prospect, 1.0, rooms)


def choose(chooser: Chooser, states: list[ReplicaState], session: str = "s") -> ReplicaState:
    chosen = choose_for(chooser, make_passage(session), states)
    assert chosen is not None
    return chosen.state


def test_vms_that_never_spoke_send_a_session_to_the_same_replica():
    states = make_states()
    for session in ("a", "b", "c", "d"):
        names = {
            choose(Chooser(f"zone-{seed}", random.Random(seed)), states, session).replica.replica_id
            for seed in range(8)
        }
        assert len(names) == 1, session


def test_a_home_stays_while_vms_learn_and_shut_out_replicas():
    states = make_states()
    before = {number: homes_of(f"s{number}", states) for number in range(40)}
    for state in states[::2]:
        state.on_others([ReplicaDigest(9, 9000, 180)], 0.0)
        state.eject(0.0)
    assert {number: homes_of(f"s{number}", states) for number in range(40)} == before


def test_sessions_of_a_replica_that_left_go_elsewhere_and_the_others_stay():
    states = make_states()
    sessions = [f"s{number}" for number in range(60)]
    before = {session: homes_of(session, states)[0] for session in sessions}
    gone = states[0].replica.replica_id
    after = {session: homes_of(session, states[1:])[0] for session in sessions}
    assert all(after[s] == before[s] for s in sessions if before[s] != gone)


def test_a_home_with_a_long_backlog_is_left_for_the_second_one():
    states = make_states()
    first, second, _ = homes_of("s", states)
    for state in states:
        if state.replica.replica_id == first:
            state.on_others([ReplicaDigest(4, 60_000)], 1.0)
    assert choose(Chooser("zone", random.Random(1)), states).replica.replica_id == second


def test_a_full_replica_gets_nothing_more():
    states = make_states(2)
    states[0].on_others([ReplicaDigest(10, 0)], 1.0)
    chooser = Chooser("zone", random.Random(1))
    names = {choose(chooser, states, f"s{n}").replica.replica_id for n in range(20)}
    assert names == {states[1].replica.replica_id}
    states[1].on_others([ReplicaDigest(10, 0)], 1.0)
    assert choose_for(chooser, make_passage("s"), states) is None


def test_when_most_replicas_are_shut_out_all_are_used():
    states = make_states(4)
    for state in states[:3]:
        state.eject(1.0)
    chooser = Chooser("zone", random.Random(1))
    names = {choose(chooser, states, f"s{n}").replica.replica_id for n in range(40)}
    assert len(names) == 4


def test_a_replica_in_a_slow_moment_is_passed_over():
    states = make_states(2)
    home = homes_of("s", states)[0]
    for state in states:
        if state.replica.replica_id == home:
            state.on_others([ReplicaDigest(0, 0, 0, 600, 0)], 1.0)
    assert choose(Chooser("zone", random.Random(1)), states).replica.replica_id != home


def test_requests_of_a_session_stay_together_whatever_their_own_last_part():
    states = make_states()
    chooser = Chooser("zone", random.Random(1))
    names = {choose(chooser, states, "a").replica.replica_id for _ in range(20)}
    assert len(names) == 1


def test_a_last_part_that_comes_again_is_taken_as_shared():
    states = make_states()
    chooser = Chooser("zone", random.Random(1))
    memory = chooser.parts
    for _ in range(20):
        passage = make_passage("common")
        parts = (*passage.arrival.parts[:2], PromptPart("turn", 900))
        again = replace(passage, arrival=replace(passage.arrival, parts=parts))
        shared = chooser.shares.shared_parts(again, memory)
        memory.note(parts, states[0].replica.replica_id, 1.0)
    assert shared == parts


def make_question(number: int) -> Passage:
    passage = make_passage(f"q{number}", 1200)
    return replace(passage, route=ASK)


def test_questions_and_plans_keep_apart_where_replicas_are_many():
    states = make_states(20)
    chooser = Chooser("zone", random.Random(1))
    taken: dict[str, set[str]] = {"plan": set(), "ask": set()}
    for number in range(200):
        for passage in (make_question(number), make_passage(f"p{number}", 12_000)):
            chosen = choose_for(chooser, passage, states)
            assert chosen is not None
            if number > 100:
                taken[passage.route.name].add(chosen.state.replica.replica_id)
    assert taken["plan"] and taken["ask"]
    assert not taken["plan"] & taken["ask"]


def test_a_question_goes_to_a_plans_replica_when_its_own_are_behind():
    states = make_states(20)
    chooser = Chooser("zone", random.Random(1))
    for number in range(100):
        for passage in (make_question(number), make_passage(f"p{number}", 12_000)):
            chosen = choose_for(chooser, passage, states)
    chosen = choose_for(chooser, make_question(1), states)
    assert chosen is not None
    usual = {chosen.state.replica.replica_id}
    for state in states:
        if _group([*states], False).count(state):
            state.on_others([ReplicaDigest(4, 40_000)], 1.0)
    chosen = choose_for(chooser, make_question(1), states)
    assert chosen is not None and chosen.state.replica.replica_id not in usual


def test_an_account_overrides_what_this_vm_believes_of_a_replica():
    states = make_states()
    first, second, _ = homes_of("s", states)
    rooms = {state.replica.replica_id: Room(state.replica.replica_id, 0, 0, 0) for state in states}
    rooms[first] = Room(first, 4, 90_000, 4500)
    rooms[second] = Room(second, 0, 0, 4500)
    chosen = choose_for(Chooser("zone", random.Random(1)), make_passage("s"), states, rooms)
    assert chosen is not None
    assert chosen.state.replica.replica_id == second
    assert chosen.uncached_tokens == 1500 and chosen.asked


def test_a_replica_whose_account_is_full_or_shut_out_gets_nothing_where_another_has_room():
    states = make_states(3)
    names = [state.replica.replica_id for state in states]
    rooms = {
        names[0]: Room(names[0], 10, 0, 4500),
        names[1]: Room(names[1], 0, 0, 4500, shut_out=True),
        names[2]: Room(names[2], 9, 80_000, 0),
    }
    chosen = choose_for(Chooser("zone", random.Random(1)), make_passage("s"), states, rooms)
    assert chosen is not None and chosen.state.replica.replica_id == names[2]
