"""Every decision of coriandershelf as one deterministic state machine an entry VM."""

from coriandershelf_core.internal.context import VmIdentity
from coriandershelf_core.internal.machine import EntryCore
from coriandershelf_core.internal.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.reasons import Counter, RefusalReason, RetryReason, counter_names
from coriandershelf_core.internal.request import Request, RequestKind
from coriandershelf_core.internal.settings import CoreSettings

__all__ = [
    "CoreSettings",
    "Counter",
    "Done",
    "EntryCore",
    "NotRun",
    "Outcome",
    "RefusalReason",
    "Request",
    "RequestKind",
    "RetryReason",
    "Unknown",
    "VmIdentity",
    "counter_names",
]
