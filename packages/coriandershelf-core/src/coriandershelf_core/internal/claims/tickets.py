"""Tickets: idempotency keys granted in advance through the log, each with one owner.

A caller requests tickets while the log is available. A call whose key is a ticket is run only by
the ticket's owner, which keeps the state of its tickets in memory. So such calls need no log and
continue during a log outage and in a zone that is partitioned from the log. Every other entry VM
forwards the call to the owner or answers that the outcome is unknown. Ownership ends only when the
owner releases the ticket, never after a timeout. A restarted VM of the same name is not the owner
because its memory is empty.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.admission.authenticate import authenticate
from coriandershelf_core.internal.claims.claim_keys import body_hash, claim_key
from coriandershelf_core.internal.claims.claim_outcomes import (
    OUTCOME_LOST_RETRY_S,
    outcome_of_result,
    result_entry,
)
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.claims.ticket_messages import (
    from_message,
    outcome_of_used,
    to_message,
    work_of_call,
)
from coriandershelf_core.internal.claims.ticket_table import (
    Grant,
    TicketTable,
    parse_ticket,
    ticket_key,
)
from coriandershelf_core.internal.vocabulary.context import Context, VmIdentity
from coriandershelf_core.internal.vocabulary.events import TicketsAsked
from coriandershelf_core.internal.vocabulary.messages import (
    GrantAnnounced,
    Message,
    TicketCall,
    TicketResult,
)
from coriandershelf_core.internal.vocabulary.outcome import Done, NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    ClaimFinished,
    TicketEntry,
    TicketsGranted,
    TicketsReleased,
    TicketUsed,
)
from coriandershelf_core.internal.vocabulary.work import WorkItem, WorkOwner

RETRY_S = 2.0
GRANT_ID_LENGTH = 24

StartWork = Callable[[WorkItem, float], None]
SendMessage = Callable[[str, Message], bool]
Broadcast = Callable[[Message], None]
IsHolderGone = Callable[[str, int], bool]


def grant_id_of(identity: VmIdentity, request_id: str) -> str:
    """Return an id unique to a grant, even if an incarnation is used twice."""
    text = f"{identity.vm_id}/{identity.incarnation}/{request_id}"
    return hashlib.sha256(text.encode()).hexdigest()[:GRANT_ID_LENGTH]


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A request that waits for a ticket's result.

    :param sender: id of the VM that forwarded it; empty for a request to this VM.
    """

    request_id: str
    sender: str
    deadline_s: float


@dataclass(slots=True)
class _TicketState:
    """The owner's state of a ticket whose call was started.

    :param result: ``None`` while the call runs.
    :param waiters: requests that wait for the result, by request id.
    """

    grant_id: str
    body_hash: str
    result: ClaimFinished | None = None
    waiters: dict[str, _Waiter] = field(default_factory=dict)


@dataclass(slots=True)
class _ForwardedCall:
    """A call forwarded to its ticket's owner; resent because messages may be lost."""

    work: WorkItem
    holder: str
    call: TicketCall
    timeout_at_s: float
    resend_at_s: float = 0.0


