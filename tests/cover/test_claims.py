"""Non-idempotent calls run at most once, whichever entry VM the caller repeats them at."""

from __future__ import annotations

from dataclasses import replace

import pytest

from coriandershelf_core import Done, NotRun, RefusalReason, Unknown
from coriandershelf_core.internal.claims.claim_keys import key_created_at_s
from coriandershelf_rig.internal.bench import Call
from coriandershelf_rig.internal.soak_bench import SoakBench
from coriandershelf_rig.internal.soak_plan import (
    BadAppends,
    BadUpstreams,
    Book,
    Cut,
    Kill,
    LogOutage,
    Pause,
    Stop,
)
from coriandershelf_rig.internal.soak_site import SOAK_SETTINGS


def make_bench(*disabled: str, seed: int = 3, **changes: float) -> SoakBench:
    settings = replace(SOAK_SETTINGS, **changes)
    bench = SoakBench(seed, frozenset(disabled), settings)
    bench.run(1.0)
    return bench


def book(bench: SoakBench, vm: int, key: str = "k", variant: int = 0, deadline_s=10.0) -> Call:
    call = bench.book(Book(bench.now_s, vm, key, variant, deadline_s))
    assert call is not None
    return call


def run_count(bench: SoakBench, body: bytes = b"k/0") -> int:
    return sum(execution.body == body for execution in bench.executions)


def reason_of(call: Call) -> RefusalReason | None:
    return call.outcome.reason if isinstance(call.outcome, NotRun | Unknown) else None


def test_repeats_at_every_entry_vm_while_the_first_runs_get_its_answer():
    bench = make_bench()
    calls = [book(bench, vm) for vm in (0, 1, 2, 3, 0)]
    bench.run(2.0)
    assert [call.outcome for call in calls] == [Done(200, b"ran k/0")] * 5
    assert run_count(bench) == 1


def test_without_the_first_claim_winning_concurrent_repeats_run_twice():
    bench = make_bench("claims-first-wins")
    for vm in (0, 1, 2, 3):
        book(bench, vm)
    bench.run(2.0)
    assert run_count(bench) > 1


def test_a_repeat_after_the_end_gets_the_same_answer_at_each_entry_vm():
    bench = make_bench()
    first = book(bench, 0)
    bench.run(1.0)
    repeats = [book(bench, vm) for vm in range(4)]
    bench.run(1.0)
    assert [call.outcome for call in repeats] == [first.outcome] * 4
    assert run_count(bench) == 1


def test_another_body_under_a_key_is_refused_while_the_first_runs_and_after():
    bench = make_bench()
    first = book(bench, 0)
    bench.run(0.015)
    during = book(bench, 1, variant=1)
    bench.run(1.0)
    after = book(bench, 2, variant=1)
    bench.run(1.0)
    assert isinstance(first.outcome, Done)
    assert reason_of(during) is reason_of(after) is RefusalReason.KEY_REUSED
    assert run_count(bench, b"k/1") == 0


def test_a_repeat_of_a_long_call_is_told_in_progress_with_a_time_to_come_back():
    bench = make_bench(plain_answer_limit_s=20.0, claim_open_max_s=60.0)
    for replica_id in bench.upstreams:
        bench.apply(Cut(0.0, replica_id, "entry-1", False, 15.0))
    book(bench, 0)
    bench.run(0.3)
    repeat = book(bench, 1)
    bench.run(2.5)
    assert isinstance(repeat.outcome, Unknown)
    assert repeat.outcome.reason is RefusalReason.IN_PROGRESS
    assert repeat.outcome.retry_after_s is not None


def test_a_holder_that_wakes_after_its_callers_deadline_runs_nothing_and_frees_the_key():
    bench = make_bench(claim_wait_s=30.0)
    call = book(bench, 0, deadline_s=2.0)
    bench.run(0.005)
    bench.apply(Pause(0.0, 0, 5.0))
    bench.run(1.0)
    repeat = book(bench, 1)
    bench.run(4.0)
    assert run_count(bench) == 0 and repeat.outcome is not None
    bench.run(3.0)
    assert reason_of(call) is RefusalReason.DEADLINE
    again = book(bench, 1)
    bench.run(1.0)
    assert isinstance(again.outcome, Done)
    assert run_count(bench) == 1


def test_a_holder_that_wakes_in_time_runs_its_call_once_though_it_was_repeated():
    bench = make_bench(claim_wait_s=30.0)
    book(bench, 0, deadline_s=30.0)
    bench.run(0.005)
    bench.apply(Pause(0.0, 0, 5.0))
    for _ in range(3):
        bench.run(1.0)
        book(bench, 1)
    bench.run(5.0)
    assert run_count(bench) == 1


