"""Guesses how many tokens a request will generate, from what like requests generated before."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from coriandershelf_core.internal.request import Request

GROUPS_MAX_COUNT = 4096
SAMPLE_WEIGHT = 0.1
TRUSTED_SAMPLES_COUNT = 3
PRIOR_SHARE_OF_BOUND = 0.25


@dataclass(frozen=True, slots=True)
class LengthGroup:
    """Requests that are alike: prompt and bound are compared by their powers of two."""

    customer: str
    service: str
    prompt_power: int
    bound_power: int


@dataclass(slots=True)
class _Estimate:
    log_tokens: float
    sample_count: int = 0


def group_of(customer: str, request: Request) -> LengthGroup:
    """Return the group whose lengths a request is guessed from."""
    prompt_power = request.prompt_tokens.bit_length()
    return LengthGroup(customer, request.service, prompt_power, request.max_tokens.bit_length())


class LengthEstimator:
    """Moving geometric means of answers' lengths, one for each group of like requests.

    The stated bound alone says little: callers state the same bound for everything. Logarithms
    are averaged because lengths are skewed; one long answer must not make a group look long.
    """

    def __init__(self) -> None:
        self._estimates: OrderedDict[LengthGroup, _Estimate] = OrderedDict()

    def expect_tokens(self, customer: str, request: Request) -> float:
        """Return the expected length of a request's answer, at least 1 and at most its bound."""
        estimate = self._estimates.get(group_of(customer, request))
        if estimate is None or estimate.sample_count < TRUSTED_SAMPLES_COUNT:
            return max(1.0, request.max_tokens * PRIOR_SHARE_OF_BOUND)
        return min(max(1.0, math.exp(estimate.log_tokens)), max(1.0, float(request.max_tokens)))

    def learn(self, customer: str, request: Request, length_tokens: int) -> None:
        """Take the length of a whole answer as evidence."""
        group = group_of(customer, request)
        sample = math.log(max(1, length_tokens))
        estimate = self._estimates.get(group)
        if estimate is None:
            estimate = self._estimates[group] = _Estimate(sample)
            while len(self._estimates) > GROUPS_MAX_COUNT:
                self._estimates.popitem(last=False)
        self._estimates.move_to_end(group)
        estimate.sample_count += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / estimate.sample_count)
        estimate.log_tokens += weight * (sample - estimate.log_tokens)
