"""State shared by the parts of one entry VM's core: identity, settings, inventory, outbox."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from coriandershelf_core.internal.vocabulary.actions import (
    Action,
    IncrementCounter,
    LogLine,
    SendOutcome,
)
from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason, RetryReason
from coriandershelf_core.internal.vocabulary.settings import CoreSettings


@dataclass(frozen=True, slots=True)
class VmIdentity:
    """Identity of this entry VM; ``incarnation`` increases with every start of the process."""

    vm_id: str
    zone: str
    incarnation: int
    peer_address: str = ""


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One step in the processing of a request, kept for ``explain``."""

    at_s: float
    step: str
    detail: str


@dataclass(slots=True)
class Context:
    """State that every part of the core reads; parts emit actions by adding to ``outbox``.

    :param disabled: mechanisms that a test has switched off; empty in production.
    :param entry_count: number of known entry VMs including this one; they share the log's rate
        limit.
    :param hold_dispatch: whether new dispatches are held until reclaim notices are up to date.
    :param refuse_from_s: when this VM, while it is stopping, begins to refuse new work.
    """

    identity: VmIdentity
    settings: CoreSettings
    rng: random.Random
    disabled: frozenset[str] = frozenset()
    inventory: Inventory | None = None
    outbox: list[Action] = field(default_factory=list)
    entry_count: int = 1
    stopping: bool = False
    stop_deadline_s: float = 0.0
    hold_dispatch: bool = False
    refuse_from_s: float = 0.0
    traces: OrderedDict[str, list[TraceStep]] = field(default_factory=OrderedDict)

    def is_enabled(self, mechanism: str) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.disabled

    def emit(self, action: Action) -> None:
        """Queue an action for the process that runs the core."""
        self.outbox.append(action)

    def count(self, counter: Counter | RefusalReason | RetryReason, amount: int = 1) -> None:
        """Increment a counter or the counter of a refusal or retry reason."""
        if isinstance(counter, RefusalReason):
            name = f"refusal.{counter.code}"
        elif isinstance(counter, RetryReason):
            name = f"retry.{counter.code}"
        else:
            name = counter.code
        self.emit(IncrementCounter(name, amount))

    def log(self, event: str, **fields: str | int | float) -> None:
        """Queue a structured log line."""
        self.emit(LogLine(event, tuple(fields.items())))

    def trace(self, request_id: str, now_s: float, step: str, detail: str = "") -> None:
        """Record a step of a request's trace; the oldest traces are dropped beyond the limit."""
        steps = self.traces.get(request_id)
        if steps is None:
            steps = self.traces[request_id] = []
            while len(self.traces) > self.settings.trace_keep_count:
                self.traces.popitem(last=False)
        steps.append(TraceStep(now_s, step, detail))

    def finish_request(self, request_id: str, outcome: Outcome, now_s: float) -> None:
        """Send the caller its final outcome, and count, trace and log it."""
        if isinstance(outcome, Done):
            self.count(Counter.ANSWERS_DONE)
            self.trace(request_id, now_s, "done", str(outcome.status))
        elif isinstance(outcome, NotRun):
            self.count(outcome.reason)
            self.trace(request_id, now_s, "not-run", outcome.reason.code)
            self.log("refused", request_id=request_id, reason=outcome.reason.code)
        else:
            assert isinstance(outcome, Unknown)
            self.count(Counter.ANSWERS_UNKNOWN)
            self.count(outcome.reason)
            self.trace(request_id, now_s, "unknown", outcome.reason.code)
            self.log("outcome unknown", request_id=request_id, reason=outcome.reason.code)
        self.emit(SendOutcome(request_id, outcome))
