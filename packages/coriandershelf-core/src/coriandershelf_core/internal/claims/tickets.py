"""Tickets: idempotency keys granted through the log beforehand, each with one owner.

A caller takes tickets while the log is up. A call that names one as its key is run by the ticket's
owner alone, from the owner's memory, so that it needs no log: bookings go on in an outage and in a
zone that is cut off. Every other entry VM asks the owner or says that the outcome is unknown. A
ticket moves only by the owner's explicit release, never by a timeout; a restarted VM of the same
name is not the owner, since its memory is empty.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from coriandershelf_core.internal.admission.authenticate import authenticate
from coriandershelf_core.internal.claims.claim_answers import (
    LOST_RETRY_S,
    outcome_of_result,
    result_entry,
)
from coriandershelf_core.internal.claims.claim_keys import body_hash, claim_key
from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.claims.ticket_messages import (
    from_message,
    result_of,
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
from coriandershelf_core.internal.vocabulary.messages import Message, TicketCall, TicketResult
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
from coriandershelf_core.internal.vocabulary.work import Work, WorkOwner

RETRY_S = 2.0
GRANT_ID_LENGTH = 24

Start = Callable[[Work, float], None]
Tell = Callable[[str, Message], bool]
HolderGone = Callable[[str, int], bool]


def grant_id_of(identity: VmIdentity, request_id: str) -> str:
    """Return an id that no other grant has, even if an incarnation is used twice."""
    text = f"{identity.vm_id}/{identity.incarnation}/{request_id}"
    return hashlib.sha256(text.encode()).hexdigest()[:GRANT_ID_LENGTH]


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A request that awaits a ticket's result, and the VM that asked, empty for this one."""

    request_id: str
    sender: str
    deadline_s: float


@dataclass(slots=True)
class _Use:
    """The owner's memory of one ticket.

    :param awaiting: who awaits the result, by request id.
    """

    grant_id: str
    body_hash: str
    result: ClaimFinished | None = None
    awaiting: dict[str, _Waiter] = field(default_factory=dict)


@dataclass(slots=True)
class _Forwarded:
    """A call that its ticket's owner was asked for; asked again since messages may be lost."""

    work: Work
    holder: str
    call: TicketCall
    give_up_at_s: float
    ask_at_s: float = 0.0


