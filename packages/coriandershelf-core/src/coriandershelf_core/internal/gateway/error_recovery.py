"""Recovers the request of an event whose handling raised an unexpected error.

Such an error costs at most the attempt. Without recovery its request would stay in flight without
an attempt, and its caller would wait until it gives up.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from coriandershelf_core.internal.gateway.actions import (
    Action,
    Refusal,
    RejectRequest,
    RetryReason,
)
from coriandershelf_core.internal.gateway.admission_control import AdmissionControl
from coriandershelf_core.internal.gateway.attempts import Attempts
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    Event,
    RequestArrived,
    ResponseHeadRead,
    StartStated,
    StreamEnded,
    StreamPaused,
)
from coriandershelf_core.internal.gateway.request import ActiveRequest, ReplicaResponse
from coriandershelf_core.internal.gateway.responder import Responder
from coriandershelf_core.internal.vocabulary.outcome import NOT_RUN_STATUSES

RecoverCallback = Callable[[ActiveRequest, RetryReason, float], None]


class ErrorRecovery(Struct):
    """Ends or recovers requests of events that could not be handled.

    :param recover: retries a request if it may run again, else reports an unknown outcome.
    :param emit: receives the actions for the process.
    """

    attempts: Attempts
    responder: Responder
    admission: AdmissionControl
    recover: RecoverCallback
    emit: Callable[[Action], None]

    def on_error(self, event: Event, now_s: float) -> None:
        """Deliver what the event brought whole, else recover its request."""
        if isinstance(event, RequestArrived):
            self._refuse_arrival(event, now_s)
            return
        attempt_id = getattr(event, "attempt_id", None)
        if attempt_id is None or isinstance(event, ResponseHeadRead | StartStated | StreamPaused):
            # Nothing of an answer was lost; the attempt goes on.
            return
        request = self._request_of(attempt_id)
        attempt = self.attempts.by_id.get(attempt_id)
        if attempt is not None:
            self.attempts.cancel(attempt, now_s)
        if request is None or self.admission.is_waiting(request):
            return
        request.may_have_run = True
        if isinstance(event, StreamEnded | AnswerRead) and event.is_close_delimited:
            # Its end alone does not show that the answer is whole.
            self.recover(request, RetryReason.FAILED, now_s)
        elif isinstance(event, StreamEnded) and request.headers_sent:
            self.responder.end_stream(request, now_s)
        elif isinstance(event, AnswerRead) and _is_final(event) and not request.headers_sent:
            response = ReplicaResponse(event.status, event.headers, event.body)
            self.responder.deliver(request, response, now_s)
        else:
            self.recover(request, RetryReason.FAILED, now_s)

    def _request_of(self, attempt_id: int) -> ActiveRequest | None:
        """Return the request in flight whose latest attempt this is."""
        return next(
            (
                request
                for request in self.responder.active_requests.values()
                if request.attempt_id == attempt_id
            ),
            None,
        )

    def _refuse_arrival(self, event: RequestArrived, now_s: float) -> None:
        request = self.responder.active_requests.get(event.arrival.handle)
        if request is None:
            self.emit(RejectRequest(event.arrival.handle, Refusal.UNKNOWN_OUTCOME))
            return
        attempt = self.attempts.for_request(request)
        if attempt is None and not self.admission.is_waiting(request):
            self.responder.refuse(request, Refusal.UNKNOWN_OUTCOME, now_s)


def _is_final(event: AnswerRead) -> bool:
    """Return whether a response is the final answer to its request."""
    return not event.not_run and not event.misdirected and event.status not in NOT_RUN_STATUSES