def run_count_with_paused_holder(*disabled: str) -> int:
    bench = make_bench(*disabled, claim_wait_s=30.0)
    book(bench, 0, deadline_s=30.0)
    bench.run(0.005)
    bench.apply(Pause(0.0, 0, 12.0))
    bench.run(10.0)
    book(bench, 1)
    bench.run(5.0)
    return run_count(bench)


def test_a_claim_of_a_holder_paused_for_long_is_not_taken_over():
    assert run_count_with_paused_holder() == 1


def test_without_that_a_claim_moved_by_a_timeout_runs_twice():
    assert run_count_with_paused_holder("claims-no-takeover") == 2


def test_a_holder_that_dies_without_a_word_leaves_unknown_and_no_second_run():
    bench = make_bench()
    bench.apply(BadUpstreams(0.0, 1.0, 0.2))
    book(bench, 0)
    bench.run(0.1)
    bench.apply(Kill(0.0, 0, 2.0, False))
    bench.run(15.0)
    repeats = [book(bench, vm) for vm in range(4)]
    bench.run(0.1)
    assert [reason_of(call) for call in repeats] == [RefusalReason.OUTCOME_LOST] * 4
    bench.run(20.0)
    assert run_count(bench) <= 1


def run_count_with_restarted_holder(*disabled: str) -> int:
    bench = make_bench(*disabled, plain_answer_limit_s=20.0)
    bench.apply(BadUpstreams(0.0, 1.0, 0.1))
    book(bench, 0)
    bench.run(0.1)
    bench.apply(Kill(0.0, 0, 0.5, False))
    bench.run(2.0)
    book(bench, 1)
    bench.run(20.0)
    return run_count(bench)


def test_a_restarted_vm_does_not_release_what_its_former_process_claimed():
    assert run_count_with_restarted_holder() == 1


def test_without_the_holders_incarnation_a_restarted_vm_lets_a_call_run_twice():
    assert run_count_with_restarted_holder("claims-holder-incarnation") == 2


def test_a_vm_restarted_under_a_used_incarnation_runs_nothing_twice():
    bench = make_bench()
    for index in range(5):
        book(bench, 0, f"k{index}")
        bench.run(0.2)
    bench.apply(Kill(0.0, 0, 0.5, True))
    bench.run(2.0)
    calls = [book(bench, 0, f"k{index}") for index in range(10)]
    bench.run(5.0)
    assert all(run_count(bench, f"k{index}/0".encode()) <= 1 for index in range(10))
    assert all(isinstance(call.outcome, Done) for call in calls)


def test_a_claim_that_stands_though_its_answer_was_lost_runs_once():
    bench = make_bench()
    bench.log.lost_answer_share = 1.0
    call = book(bench, 0)
    bench.run(1.0)
    assert isinstance(call.outcome, Done)
    assert run_count(bench) == 1


def abandon_call(*disabled: str) -> tuple[SoakBench, Call]:
    bench = make_bench(*disabled, claim_wait_s=0.3, append_resend_s=0.5)
    bench.apply(Cut(0.0, "entry-1", "log", False, 1.0))
    call = book(bench, 0)
    bench.run(0.5)
    return bench, call


def test_without_forgetting_a_call_given_up_it_runs_after_its_caller_was_answered():
    bench, call = abandon_call("claims-give-up")
    assert reason_of(call) is RefusalReason.LOG_UNAVAILABLE
    with pytest.raises(AssertionError, match="answered twice"):
        bench.run(10.0)
    assert run_count(bench) == 1


def test_a_given_up_call_whose_late_claim_wins_is_released_and_never_run():
    bench, call = abandon_call()
    assert reason_of(call) is RefusalReason.LOG_UNAVAILABLE
    bench.run(10.0)
    assert run_count(bench) == 0
    repeat = book(bench, 1)
    bench.run(1.0)
    assert isinstance(repeat.outcome, Done)
    assert run_count(bench) == 1


def test_a_released_claim_whose_copy_arrives_late_does_not_take_the_key_again():
    bench = make_bench(seed=5, claim_wait_s=0.3)
    bench.apply(BadAppends(0.0, 1.0, 6.0))
    book(bench, 0)
    bench.run(30.0)
    repeat = book(bench, 1)
    bench.run(1.0)
    assert isinstance(repeat.outcome, Done)
    assert run_count(bench) == 1


