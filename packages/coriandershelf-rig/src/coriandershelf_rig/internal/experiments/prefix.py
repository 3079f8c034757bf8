"""Prompt tokens recomputed although a replica has computed them, with and without affinity."""

from __future__ import annotations

import random
from dataclasses import dataclass

from coriandershelf_core.internal.routing.affinity import BLOCK_TOKENS
from coriandershelf_rig.internal.bench import Bench, Shape
from coriandershelf_rig.internal.deployments import DEPLOYMENTS, Deployment
from coriandershelf_rig.internal.model_load import SentCall, is_complete
from coriandershelf_rig.internal.report import Report, percentile

NAME = "prefix"
PREFIX_COUNT = 60
PREFIX_LENGTH_BLOCKS = (8, 40)
TAIL_TOKENS = (20, 120)
ANSWER_TOKENS = (20, 80)
POPULAR_SHARE = 0.3
REQUESTS_PER_S = {"consorcio": 40.0, "kingston": 20.0}
DURATION_S = 40.0
DRAIN_S = 30.0
BASELINE_DISABLED = frozenset({"affinity"})


@dataclass(slots=True)
class RunResult:
    """Result of one run."""

    recomputed_share: float
    first_token_p99_s: float
    incomplete_count: int


def _measure(deployment: Deployment, seed: int, disabled: frozenset[str]) -> RunResult:
    bench = Bench(deployment, seed, disabled=disabled)
    bench.run(1.0)
    rng = random.Random(seed + 4)
    prefixes = [
        tuple(rng.getrandbits(60) for _ in range(rng.randint(*PREFIX_LENGTH_BLOCKS)))
        for _ in range(PREFIX_COUNT)
    ]
    sent: list[SentCall] = []
    needed_tokens = 0
    sent_prefixes: set[int] = set()
    entries = list(bench.entries)
    at_s = 0.0
    while at_s < DURATION_S:
        at_s += rng.expovariate(REQUESTS_PER_S[deployment.name])
        prefix_index = 0 if rng.random() < POPULAR_SHARE else rng.randrange(PREFIX_COUNT)
        tail_tokens = rng.randint(*TAIL_TOKENS)
        needed_tokens += tail_tokens
        if prefix_index not in sent_prefixes:
            needed_tokens += len(prefixes[prefix_index]) * BLOCK_TOKENS
        sent_prefixes.add(prefix_index)

        def send(
            prefix_index: int = prefix_index,
            tail_tokens: int = tail_tokens,
            entry: str = rng.choice(entries),
            answer_tokens: int = rng.randint(*ANSWER_TOKENS),
        ) -> None:
            hashes = prefixes[prefix_index]
            customer = bench.deployment.customers[0].name
            prompt_tokens = len(hashes) * BLOCK_TOKENS + tail_tokens
            request = bench.chat(customer, prompt_tokens, answer_tokens, prefix_hashes=hashes)
            sent.append(SentCall(bench.send(entry, request, Shape(answer_tokens)), "prefix"))

        bench.at(at_s, send)
    bench.run(DURATION_S + DRAIN_S)
    engine_counters = [item.engine.counters for item in bench.upstreams.values() if item.engine]
    computed_tokens = sum(counters.tokens_prefilled for counters in engine_counters)
    prompt_tokens = sum(item.call.request.prompt_tokens for item in sent)
    first_tokens_s = [
        item.call.first_token_s for item in sent if item.call.first_token_s is not None
    ]
    incomplete_count = sum(not is_complete(bench, item) for item in sent)
    recomputed_share = (computed_tokens - needed_tokens) / prompt_tokens
    return RunResult(recomputed_share, percentile(first_tokens_s, 0.99), incomplete_count)


def run(seed: int, disabled: frozenset[str], verbose: bool, plot: str | None) -> Report:
    """Measure both deployments and report the worse one."""
    reports = []
    for name, make in DEPLOYMENTS.items():
        candidate = _measure(make(), seed, disabled)
        baseline = _measure(make(), seed, disabled | BASELINE_DISABLED)
        note = (
            f"{name}; {PREFIX_COUNT} prefixes, one of them in {POPULAR_SHARE} of all prompts; "
            f"first token p99 {candidate.first_token_p99_s:.3f} s, "
            f"plain {baseline.first_token_p99_s:.3f} s"
        )
        report = Report(
            NAME,
            seed,
            "prompt tokens recomputed ÷ prompt tokens",
            baseline.recomputed_share,
            candidate.recomputed_share,
            None,
            candidate.incomplete_count,
            note,
        )
        reports.append(report)
        if verbose:
            print(report.to_json())
    return max(reports, key=lambda report: (report.violations, report.candidate))
