"""The gateway state machine of one entry VM: takes events, returns actions."""

from __future__ import annotations

import random
import traceback
from statistics import median

from coriandershelf_core.internal.gateway.actions import (
    Action,
    CloseIdleConnections,
    IncrementCounter,
    LogLine,
    Refusal,
    RejectRequest,
    Stopped,
)
from coriandershelf_core.internal.gateway.admission_control import (
    STOPPING_RETRY_AFTER_S,
    AdmissionControl,
)
from coriandershelf_core.internal.gateway.arrival_rates import ArrivalRates
from coriandershelf_core.internal.gateway.attempts import Attempts
from coriandershelf_core.internal.gateway.awaited_origins import AwaitedOrigins
from coriandershelf_core.internal.gateway.clock_estimate import ClockEstimate
from coriandershelf_core.internal.gateway.configuration_fetches import ConfigurationFetches
from coriandershelf_core.internal.gateway.configuration_versions import ConfigurationVersions
from coriandershelf_core.internal.gateway.crash_suspects import CrashSuspects
from coriandershelf_core.internal.gateway.deployment import Customer, Deployment, Route
from coriandershelf_core.internal.gateway.digest import Digest, HolderInfo
from coriandershelf_core.internal.gateway.digest_exchange import DigestExchange, Identity, VmStatus
from coriandershelf_core.internal.gateway.entry_vms import EntryVms
from coriandershelf_core.internal.gateway.error_recovery import ErrorRecovery
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    AttemptFailed,
    CallerLeft,
    ConfigurationFetched,
    ConfigurationProved,
    DeploymentRead,
    DigestArrived,
    EntryVmsRead,
    Event,
    LivenessChecked,
    OriginMessageArrived,
    OriginsAppended,
    OriginsRead,
    RegistryProved,
    ReplicaProbed,
    ReplicasRead,
    RequestArrived,
    ResponseHeadRead,
    RolloutOrdered,
    RolloutStateRead,
    RoomMessageArrived,
    StartStated,
    StopAsked,
    StreamEnded,
    StreamOpened,
    StreamPaused,
    StreamRead,
    Tick,
    VersionsRecorded,
)
from coriandershelf_core.internal.gateway.load_queries import LoadQueries
from coriandershelf_core.internal.gateway.load_tracking import (
    AttemptUpdate,
    LoadMessage,
    LoadQuery,
    LoadReply,
)
from coriandershelf_core.internal.gateway.open_origins import OpenOrigins
from coriandershelf_core.internal.gateway.origin_batches import OriginBatches
from coriandershelf_core.internal.gateway.peers import Peers
from coriandershelf_core.internal.gateway.poison_parts import PoisonParts
from coriandershelf_core.internal.gateway.poison_requests import PoisonRequests
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.recorded_versions import RecordedVersions
from coriandershelf_core.internal.gateway.relay import Relay
from coriandershelf_core.internal.gateway.replica_paths import ReplicaPaths
from coriandershelf_core.internal.gateway.request import ActiveRequest, Arrival
from coriandershelf_core.internal.gateway.responder import RETRY_AFTER_SHARE, LogValue, Responder
from coriandershelf_core.internal.gateway.response_ends import ResponseEnds
from coriandershelf_core.internal.gateway.resumptions import Resumptions
from coriandershelf_core.internal.gateway.retry_allowance import RetryAllowance
from coriandershelf_core.internal.gateway.rollout import RolloutState
from coriandershelf_core.internal.gateway.rollout_traffic import Rollouts
from coriandershelf_core.internal.gateway.route_table import RouteTable, pick_service
from coriandershelf_core.internal.gateway.scaling import ServiceLoad
from coriandershelf_core.internal.gateway.selection import ReplicaSelector
from coriandershelf_core.internal.gateway.settings import RETRY_BUDGET_SHARE, GatewaySettings
from coriandershelf_core.internal.gateway.stream_origins import StreamOrigins
from coriandershelf_core.internal.gateway.usage_caps import UsageCaps
from coriandershelf_core.internal.gateway.usage_counts import UsageCounts

