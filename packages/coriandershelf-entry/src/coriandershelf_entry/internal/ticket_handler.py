"""``POST /v1/tickets?count=N``: idempotency keys that stay usable while the log is down."""

from __future__ import annotations

from tornado.web import stream_request_body

from coriandershelf_core import NotRun, RefusalReason
from coriandershelf_core.internal.vocabulary.events import TicketsAsked
from coriandershelf_entry.internal.caller_handlers import CallerHandler


@stream_request_body
class TicketsHandler(CallerHandler):
    """Grants tickets to a caller, which stores them for use during outages of the log."""

    async def post(self) -> None:
        """Grant tickets; they are returned once the grant is recorded in the log."""
        if self._refused:
            return
        count = self.get_query_argument("count", "1")
        if not count.isdecimal() or not int(count):
            detail = "count must be a whole number above 0"
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail=detail))
            return
        mailbox = self.open_mailbox()
        event = TicketsAsked(self.request_id, self.credential_hash, int(count))
        self.shared.core_task.post(event)
        await self.respond_when_done(mailbox)
