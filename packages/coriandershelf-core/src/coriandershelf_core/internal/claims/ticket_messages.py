"""Conversion of ticket calls and their outcomes to and from messages between entry VMs."""

from __future__ import annotations

from coriandershelf_core.internal.admission.classify import make_work
from coriandershelf_core.internal.claims.claim_keys import body_hash
from coriandershelf_core.internal.claims.claim_outcomes import outcome_of_result
from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_core.internal.vocabulary.messages import TicketCall, TicketResult
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import RefusalReason
from coriandershelf_core.internal.vocabulary.records import TicketUsed
from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
from coriandershelf_core.internal.vocabulary.work import WorkItem, WorkOwner


def work_of_call(call: TicketCall, inventory: Inventory | None, now_s: float) -> WorkItem | None:
    """Return the work item of a call that another entry VM forwarded.

    ``None`` means that this VM does not know the service or the customer.
    """
    if inventory is None or inventory.service(call.service) is None:
        return None
    customer = next((item for item in inventory.customers if item.name == call.customer), None)
    if customer is None:
        return None
    request = Request(
        request_id=call.request_id,
        kind=RequestKind.SERVICE,
        credential_hash="",
        service=call.service,
        path=call.path,
        body=call.body,
        idempotency_key=call.key,
        deadline_s=call.deadline_s,
    )
    return make_work(request, customer, inventory, WorkOwner.TICKET, now_s)


def outcome_of_used(used: TicketUsed, request: Request) -> Outcome:
    """Return the outcome of a repeated call whose ticket was used."""
    if used.body_hash != body_hash(request):
        return NotRun(RefusalReason.KEY_REUSED)
    return outcome_of_result(used.result)


def to_message(request_id: str, outcome: Outcome) -> TicketResult:
    """Encode an outcome as a message to the VM that forwarded the call."""
    if isinstance(outcome, Done):
        return TicketResult(request_id, "done", status=outcome.status, body=outcome.body)
    name = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return TicketResult(
        request_id, name, outcome.reason.code, outcome.retry_after_s, outcome.detail
    )


def from_message(result: TicketResult) -> Outcome:
    """Decode the outcome in a message; an unknown reason code becomes ``outcome-lost``."""
    if result.outcome == "done":
        return Done(result.status, result.body)
    reasons = {reason.code: reason for reason in RefusalReason}
    reason = reasons.get(result.reason, RefusalReason.OUTCOME_LOST)
    kind = NotRun if result.outcome == "not-run" else Unknown
    return kind(reason, result.retry_after_s, result.detail)
