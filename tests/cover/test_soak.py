"""Random faults break no invariant unless a mechanism is disabled."""

from __future__ import annotations

from claims_machine import ClaimsMachine
from hypothesis import settings

from coriandershelf_rig.internal.soak import run_episode, run_soak, shrink
from coriandershelf_rig.internal.soak_plan import make_plan

STEPS = 1500


def test_a_short_soak_breaks_nothing():
    result = run_soak(1, STEPS)
    assert [episode.violations for episode in result.broken_episodes] == []
    assert result.step_count >= STEPS
    assert result.executions > 0


def test_without_the_first_claim_winning_a_soak_finds_a_double_run():
    result = run_soak(1, STEPS, frozenset({"claims-first-wins"}))
    assert any("ran 2 times" in line for item in result.broken_episodes for line in item.violations)


def test_an_episode_repeats_exactly():
    assert run_episode(5, 2) == run_episode(5, 2)


def test_a_broken_episode_is_shrunk_to_fewer_operations_that_still_break_it():
    kept, operations, broken = shrink(1, 0, frozenset({"claims-first-wins"}), 2)
    assert broken
    assert len(kept) == len(operations) <= len(make_plan(1, 0)) / 2


class TestClaims(ClaimsMachine.TestCase):
    settings = settings(max_examples=8, stateful_step_count=25)
