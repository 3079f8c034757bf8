"""A synthetic load for routing experiments: Poisson arrivals of short, medium and long answers."""

from __future__ import annotations

import random
from dataclasses import dataclass

from coriandershelf_rig.internal.bench import Bench, Call, Shape, is_whole
from coriandershelf_rig.internal.deployments import Deployment


@dataclass(frozen=True, slots=True)
class LengthClass:
    """One class of requests with its share of arrivals and its ranges of lengths in tokens."""

    name: str
    share: float
    prompt_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]

    @property
    def mean_answer_tokens(self) -> float:
        """Return the mean length of an answer."""
        return sum(self.answer_tokens) / 2


LENGTH_CLASSES = (
    LengthClass("short", 0.70, (40, 200), (20, 80)),
    LengthClass("medium", 0.27, (200, 1000), (100, 400)),
    LengthClass("long", 0.03, (2000, 4000), (800, 2000)),
)


@dataclass(slots=True)
class SentCall:
    """A call and the class it was drawn from."""

    call: Call
    class_name: str

    @property
    def latency_s(self) -> float:
        """Return the time from sending the call to its outcome."""
        assert self.call.ended_at_s is not None, f"{self.call.request.request_id} has no answer"
        return self.call.ended_at_s - self.call.sent_at_s


def capacity_tokens_per_s(deployment: Deployment) -> float:
    """Return the tokens per second that all engines generate with full batches."""
    total = 0.0
    for replica in deployment.replicas:
        engine = replica.engine
        if engine is not None:
            step_s = engine.step_base_s + engine.slots * engine.step_per_sequence_s
            total += engine.slots / step_s
    return total


def arrival_rate(deployment: Deployment, load: float) -> float:
    """Return the arrivals per second that load the engines with ``load`` times their capacity."""
    mean_tokens = sum(item.share * item.mean_answer_tokens for item in LENGTH_CLASSES)
    return load * capacity_tokens_per_s(deployment) / mean_tokens


def is_complete(bench: Bench, sent: SentCall) -> bool:
    """Return whether a call's answer was complete."""
    return is_whole(sent.call, bench.shapes[sent.call.request.request_id])


def total_work_tokens(bench: Bench) -> int:
    """Return the tokens that all engines computed, in prompts and answers."""
    engine_counters = [item.engine.counters for item in bench.upstreams.values() if item.engine]
    return sum(
        counters.tokens_generated + counters.tokens_prefilled for counters in engine_counters
    )


def schedule_load(bench: Bench, load: float, duration_s: float, seed: int) -> list[SentCall]:
    """Schedule arrivals on a bench; entry VMs get unequal shares, like VMs of different sizes.

    :param load: share of the engines' capacity.
    :return: the calls sent; filled while the bench runs.
    """
    rng = random.Random(seed)
    sent: list[SentCall] = []
    entries = list(bench.entries)
    weights = [1 + index % 3 for index in range(len(entries))]
    customers = bench.deployment.customers
    shares = [customer.share for customer in customers]
    at_s = 0.0
    rate = arrival_rate(bench.deployment, load)
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return sent
        length_class = rng.choices(LENGTH_CLASSES, [item.share for item in LENGTH_CLASSES])[0]
        entry = rng.choices(entries, weights)[0]
        customer = rng.choices(customers, shares)[0].name
        prompt_tokens = rng.randint(*length_class.prompt_tokens)
        answer_tokens = rng.randint(*length_class.answer_tokens)

        def send(
            entry: str = entry,
            customer: str = customer,
            prompt_tokens: int = prompt_tokens,
            answer_tokens: int = answer_tokens,
            class_name: str = length_class.name,
        ) -> None:
            request = bench.chat(customer, prompt_tokens, answer_tokens, deadline_s=120.0)
            call = bench.send(entry, request, Shape(answer_tokens))
            sent.append(SentCall(call, class_name))

        bench.at(at_s, send)
