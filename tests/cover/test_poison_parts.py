"""What counts as evidence against a prompt part, and what refutes it."""

from __future__ import annotations

from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.poison_parts import (
    CRASHES_IF_NONE_COMPLETED_MAX_COUNT,
    CRASHES_IF_SOUND_BEFORE_MAX_COUNT,
    CRASHES_MAX_COUNT,
    EVIDENCE_KEEP_S,
    SHARED_PARTS_MAX_COUNT,
    TRIAL_AFTER_S,
    PoisonParts,
)
from coriandershelf_core.internal.gateway.request import PromptPart

OTHER = ("system", "other", "own-0")


def prompt(*part_ids: str) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(part_id, 100) for part_id in part_ids)


def make_parts(vm_id: str = "vm-1", ids: tuple[str, ...] = ("vm-1",)) -> PoisonParts:
    return PoisonParts(EntryVms(vm_id, ids))


def crash(parts, count, part_ids=("system", "bad", "own"), from_s=100.0, complete_other=True):
    """Let replicas crash under a prompt, one a second; other requests are completed in between."""
    for number in range(count):
        at_s = from_s + number
        parts.on_crash(prompt(*part_ids), f"replica-{from_s + number}", at_s, at_s + 0.2)
        if complete_other:
            parts.on_completed(prompt(*OTHER), at_s + 0.5)


def refused(parts, part_ids=("system", "bad", "new"), now_s=110.0):
    return parts.refused_part(prompt(*part_ids), now_s)


def test_a_part_is_refused_after_crashes_of_different_replicas_and_never_the_last_one():
    parts = make_parts()
    crash(parts, CRASHES_MAX_COUNT - 1)
    assert refused(parts) is None
    crash(parts, CRASHES_MAX_COUNT)
    assert refused(parts) == "bad"
    assert refused(parts, ("system", "own")) is None
    assert refused(parts, ("system", "bad")) is None


# Guards against refusing a prompt part because one replica breaks off all of its streams.
def test_one_replica_that_breaks_off_again_and_again_is_one_crash():
    parts = make_parts()
    for number in range(20):
        at_s = 100.0 + number
        parts.on_crash(prompt("system", "session", "own"), "replica-1", at_s, at_s + 0.2)
        parts.on_completed(prompt(*OTHER), at_s + 0.5)
    assert refused(parts, ("system", "session", "new")) is None


# Guards against refusing all prompts after connections to all replicas were reset at once.
def test_connections_that_break_at_the_same_moment_are_one_crash():
    parts = make_parts()
    for number in range(9):
        parts.on_crash(prompt("system", "session", "own"), f"replica-{number}", 99.0, 100.0)
    parts.on_completed(prompt(*OTHER), 100.5)
    assert refused(parts, ("system", "session", "new")) is None


def test_a_part_that_was_sound_before_needs_more_crashes():
    parts = make_parts()
    parts.on_completed(prompt("system", "bad", "own"), 90.0)
    crash(parts, CRASHES_IF_SOUND_BEFORE_MAX_COUNT - 1)
    assert refused(parts) is None
    crash(parts, 1, from_s=105.0)
    assert refused(parts) == "bad"


# Guards against refusing everything while links to the replicas flap and nothing is completed.
def test_while_nothing_is_completed_a_part_that_was_sound_is_never_refused():
    parts = make_parts()
    parts.on_completed(prompt("system", "session", "own"), 90.0)
    crash(parts, 20, complete_other=False)
    assert refused(parts, ("system", "session", "new"), 120.0) is None
    assert refused(parts, now_s=120.0) == "bad"
    unknown = make_parts()
    crash(unknown, CRASHES_IF_NONE_COMPLETED_MAX_COUNT - 1, complete_other=False)
    assert refused(unknown) is None


def test_what_a_crashing_part_explains_is_no_evidence_against_others():
    parts = make_parts()
    for number, session in enumerate(("session-1", "session-1", "session-1", "session-2")):
        at_s = 100.0 + number
        parts.on_crash(prompt("system", session, "own-1"), f"replica-{number}", at_s, at_s + 0.2)
        parts.on_crash(prompt("system", "bad", "own-2"), f"replica-{number}", at_s, at_s + 0.2)
        parts.on_completed(prompt(*OTHER), at_s + 0.5)
    crash(parts, 2, from_s=105.0)
    parts.on_completed(prompt("system", "session-2", "own"), 108.0)
    assert refused(parts) == "bad"
    assert refused(parts, ("system", "session-2", "new")) is None


def test_a_completed_request_clears_its_parts_here_and_at_the_peers():
    parts, peer = make_parts(), make_parts("vm-2")
    crash(parts, CRASHES_MAX_COUNT)
    assert peer.on_digest(parts.digest(103.0), 103.0) == 1
    assert refused(peer) == "bad"
    assert parts.on_completed(prompt("system", "bad", "own"), 104.0) == ["bad"]
    peer.on_digest(parts.digest(104.1), 104.1)
    assert refused(parts) is None
    assert refused(peer) is None
    assert parts.on_digest(peer.digest(104.2), 104.2) == 0


# Guards against a frozen VM that reads old digests late and takes one crash for several.
def test_a_crash_that_is_heard_of_again_and_late_counts_once():
    parts, peer = make_parts(), make_parts("vm-2")
    crash(parts, 1)
    for delay_s in (0.0, 2.0, 5.0, 9.0):
        peer.on_digest(parts.digest(101.0), 101.0 + delay_s)
        peer.on_completed(prompt(*OTHER), 101.1 + delay_s)
    assert refused(peer) is None


def test_one_vm_tries_a_refused_part_after_a_time_that_doubles_with_each_crash():
    ids = ("vm-1", "vm-2", "vm-3")
    vms = {vm_id: make_parts(vm_id, ids) for vm_id in ids}
    for parts in vms.values():
        crash(parts, CRASHES_MAX_COUNT)
    last_s = 100.2 + CRASHES_MAX_COUNT - 1

    def trying(now_s):
        return [vm_id for vm_id, parts in vms.items() if refused(parts, now_s=now_s) is None]

    assert trying(last_s + TRIAL_AFTER_S - 0.1) == []
    (owner,) = trying(last_s + TRIAL_AFTER_S + 0.1)
    assert trying(last_s + TRIAL_AFTER_S + 0.2) == []
    crash(vms[owner], 1, from_s=last_s + TRIAL_AFTER_S + 0.3)
    assert trying(last_s + 2.9 * TRIAL_AFTER_S) == []
    assert trying(last_s + 3.2 * TRIAL_AFTER_S) == [owner]
    vms[owner].on_completed(prompt("system", "bad", "own"), last_s + 3.3 * TRIAL_AFTER_S)
    assert refused(vms[owner], now_s=last_s + 3.4 * TRIAL_AFTER_S) is None


def test_evidence_is_bounded_and_forgotten():
    parts = make_parts()
    for number in range(2000):
        shared = [f"part-{number}-{index}" for index in range(40)]
        parts.on_crash(prompt(*shared, "own"), f"replica-{number}", 100.0, 100.1)
    assert len(parts.digest(101.0)) == SHARED_PARTS_MAX_COUNT
    parts.on_tick(102.0 + EVIDENCE_KEEP_S)
    assert parts.digest(102.0 + EVIDENCE_KEEP_S) == {}
