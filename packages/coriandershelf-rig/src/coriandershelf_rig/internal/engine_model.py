"""A model engine without I/O: continuous batch, token clock, prefix cache, resume, KV cache.

The stand-in process and the bench in virtual time drive the same class.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

import xxhash

from coriandershelf_core.internal.routing.prompt import (
    CHARACTERS_PER_TOKEN,
    PREFIX_BLOCK_CHARACTERS,
)

CACHE_EVENTS_COUNT = 10_000
BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


@dataclass(frozen=True, slots=True)
class EngineShape:
    """How fast an engine is and how much it holds.

    :param slots: sequences in the batch at once.
    :param step_base_s: duration of a step with an empty batch.
    :param step_per_sequence_s: added for each sequence in the batch.
    :param prefill_tokens_per_s: rate of computing prompts.
    :param prefill_chunk_tokens: prompt tokens computed in one step.
    :param cache_tokens: tokens kept of prefixes and finished sequences.
    :param kv_tokens_per_s: rate at which KV cache is imported.
    :param waiting_max_count: works that wait for a slot; more are refused.
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

    :param position: payloads made so far, including those of earlier attempts.
    :param length: tokens after which the sequence ends.
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
    to_prefill: float = -1.0


@dataclass(frozen=True, slots=True)
class EngineToken:
    """A token leaves the engine; ``finished`` marks the payload behind the last token."""

    attempt_id: str
    request_id: str
    content_key: int
    position: int
    finished: bool


@dataclass(slots=True)
class EngineRecord:
    """What the engine did, as the judge of experiments reads it."""

    tokens_generated: int = 0
    tokens_prefilled: int = 0
    tokens_from_cache: int = 0
    tokens_recomputed: int = 0
    sequences: int = 0
    refused: int = 0
    crashes: int = 0
    starts_by_request: dict[str, int] = field(default_factory=dict)


def token_text(content_key: int, position: int) -> str:
    """Return the token that any engine makes for a prompt at a position."""
    digest = xxhash.xxh32_intdigest(f"{content_key}:{position}".encode())
    return f"w{digest % 100_000} "


def content_key_of(text: str) -> int:
    """Return the key of a prompt's text that decides its answer."""
    return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored in the cache, or dropped from it; numbers rise by one."""

    number: int
    prefix: int
    stored: bool


class EngineModel:
    """Batches sequences and makes one token of each a step."""

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.record = EngineRecord()
        self.crashed = False
        self.slow_factor = 1.0
        self._waiting: list[Sequence] = []
        self._running: dict[str, Sequence] = {}
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._resident: OrderedDict[str, int] = OrderedDict()
        self._step_ends_at_s: float | None = None
        self._imports: dict[str, int] = {}
        self.cache_events: deque[CacheEvent] = deque(maxlen=CACHE_EVENTS_COUNT)
        self._cache_event_number = 0

    @property
    def running_count(self) -> int:
        """Return the sequences in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the sequences that wait for a slot."""
        return len(self._waiting)

    @property
    def next_step_s(self) -> float | None:
        """Return when the step under way ends, or ``None`` while idle."""
        return self._step_ends_at_s

    def submit(self, sequence: Sequence, now_s: float) -> bool:
        """Take a sequence; false where the engine refuses it as overloaded."""
        if len(self._waiting) >= self.shape.waiting_max_count:
            self.record.refused += 1
            return False
        self.record.sequences += 1
        starts = self.record.starts_by_request
        starts[sequence.request_id] = starts.get(sequence.request_id, 0) + 1
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda item: item.priority)
        if self._step_ends_at_s is None:
            self._begin_step(now_s)
        return True

    def cancel(self, attempt_id: str) -> None:
        """Drop a sequence; its KV cache stays while there is room."""
        self._waiting = [item for item in self._waiting if item.attempt_id != attempt_id]
        sequence = self._running.pop(attempt_id, None)
        if sequence is not None:
            self._keep(sequence)

    def export_kv(self, request_id: str) -> int:
        """Return how many tokens of a request's KV cache are held here."""
        held = self._resident.get(request_id, 0)
        for sequence in self._running.values():
            if sequence.request_id == request_id and sequence.to_prefill <= 0:
                held = max(held, sequence.prompt_tokens + sequence.position)
        return held

    def import_kv(self, request_id: str, tokens: int) -> float:
        """Take KV cache of a request; return the seconds that the transfer takes."""
        self._imports[request_id] = tokens
        return tokens / self.shape.kv_tokens_per_s

    def advance(self, now_s: float) -> list[EngineToken]:
        """Finish every step that ends by ``now_s`` and return the tokens made."""
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
                self.record.crashes += 1
                self.crashed = True
        if not self._running:
            self._step_ends_at_s = None
            return
        shape = self.shape
        waiting_prefill = sum(max(0.0, item.to_prefill) for item in self._running.values())
        chunk = min(waiting_prefill, shape.prefill_chunk_tokens)
        duration_s = shape.step_base_s + shape.step_per_sequence_s * len(self._running)
        duration_s += chunk / shape.prefill_tokens_per_s
        self._step_ends_at_s = now_s + duration_s * self.slow_factor

    def _plan_prefill(self, sequence: Sequence) -> None:
        """Work out what of the prompt and of earlier output must be computed."""
        needed = sequence.prompt_tokens + sequence.position
        cached = 0
        for index, prefix in enumerate(sequence.prefix_hashes):
            if prefix in self._cache:
                self._cache.move_to_end(prefix)
                cached = (index + 1) * BLOCK_TOKENS
        held = self._resident.pop(sequence.request_id, 0)
        imported = self._imports.pop(sequence.request_id, 0)
        found = min(needed, max(cached, held, imported))
        computed = needed - found
        sequence.to_prefill = computed
        self.record.tokens_prefilled += computed
        self.record.tokens_from_cache += found
        if sequence.position or self.record.starts_by_request[sequence.request_id] > 1:
            self.record.tokens_recomputed += computed

    def _finish_step(self, tokens: list[EngineToken]) -> None:
        budget = float(self.shape.prefill_chunk_tokens)
        for sequence in list(self._running.values()):
            if sequence.to_prefill > 0:
                done = min(budget, sequence.to_prefill)
                budget -= done
                sequence.to_prefill -= done
                if sequence.to_prefill > 0:
                    continue
                self._remember(sequence.prefix_hashes)
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
            self._keep(sequence)
        else:
            sequence.position += 1
            self.record.tokens_generated += 1

    def _remember(self, prefixes: tuple[int, ...]) -> None:
        for prefix in prefixes:
            if prefix not in self._cache:
                self._note_cache(prefix, True)
            self._cache[prefix] = BLOCK_TOKENS
            self._cache.move_to_end(prefix)
        while len(self._cache) * BLOCK_TOKENS > self.shape.cache_tokens:
            prefix, _ = self._cache.popitem(last=False)
            self._note_cache(prefix, False)

    def _note_cache(self, prefix: int, stored: bool) -> None:
        self._cache_event_number += 1
        self.cache_events.append(CacheEvent(self._cache_event_number, prefix, stored))

    def _keep(self, sequence: Sequence) -> None:
        if sequence.to_prefill > 0:
            return
        self._resident[sequence.request_id] = sequence.prompt_tokens + sequence.position
        while sum(self._resident.values()) > self.shape.cache_tokens:
            self._resident.popitem(last=False)
