"""Which handler answers which path."""

from __future__ import annotations

from tornado.web import Application

from coriandershelf_entry.internal.callers import (
    ChatHandler,
    JobHandler,
    JobsHandler,
    ServiceHandler,
)
from coriandershelf_entry.internal.handlers import Callers, UnknownPathHandler
from coriandershelf_entry.internal.models_handler import ModelsHandler
from coriandershelf_entry.internal.operators import HealthHandler, OperatorHandler
from coriandershelf_entry.internal.ticket_handler import TicketsHandler


def make_application(callers: Callers) -> Application:
    """Return the callers' and operators' interface."""
    shared = {"callers": callers}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, shared),
            (r"/v1/models", ModelsHandler, shared),
            (r"/v1/jobs", JobsHandler, shared),
            (r"/v1/jobs/([0-9a-zA-Z-]+)", JobHandler, shared),
            (r"/v1/services/([a-z0-9.-]+)/(.+)", ServiceHandler, shared),
            (r"/v1/tickets", TicketsHandler, shared),
            (r"/healthz", HealthHandler, {"callers": callers, "readiness": False}),
            (r"/readyz", HealthHandler, {"callers": callers, "readiness": True}),
            (r"/admin/(drain)", OperatorHandler, shared),
            (r"/admin/(status)", OperatorHandler, shared),
            (r"/admin/(explain)/(.+)", OperatorHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        log_function=lambda handler: None,
    )
