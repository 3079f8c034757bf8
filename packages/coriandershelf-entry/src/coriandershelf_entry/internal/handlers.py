"""Base classes of the HTTP handlers: shared state and JSON errors."""

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
class SharedState:
    """State shared by the handlers."""

    settings: EntrySettings
    core_task: CoreTask
    clock: Clock
    metrics: Metrics
    mailboxes: dict[str, CallerMailbox]

    @property
    def context(self) -> Context:
        """Return the core's context; handlers must not change it."""
        return self.core_task.core.context


class JsonHandler(RequestHandler):
    """Writes errors of the HTTP layer as JSON error documents of the API."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to an error for which the handler wrote no response of its own."""
        message = f"{self._reason}. See the callers' page for paths and methods."
        error = {"message": message, "type": "invalid_request_error", "code": "http-error"}
        self.set_header("Content-Type", "application/json")
        self.finish({"error": {**error, "param": None}, "outcome": "not-run"})


class UnknownPathHandler(JsonHandler):
    """Handles unknown paths."""

    def prepare(self) -> None:
        """Answer 404."""
        self.send_error(404)
