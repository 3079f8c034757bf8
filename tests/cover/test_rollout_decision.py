"""The decision on a roll-out, from counts alone."""

from __future__ import annotations

import random

from msgspec.structs import replace

from coriandershelf_core.internal.gateway.rollout import (
    Phase,
    RolloutInputs,
    RolloutOrder,
    RolloutState,
    begin,
    decide,
)
from coriandershelf_core.internal.gateway.rollout_counts import (
    OwnCounts,
    RouteCounts,
    Timing,
    VersionCounts,
    sum_routes,
    weigh,
)

ORDER = RolloutOrder("engine", "v2", 12.0, 7)
REPLICAS = [f"new-{index}" for index in range(6)]
START_S = 1_700_000_000.0
ENOUGH = RolloutInputs(new_slots=60, old_slots=60, new_count=6, old_count=6)


def start(inputs: RolloutInputs = ENOUGH, order: RolloutOrder = ORDER) -> RolloutState:
    return begin(order, None, inputs, 1, START_S, START_S + 0.2)


def play(
    state: RolloutState, inputs: RolloutInputs, until_s: float, from_s: float = 0.2
) -> tuple[RolloutState, float]:
    """Decide every tenth of a second; return the state reached and its time."""
    changed_s = from_s
    for step in range(round(from_s * 10), round(until_s * 10)):
        change = decide(state, inputs, 1, START_S + step / 10)
        if change is not None:
            state, changed_s = change, step / 10
    return state, changed_s


def counts(rng: random.Random, answers: int, rate: float, old_rate: float) -> VersionCounts:
    routes = {}
    for name, share in (("read", 0.5), ("book", 0.3), ("plan", 0.2)):
        new, new_bad = dict.fromkeys(REPLICAS, 0), {}
        for _ in range(round(answers * share)):
            replica = rng.choice(REPLICAS)
            new[replica] += 1
            if rng.random() < rate:
                new_bad[replica] = new_bad.get(replica, 0) + 1
        old = round(10 * answers * share)
        old_bad = sum(rng.random() < old_rate for _ in range(old))
        routes[name] = RouteCounts(old, old_bad, 0, new, new_bad)
    return VersionCounts(7, 0, routes)


def test_a_sound_version_is_not_reverted_in_200_seeds():
    """Fails if the proof that ends a roll-out is so weak that chance gives it."""
    for seed in range(200):
        rng = random.Random(seed)
        rate = rng.choice((0.0, 0.005, 0.02, 0.1))
        state = start()
        total = VersionCounts(7)
        for step in range(1, 24):
            sums = sum_routes([total, counts(rng, 7, rate, rate)])
            total = VersionCounts(7, 0, sums)
            evidence = weigh(sums, REPLICAS)
            inputs = replace(ENOUGH, evidence=evidence, drained_for_s=step / 12)
            state = decide(state, inputs, 1, START_S + step / 2) or state
        assert state.phase == Phase.COMPLETED, (seed, rate, state.reason)


def test_a_version_with_a_fifth_of_bad_answers_is_reverted_before_its_share_rises():
    """Fails if the evidence of a canary is too little for a verdict."""
    for seed in range(30):
        rng = random.Random(seed)
        evidence = weigh(sum_routes([counts(rng, 90, 0.25, 0.01)]), REPLICAS)
        state, _ = play(start(), replace(ENOUGH, evidence=evidence), 8.6)
        assert state.phase == Phase.REVERTED, seed
        assert state.share == 0.0 and state.barred == ("v2",)


def test_one_bad_replica_of_several_does_not_condemn_its_version():
    """Fails if a replica that is slow or broken by itself reverts a good version."""
    new = dict.fromkeys(REPLICAS, 15)
    routes = {"read": RouteCounts(900, 5, 0, new, {"new-1": 15, "new-3": 1})}
    assert weigh(routes, REPLICAS).score < 6.0
    spread = {"read": RouteCounts(900, 5, 0, new, dict.fromkeys(REPLICAS, 3))}
    assert weigh(spread, REPLICAS).score > 11.0


def test_what_is_wrong_with_both_versions_condemns_neither():
    """Fails if a failing dependency during a roll-out reverts a good version."""
    new = dict.fromkeys(REPLICAS, 15)
    routes = {"read": RouteCounts(900, 300, 0, new, dict.fromkeys(REPLICAS, 6))}
    assert weigh(routes, REPLICAS).score == 0.0


def test_a_good_version_is_completed_by_the_limit_without_any_traffic():
    """Fails if the verdict waits for answers that do not come."""
    state, at_s = play(start(), ENOUGH, 12.0)
    assert (state.phase, state.reason) == (Phase.COMPLETED, "time limit")
    assert at_s < 11.5


