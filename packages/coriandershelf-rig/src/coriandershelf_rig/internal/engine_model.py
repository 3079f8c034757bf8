"""Model of an LLM engine without I/O: continuous batching, step times, prefix cache, KV transfer.

The stand-in process drives it in real time, the bench in virtual time.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

import xxhash

from coriandershelf_core.internal.routing.prompt import (
    CHARACTERS_PER_TOKEN,
    PREFIX_BLOCK_CHARACTERS,
)

CACHE_EVENTS_MAX_COUNT = 10_000
BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Speed and capacity of an engine.

    :param slots: maximum number of sequences in the batch.
    :param step_base_s: duration of a step with an empty batch.
    :param step_per_sequence_s: added to the step for each sequence in the batch.
    :param prefill_tokens_per_s: prefill throughput.
    :param prefill_chunk_tokens: maximum number of prompt tokens prefilled in one step.
    :param cache_tokens: capacity of the prefix cache and, separately, of the KV cache of sequences
        that no longer run.
    :param kv_tokens_per_s: throughput of a KV cache import.
    :param waiting_max_count: maximum number of sequences waiting for a slot; more are refused.
    """

    slots: int = 16
    step_base_s: float = 0.010
    step_per_sequence_s: float = 0.0004
    prefill_tokens_per_s: float = 20_000.0
    prefill_chunk_tokens: int = 512
    cache_tokens: int = 100_000
    kv_tokens_per_s: float = 500_000.0
    waiting_max_count: int = 64


@dataclass(slots=True)
class Sequence:
    """One attempt inside the engine.

    :param content_key: hash of the prompt that determines the generated tokens.
    :param length: number of tokens after which the sequence ends.
    :param position: tokens generated so far, including those of earlier attempts.
    :param crashes: whether the sequence crashes the engine when it enters the batch.
    :param tokens_to_prefill: tokens still to prefill, set when the sequence enters the batch.
    """

    attempt_id: str
    request_id: str
    content_key: int
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    length: int
    position: int = 0
    priority: int = 0
    crashes: bool = False
    tokens_to_prefill: float = -1.0


@dataclass(frozen=True, slots=True)
class EngineToken:
    """One generated token; ``finished`` marks the end-of-stream payload after the last token."""

    attempt_id: str
    request_id: str
    content_key: int
    position: int
    finished: bool


@dataclass(slots=True)
class EngineCounters:
    """Counters of the engine's work, from which experiments compute their results."""

    tokens_generated: int = 0
    tokens_prefilled: int = 0
    tokens_from_cache: int = 0
    tokens_recomputed: int = 0
    sequences: int = 0
    refused: int = 0
    crashes: int = 0
    starts_by_request: dict[str, int] = field(default_factory=dict)


def token_text(content_key: int, position: int) -> str:
    """Return the token that every engine generates for a prompt at a position."""
    digest = xxhash.xxh32_intdigest(f"{content_key}:{position}".encode())
    return f"w{digest % 100_000} "


