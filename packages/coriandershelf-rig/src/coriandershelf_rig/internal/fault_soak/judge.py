"""Checks a soak's responses against the executions that replicas recorded."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from coriandershelf_rig.internal.fault_soak.callers import (
    DEADLINE_S,
    RequestRecord,
    expected_events,
    vm_of_request,
)
from coriandershelf_rig.internal.fault_soak.replicas import SoakReplica
from coriandershelf_rig.internal.replica_rules import (
    ArrivedRequest,
    ExcusedPeriod,
    ObservedStream,
    ResumptionCounts,
    limit_violation,
    version_violations,
)

# Statuses which guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# A response must arrive within this time after the request's deadline.
RESPONSE_SLACK_S = 1.0
REVOCATION_LIMIT_S = 5.0
CONTACT_S = 3.0


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a VM was paused, killed or restarting."""

    vm: int
    from_s: float
    to_s: float


@dataclass(slots=True)
class Verdict:
    """Result of a soak.

    :param counts: number of requests by outcome, and of faults by kind.
    :param violations: one line for each violated guarantee.
    """

    counts: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def count(self, name: str) -> None:
        """Count an outcome."""
        self.counts[name] = self.counts.get(name, 0) + 1


def judge(
    records: Iterable[RequestRecord],
    started_at_s: dict[str, list[float]],
    revoked_at_s: dict[str, float],
    disturbances: list[Disturbance],
    check_times: bool = True,
) -> Verdict:
    """Check the records of a soak.

    :param started_at_s: by request id, the times at which replicas started to execute it.
    :param revoked_at_s: revoked API keys with the times of revocation.
    :param check_times: whether late responses are violations; ``False`` on a shared machine, where
        load from other processes delays them.
    """
    verdict = Verdict()
    streams: dict[str, ObservedStream] = {}
    for record in records:
        stream = streams.setdefault(record.resumes_id or record.request_id, ObservedStream())
        if record.resumes_id is not None:
            verdict.count("streams taken up")
            if record.versions:
                verdict.count("streams taken up that went on")
        for version in record.versions:
            stream.add_event(record.request_id, version)
        run_times_s = started_at_s.get(record.request_id, [])
        verdict.count(f"{record.kind} {_describe_outcome(record)}")
        violations = list(_violations_of(record, run_times_s, revoked_at_s))
        if check_times and _is_late(record, disturbances):
            violations.append(f"had no response for {record.ended_at_s - record.sent_at_s:.1f} s")
        for violation in violations:
            verdict.violations.append(f"{record.request_id} at VM {record.vm}: {violation}")
    _count_streams(verdict, streams.values())
    # Too few resumed streams are no fault here: versions often have a single replica.
    verdict.violations += version_violations(list(streams.values()), ResumptionCounts())
    return verdict


def _count_streams(verdict: Verdict, streams: Iterable[ObservedStream]) -> None:
    for stream in streams:
        if stream.versions:
            verdict.count("streams")
        if len(stream.versions) > 1:
            verdict.count("streams mixed")


def _describe_outcome(record: RequestRecord) -> str:
    if record.resumes_id is not None and record.is_correct:
        return "resumed"
    if record.abandoned:
        return "left"
    if record.status is None:
        return "no answer"
    return f"{record.status}" if record.is_complete else f"{record.status} cut"


def _violations_of(
    record: RequestRecord,
    run_times_s: list[float],
    revoked_at_s: dict[str, float],
) -> Iterable[str]:
    if record.kind == "book" and len(run_times_s) > 1:
        yield f"ran {len(run_times_s)} times"
    if record.status in NOT_EXECUTED_STATUSES and run_times_s:
        yield f"got status {record.status} although it ran"
    if record.status == 200 and record.is_complete and not record.is_correct:
        if record.is_short:
            yield f"got a response that looks complete and is short: {record.body[-120:]!r}"
        else:
            yield f"got a body that its replica did not send: {record.body[:120]!r}"
    if record.status == 200 and record.kind in ("plan", "ask") and not record.is_complete:
        expected = expected_events(record.request_id, record.last_event_id)
        if not expected.startswith(record.events):
            yield f"its events are missing, out of order or duplicated: {record.body[-120:]!r}"
    key_revoked_at_s = revoked_at_s.get(record.key)
    if key_revoked_at_s is not None and any(
        run_at_s > key_revoked_at_s + REVOCATION_LIMIT_S for run_at_s in run_times_s
    ):
        yield "ran too long after its key was revoked"


def _is_late(record: RequestRecord, disturbances: list[Disturbance]) -> bool:
    duration_s = record.ended_at_s - record.sent_at_s
    was_disturbed = any(
        item.vm == record.vm and item.from_s <= record.ended_at_s and item.to_s >= record.sent_at_s
        for item in disturbances
    )
    return duration_s > DEADLINE_S + RESPONSE_SLACK_S and not was_disturbed and not record.abandoned


def judge_limits(
    replicas: list[SoakReplica],
    vm_count: int,
    disturbances: list[Disturbance],
    replica_disturbances: list[tuple[int, float, float]],
) -> list[str]:
    """Return a line for each period in which a replica got more requests than it stated.

    :param replica_disturbances: index of a replica, with the period in which the path to it was
        disturbed; requests that were held up then arrive together.
    """
    vms = [str(vm) for vm in range(vm_count)]
    violations = []
    for index, replica in enumerate(replicas):
        excused = [ExcusedPeriod(str(item.vm), item.from_s, item.to_s) for item in disturbances]
        excused += [
            ExcusedPeriod(vm, from_s, to_s)
            for target, from_s, to_s in replica_disturbances
            for vm in vms
            if target == index
        ]
        for period in replica.limits:
            informed_at_s: dict[str, float] = {}
            for request_id, at_s in period.informed_at_s.items():
                informed_at_s.setdefault(str(vm_of_request(request_id)), at_s)
            arrivals = [
                ArrivedRequest(at_s, str(vm_of_request(request_id)))
                for at_s, request_id, incarnation in replica.arrivals
                if period.replica.endswith(f"-{incarnation}")
            ]
            by_vm = replace(period, informed_at_s=informed_at_s)
            violations.append(limit_violation(by_vm, arrivals, excused, CONTACT_S))
    return [violation for violation in violations if violation is not None]
