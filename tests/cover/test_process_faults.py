"""Real processes are killed under load; execution counts and received tokens are checked."""

from __future__ import annotations

import asyncio
from collections import Counter

from coriandershelf_rig.internal.demo import booking_hash
from coriandershelf_rig.internal.fault_callers import Booking, ObservedOutcomes
from coriandershelf_rig.internal.faults import FaultsReport, judge, run_faults


def test_no_promise_is_broken_while_entry_vms_are_killed_and_reclaimed():
    report = asyncio.run(run_faults(1, [("kill-entry", "reclaim-entry")]))
    assert report.violations == []
    assert report.bookings["done"] and report.jobs["whole"] and report.streams["whole"]


def test_the_judge_finds_bookings_that_ran_twice_or_otherwise_than_told():
    bookings = [
        Booking("orders/new", "twice", "done", "done", 2),
        Booking("orders/new", "never", "done", "done", 1),
        Booking("orders/new", "not-run", "not-run", "not-run", 1),
        Booking("orders/new", "once", "done", "done", 1),
    ]
    counts = {booking_hash("orders/new", "twice"): 2}
    counts |= {booking_hash("orders/new", body): 1 for body in ("not-run", "once")}
    report = FaultsReport(1)
    judge(
        ObservedOutcomes(bookings, Counter(), Counter(), ["a stream with a wrong token"]),
        counts,
        report,
    )
    assert [line.split()[0] for line in report.violations] == ["twice", "never", "not-run", "a"]
