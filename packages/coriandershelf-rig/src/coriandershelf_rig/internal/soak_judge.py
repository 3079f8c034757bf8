"""Checks an episode: executions at the plain services against the outcomes callers received."""

from __future__ import annotations

from collections import Counter

from coriandershelf_core import Done, NotRun, RefusalReason, Unknown
from coriandershelf_rig.internal.bench import Call
from coriandershelf_rig.internal.soak_bench import Execution, SoakBench
from coriandershelf_rig.internal.soak_plan import VM_COUNT, Book

SETTLE_S = 25.0
FINAL_REPEAT_S = 8.0
# Refusals decided from a recent read of the ledger instead of one made after the call arrived.
RECENT_READ_REASONS = frozenset(
    {
        RefusalReason.STOPPING,
        RefusalReason.OVERLOADED,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.DEADLINE,
    }
)


def judge(bench: SoakBench) -> list[str]:
    """End every fault, let the bench settle and return the violations found."""
    bench.end_faults()
    bench.run(SETTLE_S)
    violations = _judge_executions(bench.executions)
    violations += _judge_answers(bench)
    violations += _judge_claim_holders(bench)
    violations += _judge_final_repeats(bench)
    return violations


def _judge_executions(executions: list[Execution]) -> list[str]:
    counts = Counter(execution.body for execution in executions)
    return [
        f"{body.decode()} ran {count} times" for body, count in sorted(counts.items()) if count > 1
    ]


def _judge_answers(bench: SoakBench) -> list[str]:
    counts_by_request = Counter(execution.request_id for execution in bench.executions)
    times_by_body: dict[bytes, list[float]] = {}
    for execution in bench.executions:
        times_by_body.setdefault(execution.body, []).append(execution.at_s)
    violations = []
    for call in bench.calls.values():
        executed_at_s = times_by_body.get(call.request.body, [])
        violations += _judge_answer(
            bench, call, counts_by_request[call.request.request_id], executed_at_s
        )
    return violations


def _judge_answer(
    bench: SoakBench, call: Call, execution_count: int, executed_at_s: list[float]
) -> list[str]:
    name = f"{call.request.request_id} ({call.request.body.decode()})"
    outcome = call.outcome
    if isinstance(outcome, Done):
        if len(executed_at_s) != 1:
            return [f"{name} was answered done but ran {len(executed_at_s)} times"]
        if outcome.body != b"ran " + call.request.body:
            return [f"{name} received the answer to another call"]
    if isinstance(outcome, NotRun):
        if execution_count:
            return [f"{name} was answered not run ({outcome.reason.code}) but ran"]
        uses_recent_read = outcome.reason in RECENT_READ_REASONS
        slack_s = bench.settings.ledger_fresh_s if uses_recent_read else 0.0
        if any(at_s < call.sent_at_s - slack_s for at_s in executed_at_s):
            return [
                f"{name} was answered not run ({outcome.reason.code}) "
                "after a call with its key had run"
            ]
    return []


def _judge_claim_holders(bench: SoakBench) -> list[str]:
    """Return the keys whose claim holder differs between VMs that have read the whole ledger."""
    views: dict[str, dict[str, str]] = {}
    for vm_id, entry in bench.entries.items():
        claims = entry.core.calls.claims
        if not claims.retention.is_complete:
            continue
        for state in claims.table:
            if state.is_held:
                views.setdefault(state.claim.key_hash, {})[vm_id] = state.claim.request_id
    complete_count = sum(
        entry.core.calls.claims.retention.is_complete for entry in bench.entries.values()
    )
    return [
        f"claim holders differ for key {key_hash[:8]}: {sorted(holders.items())}"
        for key_hash, holders in views.items()
        if len(set(holders.values())) > 1 or len(holders) != complete_count
    ]


def _judge_final_repeats(bench: SoakBench) -> list[str]:
    """Repeat every booking made without a ticket once more and return the violations found.

    No repeat may remain in progress or unanswered, and no booking may have run twice.
    """
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
    bench.run(FINAL_REPEAT_S)
    stuck = [
        f"{call.request.body.decode()} remains in progress"
        for call in repeats
        if call is not None
        and isinstance(call.outcome, Unknown)
        and call.outcome.reason is RefusalReason.IN_PROGRESS
    ]
    unanswered_repeats = [
        f"{c.request.request_id} was never answered" for c in repeats if c and not c.outcome
    ]
    return unanswered + stuck + unanswered_repeats + _judge_executions(bench.executions)


def _is_reachable(bench: SoakBench, call: Call) -> bool:
    """Return whether the process that accepted a call is still running."""
    request_id = call.request.request_id
    return request_id in bench.entries[call.vm_id].core.context.traces