def test_an_order_without_replicas_is_reverted_at_its_limit():
    """Fails if a roll-out without replicas stays in progress, or is completed."""
    inputs = RolloutInputs(old_slots=60, old_count=6)
    state, at_s = play(start(inputs), inputs, 12.0)
    assert (state.phase, state.reason) == (Phase.REVERTED, "no replicas")
    assert 10.0 < at_s < 12.0


def test_late_replicas_are_observed_before_they_get_the_traffic():
    """Fails if the share rises on the new replicas' first answers only because time is short."""
    empty = RolloutInputs(old_slots=60, old_count=6)
    state, _ = play(start(empty), empty, 7.0)
    assert state.phase == Phase.CANARY
    state, at_s = play(state, ENOUGH, 12.0, from_s=7.0)
    assert state.phase == Phase.COMPLETED
    moved, moved_s = play(start(empty), empty, 7.0)
    moved, moved_s = play(moved, ENOUGH, 8.5, from_s=7.0)
    assert moved.phase == Phase.CANARY


def test_traffic_waits_for_the_capacity_of_the_new_replicas():
    """Fails if all traffic moves to the first new replica while the others still boot."""
    few = replace(ENOUGH, new_slots=10, new_count=1, running_count=30)
    state, _ = play(start(few), few, 8.5)
    assert state.phase == Phase.MOVING and state.share <= 0.25
    state, _ = play(state, few, 11.5, from_s=8.5)
    assert state.phase == Phase.COMPLETED


def test_orders_that_need_no_traffic_end_at_once():
    """Fails if an order for the present version, or one whose time is over, starts a canary."""
    present = replace(ENOUGH, old_count=0, old_slots=0)
    assert start(present).phase == Phase.COMPLETED
    late = begin(ORDER, None, ENOUGH, 1, START_S, START_S + 12.5)
    assert (late.phase, late.barred) == (Phase.REVERTED, ("v2",))


def test_the_first_replica_dates_an_order_that_was_read_late():
    """Fails if an order that was read after an outage is taken to be older than it is."""
    inputs = replace(ENOUGH, first_new_replica_s=START_S + 20.0)
    state = begin(ORDER, None, inputs, 1, START_S, START_S + 22.0)
    assert (state.phase, state.started_s) == (Phase.CANARY, START_S + 20.0)
    other = replace(ENOUGH, first_new_replica_s=1.0)
    assert begin(ORDER, None, other, 1, None, START_S).started_s == START_S


def test_a_newer_order_bars_the_unproved_target_and_may_name_it_again():
    """Fails if a target without a verdict counts as an old version under the next order."""
    second = RolloutOrder("engine", "v3", 12.0, 8)
    state = begin(second, start(), ENOUGH, 1, START_S, START_S)
    assert state.barred == ("v2",)
    third = begin(replace(ORDER, offset=9), state, ENOUGH, 1, START_S, START_S)
    assert third.barred == ("v3",)
    assert third.rank > state.rank


def test_an_end_outranks_every_other_state_of_its_order():
    """Fails if a holder that read an older copy of the store takes a verdict back."""
    running = start()
    reverted = replace(running, phase=Phase.REVERTED.value, step=5, number=1)
    assert reverted.rank > replace(running, number=9, step=40).rank
    assert decide(reverted, ENOUGH, 9, START_S + 6.0) is None


def test_a_crash_counts_only_if_the_replica_still_runs():
    """Fails if the reclaim of a zone's replicas reverts a good version."""
    own = OwnCounts()
    for number in range(8):
        own.add_break("read", f"new-{number % 2}", True, 0.9, False, 1.0)
    assert own.snapshot(7, 0).bad_count == 0
    own.confirm_breaks("new-0", 1.5)
    assert own.snapshot(7, 0).bad_count == 4
    # It broke a request that was sent after the first breaks, so it had accepted a connection.
    own.add_break("read", "new-1", True, 2.0, False, 2.1)
    assert own.snapshot(7, 0).bad_count == 8
    # A replica that answers long after may have been started anew.
    own.confirm_breaks("new-1", 20.0)
    assert own.snapshot(7, 0).bad_count == 8


def test_slow_is_relative_to_the_old_version_in_the_same_seconds():
    """Fails if a constant decides what is slow, or if a cold cache makes a new replica slow."""
    own = OwnCounts()
    usual = Timing(0.1, 0.1, 0.1)
    assert not own.is_slow(("read",), True, Timing(9.0, 0.1, 0.1), 1.0)
    for step in range(5):
        own.note_time(("read", "all"), usual, 1.0 + step)
    assert own.is_slow(("read",), True, Timing(0.4, 0.1, 0.1), 6.0)
    assert own.is_slow(("rare", "all"), True, Timing(0.4, 0.1, 0.1), 6.0)
    assert not own.is_slow(("read",), True, Timing(0.4, 0.1, 0.3), 6.0)
    assert not own.is_slow(("read",), True, Timing(0.4, 0.1, 0.1), 60.0)
