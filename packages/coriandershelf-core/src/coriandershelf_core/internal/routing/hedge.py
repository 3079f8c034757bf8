"""Budget for hedged requests: a share of the tokens processed, and none under overload."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.settings import CoreSettings

START_TOKENS = 200.0


class HedgeBudget:
    """Token bucket for the extra tokens that hedged requests may compute.

    "The Tail at Scale" (Dean and Barroso, 2013) hedges within a few percent of extra load. The
    share here is of completed work, so that the budget shrinks when throughput falls.
    """

    def __init__(self, settings: CoreSettings) -> None:
        self._share = settings.hedge_share
        self._reserve_tokens = float(settings.hedge_reserve_tokens)
        self.tokens = START_TOKENS

    def earn(self, done_tokens: int) -> None:
        """Add the hedge share of completed tokens."""
        self.tokens = min(self._reserve_tokens, self.tokens + done_tokens * self._share)

    def spend(self, tokens: int, overloaded: bool) -> bool:
        """Take the cost of a hedge; false if it may not start.

        :param overloaded: whether work items wait for a replica.
        """
        if overloaded or tokens > self.tokens:
            return False
        self.tokens -= tokens
        return True

    def charge(self, tokens: int) -> None:
        """Account for tokens that were computed twice."""
        self.tokens -= tokens
