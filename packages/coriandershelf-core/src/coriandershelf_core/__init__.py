"""The decision logic of coriandershelf, as one deterministic state machine per entry VM."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from coriandershelf_core.internal.machine import EntryCore
    from coriandershelf_core.internal.vocabulary.context import VmIdentity
    from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
    from coriandershelf_core.internal.vocabulary.reasons import (
        Counter,
        RefusalReason,
        RetryReason,
        counter_names,
    )
    from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
    from coriandershelf_core.internal.vocabulary.settings import CoreSettings

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

_MODULES = {
    "EntryCore": "machine",
    "VmIdentity": "vocabulary.context",
    "Done": "vocabulary.outcome",
    "NotRun": "vocabulary.outcome",
    "Outcome": "vocabulary.outcome",
    "Unknown": "vocabulary.outcome",
    "Counter": "vocabulary.reasons",
    "RefusalReason": "vocabulary.reasons",
    "RetryReason": "vocabulary.reasons",
    "counter_names": "vocabulary.reasons",
    "Request": "vocabulary.request",
    "RequestKind": "vocabulary.request",
    "CoreSettings": "vocabulary.settings",
}


def __getattr__(name: str) -> Any:
    """Import a public name on first use, as most processes need only part of the core."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.internal.{module}"), name)
