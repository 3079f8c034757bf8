"""The final answers of requests, and what is told of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    BreakStream,
    Count,
    Deliver,
    EndStream,
    Log,
    Observe,
    Refusal,
    Refuse,
)
from coriandershelf_core.internal.gateway.request import Passage, ReplicaAnswer
from coriandershelf_core.internal.gateway.usage_caps import UsageCaps

RETRY_AFTER_S = 0.3
RETRY_AFTER_SHARE = 1.0 / 3.0

CountBegun = Callable[[str, float], None]
LogValue = str | int | float | None
NoteLate = Callable[[str, int, float], None]


@dataclass(slots=True)
class Conclusions:
    """Owns the requests in flight of one entry VM and gives each its one final answer.

    :param emit: takes the actions for the process.
    :param count_begun: told the customer of each request that begins to run, and when.
    :param tell_late: told service and prompt tokens of each request that misses its objective.
    """

    caps: UsageCaps
    emit: Callable[[Action], None]
    count_begun: CountBegun
    tell_late: NoteLate
    rng_share: Callable[[], float]
    passages: dict[int, Passage] = field(default_factory=dict)

    def begin(self, passage: Passage) -> None:
        """Take a request that was let in."""
        self.passages[passage.arrival.handle] = passage
        if passage.customer is not None:
            self.caps.spend(passage.customer, passage.cost)

    def holds(self, passage: Passage) -> bool:
        """Return whether a request has no final answer yet."""
        return self.passages.get(passage.arrival.handle) is passage

    def deliver(
        self, passage: Passage, answer: ReplicaAnswer, now_s: float, **fields: LogValue
    ) -> None:
        """Pass on a replica's whole answer."""
        handle = passage.arrival.handle
        self.emit(Deliver(handle, answer.status, answer.headers, answer.body))
        self.emit(Count("answers", str(answer.status)))
        self._observe(passage, now_s)
        self.log("answered", passage, now_s, status=answer.status, **fields)
        self.forget(passage)

    def end_stream(self, passage: Passage, now_s: float, **fields: LogValue) -> None:
        """End a stream as complete."""
        self.emit(EndStream(passage.arrival.handle))
        self.emit(Count("answers", "stream"))
        self._observe(passage, now_s)
        self.log("stream ended", passage, now_s, **fields)
        self.forget(passage)

    def refuse(self, passage: Passage, refusal: Refusal, now_s: float, **fields: LogValue) -> None:
        """Give a request its final answer without a replica's."""
        if passage.head_sent:
            self.break_off(passage, now_s)
            return
        if passage.answer is not None:
            # A replica's error says more than an answer of this VM's.
            self.deliver(passage, passage.answer, now_s, kept=1)
            return
        if passage.may_have_run:
            refusal = refusal if refusal is Refusal.TIMEOUT else Refusal.UNKNOWN_OUTCOME
        elif passage.customer is not None:
            self.caps.spend(passage.customer, -passage.cost)
        self.note_late(passage, now_s)
        retry_after_s = None
        if refusal not in (Refusal.TIMEOUT, Refusal.UNKNOWN_OUTCOME):
            left_s = max(0.0, passage.deadline_s - now_s)
            wait_s = RETRY_AFTER_S * (0.5 + self.rng_share())
            retry_after_s = min(wait_s, left_s * RETRY_AFTER_SHARE)
        self.emit(Refuse(passage.arrival.handle, refusal, retry_after_s))
        self.emit(Count("refusals", refusal.value))
        self.log("refused", passage, now_s, reason=refusal.value, **fields)
        self.forget(passage)

    def break_off(self, passage: Passage, now_s: float) -> None:
        """Close a stream so that it looks incomplete."""
        self.emit(BreakStream(passage.arrival.handle))
        self.emit(Count("streams_broken"))
        self.log("stream broken", passage, now_s)
        self.forget(passage)

    def _observe(self, passage: Passage, now_s: float) -> None:
        taken_s = now_s - passage.arrived_at_s
        self.emit(Observe(passage.route.kind.value, passage.service, taken_s))

    def note_late(self, passage: Passage, now_s: float) -> None:
        """Note, once, that a request has missed its objective."""
        if not passage.late:
            passage.late = True
            self.tell_late(passage.service, passage.arrival.prompt_tokens, now_s)

    def begun(self, passage: Passage, at_s: float) -> None:
        """Note, once, that a request has begun to run."""
        if not passage.counted and passage.customer is not None:
            passage.counted = True
            self.count_begun(passage.customer.name, at_s)

    def forget(self, passage: Passage) -> None:
        """Drop a request that has its final answer, or whose caller left."""
        self.passages.pop(passage.arrival.handle, None)

    def log(self, event: str, passage: Passage, now_s: float, **fields: LogValue) -> None:
        """Write a line on a request."""
        base: tuple[tuple[str, LogValue], ...] = (
            ("request_id", passage.arrival.request_id),
            ("route", passage.route.name),
            ("sent", passage.sent_count),
            ("replica", passage.replica_id),
            ("trouble", passage.trouble),
            ("age_ms", round((now_s - passage.arrived_at_s) * 1e3)),
        )
        self.emit(Log(event, base + tuple(fields.items())))
