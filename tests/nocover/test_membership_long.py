"""Long runs of the properties that tests/cover/test_membership.py checks briefly."""

from __future__ import annotations

import pytest
from hypothesis import settings
from membership_machine import MembershipMachine

from coriandershelf_rig.internal.experiments import membership, partition

TestStatesGoOneWayLong = MembershipMachine.TestCase
TestStatesGoOneWayLong.settings = settings(max_examples=2000, stateful_step_count=80)


@pytest.mark.parametrize("seed", range(10))
def test_a_leaving_upstream_gets_no_new_work_after_three_seconds_for_any_seed(seed):
    assert membership.run(seed=seed).violations == 0


@pytest.mark.parametrize("seed", range(10))
def test_a_cut_zone_serves_its_own_for_any_seed(seed):
    assert partition.run(seed=seed).violations == 0


def test_the_partition_finds_the_spread_of_notices_missing():
    assert partition.run(seed=1, disabled=frozenset({"notice-spread"})).violations > 0
