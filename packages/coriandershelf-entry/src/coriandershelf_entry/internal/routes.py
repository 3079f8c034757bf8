"""Maps paths to handlers."""

from __future__ import annotations

from tornado.web import Application

from coriandershelf_entry.internal.caller_handlers import (
    ChatHandler,
    JobHandler,
    JobsHandler,
    ServiceHandler,
)
from coriandershelf_entry.internal.handlers import SharedState, UnknownPathHandler
from coriandershelf_entry.internal.models_handler import ModelsHandler
from coriandershelf_entry.internal.operator_handlers import HealthHandler, OperatorHandler
from coriandershelf_entry.internal.ticket_handler import TicketsHandler


def make_application(shared: SharedState) -> Application:
    """Return the application that serves callers, operators and health checks."""
    arguments = {"callers": shared}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, arguments),
            (r"/v1/models", ModelsHandler, arguments),
            (r"/v1/jobs", JobsHandler, arguments),
            (r"/v1/jobs/([0-9a-zA-Z-]+)", JobHandler, arguments),
            (r"/v1/services/([a-z0-9.-]+)/(.+)", ServiceHandler, arguments),
            (r"/v1/tickets", TicketsHandler, arguments),
            (r"/healthz", HealthHandler, {"callers": shared, "readiness": False}),
            (r"/readyz", HealthHandler, {"callers": shared, "readiness": True}),
            (r"/admin/(drain)", OperatorHandler, arguments),
            (r"/admin/(status)", OperatorHandler, arguments),
            (r"/admin/(explain)/(.+)", OperatorHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        log_function=lambda handler: None,
    )
