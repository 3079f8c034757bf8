"""Non-idempotent calls: each runs under a claim in the log or under a ticket."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.classify import make_work, result_owner
from coriandershelf_core.internal.claims.claims import Claims
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.claims.ticket_table import parse_ticket
from coriandershelf_core.internal.claims.tickets import Tickets
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LogRead, TicketsAsked
from coriandershelf_core.internal.vocabulary.inventory import Customer, Inventory
from coriandershelf_core.internal.vocabulary.messages import (
    GrantAnnounced,
    Message,
    TicketCall,
    TicketResult,
)
from coriandershelf_core.internal.vocabulary.outcome import NotRun, Outcome, Unknown
from coriandershelf_core.internal.vocabulary.records import ClaimEntry, Entry, Record, TicketEntry
from coriandershelf_core.internal.vocabulary.request import Request, RequestKind
from coriandershelf_core.internal.vocabulary.work import WorkItem, WorkOwner


class NonIdempotentCalls:
    """Dispatches calls, log entries and messages to the claims or the tickets.

    :param start_work: dispatches a work item that has the right to run.
    :param send_message: sends a message to a peer; returns false if the peer is unknown.
    :param broadcast: sends a message to every other entry VM.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        membership: Membership,
        start_work: Callable[[WorkItem, float], None],
        send_message: Callable[[str, Message], bool],
        broadcast: Callable[[Message], None],
    ) -> None:
        self._context = context
        self.claims = Claims(context, log_appender, start_work, membership.is_gone)
        self.tickets = Tickets(
            context,
            log_appender,
            start_work,
            send_message,
            broadcast,
            self.claims.submit,
            membership.is_gone,
        )

    @property
    def idle(self) -> bool:
        """Return whether no call is pending and every owned grant of tickets was released."""
        return self.claims.idle and self.tickets.idle

    def submit(self, work: WorkItem, now_s: float) -> None:
        """Run a call under its ticket if its key is one; claim it otherwise."""
        if parse_ticket(work.request.idempotency_key) is None:
            self.claims.submit(work, now_s)
            return
        work.owner = WorkOwner.TICKET
        self.tickets.submit(work, now_s)

    def request_tickets(self, event: TicketsAsked, now_s: float) -> None:
        """Grant tickets to a caller."""
        self.tickets.request_tickets(event, now_s)

    def answer_repeat(
        self, request: Request, customer: Customer, inventory: Inventory, now_s: float
    ) -> bool:
        """Answer a repeated call from the claim of its key; return whether the key is taken.

        This precedes admission control, so that no refusal hides the outcome of the first call.
        """
        if inventory.service(request.service) is None or request.idempotency_key is None:
            return False
        if result_owner(request, inventory) is not WorkOwner.CLAIM:
            return False
        work = make_work(request, customer, inventory, WorkOwner.CLAIM, now_s)
        taken = self.claims.is_key_taken(work)
        if taken:
            self.claims.submit(work, now_s)
        return taken

    def refuse(self, request: Request, refusal: NotRun, now_s: float) -> None:
        """Refuse a request; the outcome is unknown if an earlier call with its key may have run."""
        outcome: Outcome = refusal
        if request.kind is RequestKind.SERVICE and request.idempotency_key is not None:
            outcome = self.claims.early_refusal(refusal, now_s)
            if parse_ticket(request.idempotency_key) is not None:
                # Only the ticket's owner knows whether the call ran.
                outcome = Unknown(refusal.reason, refusal.retry_after_s, refusal.detail)
        self._context.finish_request(request.request_id, outcome, now_s)

    def finish(self, work: WorkItem, outcome: Outcome, now_s: float) -> None:
        """Store the result of a call that this VM ran, and answer its callers."""
        if work.owner is WorkOwner.TICKET:
            self.tickets.finish(work, outcome, now_s)
        else:
            self.claims.finish(work, outcome, now_s)

    def on_read(self, event: LogRead, gap: bool) -> None:
        """Handle the start of a read of the ledger.

        :param gap: whether records expired before this VM read them.
        """
        self.claims.on_read(event.first_offset, gap)
        self.tickets.on_read(gap)

    def on_record(self, record: Record) -> None:
        """Record the offset and time of a ledger record."""
        self.claims.retention.on_record(record)

    def on_entry(self, entry: Entry, record: Record, now_s: float) -> bool:
        """Apply an entry, including a duplicate; return false for other kinds of entries."""
        if isinstance(entry, ClaimEntry):
            self.claims.on_entry(entry, record, now_s)
            return True
        if isinstance(entry, TicketEntry):
            self.tickets.on_entry(entry, self.claims.retention.log_time_s, now_s)
            return True
        return False

    def on_message(self, sender: str, message: Message, now_s: float) -> None:
        """Handle a message about a ticket; ignore other messages."""
        if isinstance(message, GrantAnnounced | TicketCall | TicketResult):
            self.tickets.on_message(sender, message, now_s)

    def on_tick(self, now_s: float) -> None:
        """Run the periodic work of claims and tickets."""
        self.claims.on_tick(now_s)
        self.tickets.on_tick(now_s)

    def abort_pending(self, now_s: float) -> None:
        """Answer every pending call immediately because this VM is about to exit."""
        self.claims.abort_pending(now_s)
        self.tickets.abort_pending(now_s)
