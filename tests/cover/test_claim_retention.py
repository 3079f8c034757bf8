"""Claims survive the log's retention by being rewritten, and readers detect gaps.

A VM that has not read all live claims could otherwise run a call a second time.
"""

from __future__ import annotations

from dataclasses import replace

from coriandershelf_core import Done, RefusalReason, Unknown
from coriandershelf_core.internal.claims.claim_table import ClaimTable
from coriandershelf_core.internal.vocabulary.records import Claim, ClaimKept, ClaimReleased
from coriandershelf_rig.internal.bench import Call
from coriandershelf_rig.internal.soak_bench import SoakBench
from coriandershelf_rig.internal.soak_plan import Book, Cut, Kill, LogOutage, Pause
from coriandershelf_rig.internal.soak_site import RETENTION_S, SOAK_SETTINGS


def make_bench(*disabled: str) -> SoakBench:
    bench = SoakBench(11, frozenset(disabled), replace(SOAK_SETTINGS, key_window_s=300.0))
    bench.run(1.0)
    return bench


def book(bench: SoakBench, vm: int, key: str = "k") -> Call:
    call = bench.book(Book(bench.now_s, vm, key, 0, 10.0))
    assert call is not None
    return call


def run_count(bench: SoakBench) -> int:
    return sum(execution.body == b"k/0" for execution in bench.executions)


def repeat_after_retention(*disabled: str) -> tuple[SoakBench, Call]:
    """Run a call, let its records expire, restart a VM and repeat the call there."""
    bench = make_bench(*disabled)
    book(bench, 0)
    bench.run(RETENTION_S + 5.0)
    bench.apply(Kill(0.0, 1, 0.5, False))
    bench.run(2.0)
    repeat = book(bench, 1)
    bench.run(3.0)
    return bench, repeat


def test_a_vm_started_after_retention_passed_answers_from_the_first_run():
    bench, repeat = repeat_after_retention()
    assert repeat.outcome == Done(200, b"ran k/0")
    assert run_count(bench) == 1


def test_without_writing_forward_a_new_vm_can_only_say_unknown():
    bench, repeat = repeat_after_retention("claims-kept")
    assert isinstance(repeat.outcome, Unknown)
    assert run_count(bench) == 1


def test_without_a_check_that_the_ledger_was_read_whole_a_new_vm_runs_a_call_again():
    bench, _ = repeat_after_retention("claims-kept", "claims-complete")
    assert run_count(bench) == 2


def repeat_after_long_outage(*disabled: str) -> tuple[SoakBench, Call]:
    """Repeat a call at a VM that booted during a log outage longer than the retention.

    The other VMs stay partitioned from the log for 2 s after the outage, so that the booted VM
    reaches the log first.
    """
    bench = make_bench(*disabled)
    book(bench, 0)
    bench.run(1.0)
    bench.apply(LogOutage(0.0, RETENTION_S + 5.0))
    bench.apply(Kill(0.0, 1, 0.5, False))
    bench.run(RETENTION_S + 4.9)
    for vm in (0, 2, 3):
        bench.apply(Cut(0.0, f"entry-{vm + 1}", "log", True, 2.0))
    bench.run(0.3)
    repeat = book(bench, 1)
    bench.run(1.5)
    return bench, repeat


def test_a_vm_that_booted_in_an_outage_longer_than_retention_runs_nothing():
    bench, repeat = repeat_after_long_outage()
    assert isinstance(repeat.outcome, Unknown)
    assert run_count(bench) == 1
    bench.run(15.0)
    again = book(bench, 1)
    bench.run(1.0)
    assert isinstance(again.outcome, Done)
    assert run_count(bench) == 1


def test_without_the_check_an_outage_longer_than_retention_doubles_a_call():
    bench, _ = repeat_after_long_outage("claims-complete")
    assert run_count(bench) == 2


def repeat_at_reader_behind_retention(*disabled: str) -> tuple[SoakBench, Call]:
    """Repeat a call at a VM that was partitioned from the log until unread records expired."""
    bench = make_bench("claims-kept", *disabled)
    book(bench, 2, "other")
    bench.run(1.0)
    bench.apply(Cut(0.0, "entry-2", "log", True, RETENTION_S + 10.0))
    bench.run(1.0)
    book(bench, 0)
    bench.run(RETENTION_S + 10.0)
    repeat = book(bench, 1)
    bench.run(1.0)
    return bench, repeat


def test_a_reader_that_fell_behind_retention_does_not_take_a_key_to_be_free():
    bench, repeat = repeat_at_reader_behind_retention()
    assert isinstance(repeat.outcome, Unknown)
    assert repeat.outcome.reason is RefusalReason.LOG_UNAVAILABLE
    assert run_count(bench) == 1
    assert bench.counters["log.gaps"] >= 1


def test_without_noticing_the_gap_a_reader_that_fell_behind_runs_a_call_again():
    bench, _ = repeat_at_reader_behind_retention("claims-gap")
    assert run_count(bench) == 2


def test_states_are_forgotten_once_their_time_has_passed():
    bench = make_bench()
    for index in range(20):
        book(bench, index % 4, f"k{index}")
    bench.run(2.0)
    table = bench.entries["entry-1"].core.calls.claims.table
    assert len(table) == 20
    table.expire(bench.now_s + bench.settings.key_refuse_s + 1.0)
    assert len(table) == 0


def test_a_reader_that_began_between_a_release_and_a_late_copy_of_its_claim_agrees_with_others():
    table = ClaimTable(5.0, 50.0, 100.0)
    duplicate = Claim("k", "b", "r1", "vm-1", 0.0)
    table.on_claim(duplicate, 29, 1.0)
    table.on_claim(Claim("k", "b", "r2", "vm-2", 2.0), 40, 2.0)
    assert table.get("k").claim.request_id == "r1"
    table.on_released(ClaimReleased("k", "r1"), 50, 12.0)
    table.on_kept(ClaimKept(Claim("k", "b", "r2", "vm-2", 2.0), 40, 2.0), 51, 12.0)
    assert table.get("k").claim.request_id == "r2"


def test_a_release_is_written_forward_with_the_state_of_its_key():
    bench = make_bench()
    book(bench, 0, "other")
    bench.run(1.0)
    for vm in (1, 2, 3):
        bench.apply(Pause(0.0, vm, 100.0))
    claims = bench.entries["entry-1"].core.calls.claims
    time_s = claims.retention.log_time_s
    claims.table.on_claim(Claim("k", "b", "former", "vm-1", time_s), 0, time_s)
    claims.table.on_released(ClaimReleased("k", "former"), 1, time_s)
    claims.table.on_claim(Claim("k", "b", "present", "vm-2", time_s), 2, time_s)
    bench.run(RETENTION_S)
    stored, _, _ = bench.log.read("ledger", 0, 500, bench.now_s)
    written = [entry for record in stored for entry in record.data[3]]
    kept_request_ids = [
        getattr(getattr(entry, "claim", None), "request_id", "") for entry in written
    ]
    entry_kinds = [type(entry).__name__ for entry in written]
    released = written.index(ClaimReleased("k", "former"))
    assert released < kept_request_ids.index("present") < entry_kinds.index("LedgerKept")
