"""The fault soak's plan depends only on its seed, and its checks find each kind of violation."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from coriandershelf_rig.internal.fault_soak.callers import (
    DEADLINE_S,
    RequestRecord,
    expected_events,
)
from coriandershelf_rig.internal.fault_soak.judge import Disturbance, judge
from coriandershelf_rig.internal.fault_soak.plan import TARGET_OF_FAULT, make_plan
from coriandershelf_rig.internal.fault_soak.run import describe, run_seed

TARGET_COUNTS = {"vm": 3, "store-way": 3, "replica": 6, "replica-way": 6, "site": 1}
BOOKING = RequestRecord("book-1", "book", 0, "key-0", 10.0, 10.1, 200, b"done book-1", True)
STREAM = RequestRecord("ask-1", "ask", 0, "key-0", 10.0, 10.4, 200, expected_events("ask-1"), True)


def find_violations(
    record: RequestRecord, run_times_s: list[float], **options: object
) -> list[str]:
    arguments = {"revoked_at_s": {}, "disturbances": [], **options}
    return judge([record], {record.request_id: run_times_s}, **arguments).violations


def test_a_seed_gives_the_same_plan_and_another_seed_another():
    assert make_plan(7, 60.0, TARGET_COUNTS) == make_plan(7, 60.0, TARGET_COUNTS)
    assert make_plan(7, 60.0, TARGET_COUNTS) != make_plan(8, 60.0, TARGET_COUNTS)


def test_every_kind_of_fault_is_drawn_and_faults_overlap():
    plan = make_plan(1, 600.0, TARGET_COUNTS)
    assert {fault.kind for fault in plan} == set(TARGET_OF_FAULT)
    pairs = zip(plan, plan[1:], strict=False)
    assert sum(1 for first, second in pairs if second.at_s < first.at_s + first.duration_s) > 100


def test_requests_served_as_they_should_break_nothing():
    assert not find_violations(BOOKING, [10.05])
    assert not find_violations(STREAM, [10.05])
    assert not find_violations(replace(BOOKING, status=503, body=b""), [])
    assert not find_violations(replace(BOOKING, status=502, body=b""), [10.05])


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_false_promise_is_seen(status: int):
    assert find_violations(replace(BOOKING, status=status, body=b""), [10.05])


def test_a_booking_that_ran_twice_is_seen_and_a_stream_may_go_on_elsewhere():
    assert find_violations(BOOKING, [10.05, 10.06])
    assert not find_violations(STREAM, [10.05, 10.06])


def test_a_foreign_answer_is_seen():
    assert find_violations(replace(BOOKING, body=b"done book-2"), [10.05])
    assert find_violations(replace(STREAM, body=expected_events("ask-2")), [10.05])


def test_doubled_and_missing_events_are_seen_also_in_a_stream_that_was_cut():
    events = expected_events("ask-1").split(b"\n\n")
    duplicated = b"\n\n".join([events[0], events[0], events[1]]) + b"\n\n"
    missing = b"\n\n".join([events[0], events[2]]) + b"\n\n"
    for body in (duplicated, missing):
        assert find_violations(replace(STREAM, body=body, is_complete=False), [10.05])
    part = b"\n\n".join(events[:3]) + b"\n\nid: 4\nda"
    assert not find_violations(replace(STREAM, body=part, is_complete=False), [10.05])


def test_streams_of_two_software_versions_are_seen_also_over_two_requests():
    def stream_of(name: str, version: str, first: int, last: int, **changes: object):
        events = [f"id: {n}\ndata: {name} {n} {version}\n\n" for n in range(first, last + 1)]
        body = "".join(events).encode()
        return replace(
            STREAM, request_id=name, kind="plan", body=body, is_complete=False, **changes
        )

    def violations_of(second_version: str) -> list[str]:
        records = []
        for number in range(3):
            begun, resumed = f"plan-{number}", f"plan-{number}-resumed"
            records.append(stream_of(begun, "v1", 1, 4))
            records.append(
                stream_of(resumed, second_version, 5, 12, resumes_id=begun, last_event_id=4)
            )
        return judge(records, {}, {}, []).violations

    assert not violations_of("v1")
    assert len(violations_of("v2")) == 1


def test_a_body_with_bytes_after_its_last_event_is_not_correct():
    assert STREAM.is_correct
    assert not replace(STREAM, body=STREAM.body + b"id: 13").is_correct


def test_a_run_long_after_the_key_was_taken_away_is_seen():
    assert find_violations(BOOKING, [10.05], revoked_at_s={"key-0": 5.0})
    assert not find_violations(BOOKING, [10.05], revoked_at_s={"key-0": 9.0})


def test_a_late_answer_is_seen_unless_its_vm_was_disturbed():
    late = replace(BOOKING, ended_at_s=10.0 + DEADLINE_S + 1.5)
    assert find_violations(late, [10.05])
    assert not find_violations(late, [10.05], disturbances=[Disturbance(0, 11.0, 12.0)])
    assert find_violations(late, [10.05], disturbances=[Disturbance(1, 11.0, 12.0)])
    assert not find_violations(late, [10.05], check_times=False)


def test_a_short_soak_on_real_processes_breaks_no_promise():
    seed = 1
    verdict = asyncio.run(run_seed(seed, 12.0, 3, print, check_times=False))
    assert not verdict.violations, "\n".join(describe(seed, verdict))
    assert verdict.counts["book 200"] > 0
