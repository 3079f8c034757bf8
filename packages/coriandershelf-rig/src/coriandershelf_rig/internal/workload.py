"""Workloads in virtual time: arrival processes, load balancing, open and closed loops, retries.

Arrivals are drawn before the run from a seed of their own, so that two configurations under
comparison receive the same requests at the same times.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from coriandershelf_core import Done, NotRun
from coriandershelf_rig.internal.bench import Bench, Call, Shape
from coriandershelf_rig.internal.deployments import Deployment
from coriandershelf_rig.internal.engine_model import EngineModel, EngineShape
from coriandershelf_rig.internal.engine_model import Sequence as EngineSequence

CAPACITY_WARM_UP_S = 20.0
CAPACITY_MEASURED_S = 60.0
RETRY_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Distribution of one kind of request; answer lengths are log-normal within bounds.

    :param max_tokens: values of the request field ``max_tokens``, one drawn for each request.
    :param deadline_s: time from arrival to deadline.
    """

    name: str
    prompt_min_tokens: int
    prompt_max_tokens: int
    length_median_tokens: float
    length_sigma: float
    length_max_tokens: int
    max_tokens: tuple[int, ...]
    deadline_s: float

    def draw_length(self, rng: random.Random) -> int:
        """Return the length of one answer in tokens."""
        drawn = rng.lognormvariate(math.log(self.length_median_tokens), self.length_sigma)
        return max(4, min(self.length_max_tokens, round(drawn)))

    @property
    def mean_length_tokens(self) -> float:
        """Return the mean answer length, estimated from a fixed sample."""
        rng = random.Random(0)
        return sum(self.draw_length(rng) for _ in range(4000)) / 4000


# For example, a question from a worker on a roof or a summary of one span. One request in ten has a
# ``max_tokens`` unrelated to its length, so an estimate from it alone is sometimes wrong.
SHORT = RequestProfile("short", 40, 160, 48.0, 0.5, 240, (256,) * 9 + (4096,), 30.0)
# For example, a season plan or a defect report of a whole shift.
LONG = RequestProfile("long", 400, 1200, 1200.0, 0.4, 4000, (4096,), 600.0)


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one customer and kind that arrive as a Poisson process."""

    customer: str
    kind: RequestProfile
    rate_per_s: float
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One future request.

    :param length: tokens in the answer.
    :param entry_draw: random number between 0 and 1 that selects the entry VM.
    """

    at_s: float
    customer: str
    kind: RequestProfile
    prompt_tokens: int
    length: int
    max_tokens: int
    entry_draw: float


