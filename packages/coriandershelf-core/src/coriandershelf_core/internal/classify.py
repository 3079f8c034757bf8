"""Filter: guess how long a request will hold a replica's slot."""

from __future__ import annotations

from coriandershelf_core.internal.inventory import Customer, Inventory
from coriandershelf_core.internal.request import Request, RequestKind
from coriandershelf_core.internal.work import Work, WorkClass, WorkOwner

LONG_TOKENS_COUNT = 512


def is_repeatable(request: Request, inventory: Inventory) -> bool:
    """Return whether running a request twice does no harm."""
    service = inventory.service(request.service)
    assert service is not None, f"request {request.request_id} passed admission without a service"
    if request.kind is not RequestKind.SERVICE:
        return True
    return not any(request.path.startswith(prefix) for prefix in service.non_idempotent_paths)


def make_work(
    request: Request, customer: Customer, inventory: Inventory, owner: WorkOwner, now_s: float
) -> Work:
    """Return the work of an admitted request with its class and guessed length."""
    expected_tokens = float(request.max_tokens)
    is_long = owner is WorkOwner.JOB or expected_tokens > LONG_TOKENS_COUNT
    return Work(
        request=request,
        customer=customer.name,
        priority=customer.priority,
        share=customer.share,
        owner=owner,
        work_class=WorkClass.LONG if is_long else WorkClass.SHORT,
        repeatable=is_repeatable(request, inventory),
        queued_at_s=now_s,
        expected_tokens=expected_tokens,
    )
