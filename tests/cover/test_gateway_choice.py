"""Replica selection: session affinity, avoidance of slow and loaded replicas.

Test names call the affinity replica of a session its home, ejected replicas shut out and a tracked
load an account.
"""

from __future__ import annotations

import itertools
import random

from gateway_driver import ASK, ENGINE, PLAN, make_replicas
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.deployment import Service
from coriandershelf_core.internal.gateway.digest import ReplicaDigest
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.load_tracking import TrackedLoad
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import ActiveRequest, Arrival, PromptPart
from coriandershelf_core.internal.gateway.selection import (
    ReplicaSelector,
    ScoredReplica,
    _length_group,
    affinity_ids_of,
)

OWN_PARTS = itertools.count()
SERVICE = Service(ENGINE, 100, engine_slots_count=8)


def make_selector(zone: str = "zone", seed: int = 1) -> ReplicaSelector:
    return ReplicaSelector(zone, random.Random(seed), EntryVms("vm-1", ("vm-1",)))


def make_states(count: int = 6) -> list[ReplicaState]:
    pool = Pool()
    pool.apply(make_replicas(engines=count, plains=0), True, False, 0.0)
    return list(pool)


def make_request(session: str, prompt_tokens: int = 6000) -> ActiveRequest:
    own = PromptPart(f"own-{next(OWN_PARTS)}", 1500)
    parts = (PromptPart("system", 500), PromptPart(session, 4000), own)
    arrival = Arrival(
        1, "id", "POST", "h", "/plan/1", "k", 15.0, 1, prompt_tokens=prompt_tokens, parts=parts
    )
    return ActiveRequest(arrival, PLAN, ENGINE, None, 1.0, 0.0, 15.0)


def select_for(
    selector: ReplicaSelector,
    request: ActiveRequest,
    states: list[ReplicaState],
    tracked_loads: dict[str, TrackedLoad] | None = None,
) -> ScoredReplica | None:
    candidate_set = selector.find_candidates(request, SERVICE, states, 1.0)
    return (
        None
        if candidate_set is None
        else selector.select(request, candidate_set, 1.0, tracked_loads)
    )


def select(
    selector: ReplicaSelector, states: list[ReplicaState], session: str = "s"
) -> ReplicaState:
    selected = select_for(selector, make_request(session), states)
    assert selected is not None
    return selected.state


def test_vms_that_never_spoke_send_a_session_to_the_same_replica():
    states = make_states()
    for session in ("a", "b", "c", "d"):
        names = {
            select(make_selector(f"zone-{seed}", seed), states, session).replica.replica_id
            for seed in range(8)
        }
        assert len(names) == 1, session


def test_a_home_stays_while_vms_learn_and_shut_out_replicas():
    states = make_states()
    before = {number: affinity_ids_of(f"s{number}", states) for number in range(40)}
    for state in states[::2]:
        state.on_peer_digests([ReplicaDigest(9, 9000, 180)], 0.0)
        state.eject(0.0)
    assert {number: affinity_ids_of(f"s{number}", states) for number in range(40)} == before


def test_sessions_of_a_replica_that_left_go_elsewhere_and_the_others_stay():
    states = make_states()
    sessions = [f"s{number}" for number in range(60)]
    before = {session: affinity_ids_of(session, states)[0] for session in sessions}
    gone = states[0].replica.replica_id
    after = {session: affinity_ids_of(session, states[1:])[0] for session in sessions}
    assert all(after[s] == before[s] for s in sessions if before[s] != gone)


def test_a_home_with_a_long_backlog_is_left_for_the_second_one():
    states = make_states()
    first, second, _ = affinity_ids_of("s", states)
    for state in states:
        if state.replica.replica_id == first:
            state.on_peer_digests([ReplicaDigest(4, 60_000)], 1.0)
    assert select(make_selector(), states).replica.replica_id == second


def test_a_full_replica_gets_nothing_more():
    states = make_states(2)
    states[0].on_peer_digests([ReplicaDigest(10, 0)], 1.0)
    selector = make_selector()
    names = {select(selector, states, f"s{n}").replica.replica_id for n in range(20)}
    assert names == {states[1].replica.replica_id}
    states[1].on_peer_digests([ReplicaDigest(10, 0)], 1.0)
    assert select_for(selector, make_request("s"), states) is None


def test_when_most_replicas_are_shut_out_all_are_used():
    states = make_states(4)
    for state in states[:3]:
        state.eject(1.0)
    selector = make_selector()
    names = {select(selector, states, f"s{n}").replica.replica_id for n in range(40)}
    assert len(names) == 4


