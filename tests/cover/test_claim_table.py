"""The claim table depends only on the records in log order, and duplicates change nothing."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from coriandershelf_core import CoreSettings, VmIdentity
from coriandershelf_core.internal.claims.claim_table import ClaimTable
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.vocabulary.actions import Append
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    Claim,
    ClaimFinished,
    ClaimKept,
    ClaimReleased,
)

LATE_S = 5.0
WINDOW_S = 50.0
KEY_RETENTION_S = 100.0
KEYS = st.sampled_from(["k1", "k2"])
REQUESTS = st.sampled_from(["r1", "r2", "r3"])
ENTRIES = st.one_of(
    st.builds(Claim, KEYS, st.just("b"), REQUESTS, st.just("vm"), st.just(0.0)),
    st.builds(ClaimReleased, KEYS, REQUESTS),
    st.builds(ClaimFinished, KEYS, REQUESTS, st.booleans()),
)


def make_table(max_delay_s: float = LATE_S) -> ClaimTable:
    return ClaimTable(max_delay_s, WINDOW_S, KEY_RETENTION_S)


def apply(table: ClaimTable, entry: object, offset: int, time_s: float) -> None:
    table.expire(time_s)
    match entry:
        case Claim():
            table.on_claim(entry, offset, time_s)
        case ClaimReleased():
            table.on_released(entry, offset, time_s)
        case ClaimFinished():
            table.on_finished(entry, offset, time_s)
        case ClaimKept():
            table.on_kept(entry, offset, time_s)


def holders(table: ClaimTable) -> dict[str, str]:
    return {state.claim.key_hash: state.claim.request_id for state in table if state.is_held}


@given(st.lists(ENTRIES, max_size=12), st.randoms(use_true_random=False))
def test_a_copy_of_an_applied_record_changes_no_holder(entries, rng):
    table = make_table()
    for offset, entry in enumerate(entries):
        apply(table, entry, offset, 0.0)
        before = holders(table)
        held = table.get(getattr(entry, "key_hash", ""))
        won = held is not None and held.claim.request_id == entry.request_id
        if won or isinstance(entry, ClaimReleased):
            apply(table, entry, offset + 1000, rng.uniform(0.0, LATE_S))
            assert holders(table) == before


def test_the_first_claim_of_a_key_holds_it_until_it_is_released():
    table = make_table()
    apply(table, Claim("k", "b", "r1", "vm-1", 0.0), 0, 0.0)
    apply(table, Claim("k", "b", "r2", "vm-2", 0.0), 1, 0.0)
    assert holders(table) == {"k": "r1"}
    apply(table, ClaimReleased("k", "r1"), 2, 0.0)
    apply(table, Claim("k", "b", "r1", "vm-1", 0.0), 3, 0.0)
    assert holders(table) == {}
    apply(table, Claim("k", "b", "r3", "vm-3", 0.0), 4, 0.0)
    assert holders(table) == {"k": "r3"}


def test_a_copy_of_a_claim_that_outlives_its_key_is_void():
    table = make_table()
    claim = Claim("k", "b", "r1", "vm-1", 0.0)
    apply(table, claim, 0, 0.0)
    apply(table, claim, 1, KEY_RETENTION_S + 1.0)
    assert holders(table) == {}


def test_without_void_claims_a_late_copy_takes_a_key_that_was_forgotten():
    table = make_table(max_delay_s=float("inf"))
    claim = Claim("k", "b", "r1", "vm-1", 0.0)
    apply(table, claim, 0, 0.0)
    apply(table, claim, 1, KEY_RETENTION_S + 1.0)
    assert holders(table) == {"k": "r1"}


def test_a_claim_written_forward_takes_its_place_before_later_ones():
    table = make_table()
    apply(table, Claim("k", "b", "r2", "vm-2", 30.0), 9, 30.0)
    kept = ClaimKept(Claim("k", "b", "r1", "vm-1", 0.0), 0, 0.0)
    apply(table, kept, 10, 31.0)
    assert holders(table) == {"k": "r1"}


def test_a_stale_copy_of_a_state_revives_no_released_claim():
    table = make_table()
    apply(table, ClaimReleased("k", "r1"), 8, 30.0)
    apply(table, Claim("k", "b", "r2", "vm-2", 30.0), 9, 30.0)
    kept = ClaimKept(Claim("k", "b", "r1", "vm-1", 0.0), 0, 0.0)
    apply(table, kept, 10, 31.0)
    assert holders(table) == {"k": "r2"}


def test_a_state_written_forward_after_its_time_is_dropped():
    table = make_table()
    kept = ClaimKept(Claim("k", "b", "r1", "vm-1", 0.0), 0, 0.0)
    apply(table, kept, 10, KEY_RETENTION_S + 1.0)
    assert len(table) == 0


def test_an_answer_is_dropped_at_the_end_of_its_window_and_the_key_later():
    table = make_table()
    apply(table, Claim("k", "b", "r1", "vm-1", 0.0), 0, 0.0)
    apply(table, ClaimFinished("k", "r1", True, 200, b"answer"), 1, 0.0)
    table.expire(WINDOW_S)
    state = table.get("k")
    assert state is not None and state.finished is not None
    assert state.finished.body == b"" and not state.finished.whole
    table.expire(KEY_RETENTION_S)
    assert len(table) == 0


def make_log_appender(**changes: int) -> tuple[Context, LogAppender]:
    context = Context(VmIdentity("vm", "z", 1), CoreSettings(**changes), random.Random(1))
    return context, LogAppender(context)


def appends(context: Context) -> list[Append]:
    return [action for action in context.outbox if isinstance(action, Append)]


def test_entries_that_come_while_a_record_is_on_its_way_share_the_next():
    context, log_appender = make_log_appender()
    for index in range(10):
        log_appender.add(LEDGER_STREAM, ClaimReleased("k", f"r{index}"), 0.0)
    log_appender.on_acknowledged(1, 20.0)
    assert [len(append.entries) for append in appends(context)] == [1, 9]


def test_a_record_is_kept_within_its_limit_of_bytes():
    context, log_appender = make_log_appender(append_max_bytes=10_000)
    for index in range(9):
        log_appender.add(
            LEDGER_STREAM, ClaimFinished("k", f"r{index}", True, 200, bytes(4000)), 0.0
        )
    for append_id in range(1, 9):
        log_appender.on_acknowledged(append_id, append_id * 1.0)
    assert [len(append.entries) for append in appends(context)] == [1, 2, 2, 2, 2]


def test_a_resent_record_is_settled_by_a_late_answer_to_its_first_append():
    context, log_appender = make_log_appender()
    log_appender.add(LEDGER_STREAM, ClaimReleased("k", "r"), 0.0)
    log_appender.on_failed(1, True, 0.0)
    assert log_appender.is_down(LEDGER_STREAM)
    log_appender.on_tick(10.0)
    log_appender.on_acknowledged(1, 20.0)
    assert log_appender.idle and not log_appender.is_down(LEDGER_STREAM)


def test_records_follow_each_other_with_a_pause_and_the_first_is_sent_at_once():
    context, log_appender = make_log_appender()
    spacing_s = context.settings.append_spacing_s
    log_appender.add(LEDGER_STREAM, ClaimReleased("k", "r1"), 1.0)
    log_appender.on_acknowledged(1, 1.0)
    log_appender.add(LEDGER_STREAM, ClaimReleased("k", "r2"), 1.0 + spacing_s / 2)
    log_appender.add(LEDGER_STREAM, ClaimReleased("k", "r3"), 1.0 + spacing_s / 2)
    assert len(appends(context)) == 1
    log_appender.on_tick(1.0 + spacing_s)
    assert [len(append.entries) for append in appends(context)] == [1, 2]
