"""Decides which requests wait for free capacity at this VM, and when refused callers come back.

It has an effect only on requests for which no replica has free capacity, and on callers that were
refused before.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.actions import (
    Action,
    IncrementCounter,
    LogLine,
    Refusal,
)
from coriandershelf_core.internal.gateway.attempts import AttemptState
from coriandershelf_core.internal.gateway.crash_suspects import CrashSuspects
from coriandershelf_core.internal.gateway.customer_shares import CustomerShares
from coriandershelf_core.internal.gateway.deployment import RouteKind
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.load_tracking import PREFILL_TOKEN_S
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import ActiveRequest
from coriandershelf_core.internal.gateway.responder import (
    RETRY_AFTER_S,
    RETRY_AFTER_SHARE,
    LogValue,
    Responder,
)
from coriandershelf_core.internal.gateway.returning_callers import (
    Promise,
    ReturningCallers,
    UsualLimits,
)
from coriandershelf_core.internal.gateway.room_rate import (
    Blocked,
    Rank,
    RoomRate,
    expected_wait_s,
)
from coriandershelf_core.internal.gateway.selection import (
    FIRST_EVENT_BASE_S,
    PLAIN_RESPONSE_S,
    capacity_count,
    not_ejected,
)
from coriandershelf_core.internal.gateway.waiting_requests import (
    Lane,
    Waiting,
    WaitingRequests,
    lane_of,
)

# A request waits only if its time allows the expected wait and this many standard deviations, which
# about five of six waits keep to: a refusal after a wait is worse than one at once.
WAIT_DEVIATIONS = 1.0
# A waiting request is refused early only if the expected wait exceeds its time this many times,
# since the measured rate of a VM that sends a few requests a second varies by about its half.
EARLY_REFUSAL_FACTOR = 4.0
# On sites with load queries, a head of the queue that found no capacity is not queried for again
# for this long, unless an attempt ends here: each query takes up to eight messages.
PROBE_PERIOD_S = 0.1
# Requests tried per lane at one time, if the first ones may not use replicas that others may.
PASSED_OVER_MAX_COUNT = 4
# Replicas that become usable within this time of the first one are counted with it.
SAME_TIME_S = 0.05
RETRY_AFTER_MIN_S = 0.05
STOPPING_RETRY_AFTER_S = 0.05
# Callers come back up to this share of the wait earlier than capacity is expected for them.
SPREAD_SHARE = 0.3
SERVICES_MAX_COUNT = 256
# Shares are computed at most this often, which is once a tick.
SHARES_PERIOD_S = 0.05

# Callers of equal rank are promised capacity one after the other.
_PromiseKey = tuple[str, Rank]


class AdmissionControl(Struct):
    """The queue of this VM, the measured rates and the promises to refused callers.

    :param emit: receives the actions for the process.
    :param random_fraction: returns a random number from 0 to 1.
    :ivar shares_enabled: whether capacity is shared between customers while requests wait.
    :ivar stop_end_s: nothing waits beyond this time, since the VM stops.
    """

    pool: Pool
    entry_vms: EntryVms
    responder: Responder
    crash_suspects: CrashSuspects
    emit: Callable[[Action], None]
    random_fraction: Callable[[], float]
    queue: WaitingRequests = field(default_factory=WaitingRequests)
    returning: ReturningCallers = field(default_factory=ReturningCallers)
    usual_limits: UsualLimits = field(default_factory=UsualLimits)
    shares: CustomerShares = field(default_factory=CustomerShares)
    shares_enabled: bool = True
    stop_end_s: float = math.inf
    _share_classes: dict[str, tuple[float, dict[str, int]]] = field(default_factory=dict)
    _rates: dict[str, RoomRate] = field(default_factory=dict)
    _room_changed: bool = False
    _probes: dict[Lane, int] = field(default_factory=dict)
    _next_probe_s: dict[Lane, float] = field(default_factory=dict)
    _last_due_s: dict[_PromiseKey, float] = field(default_factory=dict)
    _next_sequence: int = 1

    @property
    def may_send(self) -> bool:
        """Return whether a waiting request may find capacity since the last look."""
        return self._room_changed and len(self.queue) > 0

    def on_request(self, request: ActiveRequest, now_s: float) -> None:
        """Recognise the request of a caller that was refused before."""
        self.shares.on_request(request.service, _customer_of(request), _tokens_of(request), now_s)
        if len(self.returning):
            request.promise = self.returning.take(request.arrival.fingerprint, now_s)
        limit_s = request.arrival.time_left_s
        if request.promise is not None:
            request.elapsed_s = request.arrived_at_s - request.promise.arrived_at_s
        elif limit_s is not None and not request.resumes_stream:
            request.elapsed_s = self.usual_limits.elapsed_s(
                _customer_of(request), request.route.name, limit_s
            )

    def on_attempt_end(self, attempt: AttemptState, accepted: bool, now_s: float) -> None:
        """Record the end of an attempt.

        :param accepted: whether its replica had accepted the request.
        """
        self._room_changed = True
        self._next_probe_s.clear()
        if not accepted:
            return
        request = attempt.request
        answer_s = None
        if attempt.first_event_at_s is not None:
            answer_s = attempt.first_event_at_s - attempt.started_at_s
        elif request.route.kind is not RouteKind.STREAM:
            answer_s = now_s - attempt.started_at_s
        rate = self._rate_of(request.service)
        rate.on_end(request.route.name, now_s - attempt.started_at_s, answer_s, now_s)

    def on_room_change(self) -> None:
        """Look for capacity again, since the replicas or their loads have changed."""
        self._room_changed = True

    def is_waiting(self, request: ActiveRequest) -> bool:
        """Return whether a request waits."""
        return self.queue.get(request.arrival.handle) is not None

    def holds_back(self, request: ActiveRequest, now_s: float) -> bool:
        """Return whether requests that go before this one wait for the same replicas."""
        lane = lane_of(request)
        if not self.queue.lane_count(lane) or self.is_waiting(request):
            return False
        return not self.queue.precedes_all(lane, self._make_item(request, now_s).order)

    def wait_or_refuse(self, request: ActiveRequest, now_s: float, **fields: LogValue) -> None:
        """Let a request without capacity wait if it can be served in time; else refuse it.

        :param fields: figures behind the lack of capacity, for the log.
        """
        if self.is_waiting(request):
            self._on_probe_failed(request, now_s)
        elif not self._try_to_queue(request, now_s):
            refusal = Refusal.NO_ROOM if math.isinf(self.stop_end_s) else Refusal.STOPPING
            self.responder.refuse(request, refusal, now_s, **fields)

    def on_probe(self, request: ActiveRequest) -> None:
        """Record that the loads of replicas are queried for a waiting request."""
        if self.is_waiting(request):
            self._probes[lane_of(request)] = request.arrival.handle

    def on_selected(self, request: ActiveRequest, now_s: float) -> None:
        """Record that a request is about to be sent to a replica."""
        self.shares.on_sent(request.service, _customer_of(request), _tokens_of(request), now_s)
        item = self.queue.get(request.arrival.handle)
        if item is not None:
            waiting_count = self.queue.service_count(request.service)
            rate = self._rate_of(request.service)
            rate.on_queue_change(waiting_count, 1, now_s)
            rate.on_sent(item.rank, now_s)
            self._remove(item)
            # There may be more capacity.
            self._room_changed = True
            self.emit(IncrementCounter("waiting", "sent"))
            waited_ms = round((now_s - item.queued_at_s) * 1e3)
            expected_ms = round(item.expected_wait_s * 1e3)
            self.responder.log(
                "sent after waiting", request, now_s, waited_ms=waited_ms, expected_ms=expected_ms
            )
        self._log_return(request, "waited" if item is not None else "room", now_s)

    def on_removed(self, request: ActiveRequest) -> None:
        """Remove a request that has its final response, or whose caller disconnected."""
        if len(self.queue):
            item = self.queue.get(request.arrival.handle)
            if item is not None:
                self._remove(item)

    def on_caller_left(self, request: ActiveRequest) -> None:
        """Refund a waiting request whose caller disconnected, if it has not run."""
        if not self.is_waiting(request):
            return
        self.emit(IncrementCounter("waiting", "left"))
        if request.customer is not None and not request.may_have_run:
            self.responder.caps.spend(request.customer, -request.cost)

    def due(self, now_s: float) -> Iterator[ActiveRequest]:
        """Yield the waiting requests for which to look for capacity now, in order.

        Between two of them the caller tries to send the first one. In each lane the first request
        that finds no capacity ends the search, unless it may not use some replicas.
        """
        self._room_changed = False
        for lane in self.queue.lanes():
            if lane in self._probes or now_s < self._next_probe_s.get(lane, 0.0):
                continue
            passed_over_count = 0
            for item in self.queue.in_order(lane):
                request = item.request
                if self.queue.get(request.arrival.handle) is not item:
                    continue
                if self.crash_suspects.refusal_detail(request.arrival, now_s) is not None:
                    self.responder.refuse(request, Refusal.POISON, now_s)
                    continue
                yield request
                if self.queue.get(request.arrival.handle) is not item:
                    continue
                passed_over_count += 1
                if (
                    lane in self._probes
                    or not request.tried_ids
                    or passed_over_count >= PASSED_OVER_MAX_COUNT
                ):
                    break

    def on_tick(self, now_s: float) -> None:
        """Refuse the waiting requests that can no longer be in time."""
        for _ in range(self.returning.expire(now_s)):
            self.emit(IncrementCounter("returning", "absent"))
        if not len(self.queue):
            return
        self._room_changed = True
        for service in self._services():
            waiting_count = self.queue.service_count(service)
            self._rate_of(service).on_queue_change(waiting_count, 0, now_s)
        for item in self.queue:
            share_class = self._share_class(item.request, now_s)
            if item.share_class != share_class:
                item.share_class = share_class
                self.queue.reorder(item)
            if now_s >= item.keep_until_s:
                self._refuse_waiting(item, "expired", now_s)
            elif now_s >= item.latest_start_s and not item.is_late:
                item.is_late = True
                self.queue.reorder(item)

    def refuse_unlikely(self, now_s: float) -> None:
        """Refuse requests whose expected wait is far beyond their time, the least urgent first."""
        for service in self._services():
            per_s: dict[Rank, float] = {}
            lanes = [lane for lane in self.queue.lanes() if lane[0] == service]
            items = sorted(
                (item for lane in lanes for item in self.queue.in_order(lane)),
                key=lambda item: item.order,
            )
            blocked = self._blocked(items[0].request, now_s)
            for place in range(len(items), 0, -1):
                item = items[place - 1]
                end_s = item.keep_until_s if item.is_late else item.latest_start_s
                if item.rank not in per_s:
                    per_s[item.rank] = self._per_s(service, now_s, item.rank)
                wait_s = expected_wait_s(place, per_s[item.rank], blocked, now_s)
                if wait_s > EARLY_REFUSAL_FACTOR * (end_s - now_s) and place > 1:
                    self._refuse_waiting(item, "unlikely", now_s)

    def on_stop(self, end_s: float, now_s: float) -> None:
        """Let requests wait until this time at most, since the VM stops then."""
        self.stop_end_s = end_s
        for item in self.queue:
            item.keep_until_s = min(item.keep_until_s, end_s)
            if item.queued_at_s + item.expected_wait_s > end_s:
                self._refuse_waiting(item, "stopped", now_s)

    def refuse_all(self, now_s: float) -> None:
        """Refuse all waiting requests because the process must exit now."""
        for item in self.queue:
            self._refuse_waiting(item, "stopped", now_s)

    def retry_after_s(self, request: ActiveRequest, refusal: Refusal, now_s: float) -> float:
        """Return when a refused caller should come back, and remember what it is told."""
        longest_s = max(0.0, request.deadline_s - now_s) * RETRY_AFTER_SHARE
        if refusal is Refusal.STOPPING:
            return min(STOPPING_RETRY_AFTER_S, longest_s)
        self._log_return(request, "refused", now_s)
        wait_s = RETRY_AFTER_S * (0.5 + self.random_fraction())
        is_short = refusal is Refusal.NO_ROOM or (
            refusal is Refusal.REPLICA_REFUSED and self.queue.service_count(request.service) > 0
        )
        if not is_short:
            return min(wait_s, longest_s)
        expected_s = self._expected_return_s(request, longest_s, now_s)
        if expected_s is not None:
            early_share = SPREAD_SHARE * self.random_fraction()
            wait_s = max(RETRY_AFTER_MIN_S, expected_s * (1.0 - early_share))
        wait_s = min(wait_s, longest_s)
        promise = Promise(_clock_start_s(request), now_s, now_s + wait_s)
        self.returning.add(request.arrival.fingerprint, promise)
        return wait_s

    def _expected_return_s(
        self, request: ActiveRequest, longest_s: float, now_s: float
    ) -> float | None:
        """Return the time until capacity is expected for a refused caller; ``None`` if unknown."""
        item = self._make_item(request, now_s)
        item.is_returning, item.is_late = True, False
        order = item.order
        place = 1 + self.queue.ahead_count(request.service, order)
        per_s = self._per_s(request.service, now_s, item.rank)
        wait_s = expected_wait_s(place, per_s, self._blocked(request, now_s), now_s)
        if math.isinf(wait_s):
            return None
        if len(self._last_due_s) > SERVICES_MAX_COUNT:
            self._last_due_s.clear()
        key = (request.service, item.rank)
        after_last_s = self._last_due_s.get(key, -math.inf) + (1.0 / per_s if per_s else 0.0)
        due_s = min(now_s + longest_s, max(now_s + wait_s, after_last_s))
        self._last_due_s[key] = due_s
        return due_s - now_s

    def _make_item(self, request: ActiveRequest, now_s: float) -> Waiting:
        """Return a request as it would wait from now on, not in the queue yet."""
        answer_s = self._answer_s(request)
        route = request.route
        if request.headers_sent:
            in_time_s = now_s + (route.gap_objective_s or route.objective_s)
        else:
            in_time_s = _clock_start_s(request) + route.objective_s
        longest_s = request.deadline_s - answer_s
        latest_start_s = keep_until_s = min(in_time_s - answer_s, longest_s)
        is_returning = request.elapsed_s > 0.0
        if request.promise is not None or request.may_have_run:
            # It has no other chance after a refusal, and was promised capacity here or has run.
            late_s = now_s + RETRY_AFTER_SHARE * (request.deadline_s - now_s)
            keep_until_s = max(keep_until_s, min(late_s, longest_s))
        item = Waiting(
            request, latest_start_s, min(keep_until_s, self.stop_end_s),
            is_returning, now_s, 0.0, self._next_sequence,
        )  # fmt: skip
        item.is_late = now_s >= latest_start_s
        item.share_class = self._share_class(request, now_s)
        return item

    def _share_class(self, request: ActiveRequest, now_s: float) -> int:
        """Return the class of a request's customer by its usage against its share, 0 first."""
        if not self.shares_enabled or request.customer is None:
            return 0
        service = request.service
        at_s, classes = self._share_classes.get(service, (-math.inf, {}))
        if now_s - at_s >= SHARES_PERIOD_S:
            weights = {
                name: self.responder.caps.local_share(name, now_s)
                for name in self.shares.customers(service)
            }
            classes = self.shares.classes(service, weights, now_s)
            self._share_classes[service] = (now_s, classes)
        return classes.get(request.customer.name, 0)

    def _try_to_queue(self, request: ActiveRequest, now_s: float) -> bool:
        """Add a request to the queue if it is expected to be sent in time; return whether it is."""
        if self.queue.max_count <= 0:
            return False
        item = self._make_item(request, now_s)
        per_s = self._per_s(request.service, now_s, item.rank)
        blocked = self._blocked(request, now_s)
        fits = self._fits(item, per_s, blocked, now_s)
        if not fits and not item.is_late and item.keep_until_s > item.latest_start_s:
            item.is_late = True
            fits = self._fits(item, per_s, blocked, now_s)
        if not fits:
            return False
        if not request.may_have_run:
            # Nothing has run, so the replicas that did not take it may be tried again.
            request.tried_ids.clear()
        rate = self._rate_of(request.service)
        rate.on_queue_change(self.queue.service_count(request.service), 0, now_s)
        self._next_sequence += 1
        request.has_waited = True
        for displaced in self.queue.add(item):
            if displaced is item:
                self.emit(IncrementCounter("waiting", "full"))
                return False
            self._refuse_waiting(displaced, "displaced", now_s)
        self.emit(IncrementCounter("waiting", "queued"))
        return True

    def _fits(self, item: Waiting, per_s: float, blocked: Blocked | None, now_s: float) -> bool:
        place = 1 + self.queue.ahead_count(item.request.service, item.order)
        item.expected_wait_s = expected_wait_s(place, per_s, blocked, now_s)
        end_s = item.keep_until_s if item.is_late else min(item.latest_start_s, item.keep_until_s)
        wait_s = expected_wait_s(place, per_s, blocked, now_s, WAIT_DEVIATIONS)
        return wait_s <= end_s - now_s

    def _refuse_waiting(self, item: Waiting, cause: str, now_s: float) -> None:
        self.emit(IncrementCounter("waiting", cause))
        refusal = Refusal.NO_ROOM if math.isinf(self.stop_end_s) else Refusal.STOPPING
        waited_ms = round((now_s - item.queued_at_s) * 1e3)
        expected_ms = round(item.expected_wait_s * 1e3)
        self.responder.refuse(
            item.request, refusal, now_s, waited_ms=waited_ms, expected_ms=expected_ms, cause=cause
        )

    def _remove(self, item: Waiting) -> None:
        handle = item.request.arrival.handle
        self.queue.remove(handle)
        if self._probes.get(item.lane) == handle:
            del self._probes[item.lane]

    def _on_probe_failed(self, request: ActiveRequest, now_s: float) -> None:
        lane = lane_of(request)
        if self._probes.get(lane) == request.arrival.handle:
            del self._probes[lane]
            self._next_probe_s[lane] = now_s + PROBE_PERIOD_S

    def _log_return(self, request: ActiveRequest, found: str, now_s: float) -> None:
        promise = request.promise
        if promise is None or request.return_logged:
            return
        request.return_logged = True
        self.emit(IncrementCounter("returning", found))
        fields = (
            ("request_id", request.arrival.request_id),
            ("promised_ms", round((promise.due_at_s - promise.refused_at_s) * 1e3)),
            ("returned_ms", round((request.arrived_at_s - promise.refused_at_s) * 1e3)),
            ("found", found),
            ("waited_ms", round((now_s - request.arrived_at_s) * 1e3)),
        )
        self.emit(LogLine("refused caller came back", fields))

    def _services(self) -> list[str]:
        """Return the services for which requests wait, in a fixed order."""
        return sorted({service for service, _ in self.queue.lanes()})

    def _rate_of(self, service: str) -> RoomRate:
        rate = self._rates.get(service)
        if rate is None:
            if len(self._rates) >= SERVICES_MAX_COUNT:
                self._rates.clear()
            rate = self._rates[service] = RoomRate()
        return rate

    def _per_s(self, service: str, now_s: float, rank: Rank) -> float:
        running_count = self.pool.own_running().get(service, 0)
        return self._rate_of(service).per_s(running_count, now_s, rank)

    def _answer_s(self, request: ActiveRequest) -> float:
        """Return the expected time from sending a request to its response or first event."""
        measured_s = self._rate_of(request.service).answer_s(request.route.name)
        if measured_s is not None:
            return measured_s
        if request.route.kind is not RouteKind.STREAM:
            return PLAIN_RESPONSE_S
        return FIRST_EVENT_BASE_S + request.arrival.prompt_tokens * PREFILL_TOKEN_S

    def _blocked(self, request: ActiveRequest, now_s: float) -> Blocked | None:
        """Return the replicas with free slots that may be used from a known time on."""
        states = self.pool.usable(request.service)
        version = request.software_version
        if version is not None:
            states = [state for state in states if state.replica.software_version == version]
        kept = {state.replica.replica_id for state in not_ejected(states, now_s)}
        times = []
        for state in states:
            until_s = self._usable_at_s(state, state.replica.replica_id in kept, now_s)
            free_count = capacity_count(state) - state.running_count
            if until_s > now_s and free_count > 0:
                times.append((until_s, free_count if state.limit.per_s is None else 1))
        if not times:
            return None
        first_s = min(until_s for until_s, _ in times)
        return Blocked(
            first_s, sum(count for at_s, count in times if at_s <= first_s + SAME_TIME_S)
        )

    def _usable_at_s(self, state: ReplicaState, is_kept: bool, now_s: float) -> float:
        ejected_until_s = 0.0 if is_kept else state.ejected_until_s
        accepts_at_s = state.limit.next_accept_s(self.entry_vms, now_s)
        return max(state.backoff_until_s, ejected_until_s, accepts_at_s)


def _customer_of(request: ActiveRequest) -> str:
    return request.customer.name if request.customer is not None else ""


def _tokens_of(request: ActiveRequest) -> float:
    return float(max(1, request.arrival.prompt_tokens + request.arrival.output_tokens))


def _clock_start_s(request: ActiveRequest) -> float:
    """Return when the caller's first attempt arrived."""
    return request.arrived_at_s - request.elapsed_s
