"""VM states only move forward; neither a wrong list nor a partition removes live VMs."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import settings
from membership_machine import MembershipMachine, status_of

from coriandershelf_core import CoreSettings
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.rendezvous import (
    assign_bounded,
    ring_neighbours,
    ring_order,
)
from coriandershelf_core.internal.vocabulary.context import Context, VmIdentity
from coriandershelf_core.internal.vocabulary.events import SeedsGiven, VmState
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.experiments import membership as membership_experiment
from coriandershelf_rig.internal.experiments import partition
from coriandershelf_rig.internal.fleet import Fleet

TestStatesGoOneWay = MembershipMachine.TestCase
TestStatesGoOneWay.settings = settings(max_examples=60, stateful_step_count=40)

NOW_S = 1000.0


def make_membership(*disabled: str) -> Membership:
    identity = VmIdentity("me", "zone", 1)
    context = Context(identity, CoreSettings(), random.Random(0), frozenset(disabled))
    table = Membership(context)
    table.on_vm_list((status_of("replica-1", 1, VmState.LIVE),), NOW_S)
    return table


def test_an_empty_list_changes_nothing():
    table = make_membership()
    table.on_vm_list((), NOW_S + 60)
    table.on_tick(NOW_S + 600)
    assert table.state_of("replica-1") is VmState.LIVE


def test_a_vm_missing_from_the_list_is_not_gone():
    table = make_membership()
    table.on_vm_list((status_of("replica-2", 1, VmState.LIVE),), NOW_S + 60)
    table.on_heard("replica-1", NOW_S + 590)
    table.on_tick(NOW_S + 600)
    assert table.state_of("replica-1") is VmState.LIVE
    table.on_tick(NOW_S + 900)
    assert table.state_of("replica-1") is not VmState.GONE


def test_a_vm_that_the_list_calls_gone_is_kept_while_it_answers_and_given_up_after():
    table = make_membership()
    table.on_vm_list((status_of("replica-1", 1, VmState.GONE),), NOW_S + 1)
    table.on_heard("replica-1", NOW_S + 3)
    table.on_tick(NOW_S + 7)
    assert table.state_of("replica-1") is VmState.LIVE
    table.on_tick(NOW_S + 9)
    assert table.state_of("replica-1") is VmState.GONE


def test_without_own_evidence_a_wrong_list_takes_a_vm_that_answers():
    table = make_membership("own-evidence")
    table.on_vm_list((status_of("replica-1", 1, VmState.GONE),), NOW_S + 1)
    assert table.state_of("replica-1") is VmState.GONE


def test_a_notice_before_the_vm_is_listed_still_counts():
    table = make_membership()
    table.on_notice("replica-2", NOW_S + 30, NOW_S)
    table.on_vm_list((status_of("replica-2", 1, VmState.LIVE),), NOW_S + 2)
    assert table.state_of("replica-2") is VmState.LEAVING


def test_a_notice_for_an_earlier_vm_of_the_name_does_not_touch_its_successor():
    table = make_membership()
    table.on_vm_list((status_of("replica-1", 2, VmState.LIVE),), NOW_S + 100)
    table.on_notice("replica-1", NOW_S + 50, NOW_S + 101)
    assert table.state_of("replica-1") is VmState.LIVE


def test_a_vm_long_missing_and_silent_is_forgotten_but_not_that_it_was_leaving():
    table = make_membership()
    table.on_notice("replica-1", NOW_S + 5, NOW_S)
    table.on_vm_list((status_of("replica-2", 1, VmState.LIVE),), NOW_S + 10)
    table.on_tick(NOW_S + 300)
    assert table.member("replica-1") is None
    assert table.state_of("replica-1") is VmState.LEAVING
    table.on_vm_list((status_of("replica-1", 1, VmState.LIVE),), NOW_S + 301)
    assert table.state_of("replica-1") is VmState.LEAVING


def test_watched_replicas_are_spread_evenly_and_mostly_stay_when_a_vm_goes():
    voters = [f"entry-{index}" for index in range(20)]
    names = [f"replica-{index}" for index in range(200)]
    before = assign_bounded(names, voters, 2)
    counts = Counter(voter for chosen in before.values() for voter in chosen)
    assert max(counts.values()) <= 25
    assert all(len(set(chosen)) == 2 for chosen in before.values())
    after = assign_bounded(names, voters[:7] + voters[8:], 2)
    overlapping_count = sum(set(before[name]) & set(after[name]) != set() for name in names)
    assert overlapping_count >= 180


def test_every_vm_is_the_neighbour_of_as_many_as_it_has():
    ring = ring_order("zone", [f"entry-{index}" for index in range(67)])
    heartbeat_counts = Counter(target for name in ring for target in ring_neighbours(ring, name))
    assert set(heartbeat_counts.values()) == {7}


def test_every_replica_is_watched_by_two_and_its_load_reaches_the_whole_zone():
    fleet = Fleet(node_count=36, replica_count=54, zone_count=3, seed=1)
    cost = fleet.measure(5.0, 5.0)
    polled_ids = [
        item.replica_id for n in fleet.nodes.values() for item in n.core.fleet.loads.polled
    ]
    assert len(polled_ids) == 2 * 54
    assert all(polled_ids.count(name) == 2 for name in set(polled_ids))
    assert cost.staleness_s < fleet.settings.peer_lost_s


def test_a_vm_that_starts_without_list_and_log_learns_everything_from_a_seed():
    deployment = kingston()
    bench = Bench(replace(deployment, entries=deployment.entries[:3]), seed=1)
    bench.run(2.0)
    bench.log.down = True
    bench.is_cut = lambda source, target: source == "late" and target in ("list", "notices")
    core = bench.start_entry("late", "jm-a").core
    del bench.vms["late"]
    bench.run(5.0)
    assert core.configuration.version_in_force == 0
    bench.feed("late", SeedsGiven(("entry-2",)))
    bench.run(10.0)
    assert core.configuration.version_in_force == 1
    assert {peer.vm_id for peer in core.membership.peers(core.context.identity)} >= {"entry-2"}


def test_a_leaving_upstream_gets_no_new_work_after_three_seconds():
    assert membership_experiment.run(seed=1).violations == 0


@pytest.mark.parametrize("mechanism", ["wake-hold", "notice-spread"])
def test_the_leaving_finds_each_mechanism_missing(mechanism):
    assert membership_experiment.run(seed=1, disabled=frozenset({mechanism})).violations > 0


def test_a_cut_zone_serves_its_own_and_converges_after_healing():
    assert partition.run(seed=1).violations == 0


@pytest.mark.parametrize("mechanism", ["own-evidence"])
def test_the_partition_finds_each_mechanism_missing(mechanism):
    assert partition.run(seed=1, disabled=frozenset({mechanism})).violations > 0