# Time-out if the caller states none; the route's time-out applies as well.
DEADLINE_DEFAULT_S = 60.0
REFUSED_RETRY_AFTER_S = 0.3
ERROR_MAX_CHARACTERS = 300
# After a stop request the load balancer may keep sending requests here for this long.
LOAD_BALANCER_LAG_S = 3.2
# Requests still in flight are aborted this long before the platform kills the process.
STOP_MARGIN_S = 0.5
# Old evidence and usage counts are removed at this period; nothing depends on the moment.
EXPIRY_PERIOD_S = 1.0
# New requests are refused from this long after a stop request: their streams would be cut off.
STOP_ADMISSION_AFTER_S = 3.0


class Gateway:
    """Makes every decision on proxied requests, without sockets, clocks or global random state.

    :param vm_id: this VM's name.
    :param address: where other VMs reach this one.
    :param clock_offset_s: wall-clock time minus monotonic time at the start.
    :param digest_port: where it receives digests; 0 if at ``address``, like other messages.
    """

    def __init__(
        self,
        vm_id: str,
        address: str,
        zone: str,
        incarnation: int,
        settings: GatewaySettings,
        rng: random.Random,
        clock_offset_s: float,
        digest_port: int = 0,
    ) -> None:
        self.vm_id = vm_id
        self.settings = settings
        self.deployment: Deployment | None = None
        self.pool = Pool()
        self.peers = Peers(vm_id)
        self.caps = UsageCaps()
        self.poison_requests = PoisonRequests()
        self.usage = UsageCounts(settings.usage_window_s)
        self.clock_estimate = ClockEstimate(clock_offset_s)
        self.own_lease: HolderInfo | None = None
        self.last_holder: HolderInfo | None = None
        self.lease_end = 0
        self.released_number = 0
        self.highest_number = 0
        self.reported_window = 0
        self.arrival_rates = ArrivalRates()
        self.stopping = False
        self._outbox: list[Action] = []
        self._routes = RouteTable(())
        self._registry_read = False
        self._registered_vms_count = 1
        self._stop_at_s = 0.0
        self._expired_at_s = float("-inf")
        self._stopped = False
        entry_vms = EntryVms(vm_id, (vm_id,))
        self.load_queries = LoadQueries(vm_id, address, incarnation, self.pool, self._outbox.append)
        emit = self._outbox.append
        self._versions = ConfigurationVersions(self.peers, emit)
        self._fetches = ConfigurationFetches(zone, self.peers, self._versions, rng, emit)
        poison_parts = PoisonParts(entry_vms)
        responder = Responder(self.caps, emit, self._count_started, self.arrival_rates.add_late)
        paths = ReplicaPaths(self.pool, entry_vms, rng, emit)
        self.rollouts = Rollouts(
            settings,
            self.pool,
            lambda: max(1 + self.peers.count, self._registered_vms_count),
            lambda: self.peers.longest_period_s,
            self.clock_estimate.time_of_day_s,
            emit,
        )
        self.crash_suspects = CrashSuspects(self.poison_requests, poison_parts, responder, emit)
        self._digest_exchange = DigestExchange(
            Identity(vm_id, address, zone, incarnation, digest_port),
            self.pool,
            self.peers,
            self.caps,
            self.poison_requests,
            poison_parts,
            paths,
            self.usage,
            self.arrival_rates,
            self.load_queries,
            entry_vms,
            self.rollouts,
            emit,
        )
        selector = ReplicaSelector(zone, rng, entry_vms)
        attempts = Attempts(selector, self.load_queries, paths, emit)
        self.admission = AdmissionControl(
            self.pool, entry_vms, responder, self.crash_suspects, emit, rng.random
        )
        responder.retry_after_s = self.admission.retry_after_s
        responder.on_removed = self.admission.on_removed
        attempts.on_end = self.admission.on_attempt_end
        open_origins = OpenOrigins(self.pool)
        origins = StreamOrigins(address, entry_vms, open_origins, emit)
        self.recorded_versions = RecordedVersions(
            self.pool, entry_vms, open_origins, emit, origins.read
        )
        self.relay = Relay(
            self.pool,
            selector,
            self.load_queries,
            attempts,
            responder,
            RetryAllowance(
                settings.retry_ratio * RETRY_BUDGET_SHARE,
                settings.retry_slack_count * RETRY_BUDGET_SHARE,
                settings.retry_window_s,
            ),
            self.crash_suspects,
            self.recorded_versions,
            paths,
            self.admission,
            self.rollouts,
            ResponseEnds(
                entry_vms,
                lambda *args: self.relay.on_end_confirmed(*args),
                lambda *args: self.relay.on_end_unconfirmed(*args),
                emit,
            ),
            Resumptions(
                self.pool,
                self.peers,
                responder,
                origins,
                OriginBatches(address, self.pool, entry_vms, emit),
                self.recorded_versions,
                open_origins,
                AwaitedOrigins(),
                lambda request, now_s: self.relay.send(request, now_s),
                lambda request, now_s: self.relay.send_again(request, now_s),
                emit,
            ),
            emit,
        )
        attempts.checks_liveness = self.relay.ends.are_expected
        self._error_recovery = ErrorRecovery(
            attempts, responder, self.admission, self.relay.recover, emit
        )

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        is_proved = self._versions.confirmed_at_s > float("-inf")
        return is_proved and self._registry_read and not self.stopping

    def step(self, event: Event, now_s: float, clock_s: float) -> list[Action]:
        """Apply one event and return the actions for the process.

        :param now_s: time of a monotonic clock that counts suspension.
        :param clock_s: wall-clock time, which may jump.
        """
        try:
            self._handle(event, now_s, clock_s)
            if self.admission.may_send:
                self.relay.send_waiting(now_s)
        except AssertionError:
            raise
        except Exception as error:
            self._on_error(event, error, now_s)
        actions = list(self._outbox)
        self._outbox.clear()
        return actions

    def _on_error(self, event: Event, error: Exception, now_s: float) -> None:
        """Log an error in the handling of an event, which costs its request at most an attempt."""
        frames = traceback.extract_tb(error.__traceback__)
        fields = (
            ("event_kind", type(event).__name__),
            ("error", repr(error)[:ERROR_MAX_CHARACTERS]),
            ("at", f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""),
        )
        self._outbox.append(LogLine("event not handled", fields))
        self._emit_count("errors", "event")
        self._error_recovery.on_error(event, now_s)

    @property
    def body_max_bytes(self) -> int:
        """Return the operator's limit on a body; 0 before the first configuration."""
        return 0 if self.deployment is None else self.deployment.body_max_bytes

    @property
    def knows_replicas(self) -> bool:
        """Return whether the registry of replicas was read."""
        return self._registry_read

    def configuration_age_s(self, now_s: float) -> float:
        """Return the time since the configuration was last known to be current."""
        return now_s - self._versions.confirmed_at_s

    def service_load(self, service: str, now_s: float) -> ServiceLoad:
        """Return the recent load of a service over all entry VMs."""
        live = [digest.vm_id for digest in self.peers.live_digests(now_s)]
        rates = self.arrival_rates.total(service, live, now_s, self.pool.own_running())
        states = self.pool.usable(service)
        known = [state.low_load_latency_ratio for state in states if state.low_load_samples_count]
        latency_ratio = median(known) if known else 1.0
        late_share = rates.late_tokens_per_s / rates.tokens_per_s if rates.tokens_per_s else 0.0
        return ServiceLoad(
            rates.tokens_per_s, rates.running_count, latency_ratio, min(1.0, late_share)
        )

    def propose_rollouts(self, fencing_number: int, now_s: float) -> list[RolloutState]:
        """Return the changes of roll-outs that this VM, as the lease holder, should write."""
        if not self._registry_read:
            return []
        return self.rollouts.propose(
            fencing_number,
            self.peers.live_digests(now_s),
            lambda service: self.service_load(service, now_s).running_count,
            now_s,
        )

    def _handle(self, event: Event, now_s: float, clock_s: float) -> None:
        match event:
            case StreamRead():
                self.relay.on_read(event, now_s)
            case RequestArrived(arrival):
                self._on_request(arrival, now_s)
            case ResponseHeadRead():
                self.relay.on_head(event, now_s)
            case StartStated():
                self.relay.on_start_stated(event, now_s)
            case AnswerRead():
                self.relay.on_response(event, now_s)
            case StreamOpened():
                self.relay.on_opened(event, now_s)
            case StreamPaused():
                self.relay.on_paused(event, now_s)
            case StreamEnded():
                self.relay.on_ended(event, now_s)
            case AttemptFailed():
                self.relay.on_failed(event, now_s)
            case ReplicaProbed():
                self.relay.on_probed(event, now_s)
            case LivenessChecked():
                self.relay.ends.on_checked(event, now_s)
            case CallerLeft(handle):
                self.relay.on_caller_left(handle, now_s)
            case DigestArrived(digest):
                self._on_digest(digest, now_s)
            case RoomMessageArrived(message):
                self._on_load_message(message, now_s)
            case OriginMessageArrived(message):
                self.relay.resumptions.on_message(message, now_s)
            case Tick():
                self._on_tick(now_s, clock_s)
            case DeploymentRead(deployment):
                self._on_deployment(deployment, now_s)
            case ConfigurationProved(at_s):
                self._versions.on_proved(at_s, now_s)
                self.rollouts.on_orders_proved(at_s, now_s)
            case ConfigurationFetched(vm_id, succeeded):
                self._fetches.on_fetched(vm_id, succeeded, now_s)
            case ReplicasRead():
                self._on_replicas(event, now_s)
            case RegistryProved(at_s, after_failure, in_order_since_s):
                heartbeat_s = self.settings.replica_heartbeat_s
                self.pool.on_registry_proved(at_s, after_failure, heartbeat_s, in_order_since_s)
            case OriginsRead():
                self.relay.resumptions.on_read(event, now_s)
            case OriginsAppended(stored):
                self.relay.resumptions.origin_batches.on_appended(stored)
            case VersionsRecorded():
                self.recorded_versions.on_recorded(event, now_s)
            case EntryVmsRead(addresses):
                self.peers.on_registered(addresses, now_s)
                self._registered_vms_count = len(addresses)
                self._update_entry_vms_count()
            case RolloutOrdered(order):
                self.rollouts.on_order(order, now_s)
            case RolloutStateRead(state, at_s):
                self.rollouts.on_state(state, at_s, now_s)
            case StopAsked():
                self._on_stop(now_s)

    def _on_request(self, arrival: Arrival, now_s: float) -> None:
        self._emit_count("requests")
        deployment = self.deployment
        if deployment is None or not self._registry_read:
            self._refuse(arrival, Refusal.NO_CONFIGURATION, REFUSED_RETRY_AFTER_S, now_s)
            return
        if arrival.header_bytes > deployment.header_max_bytes:
            detail = _too_large("header", arrival.header_bytes, deployment.header_max_bytes)
            self._refuse(arrival, Refusal.HEADER_TOO_LARGE, None, now_s, detail)
            return
        if arrival.body_bytes > deployment.body_max_bytes:
            detail = _too_large("body", arrival.body_bytes, deployment.body_max_bytes)
            self._refuse(arrival, Refusal.BODY_TOO_LARGE, None, now_s, detail)
            return
        if not arrival.body_kept:
            detail = "the body could not be held: come back"
            self._refuse(arrival, Refusal.NO_MEMORY, REFUSED_RETRY_AFTER_S, now_s, detail)
            return
        age_s = now_s - self._versions.confirmed_at_s
        route = self._routes.find(arrival.host, arrival.path)
        if route is None:
            self._deny(arrival, Refusal.NO_ROUTE, age_s, now_s)
            return
        customer = None
        if not route.public:
            customer = deployment.customer_of_key.get(arrival.key or "")
            if customer is None and deployment.customers:
                self._deny(arrival, Refusal.UNKNOWN_KEY, age_s, now_s)
                return
            if age_s > self.settings.keys_age_max_s and deployment.customers:
                self._refuse(arrival, Refusal.STALE_KEYS, REFUSED_RETRY_AFTER_S, now_s)
                return
        self._admit(arrival, route, customer, now_s)

    def _admit(
        self, arrival: Arrival, route: Route, customer: Customer | None, now_s: float
    ) -> None:
        request = _make_request(arrival, route, customer, now_s)
        detail = self.crash_suspects.refusal_detail(arrival, now_s)
        if detail is not None:
            self._refuse(arrival, Refusal.POISON, REFUSED_RETRY_AFTER_S, now_s, detail)
            return
        if self.stopping and now_s - self._stop_at_s > STOP_ADMISSION_AFTER_S:
            self._refuse(arrival, Refusal.STOPPING, STOPPING_RETRY_AFTER_S, now_s)
            return
        if customer is not None:
            wait_s = self.caps.wait_s(customer, request.cost, now_s, request.resumes_stream)
            if wait_s > 0.0:
                left = round(self.caps.level(customer))
                self._refuse(
                    arrival, Refusal.CAP, wait_s, now_s,
                    customer=customer.name, cost=request.cost, cap_left=left,
                )  # fmt: skip
                return
        self.arrival_rates.add_arrival(request.service, arrival.prompt_tokens, now_s)
        self.relay.begin(request, now_s)

    def _deny(self, arrival: Arrival, refusal: Refusal, age_s: float, now_s: float) -> None:
        """Reject a request that the configuration does not allow.

        If the configuration may be out of date, the request is rejected as not run.
        """
        is_outdated = self._versions.newest_of_peers(now_s) > self._versions.version
        if is_outdated or age_s > self.settings.denial_age_max_s:
            self._refuse(arrival, Refusal.NO_CONFIGURATION, REFUSED_RETRY_AFTER_S, now_s)
        else:
            self._refuse(arrival, refusal, None, now_s)

    def _refuse(
        self,
        arrival: Arrival,
        refusal: Refusal,
        retry_after_s: float | None,
        now_s: float,
        detail: str = "",
        **more: LogValue,
    ) -> None:
        """Reject a request that was not admitted.

        :param more: further fields of the log line.
        """
        if retry_after_s is not None and arrival.time_left_s is not None:
            retry_after_s = min(retry_after_s, arrival.time_left_s * RETRY_AFTER_SHARE)
        self._outbox.append(RejectRequest(arrival.handle, refusal, retry_after_s, detail))
        self._emit_count("refusals", refusal.value)
        fields = (
            ("request_id", arrival.request_id),
            ("resumes", arrival.resumes_id),
            ("reason", refusal.value),
            ("detail", detail or None),
            ("version", self.deployment.version if self.deployment is not None else None),
            (
                "configuration_age_ms",
                round(min(1e6, (now_s - self._versions.confirmed_at_s)) * 1e3),
            ),
        )
        self._outbox.append(LogLine("refused", fields + tuple(more.items())))

    def _on_deployment(self, deployment: Deployment, now_s: float) -> None:
        if self.deployment is not None and deployment.version <= self.deployment.version:
            return
        self._versions.on_version(deployment.version, now_s)
        self.deployment = deployment
        self.relay.deployment = deployment
        self._routes = RouteTable(deployment.routes)
        services = {
            backend.service
            for route in deployment.routes
            if route.resumable
            for backend in route.backends
        }
        self.recorded_versions.on_services(services, now_s)
        self.caps.adopt(deployment.customers, now_s)
        fields = (("version", deployment.version), ("routes", len(deployment.routes)))
        self._outbox.append(LogLine("configuration in force", fields))

    def _on_replicas(self, event: ReplicasRead, now_s: float) -> None:
        if not self._registry_read:
            self.relay.resumptions.origins.read(now_s)
        self._registry_read = True
        self.rollouts.on_replicas(event.replicas.values(), now_s)
        left = self.pool.apply(event.replicas, event.complete, event.after_outage, now_s)
        self._on_left(left)
        self.recorded_versions.on_replicas(now_s)
        self.admission.on_room_change()
        for name, replica in event.replicas.items():
            if replica is not None:
                fields = (
                    ("replica", name),
                    ("service", replica.service),
                    ("zone", replica.zone),
                    ("version", replica.software_version),
                    ("started_at_ms", replica.started_at_ms),
                    ("leaving", int(replica.leaving)),
                    ("reclaimable", int(replica.reclaimable)),
                )
                self._outbox.append(LogLine("replica registered", fields))

    def _on_left(self, left: list[ReplicaState]) -> None:
        for state in left:
            self._outbox.append(CloseIdleConnections(state.replica.address))
            fields = (("replica", state.replica.replica_id), ("in_flight", len(state.in_flight)))
            self._outbox.append(LogLine("replica gone from the registry", fields))

    def _on_digest(self, digest: Digest, now_s: float) -> None:
        if not self.peers.on_digest(digest, now_s):
            return
        self._versions.on_heard(digest.configuration_version, now_s)
        if digest.complete:
            self.caps.on_digest(digest, now_s)
            self.arrival_rates.on_digest(digest)
        else:
            self.caps.on_minimal_digest(digest, now_s)
        self.crash_suspects.on_digest(digest, now_s)
        self.usage.on_digest(digest)
        self.rollouts.on_digest(digest, now_s)
        if digest.holder is not None:
            self.last_holder = digest.holder
        for state in self.pool.on_left(digest.left):
            fields = (("replica", state.replica.replica_id), ("told_by", digest.vm_id))
            self._outbox.append(LogLine("replica leaves, as another VM read", fields))
        for state in self.pool.on_limits(digest.limits, now_s):
            self.relay.log_limit(state, digest.vm_id)
        self.clock_estimate.on_clock(digest.vm_id, digest.clock_s, now_s)

    def _on_load_message(self, message: LoadMessage, now_s: float) -> None:
        match message:
            case LoadQuery():
                self.load_queries.on_query(message, now_s)
            case LoadReply():
                self.relay.on_load_reply(message, now_s)
            case AttemptUpdate():
                self.load_queries.tracker.on_update(message, now_s)

    def _on_tick(self, now_s: float, clock_s: float) -> None:
        self._digest_exchange.merge_peer_digests(self.stopping, now_s)
        self.relay.on_tick(now_s)
        self.relay.paths.on_tick(now_s)
        self.caps.on_tick(now_s)
        self._fetches.on_tick(now_s)
        self.clock_estimate.update(clock_s, now_s)
        if now_s - self._expired_at_s >= EXPIRY_PERIOD_S:
            self._expired_at_s = now_s
            self.crash_suspects.on_tick(now_s)
            self.recorded_versions.on_tick(now_s)
            self.usage.expire(self.clock_estimate.time_of_day_s(now_s))
        self._on_left(self.pool.expire(now_s))
        vm_status = VmStatus(
            self.stopping,
            self._versions.version,
            self.own_lease,
            self.last_holder,
            self.lease_end,
            self.released_number,
            self.highest_number,
            self.reported_window,
        )
        self._digest_exchange.send(vm_status, now_s, clock_s)
        self._update_entry_vms_count()
        if self.stopping:
            self._try_to_stop(now_s)

    def _on_stop(self, now_s: float) -> None:
        if not self.stopping:
            self.stopping = True
            self._stop_at_s = now_s
            self.admission.on_stop(now_s + STOP_ADMISSION_AFTER_S, now_s)
            self._outbox.append(
                LogLine("stop asked", (("in_flight", len(self.relay.active_requests)),))
            )

    def _try_to_stop(self, now_s: float) -> None:
        stopping_s = now_s - self._stop_at_s
        if stopping_s >= self.settings.grace_s - STOP_MARGIN_S:
            self.relay.abort_all(now_s)
        if (
            not self._stopped
            and stopping_s >= LOAD_BALANCER_LAG_S
            and not self.relay.active_requests
        ):
            self._stopped = True
            self._outbox.append(Stopped())

    def _count_started(self, customer: str, at_s: float) -> None:
        self.usage.count_started(customer, self.clock_estimate.time_of_day_s(at_s))

    def _update_entry_vms_count(self) -> None:
        count = 1 + self.peers.count
        self.relay.entry_vms_count = self.caps.entry_vms_count = count
        self.caps.digest_period_s = self.peers.longest_period_s

    def _emit_count(self, name: str, label: str = "") -> None:
        self._outbox.append(IncrementCounter(name, label))


def _too_large(what: str, bytes_count: int, limit: int) -> str:
    return f"the {what} has {bytes_count} bytes, the limit is {limit}: send less"


def _make_request(
    arrival: Arrival, route: Route, customer: Customer | None, now_s: float
) -> ActiveRequest:
    left_s = arrival.time_left_s if arrival.time_left_s is not None else DEADLINE_DEFAULT_S
    cost = 1.0
    if customer is not None and customer.by_tokens:
        tokens = arrival.prompt_tokens + arrival.output_tokens
        cost = float(tokens or customer.default_tokens)
    return ActiveRequest(
        arrival,
        route,
        pick_service(route, arrival.request_id),
        customer,
        cost,
        now_s,
        now_s + min(left_s, route.timeout_s),
    )
