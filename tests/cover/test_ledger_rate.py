"""All entry VMs together stay within the append rate of the platform's log."""

from __future__ import annotations

import random

import pytest

from coriandershelf_core import CoreSettings, VmIdentity
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.vocabulary.actions import Append
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.records import LEDGER_STREAM, ClaimReleased

RUN_S = 20.0
TICK_S = 0.05


def count_appends(entry_count: int) -> int:
    """Return the appends of one busy VM among ``entry_count``, each acknowledged immediately."""
    context = Context(VmIdentity("e", "z", 1), CoreSettings(), random.Random(1))
    context.entry_count = entry_count
    log_appender = LogAppender(context)
    now_s = 0.0
    append_count = 0
    while now_s < RUN_S:
        log_appender.add(LEDGER_STREAM, ClaimReleased("k", str(now_s)), now_s)
        log_appender.on_tick(now_s)
        while context.outbox:
            action = context.outbox.pop(0)
            if isinstance(action, Append):
                append_count += 1
                log_appender.on_acknowledged(action.append_id, now_s)
        now_s += TICK_S
    return append_count


@pytest.mark.parametrize("entry_count", [9, 50, 400])
def test_busy_entry_vms_together_append_no_more_than_the_log_takes(entry_count):
    settings = CoreSettings()
    together_per_s = entry_count * count_appends(entry_count) / RUN_S
    assert together_per_s <= settings.log_appends_per_s + entry_count / RUN_S


def test_an_idle_vm_appends_at_once_whatever_their_number():
    assert count_appends(400) >= 1
