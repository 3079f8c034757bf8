"""Accepted jobs survive the loss of their holder; callers read each token once at any entry VM."""

from __future__ import annotations

from dataclasses import replace

import pytest

from coriandershelf_core import Done, NotRun, RefusalReason, RequestKind, Unknown
from coriandershelf_core.internal.jobs.job_table import JobTable
from coriandershelf_core.internal.vocabulary.events import ReclaimNotice, VmState
from coriandershelf_core.internal.vocabulary.records import (
    JobAccepted,
    JobFinished,
    JobMoved,
    JobSnapshot,
)
from coriandershelf_core.internal.vocabulary.settings import CoreSettings
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import kingston
from coriandershelf_rig.internal.job_callers import JobCaller, JobCallers, LoadBalancer
from coriandershelf_rig.internal.job_faults import FAULTS, JobFaults


def post_job(
    disabled: frozenset[str] = frozenset(), length: int = 600, settings: CoreSettings | None = None
) -> tuple[Bench, JobCaller]:
    bench = Bench(kingston(), 1, settings, disabled)
    bench.run(1.0)
    balancer = LoadBalancer(bench, 1.0)
    balancer.watch()
    job = JobCallers(bench, balancer.choose).post("depot", length)
    bench.run(2.0)
    assert job.accepted and 0 < len(job.chunks) < length
    return bench, job


def kill_and_mark_gone(bench: Bench, vm_id: str) -> None:
    bench.kill_entry(vm_id)
    bench.set_vm_state(vm_id, VmState.GONE)


def copy_vm_of(bench: Bench, job: JobCaller) -> str:
    table_job = bench.entries[job.call.vm_id].core.jobs.table.jobs[job.call.request.request_id]
    assert table_job.copy is not None
    return table_job.copy.vm_id


def test_a_job_whose_holder_dies_without_a_word_goes_on_from_the_copy():
    bench, job = post_job()
    kill_and_mark_gone(bench, job.call.vm_id)
    bench.run(60.0)
    assert job.is_complete and not job.is_broken
    assert bench.counters["jobs.taken-over"] == 1


def test_a_job_whose_holder_dies_is_lost_without_takeover():
    bench, job = post_job(frozenset({"job-takeover"}))
    kill_and_mark_gone(bench, job.call.vm_id)
    bench.run(60.0)
    assert job.is_broken


def test_output_that_a_caller_has_read_is_lost_without_a_copy():
    bench, job = post_job(frozenset({"job-copy"}))
    kill_and_mark_gone(bench, job.call.vm_id)
    bench.run(60.0)
    assert job.restarted


def test_a_job_is_made_anew_and_says_so_when_holder_and_copy_die_together():
    bench, job = post_job()
    copy_vm_id = copy_vm_of(bench, job)
    kill_and_mark_gone(bench, job.call.vm_id)
    kill_and_mark_gone(bench, copy_vm_id)
    bench.run(60.0)
    assert job.is_complete and job.generation == 1


def test_the_copy_is_kept_in_another_availability_zone():
    bench, job = post_job()
    zone_of = dict(bench.deployment.entries)
    assert zone_of[copy_vm_of(bench, job)] != zone_of[job.call.vm_id]


def test_a_leaving_holder_hands_over_to_another_peer_when_the_first_is_leaving_too():
    bench, job = post_job()
    for vm_id in (job.call.vm_id, copy_vm_of(bench, job)):
        for observer in bench.entries:
            bench.feed(observer, ReclaimNotice(vm_id, bench.now_s + 3.0))
        bench.at(3.0, lambda name=vm_id: kill_and_mark_gone(bench, name))
    bench.run(60.0)
    assert job.is_complete and not job.is_broken
    assert bench.counters["jobs.handed-over"] == 1
    assert "jobs.restarted" not in bench.counters


def test_a_holder_that_wakes_after_its_job_was_taken_over_stops_it():
    bench, job = post_job()
    holder = job.call.vm_id
    bench.pause_entry(holder)
    bench.run(8.0)
    bench.resume_entry(holder)
    bench.run(60.0)
    assert bench.counters["jobs.fenced"] == 1
    assert job.is_complete and not job.is_broken


def test_the_output_of_a_finished_job_outlives_its_holder():
    bench, job = post_job()
    bench.run(30.0)
    assert job.is_complete
    kill_and_mark_gone(bench, job.call.vm_id)
    bench.run(10.0)
    job.chunks, job.status = [], "running"
    reader = next(name for name, entry in bench.entries.items() if entry.alive)
    call = JobCallers(bench, lambda: reader).read(job, reader)
    bench.run(3.0)
    assert isinstance(call.outcome, Done) and b'"status":"done"' in call.outcome.body


def test_a_job_is_answered_by_the_copy_while_its_holder_is_silent():
    bench, job = post_job()
    bench.pause_entry(job.call.vm_id)
    other = next(
        name for name in bench.entries if name not in (job.call.vm_id, copy_vm_of(bench, job))
    )
    call = JobCallers(bench, lambda: other).read(job, other)
    bench.run(1.5)
    assert isinstance(call.outcome, Done)


