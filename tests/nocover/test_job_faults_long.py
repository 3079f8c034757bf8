"""Long runs of jobs under random faults in virtual time."""

from __future__ import annotations

import pytest

from coriandershelf_rig.internal.job_faults import FAULTS, JobFaults


@pytest.mark.parametrize("seed", range(1, 41))
def test_accepted_jobs_are_whole_under_every_kind_of_fault(seed):
    result = JobFaults(seed, tuple(FAULTS)).run()
    assert (result.incomplete, result.inconsistent) == (0, 0), f"seed {seed}: {result}"


@pytest.mark.parametrize("seed", range(1, 21))
@pytest.mark.parametrize("kind", ["pause", "reclaim", "lost-answers", "kill-upstream", "cut"])
def test_no_output_that_a_caller_read_is_lost_while_no_entry_vm_dies_unannounced(kind, seed):
    result = JobFaults(seed, (kind,)).run()
    found = (result.incomplete, result.inconsistent, result.restarted)
    assert found == (0, 0, 0), f"kind {kind}, seed {seed}: {result}"
