"""Where requests go: sessions stay together, slow and loaded replicas are passed over."""

from __future__ import annotations

import random
from collections import Counter

from gateway_driver import ENGINE, PLAN, make_replicas

from coriandershelf_core.internal.gateway.choice import Chooser, homes_of
from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.digest import ReplicaDigest
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import Arrival, Passage, PromptPart

SERVICE = Service(ENGINE, 100, engine_slots_count=8)


def make_states(count: int = 6) -> list[ReplicaState]:
    pool = Pool()
    pool.apply(make_replicas(engines=count, plains=0), True, False, 0.0)
    return list(pool)


def make_passage(session: str, prompt_tokens: int = 6000) -> Passage:
    parts = (PromptPart("system", 500), PromptPart(session, 4000))
    arrival = Arrival(
        1, "id", "POST", "h", "/plan/1", "k", 15.0, 1, prompt_tokens=prompt_tokens, parts=parts
    )
    return Passage(arrival, PLAN, ENGINE, None, 1.0, 0.0, 15.0)


def choose(chooser: Chooser, states: list[ReplicaState], session: str = "s") -> ReplicaState:
    chosen = chooser.choose(make_passage(session), SERVICE, states, 1.0)
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


def test_sessions_of_a_replica_that_left_go_elsewhere_and_the_others_stay():
    states = make_states()
    sessions = [f"s{number}" for number in range(60)]
    before = {session: homes_of(session, states)[0] for session in sessions}
    gone = states[0].replica.replica_id
    after = {session: homes_of(session, states[1:])[0] for session in sessions}
    assert all(after[s] == before[s] for s in sessions if before[s] != gone)


def test_a_replica_of_half_the_speed_is_home_to_half_as_many_sessions():
    states = make_states(3)
    for state in states:
        state.on_others([ReplicaDigest(0, 0, 100)], 0.0)
    states[0].on_others([ReplicaDigest(0, 0, 200)], 0.0)
    counts = Counter(homes_of(f"s{number}", states)[0] for number in range(3000))
    slow = counts[states[0].replica.replica_id]
    assert 0.15 < slow / 3000 < 0.25


def test_a_home_with_a_long_backlog_is_left_for_the_second_one():
    states = make_states()
    first, second = homes_of("s", states)
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
    assert chooser.choose(make_passage("s"), SERVICE, states, 1.0) is None


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
