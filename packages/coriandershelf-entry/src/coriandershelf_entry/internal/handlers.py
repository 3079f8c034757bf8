"""What every HTTP handler has: the shared parts, and errors in JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tornado.web import RequestHandler

from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_entry.internal.clock import Clock
from coriandershelf_entry.internal.core_task import CoreTask
from coriandershelf_entry.internal.mailbox import CallerMailbox
from coriandershelf_entry.internal.metrics import Metrics
from coriandershelf_entry.internal.settings import EntrySettings


@dataclass(slots=True)
class Callers:
    """What the handlers share."""

    settings: EntrySettings
    core_task: CoreTask
    clock: Clock
    metrics: Metrics
    mailboxes: dict[str, CallerMailbox]

    @property
    def context(self) -> Context:
        """Return the core's context, for reading only."""
        return self.core_task.core.context


class JsonHandler(RequestHandler):
    """Writes errors of the HTTP layer in the interface's usual JSON form."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write an error that no handler answered itself."""
        message = f"{self._reason}. See the callers' page for paths and methods."
        error = {"message": message, "type": "invalid_request_error", "code": "http-error"}
        self.set_header("Content-Type", "application/json")
        self.finish({"error": {**error, "param": None}, "outcome": "not-run"})


class UnknownPathHandler(JsonHandler):
    """Every path that the interface does not have."""

    def prepare(self) -> None:
        """Answer 404."""
        self.send_error(404)