class Tickets:
    """The tickets that this VM owns, and the calls that it forwards to other owners.

    :param start_work: dispatches a work item.
    :param send_message: sends a message to a peer; returns false if the peer is unknown.
    :param broadcast: sends a message to every other entry VM.
    :param claim_work: claims a call through the log; used for tickets that were released.
    :param is_holder_gone: returns whether an incarnation of a VM is known to have ended.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        start_work: StartWork,
        send_message: SendMessage,
        broadcast: Broadcast,
        claim_work: StartWork,
        is_holder_gone: IsHolderGone,
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self._start_work = start_work
        self._send_message = send_message
        self._broadcast = broadcast
        self._claim_work = claim_work
        self._is_holder_gone = is_holder_gone
        settings = context.settings
        self.table = TicketTable(min(settings.ticket_life_s, settings.log_retention_s / 2))
        self._pending_grants: dict[str, tuple[TicketsGranted, float]] = {}
        self._owned_grant_ids: set[str] = set()
        self._ticket_states: dict[str, _TicketState] = {}
        self._running: dict[str, str] = {}
        self._refusals: dict[str, tuple[NotRun, float]] = {}
        self._forwarded: dict[str, _ForwardedCall] = {}

    @property
    def idle(self) -> bool:
        """Return whether no grant or call is pending and every owned grant was released."""
        return not (
            self._pending_grants or self._owned_grant_ids or self._running or self._forwarded
        )

    def request_tickets(self, event: TicketsAsked, now_s: float) -> None:
        """Append a grant of tickets; the caller gets them once the grant is read back."""
        request_id = event.request_id
        customer = authenticate(self._context.inventory, event.credential_hash)
        if isinstance(customer, NotRun):
            self._context.finish_request(request_id, customer, now_s)
            return
        if self._log_appender.is_down(LEDGER_STREAM) or self._context.stopping:
            self._context.finish_request(
                request_id, NotRun(RefusalReason.LOG_UNAVAILABLE, RETRY_S), now_s
            )
            return
        identity = self._context.identity
        granted = TicketsGranted(
            grant_id_of(identity, request_id),
            customer.name,
            identity.vm_id,
            identity.incarnation,
            max(1, min(event.count, self._context.settings.tickets_max_count)),
        )
        timeout_at_s = now_s + self._context.settings.claim_wait_s
        self._pending_grants[request_id] = (granted, timeout_at_s)
        self._log_appender.add(LEDGER_STREAM, granted, now_s)

    def submit(self, work: WorkItem, now_s: float) -> None:
        """Run a call whose key is a ticket, or forward it to the ticket's owner."""
        grant = self.table.grant_of(work.request.idempotency_key, work.customer, now_s)
        if grant is None:
            self._refuse_unknown(work, now_s)
            return
        used = self.table.used_tickets.get(claim_key(work.customer, work.request))
        if used is not None:
            self._context.finish_request(work.work_id, outcome_of_used(used, work.request), now_s)
        elif grant.entry.grant_id in self._owned_grant_ids:
            self._run(work, "", now_s)
        elif grant.released:
            work.owner = WorkOwner.CLAIM
            self._claim_work(work, now_s)
        else:
            self._forward(work, grant, now_s)

    def finish(self, work: WorkItem, outcome: Outcome, now_s: float) -> None:
        """Store the result of a ticket's call that this VM ran, and answer all its waiters."""
        key_hash = self._running.pop(work.work_id)
        state = self._ticket_states[key_hash]
        waiters, state.waiters = state.waiters, {}
        if isinstance(outcome, NotRun):
            # Nothing was sent upstream, so the ticket can still be used.
            del self._ticket_states[key_hash]
        else:
            max_bytes = self._context.settings.claim_result_max_bytes
            state.result = result_entry(key_hash, work.work_id, outcome, max_bytes)
            used = TicketUsed(key_hash, state.body_hash, state.result)
            self._log_appender.add(LEDGER_STREAM, used, now_s)
        for waiter in waiters.values():
            if isinstance(outcome, NotRun):
                self._refusals[waiter.request_id] = (outcome, waiter.deadline_s)
            self._answer(waiter.request_id, waiter.sender, outcome, now_s)

    def on_read(self, gap: bool) -> None:
        """Drop all state after a gap, because results of a released grant may be missing."""
        if gap:
            self.table.clear()

    def on_entry(self, entry: TicketEntry, time_s: float, now_s: float) -> None:
        """Apply an entry read from the ledger; duplicates have no effect."""
        self.table.expire(time_s)
        match entry:
            case TicketsGranted():
                if self.table.on_granted(entry, time_s):
                    self._on_own_grant(entry, time_s, now_s)
            case TicketUsed():
                self.table.on_used(entry, time_s)
            case TicketsReleased(grant_id):
                self.table.on_released(grant_id)

    def on_message(
        self, sender: str, message: GrantAnnounced | TicketCall | TicketResult, now_s: float
    ) -> None:
        """Handle a message from another entry VM."""
        if isinstance(message, GrantAnnounced):
            self._on_announced(message)
        elif isinstance(message, TicketCall):
            self._on_call(sender, message, now_s)
        elif self._forwarded.pop(message.request_id, None) is not None:
            self._context.finish_request(message.request_id, from_message(message), now_s)

    def _on_call(self, sender: str, call: TicketCall, now_s: float) -> None:
        """Run a call forwarded by another entry VM, if this process owns its ticket."""
        refused = self._refusals.get(call.request_id)
        if refused is not None:
            # A duplicate of a call that was answered "not run" must not run later.
            self._send_message(sender, to_message(call.request_id, refused[0]))
            return
        parsed = parse_ticket(call.key)
        work = work_of_call(call, self._context.inventory, now_s)
        if work is None or parsed is None or parsed[0] not in self._owned_grant_ids:
            outcome = Unknown(
                RefusalReason.OUTCOME_LOST, OUTCOME_LOST_RETRY_S, "use another ticket"
            )
            self._send_message(sender, to_message(call.request_id, outcome))
            return
        self._run(work, sender, now_s)

    def on_tick(self, now_s: float) -> None:
        """Time out pending grants and calls, resend calls, and release grants when stopping."""
        for request_id, (_, timeout_at_s) in list(self._pending_grants.items()):
            if timeout_at_s <= now_s:
                del self._pending_grants[request_id]
                refusal = NotRun(RefusalReason.LOG_UNAVAILABLE, RETRY_S)
                self._context.finish_request(request_id, refusal, now_s)
        for request_id, forwarded in list(self._forwarded.items()):
            if forwarded.timeout_at_s <= now_s:
                del self._forwarded[request_id]
                self._abandon(forwarded.work, now_s)
            elif forwarded.resend_at_s <= now_s:
                self._send_forwarded(forwarded, now_s)
        self._expire(now_s)
        if (
            self._context.stopping
            and self._owned_grant_ids
            and now_s >= self._context.refuse_from_s
        ):
            self._release_grants(now_s)

    def abort_pending(self, now_s: float) -> None:
        """Answer every pending call immediately because this VM is about to exit."""
        for forwarded in list(self._forwarded.values()):
            del self._forwarded[forwarded.work.work_id]
            self._abandon(forwarded.work, now_s)

    def _on_announced(self, announced: GrantAnnounced) -> None:
        """Learn a grant from its owner, in case the log goes down before this VM reads it."""
        granted = TicketsGranted(
            announced.grant_id,
            announced.customer,
            announced.holder,
            announced.incarnation,
            announced.count,
        )
        self.table.on_granted(granted, announced.granted_at_s)

    def _on_own_grant(self, granted: TicketsGranted, granted_at_s: float, now_s: float) -> None:
        """Own a grant that this process requested, and send its tickets to the caller."""
        for request_id, (pending, _) in list(self._pending_grants.items()):
            if pending != granted:
                continue
            del self._pending_grants[request_id]
            self._owned_grant_ids.add(granted.grant_id)
            self._broadcast(
                GrantAnnounced(
                    granted.grant_id,
                    granted.customer,
                    granted.holder,
                    granted.incarnation,
                    granted.count,
                    granted_at_s,
                )
            )
            self._context.count(Counter.TICKETS_GRANTED, granted.count)
            keys = [ticket_key(granted.grant_id, number) for number in range(granted.count)]
            body = json.dumps({"tickets": keys, "valid_s": self.table.lifetime_s}).encode()
            self._context.finish_request(request_id, Done(200, body), now_s)

    def _run(self, work: WorkItem, sender: str, now_s: float) -> None:
        """Run a call whose ticket this process owns, or give it the result of the first call."""
        key_hash = claim_key(work.customer, work.request)
        waiter = _Waiter(work.work_id, sender, work.request.deadline_s)
        state = self._ticket_states.get(key_hash)
        if state is None and work.request.deadline_s <= now_s:
            self._answer(work.work_id, sender, NotRun(RefusalReason.DEADLINE, 0.0), now_s)
            return
        if state is None:
            parsed = parse_ticket(work.request.idempotency_key)
            assert (
                parsed is not None and parsed[0] in self._owned_grant_ids
            ), "this process does not own the ticket"
            state = self._ticket_states[key_hash] = _TicketState(parsed[0], body_hash(work.request))
            state.waiters[work.work_id] = waiter
            assert work.work_id not in self._running, f"{work.work_id} would run twice"
            self._running[work.work_id] = key_hash
            self._context.count(Counter.TICKETS_USED)
            self._start_work(work, now_s)
            return
        outcome: Outcome | None = None
        if state.body_hash != body_hash(work.request):
            outcome = NotRun(RefusalReason.KEY_REUSED)
        elif state.result is not None:
            outcome = outcome_of_result(state.result)
        if outcome is None:
            state.waiters[work.work_id] = waiter
        else:
            self._answer(work.work_id, sender, outcome, now_s)

    def _answer(self, request_id: str, sender: str, outcome: Outcome, now_s: float) -> None:
        """Answer the caller, or the VM that forwarded the call."""
        if sender:
            self._send_message(sender, to_message(request_id, outcome))
        else:
            self._context.finish_request(request_id, outcome, now_s)

    def _forward(self, work: WorkItem, grant: Grant, now_s: float) -> None:
        granted = grant.entry
        request = work.request
        # A grant under this VM's id that this process does not own is a previous process's.
        is_previous_process = granted.holder == self._context.identity.vm_id
        if is_previous_process or self._is_holder_gone(granted.holder, granted.incarnation):
            lost = Unknown(RefusalReason.OUTCOME_LOST, OUTCOME_LOST_RETRY_S, "use another ticket")
            self._context.finish_request(work.work_id, lost, now_s)
            return
        assert request.idempotency_key is not None, "a ticket call has no idempotency key"
        call = TicketCall(
            work.work_id,
            work.customer,
            request.service,
            request.path,
            request.body,
            request.idempotency_key,
            request.deadline_s,
        )
        self._context.count(Counter.TICKETS_FORWARDED)
        timeout_at_s = min(now_s + self._context.settings.repeat_wait_s, request.deadline_s)
        forwarded = _ForwardedCall(work, granted.holder, call, timeout_at_s)
        self._forwarded[work.work_id] = forwarded
        self._send_forwarded(forwarded, now_s)

    def _send_forwarded(self, forwarded: _ForwardedCall, now_s: float) -> None:
        self._send_message(forwarded.holder, forwarded.call)
        forwarded.resend_at_s = now_s + self._context.settings.ticket_ask_s

    def _abandon(self, work: WorkItem, now_s: float) -> None:
        if not self._context.is_enabled("tickets-one-owner"):
            key_hash = claim_key(work.customer, work.request)
            waiter = _Waiter(work.work_id, "", work.request.deadline_s)
            self._ticket_states[key_hash] = _TicketState(
                "", body_hash(work.request), waiters={work.work_id: waiter}
            )
            self._running[work.work_id] = key_hash
            self._start_work(work, now_s)
            return
        outcome = Unknown(RefusalReason.IN_PROGRESS, RETRY_S, "the ticket's owner did not answer")
        self._context.finish_request(work.work_id, outcome, now_s)

    def _refuse_unknown(self, work: WorkItem, now_s: float) -> None:
        """Refuse a ticket that has expired or whose grant this VM has not read."""
        outcome = Unknown(RefusalReason.KEY_EXPIRED, detail="request new tickets")
        self._context.finish_request(work.work_id, outcome, now_s)

    def _release_grants(self, now_s: float) -> None:
        """Release every owned grant once no call runs, so that all results are in the log first."""
        if self._running:
            return
        for grant_id in sorted(self._owned_grant_ids):
            self._log_appender.add(LEDGER_STREAM, TicketsReleased(grant_id), now_s)
        self._owned_grant_ids.clear()

    def _expire(self, now_s: float) -> None:
        """Drop the state of expired grants, and refusals past their deadline."""
        for request_id, (_, deadline_s) in list(self._refusals.items()):
            if deadline_s <= now_s:
                del self._refusals[request_id]
        live_grant_ids = {
            grant_id for grant_id in self._owned_grant_ids if self.table.is_live(grant_id, now_s)
        }
        if live_grant_ids == self._owned_grant_ids:
            return
        self._owned_grant_ids = live_grant_ids
        running = set(self._running.values())
        self._ticket_states = {
            key_hash: state
            for key_hash, state in self._ticket_states.items()
            if state.grant_id in live_grant_ids or key_hash in running
        }
