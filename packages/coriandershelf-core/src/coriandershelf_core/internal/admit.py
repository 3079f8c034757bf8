"""Filter: refuse early what cannot be served in time."""

from __future__ import annotations

from coriandershelf_core.internal.inventory import Inventory
from coriandershelf_core.internal.outcome import NotRun
from coriandershelf_core.internal.queue import WorkQueue
from coriandershelf_core.internal.reasons import RefusalReason
from coriandershelf_core.internal.request import Request, RequestKind
from coriandershelf_core.internal.settings import CoreSettings


def admit(
    request: Request,
    inventory: Inventory,
    queue: WorkQueue,
    settings: CoreSettings,
    stopping: bool,
    now_s: float,
) -> NotRun | None:
    """Return why a request is refused, or ``None`` if it may wait for a replica."""
    if stopping:
        return NotRun(RefusalReason.STOPPING, retry_after_s=0.0)
    if inventory.service(request.service) is None:
        return NotRun(RefusalReason.UNKNOWN_SERVICE, detail=f"no service {request.service!r}")
    if request.deadline_s <= now_s:
        return NotRun(RefusalReason.DEADLINE, retry_after_s=0.0)
    if request.kind is not RequestKind.JOB and len(queue) >= settings.queue_max_count:
        return NotRun(RefusalReason.OVERLOADED, retry_after_s=2.0)
    return None
