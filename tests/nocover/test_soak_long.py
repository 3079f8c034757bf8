"""Longer runs of the soak tests in tests/cover/test_soak.py."""

from __future__ import annotations

import pytest
from claims_machine import ClaimsMachine
from hypothesis import settings

from coriandershelf_rig.internal.soak import run_soak


@pytest.mark.parametrize("seed", range(2, 8))
def test_a_soak_breaks_nothing(seed: int):
    result = run_soak(seed, 20_000)
    assert [episode.violations for episode in result.broken_episodes] == []


class TestClaims(ClaimsMachine.TestCase):
    settings = settings(max_examples=300, stateful_step_count=60)
