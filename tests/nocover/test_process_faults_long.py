"""Each fault on real processes under load, alone and in pairs."""

from __future__ import annotations

import asyncio

import pytest

from coriandershelf_rig.internal.faults import FAULTS, plan_windows, run_faults


@pytest.mark.parametrize("seed", [1, 2])
def test_no_promise_is_broken_under_each_fault_alone(seed):
    report = asyncio.run(run_faults(seed, plan_windows(list(FAULTS), True, False)))
    assert report.violations == [], f"seed {seed}"


def test_no_promise_is_broken_under_pairs_of_faults():
    report = asyncio.run(run_faults(3, plan_windows(list(FAULTS), False, True)))
    assert report.violations == [], "seed 3"
