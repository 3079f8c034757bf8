"""``POST /v1/tickets?count=N``: keys that their owner can run while the log is down."""

from __future__ import annotations

from tornado.web import stream_request_body

from coriandershelf_core import NotRun, RefusalReason
from coriandershelf_core.internal.vocabulary.events import TicketsAsked
from coriandershelf_entry.internal.callers import CallerHandler


@stream_request_body
class TicketsHandler(CallerHandler):
    """Hands tickets to a caller, who keeps them for a time when the log is down."""

    async def post(self) -> None:
        """Grant tickets once their grant stands in the log."""
        count = self.get_query_argument("count", "1")
        if not count.isdecimal() or not int(count):
            detail = "count must be a whole number above 0"
            self.refuse(NotRun(RefusalReason.BAD_REQUEST, detail=detail))
            return
        mailbox = self.open_mailbox()
        event = TicketsAsked(self.request_id, self.credential_hash, int(count))
        self.callers.core_task.post(event)
        await self.answer_whole(mailbox)