def test_what_cannot_be_claimed_in_an_outage_is_answered_at_once_with_a_time_to_come_back():
    bench = make_bench()
    bench.apply(LogOutage(0.0, 20.0))
    book(bench, 0, "first")
    bench.run(5.0)
    call = book(bench, 0)
    assert reason_of(call) is RefusalReason.LOG_UNAVAILABLE
    assert call.outcome.retry_after_s is not None
    bench.run(18.0)
    repeat = book(bench, 0)
    bench.run(1.0)
    assert isinstance(repeat.outcome, Done)
    assert run_count(bench) == 1


def repeat_at_partitioned_vm(*disabled: str) -> Call:
    bench = make_bench(*disabled)
    bench.apply(Cut(0.0, "entry-2", "log", True, 20.0))
    first = book(bench, 0)
    bench.run(3.0)
    assert isinstance(first.outcome, Done)
    repeat = book(bench, 1)
    bench.run(3.0)
    assert reason_of(repeat) is RefusalReason.LOG_UNAVAILABLE
    return repeat


def test_not_run_is_not_said_where_another_vm_may_have_run_the_key():
    assert isinstance(repeat_at_partitioned_vm().outcome, Unknown)


def test_without_evidence_not_run_is_said_of_a_key_that_ran():
    repeat = repeat_at_partitioned_vm("not-run-evidence")
    assert isinstance(repeat.outcome, NotRun)


def test_not_run_is_said_where_the_log_can_be_read_and_not_written():
    bench = make_bench()
    bench.apply(BadAppends(0.0, 1.0, 1.5))
    bench.faults_rng.choice = lambda options: "lost"
    call = book(bench, 0)
    bench.run(2.0)
    assert call.outcome == NotRun(RefusalReason.LOG_UNAVAILABLE, 5.0)
    assert run_count(bench) == 0


def test_a_vm_that_boots_in_an_outage_runs_nothing_before_it_has_read_the_ledger():
    bench = make_bench()
    book(bench, 0)
    bench.run(1.0)
    bench.apply(LogOutage(0.0, 8.0))
    bench.apply(Kill(0.0, 1, 0.5, False))
    bench.run(3.0)
    before_log_read = book(bench, 1)
    bench.run(6.0)
    assert isinstance(before_log_read.outcome, Unknown)
    after_log_read = book(bench, 1)
    bench.run(1.0)
    assert isinstance(after_log_read.outcome, Done)
    assert run_count(bench) == 1


def test_a_stopping_vm_answers_a_repeat_from_its_claim():
    bench = make_bench()
    first = book(bench, 0)
    bench.run(1.0)
    bench.apply(Stop(0.0, 1, 5.0))
    repeat = book(bench, 1)
    assert repeat.outcome == first.outcome


def test_a_key_past_its_window_is_refused_at_every_entry_vm_and_not_run_again():
    bench = make_bench(key_window_s=3.0)
    book(bench, 0)
    bench.run(5.0)
    book(bench, 0, "later")
    bench.run(1.0)
    repeats = [book(bench, vm) for vm in range(4)]
    bench.run(1.0)
    assert [reason_of(call) for call in repeats] == [RefusalReason.KEY_EXPIRED] * 4
    assert run_count(bench) == 1


def test_a_key_that_tells_its_time_is_refused_past_its_window_even_when_forgotten():
    created_at_s = 990.0
    key = f"{int(created_at_s * 1000):012x}"
    key = f"{key[:8]}-{key[8:]}-7000-8000-000000000000"
    assert key_created_at_s(key) == created_at_s
    assert key_created_at_s("order-17") is None
    bench = make_bench(key_window_s=5.0)
    call = book(bench, 0, key)
    bench.run(1.0)
    assert reason_of(call) is RefusalReason.KEY_EXPIRED
    assert not bench.executions


def test_an_answer_too_large_to_keep_is_not_told_as_an_empty_one():
    bench = make_bench(claim_result_max_bytes=3)
    first = book(bench, 0)
    bench.run(1.0)
    repeat = book(bench, 1)
    bench.run(1.0)
    assert isinstance(first.outcome, Done)
    assert reason_of(repeat) is RefusalReason.RESULT_NOT_KEPT
    assert run_count(bench) == 1


@pytest.mark.parametrize("burst_count", [200])
def test_claims_of_a_burst_share_records(burst_count: int):
    bench = make_bench()
    before = bench.log.accepted_append_count
    calls = [book(bench, 0, f"k{index}") for index in range(burst_count)]
    bench.run(10.0)
    assert all(isinstance(call.outcome, Done) for call in calls)
    # The target is 300 appends per second for all VMs together, so a burst of 200 calls must not
    # use a whole second of it.
    assert bench.log.accepted_append_count - before <= burst_count / 2
