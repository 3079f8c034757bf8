"""End-to-end requests from a caller through an entry VM's core to an upstream and back."""

from __future__ import annotations

import pytest

from coriandershelf_core import Done, NotRun, RefusalReason, RequestKind, Unknown
from coriandershelf_core.internal.vocabulary.outcome import NOT_RUN_STATUSES
from coriandershelf_rig.internal.bench import Bench, executions_by_body, is_whole
from coriandershelf_rig.internal.deployments import consorcio, kingston


def make_bench(deployment=consorcio, seed: int = 1) -> Bench:
    bench = Bench(deployment(), seed)
    bench.run(1.0)
    return bench


def test_every_answer_of_two_hundred_streams_is_whole():
    bench = make_bench()
    for index in range(200):
        entry = f"entry-{index % 9 + 1}"
        bench.at(index * 0.01, lambda e=entry: bench.send(e, bench.chat("limpiatechos")))
    bench.run(60.0)
    assert len(bench.calls) == 200
    for call in bench.calls.values():
        assert is_whole(call, bench.shapes[call.request.request_id])


def test_a_repeated_booking_at_another_entry_vm_runs_once():
    bench = make_bench(kingston)
    first = bench.send("entry-1", bench.plain_call("depot", "orders/new", b"pole 7", "k1"))
    second = bench.send("entry-2", bench.plain_call("depot", "orders/new", b"pole 7", "k1"))
    bench.run(5.0)
    third = bench.send("entry-3", bench.plain_call("depot", "orders/new", b"pole 7", "k1"))
    bench.run(5.0)
    assert isinstance(first.outcome, Done)
    assert isinstance(second.outcome, Unknown | Done)
    assert third.outcome == first.outcome
    assert list(executions_by_body(bench).values()) == [1]


# Guards against a caller who takes the service's own status for a promise that a booking did not
# run, and books again under another key.
@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES))
def test_a_booking_that_ran_is_never_refused_with_the_services_status(status: int):
    bench = make_bench(kingston)
    for upstream in bench.upstreams.values():
        upstream.plain_status = status
    call = bench.send("entry-1", bench.plain_call("depot", "orders/new", b"pole 7", "k1"))
    bench.run(10.0)
    assert isinstance(call.outcome, Unknown)
    assert list(executions_by_body(bench).values()) == [1]


def test_a_key_reused_for_another_body_is_refused():
    bench = make_bench()
    bench.send("entry-1", bench.plain_call("limpiatechos", "visits/new", b"roof 1", "k1"))
    bench.run(2.0)
    call = bench.send("entry-2", bench.plain_call("limpiatechos", "visits/new", b"roof 2", "k1"))
    bench.run(2.0)
    assert isinstance(call.outcome, NotRun)
    assert call.outcome.reason is RefusalReason.KEY_REUSED


def test_a_non_idempotent_call_without_a_key_is_refused():
    bench = make_bench()
    call = bench.send("entry-1", bench.plain_call("limpiatechos", "visits/new", b"roof", None))
    assert isinstance(call.outcome, NotRun)
    assert call.outcome.reason is RefusalReason.KEY_MISSING


def test_a_job_is_accepted_once_its_record_is_read_back():
    bench = make_bench()
    request = bench.chat("limpiatechos", kind=RequestKind.JOB)
    call = bench.send("entry-1", request)
    assert call.outcome is None
    bench.run(1.0)
    assert isinstance(call.outcome, Done)
    assert call.outcome.status == 202


def test_a_stream_goes_on_at_another_replica_after_a_crash():
    bench = make_bench()
    call = bench.send("entry-1", bench.chat("limpiatechos", max_tokens=200))
    bench.run(1.0)
    serving_replica = next(name for name, up in bench.upstreams.items() if up.attempts)
    bench.kill_upstream(serving_replica)
    bench.run(30.0)
    assert is_whole(call, bench.shapes[call.request.request_id])
    assert bench.counters["retry.connection-lost"] == 1
