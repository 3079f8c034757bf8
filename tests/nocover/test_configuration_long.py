"""Long runs of the properties that tests/cover/test_configuration_*.py check briefly."""

from __future__ import annotations

import pytest
from configuration_log_machine import ConfigurationLogMachine
from hypothesis import settings

from coriandershelf_rig.internal.experiments import config_race

TestReadersAgreeLong = ConfigurationLogMachine.TestCase
TestReadersAgreeLong.settings = settings(max_examples=2000, stateful_step_count=80)


@pytest.mark.parametrize("seed", range(10))
def test_racing_operators_are_told_the_truth_for_any_seed(seed):
    assert config_race.run(seed=seed).violations == 0


def test_the_race_finds_the_reading_back_of_verdicts_missing():
    assert config_race.run(seed=1, disabled=frozenset({"verdict-read-back"})).violations > 0
