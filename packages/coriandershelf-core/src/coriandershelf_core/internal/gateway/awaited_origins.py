"""Requests that wait until the version that began their stream is known."""

from __future__ import annotations

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.attempts import wait_max_s
from coriandershelf_core.internal.gateway.request import ActiveRequest

# Period at which the VMs that keep origins are asked again.
QUERY_PERIOD_S = 0.3


class AwaitedOrigins(Struct):
    """The requests that wait, by handle."""

    _awaiting: dict[int, tuple[ActiveRequest, float]] = field(default_factory=dict)

    def add(self, request: ActiveRequest, now_s: float) -> bool:
        """Let a request wait; false if it has waited for too long."""
        if request.waits_since_s is None:
            request.waits_since_s = now_s
        if now_s - request.waits_since_s >= wait_max_s(request.route):
            return False
        self._awaiting[request.arrival.handle] = (request, now_s + QUERY_PERIOD_S)
        return True

    def waiting(self) -> list[ActiveRequest]:
        """Return the requests that wait."""
        return [request for request, _ in self._awaiting.values()]

    def remove(self, request: ActiveRequest) -> None:
        """Let a request wait no longer."""
        self._awaiting.pop(request.arrival.handle, None)

    def pop_due(self, now_s: float) -> list[ActiveRequest]:
        """Remove and return the requests whose origin is to be asked for again."""
        due = [request for request, due_at_s in self._awaiting.values() if now_s >= due_at_s]
        for request in due:
            self.remove(request)
        return due
