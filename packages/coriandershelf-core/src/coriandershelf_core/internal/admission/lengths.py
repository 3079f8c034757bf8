"""Guesses how many tokens a request will generate, from what like requests generated before."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.messages import LengthObserved
from coriandershelf_core.internal.vocabulary.request import Request

GROUPS_MAX_COUNT = 4096
SAMPLE_WEIGHT = 0.1
TRUSTED_SAMPLES_COUNT = 2
PRIOR_TOKENS = 256.0
ANY_BOUND = -1
ALL_CUSTOMERS = ""


@dataclass(frozen=True, slots=True)
class LengthGroup:
    """Requests that are alike: prompt and bound are compared by their powers of two.

    :param customer: ``EVERYBODY`` for the group of all customers together.
    :param bound_power: ``ANY_BOUND`` for the group of all bounds together.
    """

    customer: str
    service: str
    prompt_power: int
    bound_power: int


@dataclass(slots=True)
class _Estimate:
    log_tokens: float
    sample_count: int = 0


def observe(customer: str, request: Request, length_tokens: int) -> LengthObserved:
    """Return the length of an answer as evidence."""
    return LengthObserved(
        customer, request.service, request.prompt_tokens, request.max_tokens, length_tokens
    )


def groups_of(
    customer: str, service: str, prompt_tokens: int, max_tokens: int
) -> tuple[LengthGroup, ...]:
    """Return the groups whose lengths a request is guessed from, the narrowest first."""
    prompt_power = prompt_tokens.bit_length()
    bound_power = max_tokens.bit_length()
    return (
        LengthGroup(customer, service, prompt_power, bound_power),
        LengthGroup(customer, service, prompt_power, ANY_BOUND),
        LengthGroup(ALL_CUSTOMERS, service, prompt_power, bound_power),
        LengthGroup(ALL_CUSTOMERS, service, prompt_power, ANY_BOUND),
    )


class LengthEstimator:
    """Moving geometric means of answers' lengths, one for each group of like requests.

    The stated bound alone says little: callers state the same bound for everything. Logarithms
    are averaged because lengths are skewed; one long answer must not make a group look long.
    """

    def __init__(self) -> None:
        self._estimates: OrderedDict[LengthGroup, _Estimate] = OrderedDict()

    def expect_tokens(self, customer: str, request: Request) -> float:
        """Return the expected length of a request's answer, at least 1 and at most its bound.

        A request unlike any seen counts as short. If that is wrong, it holds a short work's slot
        until it is seen to be long; if a question counted as long by mistake, it would wait for
        seconds behind plans.
        """
        bound_tokens = max(1.0, float(request.max_tokens))
        groups = groups_of(customer, request.service, request.prompt_tokens, request.max_tokens)
        for group in groups:
            estimate = self._estimates.get(group)
            if estimate is not None and estimate.sample_count >= TRUSTED_SAMPLES_COUNT:
                return min(max(1.0, math.exp(estimate.log_tokens)), bound_tokens)
        return min(PRIOR_TOKENS, bound_tokens)

    def learn(self, observed: LengthObserved) -> None:
        """Take the length of an answer as evidence."""
        sample = math.log(max(1, observed.length_tokens))
        groups = groups_of(
            observed.customer, observed.service, observed.prompt_tokens, observed.max_tokens
        )
        for group in groups:
            self._learn(group, sample)

    def _learn(self, group: LengthGroup, sample: float) -> None:
        estimate = self._estimates.get(group)
        if estimate is None:
            estimate = self._estimates[group] = _Estimate(sample)
            while len(self._estimates) > GROUPS_MAX_COUNT:
                self._estimates.popitem(last=False)
        self._estimates.move_to_end(group)
        estimate.sample_count += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / estimate.sample_count)
        estimate.log_tokens += weight * (sample - estimate.log_tokens)
