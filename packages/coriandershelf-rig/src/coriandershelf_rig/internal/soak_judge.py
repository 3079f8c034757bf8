"""Judges an episode by what the plain services ran and what callers were told."""

from __future__ import annotations

from collections import Counter

from coriandershelf_core import Done, NotRun, RefusalReason, Unknown
from coriandershelf_rig.internal.bench import Call
from coriandershelf_rig.internal.soak_bench import Execution, SoakBench
from coriandershelf_rig.internal.soak_plan import VM_COUNT, Book

SETTLE_S = 25.0
LAST_REPEAT_S = 8.0
# Refusals that rest on a recent read of the ledger, not on one made after the call arrived.
EARLY_REASONS = frozenset(
    {
        RefusalReason.STOPPING,
        RefusalReason.OVERLOADED,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.DEADLINE,
    }
)


def judge(bench: SoakBench) -> list[str]:
    """End every fault, let the bench settle, and return what was broken."""
    bench.heal()
    bench.run(SETTLE_S)
    broken = _judge_executions(bench.executions)
    broken += _judge_answers(bench)
    broken += _judge_readers(bench)
    broken += _judge_last_repeats(bench)
    return broken


def _judge_executions(executions: list[Execution]) -> list[str]:
    counts = Counter(execution.body for execution in executions)
    return [
        f"{body.decode()} ran {count} times" for body, count in sorted(counts.items()) if count > 1
    ]


def _judge_answers(bench: SoakBench) -> list[str]:
    by_request = Counter(execution.request_id for execution in bench.executions)
    by_body: dict[bytes, list[float]] = {}
    for execution in bench.executions:
        by_body.setdefault(execution.body, []).append(execution.at_s)
    broken = []
    for call in bench.calls.values():
        ran_at_s = by_body.get(call.request.body, [])
        broken += _judge_answer(bench, call, by_request[call.request.request_id], ran_at_s)
    return broken


def _judge_answer(bench: SoakBench, call: Call, own_count: int, ran_at_s: list[float]) -> list[str]:
    name = f"{call.request.request_id} ({call.request.body.decode()})"
    outcome = call.outcome
    if isinstance(outcome, Done):
        if len(ran_at_s) != 1:
            return [f"{name} was told done and ran {len(ran_at_s)} times"]
        if outcome.body != b"ran " + call.request.body:
            return [f"{name} got the answer of another call"]
    if isinstance(outcome, NotRun):
        if own_count:
            return [f"{name} was told not run ({outcome.reason.code}) and ran"]
        early = outcome.reason in EARLY_REASONS
        slack_s = bench.settings.ledger_fresh_s if early else 0.0
        if any(at_s < call.sent_at_s - slack_s for at_s in ran_at_s):
            return [f"{name} was told not run ({outcome.reason.code}) after its key had run"]
    return []


def _judge_readers(bench: SoakBench) -> list[str]:
    """Return keys on whose holder two readers of the whole ledger differ."""
    views: dict[str, dict[str, str]] = {}
    for vm_id, entry in bench.entries.items():
        claims = entry.core.calls.claims
        if not claims.retention.complete:
            continue
        for state in claims.table:
            if state.holds:
                views.setdefault(state.claim.key_hash, {})[vm_id] = state.claim.request_id
    complete_count = sum(
        entry.core.calls.claims.retention.complete for entry in bench.entries.values()
    )
    return [
        f"readers differ on key {key_hash[:8]}: {sorted(holders.items())}"
        for key_hash, holders in views.items()
        if len(set(holders.values())) > 1 or len(holders) != complete_count
    ]


def _judge_last_repeats(bench: SoakBench) -> list[str]:
    """Repeat every key once more; no repeat may be left in progress or without an answer."""
    unanswered = [
        f"{call.request.request_id} was never answered"
        for call in bench.calls.values()
        if call.outcome is None and _is_reachable(bench, call)
    ]
    bodies = sorted({call.request.body.decode() for call in bench.calls.values()})
    repeats = []
    for index, body in enumerate(bodies):
        key, variant = body.split("/")
        if variant == "0" and not key.startswith("ticket."):
            repeat = Book(bench.now_s, index % VM_COUNT, key, 0, 5.0)
            repeats.append(bench.book(repeat))
    bench.run(LAST_REPEAT_S)
    stuck = [
        f"{call.request.body.decode()} stays in progress"
        for call in repeats
        if call is not None
        and isinstance(call.outcome, Unknown)
        and call.outcome.reason is RefusalReason.IN_PROGRESS
    ]
    lost = [f"{c.request.request_id} was never answered" for c in repeats if c and not c.outcome]
    return unanswered + stuck + lost + _judge_executions(bench.executions)


def _is_reachable(bench: SoakBench, call: Call) -> bool:
    """Return whether the process that took a call still lives."""
    request_id = call.request.request_id
    return request_id in bench.entries[call.vm_id].core.context.traces
