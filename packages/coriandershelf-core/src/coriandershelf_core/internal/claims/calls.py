"""Calls that may not be repeated: under a claim in the log, or under a ticket."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.classify import make_work, owner_of
from coriandershelf_core.internal.claims.claims import Claims
from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.claims.ticket_table import parse_ticket
from coriandershelf_core.internal.claims.tickets import Tickets
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LogRead, TicketsAsked
from coriandershelf_core.internal.vocabulary.inventory import Customer, Inventory
from coriandershelf_core.internal.vocabulary.messages import Message, TicketCall, TicketResult
from coriandershelf_core.internal.vocabulary.outcome import NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.records import ClaimEntry, Entry, Record, TicketEntry
from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
from coriandershelf_core.internal.vocabulary.work import Work, WorkOwner


class Calls:
    """Passes each call, entry and message to the claims or the tickets.

    :param start: dispatches a work that has the right to run.
    :param tell: sends a message to a peer; false where the peer is not known.
    """

    def __init__(
        self,
        context: Context,
        ledger: Ledger,
        membership: Membership,
        start: Callable[[Work, float], None],
        tell: Callable[[str, Message], bool],
    ) -> None:
        self._context = context
        self.claims = Claims(context, ledger, start, membership.is_gone)
        self.tickets = Tickets(
            context, ledger, start, tell, self.claims.request, membership.is_gone
        )

    @property
    def idle(self) -> bool:
        """Return whether no call waits and every ticket was given back."""
        return self.claims.idle and self.tickets.idle

    def request(self, work: Work, now_s: float) -> None:
        """Run a call under its ticket, or claim it."""
        if parse_ticket(work.request.idempotency_key) is None:
            self.claims.request(work, now_s)
            return
        work.owner = WorkOwner.TICKET
        self.tickets.request(work, now_s)

    def ask_tickets(self, event: TicketsAsked, now_s: float) -> None:
        """Grant tickets to a caller."""
        self.tickets.on_asked(event, now_s)

    def answer_known(
        self, request: Request, customer: Customer, inventory: Inventory, now_s: float
    ) -> bool:
        """Answer a repeat from its claim, which no reason to refuse may stand before."""
        if inventory.service(request.service) is None or request.idempotency_key is None:
            return False
        if owner_of(request, inventory) is not WorkOwner.CLAIM:
            return False
        work = make_work(request, customer, inventory, WorkOwner.CLAIM, now_s)
        known = self.claims.knows(work)
        if known:
            self.claims.request(work, now_s)
        return known

    def refuse(self, request: Request, refusal: NotRun, now_s: float) -> None:
        """Refuse a request before its idempotency key was looked at."""
        outcome: Outcome = refusal
        if request.kind is RequestKind.SERVICE and request.idempotency_key is not None:
            outcome = self.claims.early_refusal(refusal, now_s)
            if parse_ticket(request.idempotency_key) is not None:
                # Only the ticket's owner knows whether it ran.
                outcome = Unknown(refusal.reason, refusal.retry_after_s, refusal.detail)
        self._context.finish(request.request_id, outcome, now_s)

    def finish(self, work: Work, outcome: Outcome, now_s: float) -> None:
        """Keep the result of a call that this VM ran, and answer its callers."""
        if work.owner is WorkOwner.TICKET:
            self.tickets.finish(work, outcome, now_s)
        else:
            self.claims.finish(work, outcome, now_s)

    def on_read(self, event: LogRead, gap: bool) -> None:
        """Note the start of a read of the ledger."""
        self.claims.on_read(event.first_offset, gap)
        self.tickets.on_read(gap)

    def on_record(self, record: Record) -> None:
        """Note the place and time of a record of the ledger."""
        self.claims.retention.on_record(record)

    def on_entry(self, entry: Entry, record: Record, now_s: float) -> bool:
        """Apply an entry, be it a copy or not; false for one of another kind."""
        if isinstance(entry, ClaimEntry):
            self.claims.on_entry(entry, record, now_s)
            return True
        if isinstance(entry, TicketEntry):
            self.tickets.on_entry(entry, self.claims.retention.log_time_s, now_s)
            return True
        return False

    def on_message(self, sender: str, message: Message, now_s: float) -> None:
        """Take a message about a ticket."""
        if isinstance(message, TicketCall | TicketResult):
            self.tickets.on_message(sender, message, now_s)

    def on_tick(self, now_s: float) -> None:
        """Let both do what is due."""
        self.claims.on_tick(now_s)
        self.tickets.on_tick(now_s)

    def cut_rest(self, now_s: float) -> None:
        """Answer every waiting call at once, since this VM is about to end."""
        self.claims.cut_rest(now_s)
        self.tickets.cut_rest(now_s)
