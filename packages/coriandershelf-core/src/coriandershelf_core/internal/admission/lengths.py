"""Estimates how many tokens a request will generate, from past answers to similar requests."""

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
    """Similar requests: prompt lengths and token bounds are grouped by powers of two.

    :param customer: ``ALL_CUSTOMERS`` for the group of all customers.
    :param bound_power: ``ANY_BOUND`` for the group of all bounds.
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
    """Return an observation of an answer's length."""
    return LengthObserved(
        customer, request.service, request.prompt_tokens, request.max_tokens, length_tokens
    )


def groups_of(
    customer: str, service: str, prompt_tokens: int, max_tokens: int
) -> tuple[LengthGroup, ...]:
    """Return the groups that a request's length is estimated from, the narrowest first."""
    prompt_power = prompt_tokens.bit_length()
    bound_power = max_tokens.bit_length()
    return (
        LengthGroup(customer, service, prompt_power, bound_power),
        LengthGroup(customer, service, prompt_power, ANY_BOUND),
        LengthGroup(ALL_CUSTOMERS, service, prompt_power, bound_power),
        LengthGroup(ALL_CUSTOMERS, service, prompt_power, ANY_BOUND),
    )


class LengthEstimator:
    """Moving geometric means of answer lengths, one for each group of similar requests.

    The requested bound alone predicts little, as callers send the same bound with every request.
    Logarithms are averaged because lengths are skewed: one long answer must not make a group look
    long.
    """

    def __init__(self) -> None:
        self._estimates: OrderedDict[LengthGroup, _Estimate] = OrderedDict()

    def expect_tokens(self, customer: str, request: Request) -> float:
        """Return the expected length of a request's answer, at least 1 and at most its bound.

        A request without similar past requests counts as short. If that is wrong, it occupies a
        slot of short work until it proves to be long; a short request wrongly counted as long
        would wait for seconds behind long ones.
        """
        bound_tokens = max(1.0, float(request.max_tokens))
        groups = groups_of(customer, request.service, request.prompt_tokens, request.max_tokens)
        for group in groups:
            estimate = self._estimates.get(group)
            if estimate is not None and estimate.sample_count >= TRUSTED_SAMPLES_COUNT:
                return min(max(1.0, math.exp(estimate.log_tokens)), bound_tokens)
        return min(PRIOR_TOKENS, bound_tokens)

    def learn(self, observed: LengthObserved) -> None:
        """Update the estimates with the length of an answer."""
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