def hash_prompt(text: str) -> int:
    """Return the hash of a prompt that determines the generated tokens."""
    return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block was stored in or evicted from the cache; numbers are consecutive."""

    number: int
    prefix: int
    stored: bool


class EngineModel:
    """Batches sequences and generates one token per sequence and step."""

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.counters = EngineCounters()
        self.crashed = False
        self.slow_factor = 1.0
        self._waiting: list[Sequence] = []
        self._running: dict[str, Sequence] = {}
        self._prefix_cache: OrderedDict[int, int] = OrderedDict()
        self._retained_kv: OrderedDict[str, int] = OrderedDict()
        self._step_ends_at_s: float | None = None
        self._imported_kv: dict[str, int] = {}
        self.cache_events: deque[CacheEvent] = deque(maxlen=CACHE_EVENTS_MAX_COUNT)
        self._cache_event_number = 0

    @property
    def running_count(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of sequences waiting for a slot."""
        return len(self._waiting)

    @property
    def next_step_s(self) -> float | None:
        """Return when the current step ends, or ``None`` while idle."""
        return self._step_ends_at_s

    def submit(self, sequence: Sequence, now_s: float) -> bool:
        """Queue a sequence; return false if the engine is overloaded and refuses it."""
        if len(self._waiting) >= self.shape.waiting_max_count:
            self.counters.refused += 1
            return False
        self.counters.sequences += 1
        starts = self.counters.starts_by_request
        starts[sequence.request_id] = starts.get(sequence.request_id, 0) + 1
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda item: item.priority)
        if self._step_ends_at_s is None:
            self._begin_step(now_s)
        return True

    def cancel(self, attempt_id: str) -> None:
        """Cancel a sequence; its KV cache is kept until evicted."""
        self._waiting = [item for item in self._waiting if item.attempt_id != attempt_id]
        sequence = self._running.pop(attempt_id, None)
        if sequence is not None:
            self._retain_kv(sequence)

    def export_kv(self, request_id: str) -> int:
        """Return how many tokens of a request's KV cache this engine has."""
        retained = self._retained_kv.get(request_id, 0)
        for sequence in self._running.values():
            if sequence.request_id == request_id and sequence.tokens_to_prefill <= 0:
                retained = max(retained, sequence.prompt_tokens + sequence.position)
        return retained

    def import_kv(self, request_id: str, tokens: int) -> float:
        """Import a request's KV cache; return the duration of the transfer in seconds."""
        self._imported_kv[request_id] = tokens
        return tokens / self.shape.kv_tokens_per_s

    def advance(self, now_s: float) -> list[EngineToken]:
        """Finish every step that ends by ``now_s`` and return the generated tokens."""
        tokens: list[EngineToken] = []
        while self._step_ends_at_s is not None and self._step_ends_at_s <= now_s:
            if self.crashed:
                return tokens
            ended_at_s = self._step_ends_at_s
            self._finish_step(tokens)
            self._begin_step(ended_at_s)
        return tokens

    def _begin_step(self, now_s: float) -> None:
        while self._waiting and len(self._running) < self.shape.slots:
            sequence = self._waiting.pop(0)
            self._running[sequence.attempt_id] = sequence
            self._plan_prefill(sequence)
            if sequence.crashes:
                self.counters.crashes += 1
                self.crashed = True
        if not self._running:
            self._step_ends_at_s = None
            return
        shape = self.shape
        waiting_prefill = sum(max(0.0, item.tokens_to_prefill) for item in self._running.values())
        chunk = min(waiting_prefill, shape.prefill_chunk_tokens)
        duration_s = shape.step_base_s + shape.step_per_sequence_s * len(self._running)
        duration_s += chunk / shape.prefill_tokens_per_s
        self._step_ends_at_s = now_s + duration_s * self.slow_factor

    def _plan_prefill(self, sequence: Sequence) -> None:
        """Determine how many tokens of prompt and earlier output must be prefilled."""
        needed = sequence.prompt_tokens + sequence.position
        cached = 0
        for index, prefix in enumerate(sequence.prefix_hashes):
            if prefix in self._prefix_cache:
                self._prefix_cache.move_to_end(prefix)
                cached = (index + 1) * BLOCK_TOKENS
        retained = self._retained_kv.pop(sequence.request_id, 0)
        imported = self._imported_kv.pop(sequence.request_id, 0)
        reused = min(needed, max(cached, retained, imported))
        computed = needed - reused
        sequence.tokens_to_prefill = computed
        self.counters.tokens_prefilled += computed
        self.counters.tokens_from_cache += reused
        if sequence.position or self.counters.starts_by_request[sequence.request_id] > 1:
            self.counters.tokens_recomputed += computed

    def _finish_step(self, tokens: list[EngineToken]) -> None:
        budget = float(self.shape.prefill_chunk_tokens)
        for sequence in list(self._running.values()):
            if sequence.tokens_to_prefill > 0:
                prefilled = min(budget, sequence.tokens_to_prefill)
                budget -= prefilled
                sequence.tokens_to_prefill -= prefilled
                if sequence.tokens_to_prefill > 0:
                    continue
                self._store_prefixes(sequence.prefix_hashes)
            self._emit(sequence, tokens)

    def _emit(self, sequence: Sequence, tokens: list[EngineToken]) -> None:
        finished = sequence.position >= sequence.length
        tokens.append(
            EngineToken(
                sequence.attempt_id,
                sequence.request_id,
                sequence.content_key,
                sequence.position,
                finished,
            )
        )
        if finished:
            del self._running[sequence.attempt_id]
            self._retain_kv(sequence)
        else:
            sequence.position += 1
            self.counters.tokens_generated += 1

    def _store_prefixes(self, prefixes: tuple[int, ...]) -> None:
        for prefix in prefixes:
            if prefix not in self._prefix_cache:
                self._record_cache_event(prefix, True)
            self._prefix_cache[prefix] = BLOCK_TOKENS
            self._prefix_cache.move_to_end(prefix)
        while len(self._prefix_cache) * BLOCK_TOKENS > self.shape.cache_tokens:
            prefix, _ = self._prefix_cache.popitem(last=False)
            self._record_cache_event(prefix, False)

    def _record_cache_event(self, prefix: int, stored: bool) -> None:
        self._cache_event_number += 1
        self.cache_events.append(CacheEvent(self._cache_event_number, prefix, stored))

    def _retain_kv(self, sequence: Sequence) -> None:
        if sequence.tokens_to_prefill > 0:
            return
        self._retained_kv[sequence.request_id] = sequence.prompt_tokens + sequence.position
        while sum(self._retained_kv.values()) > self.shape.cache_tokens:
            self._retained_kv.popitem(last=False)
