"""Holds new dispatches while this VM's state may be stale.

A VM that was paused resumes with state from before the pause. Reclaim notices sent meanwhile are
not buffered for it, and a VM list that lags does not show them. So the first step, and any step
after a jump of the clock, holds new dispatches until the platform or a peer has answered a new
query for notices. The hold is bounded: a VM that reaches neither continues with the state it has
rather than stop serving.
"""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.actions import RefreshNotices
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.reasons import Counter


class StaleStateGuard:
    """Checks the time between steps and holds dispatches after a jump."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._last_step_s: float | None = None
        self._asked_at_s = 0.0

    def on_step(self, now_s: float) -> bool:
        """Record a step; return whether a hold begins, so that peers are queried as well."""
        last_s = self._last_step_s
        self._last_step_s = now_s
        jump_s = 0.0 if last_s is None else now_s - last_s
        if last_s is not None and jump_s < self._context.settings.pause_suspect_s:
            return False
        if not self._context.is_enabled("wake-hold"):
            return False
        self._asked_at_s = now_s
        self._context.hold_dispatch = True
        if last_s is not None:
            self._context.count(Counter.WAKE_HOLDS)
            self._context.log("clock jumped, asking for notices", jump_s=round(jump_s, 3))
        self._context.emit(RefreshNotices(now_s))
        return True

    def on_refreshed(self, asked_at_s: float) -> bool:
        """Record the answer to a query for notices; return whether it ends a hold.

        :param asked_at_s: when the query was sent.
        """
        if not self._context.hold_dispatch or asked_at_s < self._asked_at_s:
            return False
        self._context.hold_dispatch = False
        return True

    def on_tick(self, now_s: float) -> bool:
        """Return whether a hold ends now because the query was not answered in time."""
        limit_s = self._context.settings.wake_hold_limit_s
        if not self._context.hold_dispatch or now_s - self._asked_at_s < limit_s:
            return False
        self._context.hold_dispatch = False
        self._context.count(Counter.WAKE_HOLDS_UNANSWERED)
        self._context.log("nobody answered for notices, going on")
        return True
