"""Non-idempotent calls: the call with the first claim of a key in log order runs, once.

A call is dispatched only by the process that wrote its claim, only after that process has read
the claim back as the first of its key, and only from its own memory of the pending call. So
neither a lost or late acknowledgement of the log, nor a pause of any length, nor a restart under
the same name runs a call twice. A claim is never taken over after a timeout: if its holder
crashed, repeated calls get the outcome ``unknown``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.claims.claim_keys import body_hash, claim_key, key_created_at_s
from coriandershelf_core.internal.claims.claim_outcomes import (
    outcome_of_state,
    result_entry,
    unfinished_outcome,
)
from coriandershelf_core.internal.claims.claim_table import ClaimState, ClaimTable
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.claims.retention import Retention
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    Claim,
    ClaimEntry,
    ClaimFinished,
    ClaimKept,
    ClaimReleased,
    LedgerKept,
    Record,
)
from coriandershelf_core.internal.vocabulary.work import WorkItem

LOG_RETRY_S = 5.0
# The first read to end after a call's arrival may have begun before it; the second did not.
TAIL_READS_AFTER_ARRIVAL = 2

IsHolderGone = Callable[[str, int], bool]


@dataclass(slots=True)
class _PendingCall:
    """A call that waits for its claim, or for the result of an earlier call with its key.

    :param tail_read_count: reads that had reached the end of the ledger when the call arrived.
    :param claim: the claim that was written for this call, if any.
    """

    work: WorkItem
    key_hash: str
    body_hash: str
    tail_read_count: int
    timeout_at_s: float
    claim: Claim | None = None


class Claims:
    """The pending calls of this VM that need a claim, and the claims of all entry VMs.

    :param start_work: dispatches a work item whose claim has won.
    :param is_holder_gone: returns whether an incarnation of a VM is known to have ended.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        start_work: Callable[[WorkItem, float], None],
        is_holder_gone: IsHolderGone,
    ) -> None:
        settings = context.settings
        self._context = context
        self._log_appender = log_appender
        self._start_work = start_work
        self._is_holder_gone = is_holder_gone
        self.table = ClaimTable(
            settings.claim_late_s if context.is_enabled("claims-late-void") else float("inf"),
            settings.key_window_s,
            settings.key_refuse_s,
        )
        self.retention = Retention(context, log_appender, self.table)
        self._claiming: dict[str, _PendingCall] = {}
        self._attached: dict[str, _PendingCall] = {}
        self._abandoned: dict[str, float] = {}
        self._running: dict[str, Claim] = {}

    @property
    def idle(self) -> bool:
        """Return whether no call waits for its claim or for the result of another call."""
        return not self._claiming and not self._attached

    def is_key_taken(self, work: WorkItem) -> bool:
        """Return whether a call's key is taken, so that the call is answered from its claim."""
        return self.table.get(claim_key(work.customer, work.request)) is not None

    def submit(self, work: WorkItem, now_s: float) -> None:
        """Claim a call, or answer it from the existing claim of its key."""
        request = work.request
        call = _PendingCall(
            work,
            claim_key(work.customer, request),
            body_hash(request),
            self._log_appender.tail_read_count(LEDGER_STREAM),
            now_s + self._context.settings.claim_wait_s,
        )
        self._answer_or_claim(call, now_s)

    def early_refusal(self, refusal: NotRun, now_s: float) -> Outcome:
        """Return the outcome of a call with a key that was refused before the key was looked up.

        ``not run`` would be false if another VM ran an earlier call with the key and this VM,
        disconnected from the log, has not read its claim. A permanent refusal, which has no retry
        time, concerns the request itself and is returned unchanged.
        """
        read_through_s = self._log_appender.read_through_s(LEDGER_STREAM)
        fresh = now_s - read_through_s <= self._context.settings.ledger_fresh_s
        if refusal.retry_after_s is None or (fresh and self.retention.is_complete):
            return refusal
        return Unknown(refusal.reason, refusal.retry_after_s, "this VM has not run it")

    def finish(self, work: WorkItem, outcome: Outcome, now_s: float) -> None:
        """Append the result of a call that this VM ran, and answer the caller."""
        claim = self._running.pop(work.work_id)
        if isinstance(outcome, NotRun):
            self._release(claim, now_s)
            self._answer_attached(claim.key_hash, now_s)
        else:
            self._write_result(claim, outcome, now_s)
        self._context.finish_request(work.work_id, outcome, now_s)

    def on_read(self, first_offset: int, gap: bool) -> None:
        """Handle the start of a read of the ledger; after a gap all state is rebuilt."""
        self.retention.on_read(first_offset, gap and self._context.is_enabled("claims-gap"))

    def on_entry(self, entry: ClaimEntry, record: Record, now_s: float) -> None:
        """Apply an entry read from the ledger."""
        offset = record.offset
        time_s = self.retention.log_time_s
        self.table.expire(time_s)
        match entry:
            case Claim():
                self._on_claim(entry, offset, now_s)
            case ClaimReleased():
                self.table.on_released(entry, offset, time_s)
                self._answer_attached(entry.key_hash, now_s)
            case ClaimFinished():
                self.table.on_finished(entry, offset, time_s)
                self._answer_attached(entry.key_hash, now_s)
            case ClaimKept():
                self.table.on_kept(entry, offset, time_s)
                self._answer_attached(entry.claim.key_hash, now_s)
            case LedgerKept():
                self.retention.on_kept(entry, now_s)

    def on_tick(self, now_s: float) -> None:
        """Time out pending calls and rewrite old state before it leaves the log."""
        for call in list(self._claiming.values()):
            if call.timeout_at_s <= now_s:
                self._abandon(call, now_s)
        for call in list(self._attached.values()):
            state = self.table.get(call.key_hash)
            if call.timeout_at_s <= now_s or (state is not None and self._is_lost(state, now_s)):
                del self._attached[call.work.work_id]
                if call.claim is not None:
                    # A resent copy of its claim may still win once the key is released.
                    self._abandoned[call.work.work_id] = now_s
                self._finish(call, self._unfinished_outcome(state, now_s), now_s)
        # A claim that enters the log later than this is void and needs no release.
        abandoned_retention_s = 2 * self._context.settings.claim_late_s
        for request_id, abandoned_at_s in list(self._abandoned.items()):
            if abandoned_at_s + abandoned_retention_s <= now_s:
                del self._abandoned[request_id]
        self.retention.on_tick(now_s)

    def abort_pending(self, now_s: float) -> None:
        """Answer every pending call immediately because this VM is about to exit."""
        for call in list(self._claiming.values()):
            self._abandon(call, now_s)
        for call in list(self._attached.values()):
            del self._attached[call.work.work_id]
            state = self.table.get(call.key_hash)
            self._finish(call, self._unfinished_outcome(state, now_s), now_s)

    def _answer_or_claim(self, call: _PendingCall, now_s: float) -> None:
        state = self.table.get(call.key_hash)
        if state is not None:
            self._answer_or_attach(call, state, now_s)
        elif call.work.request.deadline_s <= now_s:
            self._finish(call, self._refusal(call, RefusalReason.DEADLINE), now_s)
        elif self._is_key_expired(call, now_s):
            self._finish(call, Unknown(RefusalReason.KEY_EXPIRED), now_s)
        elif self._log_appender.is_down(LEDGER_STREAM):
            self._finish(call, self._refusal(call, RefusalReason.LOG_UNAVAILABLE), now_s)
        else:
            identity = self._context.identity
            call.claim = Claim(
                call.key_hash,
                call.body_hash,
                call.work.work_id,
                identity.vm_id,
                now_s,
                identity.incarnation,
            )
            self._claiming[call.work.work_id] = call
            self._log_appender.add(LEDGER_STREAM, call.claim, now_s)

    def _on_claim(self, claim: Claim, offset: int, now_s: float) -> None:
        state = self.table.on_claim(claim, offset, self.retention.log_time_s)
        call = self._claiming.pop(claim.request_id, None)
        if state is None:
            self._context.count(Counter.CLAIMS_VOID)
            if call is not None:
                self._finish(call, self._outcome_without_claim(call, now_s), now_s)
            return
        won = state.claim.request_id == claim.request_id
        if not self._context.is_enabled("claims-first-wins"):
            won = True
        if call is None:
            if won and self._must_release(claim):
                self._abandoned.pop(claim.request_id, None)
                self._release(claim, now_s)
        elif won:
            self._run(call, claim, now_s)
        else:
            self._context.count(Counter.CLAIMS_LOST)
            self._answer_or_attach(call, state, now_s)

    def _must_release(self, claim: Claim) -> bool:
        """Return whether this process wrote the claim and abandoned its call.

        Only the memory of this process decides, not the VM id and incarnation in the claim: a
        restarted VM reads claims of its previous process, whose calls may have run.
        """
        if not self._context.is_enabled("claims-holder-incarnation"):
            is_own = claim.holder == self._context.identity.vm_id
            return is_own and claim.request_id not in self._running
        return claim.request_id in self._abandoned

    def _run(self, call: _PendingCall, claim: Claim, now_s: float) -> None:
        """Dispatch a call whose claim has won, unless it expired or an earlier claim may exist."""
        work = call.work
        self._context.trace(work.work_id, now_s, "claimed")
        refusal: Outcome | None = None
        if not self.retention.is_complete and self._context.is_enabled("claims-complete"):
            # An earlier claim may exist in records that this reader has not seen.
            refusal = Unknown(RefusalReason.LOG_UNAVAILABLE, LOG_RETRY_S)
        elif self._is_key_expired(call, self.retention.log_time_s):
            refusal = Unknown(RefusalReason.KEY_EXPIRED)
        elif work.request.deadline_s <= now_s:
            refusal = NotRun(RefusalReason.DEADLINE, retry_after_s=0.0)
        if refusal is not None:
            self._release(claim, now_s)
            self._finish(call, refusal, now_s)
            return
        self._check_right_to_run(claim)
        self._context.count(Counter.CLAIMS_WON)
        self._running[work.work_id] = claim
        self._start_work(work, now_s)

    def _check_right_to_run(self, claim: Claim) -> None:
        identity = self._context.identity
        assert claim.holder == identity.vm_id, f"{claim.request_id} is claimed by another VM"
        assert (
            claim.incarnation == identity.incarnation
        ), f"{claim.request_id} is claimed by another incarnation"
        assert claim.request_id not in self._running, f"{claim.request_id} would run twice"
        if self._context.is_enabled("claims-first-wins"):
            state = self.table.get(claim.key_hash)
            assert state is not None, f"{claim.request_id} runs without a claim"
            assert state.claim.request_id == claim.request_id, "another call holds the key"
            assert state.finished is None, f"{claim.request_id} has a result already"

    def _release(self, claim: Claim, now_s: float) -> None:
        self._context.count(Counter.CLAIMS_RELEASED)
        entry = ClaimReleased(claim.key_hash, claim.request_id)
        self._log_appender.add(LEDGER_STREAM, entry, now_s)

    def _write_result(self, claim: Claim, outcome: Done | Unknown, now_s: float) -> None:
        max_bytes = self._context.settings.claim_result_max_bytes
        entry = result_entry(claim.key_hash, claim.request_id, outcome, max_bytes)
        self._log_appender.add(LEDGER_STREAM, entry, now_s)
        state = self.table.get(claim.key_hash)
        if state is not None and state.claim.request_id == claim.request_id:
            # Repeated calls at this VM need not wait for the log, since a result never changes.
            state.finished = entry
            self._answer_attached(claim.key_hash, now_s)

    def _answer_or_attach(self, call: _PendingCall, state: ClaimState, now_s: float) -> None:
        """Answer a repeated call, or let it wait for the result of the running one."""
        outcome = self._outcome_of(call, state, now_s)
        if outcome is not None and not self._takes_over(state, now_s):
            self._finish(call, outcome, now_s)
            return
        if outcome is not None:
            self._running[call.work.work_id] = state.claim
            self._start_work(call.work, now_s)
            return
        wait_s = self._context.settings.repeat_wait_s
        call.timeout_at_s = min(now_s + wait_s, call.work.request.deadline_s)
        if call.work.work_id not in self._attached:
            self._context.count(Counter.REPEATS_ATTACHED)
        self._attached[call.work.work_id] = call

    def _answer_attached(self, key_hash: str, now_s: float) -> None:
        """Answer the calls waiting for a key's result; claim the key for them if it is free."""
        calls = [call for call in self._attached.values() if call.key_hash == key_hash]
        state = self.table.get(key_hash)
        for call in calls:
            if state is None:
                del self._attached[call.work.work_id]
                call.timeout_at_s = now_s + self._context.settings.claim_wait_s
                self._answer_or_claim(call, now_s)
                continue
            outcome = self._outcome_of(call, state, now_s)
            if outcome is not None:
                del self._attached[call.work.work_id]
                self._finish(call, outcome, now_s)

    def _outcome_of(self, call: _PendingCall, state: ClaimState, now_s: float) -> Outcome | None:
        past_window = self.table.is_past_window(state, self.retention.log_time_s)
        lost = self._is_lost(state, now_s)
        return outcome_of_state(state, call.body_hash, past_window, lost)

    def _unfinished_outcome(self, state: ClaimState | None, now_s: float) -> Outcome:
        return unfinished_outcome(state is not None and self._is_lost(state, now_s))

    def _takes_over(self, state: ClaimState, now_s: float) -> bool:
        """Return whether to take over a lost claim; only tests enable this."""
        if self._context.is_enabled("claims-no-takeover"):
            return False
        return state.finished is None and self._is_lost(state, now_s)

    def _is_lost(self, state: ClaimState, now_s: float) -> bool:
        """Return whether no result can be expected any more.

        This decides only which outcome is reported, never which call runs.
        """
        claim = state.claim
        if claim.request_id in self._running:
            return False
        age_s = now_s - state.claimed_at_s
        too_old = age_s >= self._context.settings.claim_open_max_s
        return too_old or self._is_holder_gone(claim.holder, claim.incarnation)

    def _is_key_expired(self, call: _PendingCall, time_s: float) -> bool:
        created_at_s = key_created_at_s(call.work.request.idempotency_key)
        window_s = self._context.settings.key_window_s
        return created_at_s is not None and created_at_s + window_s <= time_s

    def _refusal(self, call: _PendingCall, reason: RefusalReason) -> Outcome:
        """Return the outcome of a call that this VM never dispatched.

        It is ``not run`` only if the ledger was read to its end after the call arrived and
        contained no claim of its key. Otherwise another VM may have run an earlier call with it.
        """
        read_count = self._log_appender.tail_read_count(LEDGER_STREAM) - call.tail_read_count
        proven = self.retention.is_complete and read_count >= TAIL_READS_AFTER_ARRIVAL
        if proven or not self._context.is_enabled("not-run-evidence"):
            return NotRun(reason, LOG_RETRY_S)
        return Unknown(reason, LOG_RETRY_S, "this VM has not run it")

    def _outcome_without_claim(self, call: _PendingCall, now_s: float) -> Outcome:
        """Return the outcome of a call whose claim was void or was not read back in time."""
        state = self.table.get(call.key_hash)
        if state is None:
            return self._refusal(call, RefusalReason.LOG_UNAVAILABLE)
        return self._outcome_of(call, state, now_s) or self._unfinished_outcome(state, now_s)

    def _abandon(self, call: _PendingCall, now_s: float) -> None:
        """Answer a call whose claim was not read back in time and make sure that it never runs."""
        if not self._context.is_enabled("claims-give-up"):
            call.timeout_at_s = float("inf")
            self._finish(call, self._outcome_without_claim(call, now_s), now_s)
            return
        del self._claiming[call.work.work_id]
        assert call.claim is not None, "a pending call has no claim"
        if not self._log_appender.discard(LEDGER_STREAM, call.claim):
            self._abandoned[call.work.work_id] = now_s
        self._finish(call, self._outcome_without_claim(call, now_s), now_s)

    def _finish(self, call: _PendingCall, outcome: Outcome, now_s: float) -> None:
        self._context.finish_request(call.work.work_id, outcome, now_s)
