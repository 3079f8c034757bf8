"""Estimates a request's cost and whether it will occupy a replica's slot for long."""

from __future__ import annotations

from coriandershelf_core.internal.admission.lengths import LengthEstimator
from coriandershelf_core.internal.vocabulary.inventory import Customer, Inventory
from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
from coriandershelf_core.internal.vocabulary.work import WorkClass, WorkItem, WorkOwner

LONG_TOKENS_COUNT = 512
# A prompt token costs about a tenth of a generated one, as prefill runs in parallel.
PROMPT_TOKEN_COST = 0.1
PLAIN_CALL_COST_TOKENS = 10.0


def is_repeatable(request: Request, inventory: Inventory) -> bool:
    """Return whether a request may safely be executed twice."""
    service = inventory.service(request.service)
    assert service is not None, f"request {request.request_id} passed admission without a service"
    if request.kind is not RequestKind.SERVICE:
        return True
    return not any(request.path.startswith(prefix) for prefix in service.non_idempotent_paths)


def result_owner(request: Request, inventory: Inventory) -> WorkOwner:
    """Return who receives the result of a request."""
    if request.kind is RequestKind.JOB:
        return WorkOwner.JOB
    return WorkOwner.CALLER if is_repeatable(request, inventory) else WorkOwner.CLAIM


def cost_tokens(request: Request, generated_tokens: float) -> float:
    """Return the cost charged to the customer's share, in generated tokens."""
    if request.kind is RequestKind.SERVICE:
        return PLAIN_CALL_COST_TOKENS
    return max(1.0, generated_tokens + PROMPT_TOKEN_COST * request.prompt_tokens)


def class_of(request: Request, expected_tokens: float) -> WorkClass:
    """Return the class of a request of this estimated length."""
    if request.kind is RequestKind.JOB or expected_tokens > LONG_TOKENS_COUNT:
        return WorkClass.LONG
    return WorkClass.SHORT


def make_work(
    request: Request,
    customer: Customer,
    inventory: Inventory,
    owner: WorkOwner,
    now_s: float,
    lengths: LengthEstimator | None = None,
) -> WorkItem:
    """Return the work item of an admitted request, with its class, estimated length and cost.

    :param lengths: estimator of answer lengths; ``None`` if there are no past lengths.
    """
    expected_tokens = 0.0
    if request.kind is not RequestKind.SERVICE:
        expected_tokens = (lengths or LengthEstimator()).expect_tokens(customer.name, request)
    return WorkItem(
        request=request,
        customer=customer.name,
        priority=customer.priority,
        share=customer.share,
        owner=owner,
        work_class=class_of(request, expected_tokens),
        repeatable=is_repeatable(request, inventory),
        queued_at_s=now_s,
        expected_tokens=expected_tokens,
        cost_tokens=cost_tokens(request, expected_tokens),
    )