def draw_arrivals(flows: Sequence[Flow], seed: int) -> list[Arrival]:
    """Return the arrivals of all flows by time; each flow is drawn independently of the others."""
    arrivals: list[Arrival] = []
    for flow in flows:
        rng = random.Random(f"{seed}:{flow.customer}:{flow.kind.name}:{flow.start_s}")
        at_s = flow.start_s
        while flow.rate_per_s > 0.0:
            at_s += rng.expovariate(flow.rate_per_s)
            if at_s >= flow.end_s:
                break
            arrivals.append(draw_arrival(flow.customer, flow.kind, at_s, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def draw_arrival(customer: str, kind: RequestProfile, at_s: float, rng: random.Random) -> Arrival:
    """Return one arrival of a kind."""
    length = kind.draw_length(rng)
    return Arrival(
        at_s=at_s,
        customer=customer,
        kind=kind,
        prompt_tokens=rng.randint(kind.prompt_min_tokens, kind.prompt_max_tokens),
        length=length,
        max_tokens=max(length, rng.choice(kind.max_tokens)),
        entry_draw=rng.random(),
    )


def balancer_weights(deployment: Deployment) -> dict[str, float]:
    """Return each entry VM's load balancing weight; the VMs are of unequal size."""
    return {vm_id: 1.0 + 0.5 * (index % 3) for index, (vm_id, _) in enumerate(deployment.entries)}


def pick_entry(weights: dict[str, float], draw: float) -> str:
    """Return the entry VM that a random number between 0 and 1 selects."""
    remaining = draw * sum(weights.values())
    for vm_id, weight in weights.items():
        remaining -= weight
        if remaining < 0.0:
            return vm_id
    return next(reversed(weights))


@dataclass(slots=True)
class SentRequest:
    """One arrival and the calls made for it, of which the last determines the result."""

    arrival: Arrival
    on_complete: Callable[[], None] | None = None
    calls: list[Call] = field(default_factory=list)

    @property
    def last(self) -> Call:
        """Return the last call."""
        return self.calls[-1]

    @property
    def succeeded(self) -> bool:
        """Return whether the caller got its result by the deadline."""
        call = self.last
        in_time = call.ended_at_s is not None and call.ended_at_s <= call.request.deadline_s
        return isinstance(call.outcome, Done) and in_time


class Callers:
    """Sends arrivals to a bench and retries requests that were not run.

    :param retry_max_count: maximum number of retries of a refused request, each after the delay in
        the refusal.
    """

    def __init__(self, bench: Bench, seed: int, retry_max_count: int = 0) -> None:
        self.sent: list[SentRequest] = []
        self._bench = bench
        self._rng = random.Random(f"callers:{seed}")
        self._retry_max_count = retry_max_count
        self._weights = balancer_weights(bench.deployment)
        self._by_request: dict[str, SentRequest] = {}
        bench.on_final = self._on_final

    def schedule(self, arrivals: Sequence[Arrival]) -> None:
        """Send each arrival after ``at_s`` from now."""
        for arrival in arrivals:
            self._bench.at(arrival.at_s, partial(self._send_scheduled, arrival))

    def send(self, arrival: Arrival, on_complete: Callable[[], None] | None = None) -> SentRequest:
        """Send one arrival now and call ``on_complete`` after its last answer."""
        sent = SentRequest(arrival, on_complete)
        self.sent.append(sent)
        self._call(sent, pick_entry(self._weights, arrival.entry_draw))
        return sent

    def _send_scheduled(self, arrival: Arrival) -> None:
        self.send(arrival)

    def start_closed_loop(
        self, customer: str, kind: RequestProfile, count: int, duration_s: float
    ) -> None:
        """Start ``count`` callers that each send their next request once the last is answered."""
        stop_at_s = self._bench.now_s + duration_s

        def send_next() -> None:
            if self._bench.now_s < stop_at_s:
                self.send(draw_arrival(customer, kind, self._bench.now_s, self._rng), send_next)

        for _ in range(count):
            self._bench.at(0.0, send_next)

    def _call(self, sent: SentRequest, vm_id: str) -> None:
        arrival = sent.arrival
        request = self._bench.chat(
            arrival.customer, arrival.prompt_tokens, arrival.max_tokens, arrival.kind.deadline_s
        )
        self._by_request[request.request_id] = sent
        # The answer can arrive during ``send``, so a call is recorded beforehand.
        sent.calls.append(Call(request, vm_id, self._bench.now_s))
        sent.calls[-1] = self._bench.send(vm_id, request, Shape(arrival.length))

    def _on_final(self, call: Call) -> None:
        sent = self._by_request.get(call.request.request_id)
        if sent is None:
            return
        outcome = call.outcome
        may_retry = isinstance(outcome, NotRun) and outcome.retry_after_s is not None
        if may_retry and len(sent.calls) <= self._retry_max_count:
            assert isinstance(outcome, NotRun) and outcome.retry_after_s is not None
            jitter = 1.0 + RETRY_JITTER * self._rng.random()
            vm_id = pick_entry(self._weights, self._rng.random())
            self._bench.at(outcome.retry_after_s * jitter, lambda: self._call(sent, vm_id))
            return
        if sent.on_complete is not None:
            self._bench.at(0.0, sent.on_complete)


def scale_flows(flows: Sequence[Flow], factor: float) -> list[Flow]:
    """Return the flows with their rates multiplied by ``factor``."""
    return [replace(flow, rate_per_s=flow.rate_per_s * factor) for flow in flows]


def token_rate_per_s(flows: Sequence[Flow]) -> float:
    """Return the mean number of answer tokens per second that the flows request."""
    return sum(flow.rate_per_s * flow.kind.mean_length_tokens for flow in flows)


def engine_capacity_per_s(shape: EngineShape, flows: Sequence[Flow], seed: int) -> float:
    """Return the tokens per second of one engine that always has requests of this mix waiting.

    The engine runs on its own, so this is an upper bound for any routing policy.
    """
    rng = random.Random(f"capacity:{seed}")
    engine = EngineModel(shape)
    weights = [flow.rate_per_s for flow in flows]
    now_s = 0.0
    sequence_count = 0
    warm_up_tokens = 0
    warmed_up = False
    while now_s < CAPACITY_WARM_UP_S + CAPACITY_MEASURED_S:
        while engine.waiting_count < 2:
            sequence_count += 1
            arrival = draw_arrival("", rng.choices(flows, weights)[0].kind, 0.0, rng)
            name = str(sequence_count)
            sequence = EngineSequence(name, name, 0, arrival.prompt_tokens, (), arrival.length)
            engine.submit(sequence, now_s)
        assert engine.next_step_s is not None, "an engine with waiting sequences is idle"
        now_s = engine.next_step_s
        engine.advance(now_s)
        if not warmed_up and now_s >= CAPACITY_WARM_UP_S:
            warmed_up = True
            warm_up_tokens = engine.counters.tokens_generated
    return (engine.counters.tokens_generated - warm_up_tokens) / (now_s - CAPACITY_WARM_UP_S)


def capacity_per_s(deployment: Deployment, flows: Sequence[Flow], seed: int) -> float:
    """Return the tokens per second that all engines of a deployment can generate for a mix."""
    shapes = [item.engine for item in deployment.replicas if item.engine is not None]
    by_shape = {shape: engine_capacity_per_s(shape, flows, seed) for shape in set(shapes)}
    return sum(by_shape[shape] for shape in shapes)
