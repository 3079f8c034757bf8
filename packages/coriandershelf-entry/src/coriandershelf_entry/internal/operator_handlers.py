"""HTTP handlers of the health checks and of the API for operators."""

from __future__ import annotations

from typing import Any

from coriandershelf_core.internal.vocabulary.events import StopAsked
from coriandershelf_entry.internal.handlers import JsonHandler, SharedState
from coriandershelf_entry.internal.request_parsing import hash_key


class HealthHandler(JsonHandler):
    """``GET /healthz`` and ``GET /readyz``."""

    def initialize(self, callers: SharedState, readiness: bool) -> None:
        """Set whether this path reports readiness or only liveness."""
        self._core = callers.core_task.core
        self._readiness = readiness

    def get(self) -> None:
        """Answer 200, or 503 if readiness is asked for and the core is not ready."""
        ready = self._core.ready or not self._readiness
        self.set_status(200 if ready else 503)
        self.write({"ready": self._core.ready})


class OperatorHandler(JsonHandler):
    """``GET /admin/status``, ``GET /admin/explain/{request}``, ``POST /admin/drain``."""

    def initialize(self, callers: SharedState) -> None:
        """Set the shared state."""
        self._shared = callers

    def prepare(self) -> None:
        """Answer 403 unless the request has the operator key."""
        expected = self._shared.settings.operator_key_hash
        if not expected or hash_key(self.request.headers.get("Authorization", "")) != expected:
            self.set_status(403)
            self.finish({"error": {"code": "not-operator", "message": "Send the operator key."}})

    def get(self, command: str, argument: str | None = None) -> None:
        """Answer with the status of this VM or the trace of a request."""
        if command == "status":
            self.write(self._status())
            return
        steps = self._shared.context.traces.get(argument or "")
        if steps is None:
            self.set_status(404)
            self.write({"error": {"code": "unknown-request", "message": "No trace is kept."}})
            return
        first_s = steps[0].at_s
        self.write(
            {
                "request": argument,
                "steps": [
                    {
                        "after_ms": round((step.at_s - first_s) * 1000, 1),
                        "step": step.step,
                        "detail": step.detail,
                    }
                    for step in steps
                ],
            }
        )

    def post(self, command: str) -> None:
        """Begin a graceful stop; the response does not wait until it is finished."""
        deadline_s = self._shared.clock() + self._shared.settings.drain_limit_s
        self._shared.core_task.post(StopAsked(deadline_s))
        self.set_status(202)
        self.write({"draining": True})

    def _status(self) -> dict[str, Any]:
        core = self._shared.core_task.core
        return {
            "vm_id": core.context.identity.vm_id,
            "zone": core.context.identity.zone,
            "version": core.configuration.version_in_force,
            "accepted_version": core.configuration.version,
            "ready": core.ready,
            "stopping": core.context.stopping,
            "jobs_held": len(core.jobs.replication.held),
            "in_flight": len(core.dispatcher.work_items),
            "queued": len(core.dispatcher.queue),
            "counters": dict(self._shared.metrics.totals),
        }