def test_a_replica_in_a_slow_moment_is_passed_over():
    states = make_states(2)
    primary = affinity_ids_of("s", states)[0]
    for state in states:
        if state.replica.replica_id == primary:
            state.on_peer_digests([ReplicaDigest(0, 0, 0, 600, 0)], 1.0)
    assert select(make_selector(), states).replica.replica_id != primary


def test_requests_of_a_session_stay_together_whatever_their_own_last_part():
    states = make_states()
    selector = make_selector()
    names = {select(selector, states, "a").replica.replica_id for _ in range(20)}
    assert len(names) == 1


def test_a_last_part_that_comes_again_is_taken_as_shared():
    states = make_states()
    selector = make_selector()
    prompt_cache = selector.prompt_cache
    for _ in range(20):
        request = make_request("common")
        parts = (*request.arrival.parts[:2], PromptPart("turn", 900))
        again = replace(request, arrival=replace(request.arrival, parts=parts))
        shared = selector.reuse.shared_parts(again, prompt_cache)
        prompt_cache.add(parts, states[0].replica.replica_id, 1.0)
    assert shared == parts


def make_short_request(number: int) -> ActiveRequest:
    request = make_request(f"q{number}", 1200)
    return replace(request, route=ASK)


def test_questions_and_plans_keep_apart_where_replicas_are_many():
    states = make_states(20)
    selector = make_selector()
    taken: dict[str, set[str]] = {"plan": set(), "ask": set()}
    for number in range(200):
        for request in (make_short_request(number), make_request(f"p{number}", 12_000)):
            selected = select_for(selector, request, states)
            assert selected is not None
            if number > 100:
                taken[request.route.name].add(selected.state.replica.replica_id)
    assert taken["plan"] and taken["ask"]
    assert not taken["plan"] & taken["ask"]


def test_a_question_goes_to_a_plans_replica_when_its_own_are_behind():
    states = make_states(20)
    selector = make_selector()
    for number in range(100):
        for request in (make_short_request(number), make_request(f"p{number}", 12_000)):
            selected = select_for(selector, request, states)
    selected = select_for(selector, make_short_request(1), states)
    assert selected is not None
    usual_ids = {selected.state.replica.replica_id}
    for state in states:
        if _length_group([*states], False).count(state):
            state.on_peer_digests([ReplicaDigest(4, 40_000)], 1.0)
    selected = select_for(selector, make_short_request(1), states)
    assert selected is not None and selected.state.replica.replica_id not in usual_ids


def test_an_account_overrides_what_this_vm_believes_of_a_replica():
    states = make_states()
    first, second, _ = affinity_ids_of("s", states)
    tracked_loads = {
        state.replica.replica_id: TrackedLoad(state.replica.replica_id, 0, 0, 0) for state in states
    }
    tracked_loads[first] = TrackedLoad(first, 4, 90_000, 4500)
    tracked_loads[second] = TrackedLoad(second, 0, 0, 4500)
    selected = select_for(make_selector(), make_request("s"), states, tracked_loads)
    assert selected is not None
    assert selected.state.replica.replica_id == second
    assert selected.uncached_tokens == 1500 and selected.is_tracked


def test_a_replica_whose_account_is_full_or_shut_out_gets_nothing_where_another_has_room():
    states = make_states(3)
    names = [state.replica.replica_id for state in states]
    tracked_loads = {
        names[0]: TrackedLoad(names[0], 10, 0, 4500),
        names[1]: TrackedLoad(names[1], 0, 0, 4500, shut_out=True),
        names[2]: TrackedLoad(names[2], 9, 80_000, 0),
    }
    selected = select_for(make_selector(), make_request("s"), states, tracked_loads)
    assert selected is not None and selected.state.replica.replica_id == names[2]


# Guards against season plans that are late because one long prompt pauses all streams beside it for
# more than their objective, on replicas that have its first parts in their cache.
def test_a_long_prompt_goes_where_few_streams_run_and_a_short_one_stays_at_its_home():
    states = make_states()
    home = affinity_ids_of("s", states)[0]
    tracked_loads = {
        state.replica.replica_id: TrackedLoad(state.replica.replica_id, 1, 0, 500, streams_count=1)
        for state in states
    }
    tracked_loads[home] = TrackedLoad(home, 6, 0, 4500, streams_count=6)
    for prompt_tokens, stays in ((6_000, True), (40_000, False)):
        request = make_request("s", prompt_tokens)
        selected = select_for(make_selector(), request, states, tracked_loads)
        assert selected is not None
        assert (selected.state.replica.replica_id == home) is stays