class Tickets:
    """The tickets that this VM owns, and the calls that it passes to other owners.

    :param start: dispatches a work.
    :param tell: sends a message to a peer; false where the peer is not known.
    :param claim: claims a call through the log, for tickets whose owner released them.
    :param holder_gone: whether an incarnation of a VM is known to have ended.
    """

    def __init__(
        self,
        context: Context,
        ledger: Ledger,
        start: Start,
        tell: Tell,
        claim: Start,
        holder_gone: HolderGone,
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._start = start
        self._tell = tell
        self._claim = claim
        self._holder_gone = holder_gone
        settings = context.settings
        self.table = TicketTable(min(settings.ticket_life_s, settings.log_retention_s / 2))
        self._asked: dict[str, tuple[TicketsGranted, float]] = {}
        self._owned: set[str] = set()
        self._uses: dict[str, _Use] = {}
        self._running: dict[str, str] = {}
        self._refused: dict[str, tuple[NotRun, float]] = {}
        self._forwarded: dict[str, _Forwarded] = {}

    @property
    def idle(self) -> bool:
        """Return whether nothing is awaited and every ticket was given back."""
        return not (self._asked or self._owned or self._running or self._forwarded)

    def on_asked(self, event: TicketsAsked, now_s: float) -> None:
        """Write a grant of some tickets; they are valid once it is read back."""
        request_id = event.request_id
        customer = authenticate(self._context.inventory, event.credential_hash)
        if isinstance(customer, NotRun):
            self._context.finish(request_id, customer, now_s)
            return
        if self._ledger.is_down(LEDGER_STREAM) or self._context.stopping:
            self._context.finish(request_id, NotRun(RefusalReason.LOG_UNAVAILABLE, RETRY_S), now_s)
            return
        identity = self._context.identity
        granted = TicketsGranted(
            grant_id_of(identity, request_id),
            customer.name,
            identity.vm_id,
            identity.incarnation,
            max(1, min(event.count, self._context.settings.tickets_max_count)),
        )
        give_up_at_s = now_s + self._context.settings.claim_wait_s
        self._asked[request_id] = (granted, give_up_at_s)
        self._ledger.add(LEDGER_STREAM, granted, now_s)

    def request(self, work: Work, now_s: float) -> None:
        """Run a call whose key is a ticket, or have its owner run it."""
        grant = self.table.grant_of(work.request.idempotency_key, work.customer, now_s)
        if grant is None:
            self._refuse_unknown(work, now_s)
            return
        used = self.table.used.get(claim_key(work.customer, work.request))
        if used is not None:
            self._context.finish(work.work_id, result_of(used, work.request), now_s)
        elif grant.granted.grant_id in self._owned:
            self._run(work, "", now_s)
        elif grant.released:
            work.owner = WorkOwner.CLAIM
            self._claim(work, now_s)
        else:
            self._forward(work, grant, now_s)

    def finish(self, work: Work, outcome: Outcome, now_s: float) -> None:
        """Keep the result of a ticket that this VM ran, and answer everyone who awaits it."""
        key_hash = self._running.pop(work.work_id)
        use = self._uses[key_hash]
        awaiting, use.awaiting = use.awaiting, {}
        if isinstance(outcome, NotRun):
            # Nothing was sent, so the ticket is as good as new.
            del self._uses[key_hash]
        else:
            max_bytes = self._context.settings.claim_result_max_bytes
            use.result = result_entry(key_hash, work.work_id, outcome, max_bytes)
            used = TicketUsed(key_hash, use.body_hash, use.result)
            self._ledger.add(LEDGER_STREAM, used, now_s)
        for waiter in awaiting.values():
            if isinstance(outcome, NotRun):
                self._refused[waiter.request_id] = (outcome, waiter.deadline_s)
            self._answer(waiter.request_id, waiter.sender, outcome, now_s)

    def on_read(self, gap: bool) -> None:
        """Forget what was read before a gap: a release may follow a use that was missed."""
        if gap:
            self.table.clear()

    def on_entry(self, entry: TicketEntry, time_s: float, now_s: float) -> None:
        """Apply an entry read from the ledger; copies change nothing."""
        self.table.expire(time_s)
        match entry:
            case TicketsGranted():
                if self.table.on_granted(entry, time_s):
                    self._on_own_grant(entry, now_s)
            case TicketUsed():
                self.table.on_used(entry, time_s)
            case TicketsReleased(grant_id):
                self.table.on_released(grant_id)

    def on_message(self, sender: str, message: TicketCall | TicketResult, now_s: float) -> None:
        """Take a message of another entry VM."""
        if isinstance(message, TicketCall):
            self._on_call(sender, message, now_s)
        elif self._forwarded.pop(message.request_id, None) is not None:
            self._context.finish(message.request_id, from_message(message), now_s)

    def _on_call(self, sender: str, call: TicketCall, now_s: float) -> None:
        """Run a ticket for another entry VM, if this process owns it."""
        refused = self._refused.get(call.request_id)
        if refused is not None:
            # A copy of a call that was told "not run" must not run after all.
            self._tell(sender, to_message(call.request_id, refused[0]))
            return
        parsed = parse_ticket(call.key)
        work = work_of_call(call, self._context.inventory, now_s)
        if work is None or parsed is None or parsed[0] not in self._owned:
            outcome = Unknown(RefusalReason.OUTCOME_LOST, LOST_RETRY_S, "use another ticket")
            self._tell(sender, to_message(call.request_id, outcome))
            return
        self._run(work, sender, now_s)

    def on_tick(self, now_s: float) -> None:
        """Give up what was not answered; give tickets back when this VM stops."""
        for request_id, (_, give_up_at_s) in list(self._asked.items()):
            if give_up_at_s <= now_s:
                del self._asked[request_id]
                refusal = NotRun(RefusalReason.LOG_UNAVAILABLE, RETRY_S)
                self._context.finish(request_id, refusal, now_s)
        for request_id, forwarded in list(self._forwarded.items()):
            if forwarded.give_up_at_s <= now_s:
                del self._forwarded[request_id]
                self._give_up(forwarded.work, now_s)
            elif forwarded.ask_at_s <= now_s:
                self._ask(forwarded, now_s)
        self._forget(now_s)
        if self._context.stopping and self._owned and now_s >= self._context.refuse_at_s:
            self._give_back(now_s)

    def cut_rest(self, now_s: float) -> None:
        """Answer every waiting call at once, since this VM is about to end."""
        for forwarded in list(self._forwarded.values()):
            del self._forwarded[forwarded.work.work_id]
            self._give_up(forwarded.work, now_s)

    def _on_own_grant(self, granted: TicketsGranted, now_s: float) -> None:
        """Own a grant that this process asked for, and hand its tickets to the caller."""
        for request_id, (asked, _) in list(self._asked.items()):
            if asked != granted:
                continue
            del self._asked[request_id]
            self._owned.add(granted.grant_id)
            self._context.count(Counter.TICKETS_GRANTED, granted.count)
            keys = [ticket_key(granted.grant_id, number) for number in range(granted.count)]
            body = json.dumps({"tickets": keys, "valid_s": self.table.life_s}).encode()
            self._context.finish(request_id, Done(200, body), now_s)

    def _run(self, work: Work, sender: str, now_s: float) -> None:
        """Run a ticket that this process owns, unless it was used."""
        key_hash = claim_key(work.customer, work.request)
        waiter = _Waiter(work.work_id, sender, work.request.deadline_s)
        use = self._uses.get(key_hash)
        if use is None and work.request.deadline_s <= now_s:
            self._answer(work.work_id, sender, NotRun(RefusalReason.DEADLINE, 0.0), now_s)
            return
        if use is None:
            parsed = parse_ticket(work.request.idempotency_key)
            assert parsed is not None and parsed[0] in self._owned, "not the ticket's owner"
            use = self._uses[key_hash] = _Use(parsed[0], body_hash(work.request))
            use.awaiting[work.work_id] = waiter
            assert work.work_id not in self._running, f"{work.work_id} would run twice"
            self._running[work.work_id] = key_hash
            self._context.count(Counter.TICKETS_USED)
            self._start(work, now_s)
            return
        outcome: Outcome | None = None
        if use.body_hash != body_hash(work.request):
            outcome = NotRun(RefusalReason.KEY_REUSED)
        elif use.result is not None:
            outcome = outcome_of_result(use.result)
        if outcome is None:
            use.awaiting[work.work_id] = waiter
        else:
            self._answer(work.work_id, sender, outcome, now_s)

    def _answer(self, request_id: str, sender: str, outcome: Outcome, now_s: float) -> None:
        """Answer a caller of this VM, or the VM that asked."""
        if sender:
            self._tell(sender, to_message(request_id, outcome))
        else:
            self._context.finish(request_id, outcome, now_s)

    def _forward(self, work: Work, grant: Grant, now_s: float) -> None:
        granted = grant.granted
        request = work.request
        # This VM's own name without the memory of the grant is a former process's.
        former = granted.holder == self._context.identity.vm_id
        if former or self._holder_gone(granted.holder, granted.incarnation):
            lost = Unknown(RefusalReason.OUTCOME_LOST, LOST_RETRY_S, "use another ticket")
            self._context.finish(work.work_id, lost, now_s)
            return
        assert request.idempotency_key is not None, "a ticket is a key"
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
        give_up_at_s = min(now_s + self._context.settings.repeat_wait_s, request.deadline_s)
        forwarded = _Forwarded(work, granted.holder, call, give_up_at_s)
        self._forwarded[work.work_id] = forwarded
        self._ask(forwarded, now_s)

    def _ask(self, forwarded: _Forwarded, now_s: float) -> None:
        self._tell(forwarded.holder, forwarded.call)
        forwarded.ask_at_s = now_s + self._context.settings.ticket_ask_s

    def _give_up(self, work: Work, now_s: float) -> None:
        if not self._context.enabled("tickets-one-owner"):
            key_hash = claim_key(work.customer, work.request)
            waiter = _Waiter(work.work_id, "", work.request.deadline_s)
            self._uses[key_hash] = _Use(
                "", body_hash(work.request), awaiting={work.work_id: waiter}
            )
            self._running[work.work_id] = key_hash
            self._start(work, now_s)
            return
        outcome = Unknown(RefusalReason.IN_PROGRESS, RETRY_S, "the ticket's owner is silent")
        self._context.finish(work.work_id, outcome, now_s)

    def _refuse_unknown(self, work: Work, now_s: float) -> None:
        """Refuse a ticket that is past its life, or was never granted as far as is known."""
        outcome = Unknown(RefusalReason.KEY_EXPIRED, detail="take new tickets")
        self._context.finish(work.work_id, outcome, now_s)

    def _give_back(self, now_s: float) -> None:
        """Release every ticket; what was used stands before it in the log."""
        if self._running:
            return
        for grant_id in sorted(self._owned):
            self._ledger.add(LEDGER_STREAM, TicketsReleased(grant_id), now_s)
        self._owned.clear()

    def _forget(self, now_s: float) -> None:
        """Drop what belongs to tickets past their life, and refusals past their deadline."""
        for request_id, (_, deadline_s) in list(self._refused.items()):
            if deadline_s <= now_s:
                del self._refused[request_id]
        kept = {grant_id for grant_id in self._owned if self.table.is_live(grant_id, now_s)}
        if kept == self._owned:
            return
        self._owned = kept
        running = set(self._running.values())
        self._uses = {
            key_hash: use
            for key_hash, use in self._uses.items()
            if use.grant_id in kept or key_hash in running
        }
