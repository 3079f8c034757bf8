"""The budget of extra work for hedges: a share of the work done, none under overload."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.settings import CoreSettings

START_TOKENS = 200.0


class HedgeBudget:
    """Counts tokens that hedges may compute in vain.

    "The Tail at Scale" (Dean and Barroso, 2013) hedges within a few percent of extra load. The
    share here is of work done, so that the budget shrinks by itself when little gets done.
    """

    def __init__(self, settings: CoreSettings) -> None:
        self._share = settings.hedge_share
        self._reserve_tokens = float(settings.hedge_reserve_tokens)
        self.tokens = START_TOKENS

    def earn(self, done_tokens: int) -> None:
        """Add the share of work done."""
        self.tokens = min(self._reserve_tokens, self.tokens + done_tokens * self._share)

    def spend(self, tokens: int, overloaded: bool) -> bool:
        """Take the cost of a hedge; false where it may not start.

        :param overloaded: whether works wait for a replica.
        """
        if overloaded or tokens > self.tokens:
            return False
        self.tokens -= tokens
        return True

    def charge(self, tokens: int) -> None:
        """Account for tokens that were computed twice."""
        self.tokens -= tokens
