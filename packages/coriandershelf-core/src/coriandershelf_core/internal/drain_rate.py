"""The rate at which a backlog drains; shared by the queues of both front ends."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

DRAIN_MEMORY_S = 3.0
DRAIN_MIN_BACKLOG_S = 0.25


@dataclass(slots=True)
class DecayingSum:
    """An exponentially decaying sum.

    :param memory_s: time constant of the decay.
    """

    memory_s: float
    amount: float = 0.0
    at_s: float = 0.0

    def value(self, now_s: float) -> float:
        """Return the sum, decayed to the present time."""
        return self.amount * math.exp(-max(0.0, now_s - self.at_s) / self.memory_s)

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount, which may be negative; the sum is kept at zero or above."""
        self.amount = max(0.0, self.value(now_s) + amount)
        self.at_s = now_s


@dataclass(slots=True)
class DrainRate:
    """The rate at which a backlog drains, measured only while there is one."""

    tokens: DecayingSum = field(default_factory=lambda: DecayingSum(DRAIN_MEMORY_S))
    backlogged_s: DecayingSum = field(default_factory=lambda: DecayingSum(DRAIN_MEMORY_S))
    updated_at_s: float = 0.0

    def record(self, backlogged: bool, taken_tokens: float, now_s: float) -> None:
        """Account for the time since the last update and for the tokens dispatched now."""
        if backlogged:
            self.backlogged_s.add(now_s - self.updated_at_s, now_s)
            self.tokens.add(taken_tokens, now_s)
        self.updated_at_s = now_s

    def per_s(self, now_s: float) -> float | None:
        """Return the tokens drained per second, or ``None`` if measured for too short a time."""
        measured_s = self.backlogged_s.value(now_s)
        if measured_s < DRAIN_MIN_BACKLOG_S:
            return None
        return self.tokens.value(now_s) / measured_s