def test_a_job_read_by_another_customer_is_not_known():
    bench, job = post_job()
    other_customer_job = replace(job, customer="archive")
    call = JobCallers(bench, lambda: job.call.vm_id).read(other_customer_job, job.call.vm_id)
    assert isinstance(call.outcome, NotRun)
    assert call.outcome.reason is RefusalReason.UNKNOWN_JOB


def post_with_key(bench: Bench, vm_id: str, key: str, body: bytes):
    request = bench.chat("depot", max_tokens=50, kind=RequestKind.JOB)
    return bench.send(vm_id, replace(request, idempotency_key=key, body=body))


@pytest.mark.parametrize("pause_s", [0.0, 2.0])
def test_a_repeated_job_key_gives_the_first_job_at_any_entry_vm(pause_s):
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    first = post_with_key(bench, "entry-1", "k", b"night shift")
    bench.run(pause_s)
    second = post_with_key(bench, "entry-2", "k", b"night shift")
    other = post_with_key(bench, "entry-3", "k", b"another shift")
    bench.run(2.0)
    assert first.request.request_id.encode() in second.outcome.body
    assert second.outcome.status == 202
    assert other.outcome == NotRun(RefusalReason.KEY_REUSED)


def test_a_job_whose_record_is_not_read_back_is_not_said_to_be_not_run():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    bench.log.down = True
    call = bench.send("entry-1", bench.chat("depot", kind=RequestKind.JOB))
    bench.run(5.0)
    assert isinstance(call.outcome, Unknown)
    bench.log.down = False
    bench.run(10.0)
    (job,) = bench.entries["entry-2"].core.jobs.table.jobs.values()
    assert job.status == "done"


def test_a_job_posted_while_the_log_is_known_to_be_down_is_not_run_and_never_runs():
    bench = Bench(kingston(), 1)
    bench.run(1.0)
    bench.log.down = True
    first = bench.send("entry-1", bench.chat("depot", kind=RequestKind.JOB))
    bench.run(2.5)
    second = bench.send("entry-1", bench.chat("depot", kind=RequestKind.JOB))
    assert second.outcome == NotRun(RefusalReason.LOG_UNAVAILABLE, retry_after_s=5.0)
    bench.log.down = False
    bench.run(10.0)
    assert list(bench.entries["entry-2"].core.jobs.table.jobs) == [first.request.request_id]


def test_an_accepted_job_is_tried_until_a_replica_is_there():
    bench, job = post_job()
    models = [name for name, item in bench.upstreams.items() if item.engine is not None]
    for replica_id in models:
        bench.kill_upstream(replica_id)
    bench.run(30.0)
    for replica_id in models:
        bench.restart_upstream(replica_id)
    bench.run(60.0)
    assert job.is_complete and not job.is_broken


def test_an_open_job_outlives_the_retention_of_its_record():
    settings = CoreSettings(job_snapshot_s=5.0)
    bench, job = post_job(length=4000, settings=settings)
    bench.log.retention_s = 15.0
    bench.run(25.0)
    bench.publish("again", 1)
    bench.start_entry("entry-9", "jm-a")
    bench.run(2.0)
    assert job.call.request.request_id in bench.entries["entry-9"].core.jobs.table.jobs


ACCEPTED = JobAccepted("j", "depot", "m", b"", 1, 1, "a", 0.0, holder_incarnation=1)


def test_the_first_move_in_log_order_wins_and_a_former_holder_cannot_finish():
    table = JobTable()
    table.accept(ACCEPTED)
    assert table.move(JobMoved("j", "b", epoch=1, holder_incarnation=1)) is not None
    assert table.move(JobMoved("j", "c", epoch=1, holder_incarnation=1)) is None
    assert table.finish(JobFinished("j", "a", True, 1.0, epoch=0, length=3)) is None
    assert table.jobs["j"].holder.vm_id == "b"


def test_a_snapshot_changes_nothing_where_newer_moves_are_known():
    table = JobTable()
    job = table.accept(ACCEPTED)
    assert job is not None
    old_snapshot: JobSnapshot = job.snapshot(5.0)
    table.move(JobMoved("j", "b", epoch=1, holder_incarnation=1))
    assert table.restore(old_snapshot).holder.vm_id == "b"
    new_table = JobTable()
    assert new_table.restore(old_snapshot).holder.vm_id == "a"
    assert new_table.restore(job.snapshot(6.0)).holder.vm_id == "b"


@pytest.mark.parametrize("seed", [6])
def test_jobs_are_whole_under_random_faults(seed):
    result = JobFaults(seed, tuple(FAULTS)).run()
    assert result.jobs > 10
    assert (result.incomplete, result.inconsistent) == (0, 0), f"seed {seed}: {result}"
