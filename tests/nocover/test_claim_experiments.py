"""The experiments on claims and tickets, with all mechanisms and with one disabled."""

from __future__ import annotations

import pytest

from coriandershelf_rig.internal.experiments import at_most_once, log_outage


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_booking_is_doubled_or_told_wrong_for_any_seed(seed: int):
    report = at_most_once.run(seed)
    assert report.violations == 0
    assert report.baseline is not None and report.baseline > 0


@pytest.mark.parametrize(
    "mechanism", ["claims-first-wins", "claims-holder-incarnation", "tickets-one-owner"]
)
def test_with_a_mechanism_out_bookings_are_doubled(mechanism: str):
    assert sum(at_most_once.run(s, frozenset({mechanism})).violations for s in (1, 2, 3)) > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_tickets_serve_bookings_in_an_outage_that_refusing_does_not(seed: int):
    report = log_outage.run(seed)
    assert report.violations == 0
    assert report.baseline == 0
    assert report.candidate > 0.5
