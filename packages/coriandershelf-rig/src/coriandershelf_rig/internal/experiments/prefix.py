"""Prompt tokens computed again though a replica had computed them, with and without affinity."""

from __future__ import annotations

import random
from dataclasses import dataclass

from coriandershelf_core.internal.routing.affinity import BLOCK_TOKENS
from coriandershelf_rig.internal.bench import Bench, Shape
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import SentCall, whole
from coriandershelf_rig.internal.report import Report, percentile

NAME = "prefix"
PREFIXES_COUNT = 60
PREFIX_BLOCKS = (8, 40)
TAIL_TOKENS = (20, 120)
ANSWER_TOKENS = (20, 80)
POPULAR_SHARE = 0.3
RATE_PER_S = {"consorcio": 40.0, "kingston": 20.0}
DURATION_S = 40.0
DRAIN_S = 30.0
PLAIN = frozenset({"affinity"})


@dataclass(slots=True)
class Outcome:
    """What one run measured."""

    recomputed_share: float
    first_token_p99_s: float
    broken: int


def _measure(deployment: Deployment, seed: int, disabled: frozenset[str]) -> Outcome:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    rng = random.Random(seed + 4)
    prefixes = [
        tuple(rng.getrandbits(60) for _ in range(rng.randint(*PREFIX_BLOCKS)))
        for _ in range(PREFIXES_COUNT)
    ]
    sent: list[SentCall] = []
    needed_tokens = 0
    seen: set[int] = set()
    entries = list(bench.entries)
    at_s = 0.0
    while at_s < DURATION_S:
        at_s += rng.expovariate(RATE_PER_S[deployment.name])
        number = 0 if rng.random() < POPULAR_SHARE else rng.randrange(PREFIXES_COUNT)
        tail_tokens = rng.randint(*TAIL_TOKENS)
        needed_tokens += tail_tokens
        if number not in seen:
            needed_tokens += len(prefixes[number]) * BLOCK_TOKENS
        seen.add(number)

        def send(
            number: int = number,
            tail_tokens: int = tail_tokens,
            entry: str = rng.choice(entries),
            answer_tokens: int = rng.randint(*ANSWER_TOKENS),
        ) -> None:
            hashes = prefixes[number]
            customer = bench.deployment.customers[0].name
            prompt_tokens = len(hashes) * BLOCK_TOKENS + tail_tokens
            request = bench.chat(customer, prompt_tokens, answer_tokens, prefix_hashes=hashes)
            sent.append(SentCall(bench.send(entry, request, Shape(answer_tokens)), "prefix"))

        bench.at(at_s, send)
    bench.run(DURATION_S + DRAIN_S)
    records = [item.engine.record for item in bench.upstreams.values() if item.engine]
    computed_tokens = sum(record.tokens_prefilled for record in records)
    prompt_tokens = sum(item.call.request.prompt_tokens for item in sent)
    first_s = [item.call.first_token_s for item in sent if item.call.first_token_s is not None]
    broken = sum(not whole(bench, item) for item in sent)
    share = (computed_tokens - needed_tokens) / prompt_tokens
    return Outcome(share, percentile(first_s, 0.99), broken)


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments; the worse one is reported."""
    reports = []
    for name, make in DEPLOYMENTS.items():
        ours = _measure(make(), seed, disabled)
        plain = _measure(make(), seed, disabled | PLAIN)
        note = (
            f"{name}; {PREFIXES_COUNT} prefixes, one of them in {POPULAR_SHARE} of all prompts; "
            f"first token p99 {ours.first_token_p99_s:.3f} s, plain {plain.first_token_p99_s:.3f} s"
        )
        report = Report(
            NAME,
            seed,
            "prompt tokens recomputed ÷ prompt tokens",
            plain.recomputed_share,
            ours.recomputed_share,
            None,
            ours.broken,
            note,
        )
        reports.append(report)
        if verbose:
            print(report.to_json())
    return max(reports, key=lambda report: (report.violations, report.candidate))
