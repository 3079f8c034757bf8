"""Non-idempotent calls: the first claim of a key in log order runs it, once."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.context import Context
from coriandershelf_core.internal.ledger import Ledger
from coriandershelf_core.internal.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.reasons import RefusalReason
from coriandershelf_core.internal.records import (
    LEDGER_STREAM,
    Claim,
    ClaimFinished,
    ClaimReleased,
)
from coriandershelf_core.internal.request import Request
from coriandershelf_core.internal.work import Work

IN_PROGRESS_RETRY_S = 2.0


def claim_key(customer: str, request: Request) -> str:
    """Return the key under which a call is claimed, unique to its customer and service."""
    text = f"{customer}\0{request.service}\0{request.idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def body_hash(request: Request) -> str:
    """Return the hash that tells two bodies under one key apart."""
    return hashlib.sha256(request.path.encode() + b"\0" + request.body).hexdigest()


@dataclass(slots=True)
class ClaimState:
    """The winning claim of a key and its result so far."""

    claim: Claim
    finished: ClaimFinished | None = None


@dataclass(slots=True)
class _Waiting:
    work: Work
    body_hash: str
    give_up_at_s: float


class Claims:
    """The claims read from the log, and the calls that wait for theirs.

    :param start: called with a work whose claim has won.
    """

    def __init__(
        self, context: Context, ledger: Ledger, start: Callable[[Work, float], None]
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._start = start
        self._states: dict[str, ClaimState] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._keys: dict[str, str] = {}

    def request(self, work: Work, now_s: float) -> None:
        """Claim a call, or answer it from the claim that stands."""
        key_hash = claim_key(work.customer, work.request)
        state = self._states.get(key_hash)
        if state is not None:
            outcome = self._outcome_of(state, body_hash(work.request))
            self._context.finish(work.work_id, outcome, now_s)
            return
        claim = Claim(
            key_hash, body_hash(work.request), work.work_id, self._context.identity.vm_id, now_s
        )
        give_up_at_s = now_s + self._context.settings.claim_wait_s
        self._waiting[work.work_id] = _Waiting(work, claim.body_hash, give_up_at_s)
        self._keys[work.work_id] = key_hash
        self._ledger.add(LEDGER_STREAM, claim, now_s)

    def on_claim(self, claim: Claim, now_s: float) -> None:
        """Apply a claim read from the log; the first of its key wins."""
        state = self._states.setdefault(claim.key_hash, ClaimState(claim))
        waiting = self._waiting.pop(claim.request_id, None)
        if state.claim.request_id != claim.request_id:
            if waiting is not None:
                outcome = self._outcome_of(state, claim.body_hash)
                self._context.finish(claim.request_id, outcome, now_s)
            return
        if waiting is not None:
            self._context.trace(claim.request_id, now_s, "claimed")
            self._start(waiting.work, now_s)
        elif claim.holder == self._context.identity.vm_id:
            self._ledger.add(LEDGER_STREAM, ClaimReleased(claim.key_hash, claim.request_id), now_s)

    def on_released(self, released: ClaimReleased) -> None:
        """Forget a claim that was given up before anything was sent."""
        state = self._states.get(released.key_hash)
        if state is not None and state.claim.request_id == released.request_id:
            del self._states[released.key_hash]

    def on_finished(self, finished: ClaimFinished) -> None:
        """Remember the result of a claimed call for repeats."""
        state = self._states.get(finished.key_hash)
        if state is not None and state.claim.request_id == finished.request_id:
            state.finished = finished

    def finish(self, work: Work, outcome: Outcome, now_s: float) -> None:
        """Write the result of a call that this VM ran, and answer the caller."""
        key_hash = self._keys.pop(work.work_id)
        if isinstance(outcome, Done):
            entry: ClaimFinished | ClaimReleased = ClaimFinished(
                key_hash, work.work_id, True, outcome.status, outcome.body
            )
        elif isinstance(outcome, NotRun):
            entry = ClaimReleased(key_hash, work.work_id)
        else:
            entry = ClaimFinished(key_hash, work.work_id, False)
        self._ledger.add(LEDGER_STREAM, entry, now_s)
        self._context.finish(work.work_id, outcome, now_s)

    def on_tick(self, now_s: float) -> None:
        """Refuse calls whose claim was not read back in time; their claim will be released."""
        for request_id, waiting in list(self._waiting.items()):
            if waiting.give_up_at_s <= now_s:
                del self._waiting[request_id]
                outcome = NotRun(RefusalReason.LOG_UNAVAILABLE, retry_after_s=5.0)
                self._context.finish(request_id, outcome, now_s)

    @property
    def idle(self) -> bool:
        """Return whether no call waits for its claim."""
        return not self._waiting

    def _outcome_of(self, state: ClaimState, body: str) -> Outcome:
        if state.claim.body_hash != body:
            return NotRun(RefusalReason.KEY_REUSED)
        finished = state.finished
        if finished is None:
            return Unknown(RefusalReason.IN_PROGRESS, retry_after_s=IN_PROGRESS_RETRY_S)
        if not finished.known:
            return Unknown(RefusalReason.OUTCOME_LOST)
        return Done(finished.status, finished.body)
