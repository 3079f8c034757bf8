"""The state machine of one entry VM, which turns events into actions."""

from __future__ import annotations

import random

from coriandershelf_core.internal.admission.admit import admit
from coriandershelf_core.internal.admission.authenticate import authenticate
from coriandershelf_core.internal.admission.classify import make_work, result_owner
from coriandershelf_core.internal.admission.stopping import (
    aborted_outcome,
    begin_stop,
    must_abort,
    must_refuse,
)
from coriandershelf_core.internal.claims.calls import NonIdempotentCalls
from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.configuration.configuration import (
    Configuration,
    ParseConfiguration,
)
from coriandershelf_core.internal.control.bought_vms import BoughtVms
from coriandershelf_core.internal.control.control import Control
from coriandershelf_core.internal.jobs.jobs import Jobs
from coriandershelf_core.internal.membership.fleet_view import FleetView
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.dispatcher import Dispatcher
from coriandershelf_core.internal.vocabulary.actions import (
    Action,
    SendPeerMessage,
    SendTokens,
    Stopped,
)
from coriandershelf_core.internal.vocabulary.context import Context, VmIdentity
from coriandershelf_core.internal.vocabulary.events import (
    AppendAnswered,
    AppendFailed,
    AttemptFailed,
    AttemptOpened,
    AttemptPaused,
    AttemptResumed,
    CallerGone,
    Event,
    JobRead,
    LoadReported,
    LogRead,
    NoticesRefreshed,
    OffersRead,
    OrderAnswered,
    OrderFailed,
    PeerMessageArrived,
    PlainAnswered,
    ReclaimNotice,
    RequestArrived,
    SeedsGiven,
    StartAnswered,
    StopAnswered,
    StopAsked,
    StreamEnded,
    Tick,
    TicketsAsked,
    TokensArrived,
    VmListRead,
)
from coriandershelf_core.internal.vocabulary.inventory import Inventory
from coriandershelf_core.internal.vocabulary.messages import (
    ConfigurationQuery,
    ConfigurationReply,
    CrashSeen,
    InFlightDigest,
    LengthObserved,
    Message,
    ReplicaVerdict,
    SuspectVerdict,
    TrialStarted,
)
from coriandershelf_core.internal.vocabulary.outcome import NotRun, Outcome
from coriandershelf_core.internal.vocabulary.reasons import Counter, RefusalReason
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    CONTROL_STREAM,
    ConfigurationSnapshot,
    Entry,
    JobAccepted,
    JobFinished,
    JobMoved,
    JobSnapshot,
)
from coriandershelf_core.internal.vocabulary.request import Request
from coriandershelf_core.internal.vocabulary.settings import CoreSettings
from coriandershelf_core.internal.vocabulary.work import WorkItem, WorkOwner


class EntryCore:
    """Makes all decisions of one entry VM, without sockets, a clock or global random numbers.

    :param identity: identity of this VM.
    :param settings: limits and periods.
    :param rng: the only source of random numbers.
    :param parse: pure function that parses a configuration's texts.
    :param disabled: mechanisms switched off by a test; empty in production.
    """

    def __init__(
        self,
        identity: VmIdentity,
        settings: CoreSettings,
        rng: random.Random,
        parse: ParseConfiguration,
        disabled: frozenset[str] = frozenset(),
    ) -> None:
        self.context = Context(identity, settings, rng, disabled)
        self.log_appender = LogAppender(self.context)
        self.membership = Membership(self.context)
        self.configuration = Configuration(
            self.context,
            parse,
            self._apply_inventory,
            self._append_snapshot,
            self._send_configuration_query,
        )
        self.dispatcher = Dispatcher(self.context, self._deliver, self._finish, self._broadcast)
        self.fleet = FleetView(
            self.context,
            self.membership,
            self.dispatcher,
            self._send_message,
            self.configuration.on_peer_version,
        )
        self.calls = NonIdempotentCalls(
            self.context,
            self.log_appender,
            self.membership,
            self.dispatcher.enqueue,
            self._send_message,
            self._broadcast,
        )
        self.jobs = Jobs(
            self.context,
            self.log_appender,
            self.membership,
            self.dispatcher.enqueue,
            self.dispatcher.cancel,
            self._send_message,
        )
        self.bought_vms = BoughtVms(self.context, self.membership, self.dispatcher)
        self.control = Control(
            self.context,
            self.log_appender,
            self.bought_vms.service_demands,
            self.bought_vms.vm_serves,
        )
        self._stopped = False

    def step(self, event: Event, now_s: float) -> list[Action]:
        """Apply one event and return the actions that the process must perform.

        :param now_s: current time in seconds; it never decreases.
        :raises AssertionError: if an invariant is violated; the process must then exit.
        """
        self.fleet.on_step(now_s)
        self._handle(event, now_s)
        actions = self.context.outbox
        self.context.outbox = []
        return actions

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this VM."""
        return self.context.inventory is not None and not self.context.stopping

    def _handle(self, event: Event, now_s: float) -> None:
        match event:
            case TokensArrived():
                self.dispatcher.on_tokens(event, now_s)
            case Tick():
                self._on_tick(now_s)
            case RequestArrived(request):
                self._on_request(request, now_s)
            case CallerGone(request_id):
                self._on_caller_gone(request_id)
            case AttemptOpened():
                self.dispatcher.on_opened(event, now_s)
            case StreamEnded():
                self.dispatcher.on_stream_ended(event, now_s)
            case AttemptPaused(attempt_id):
                self.dispatcher.on_paused(attempt_id, True, now_s)
            case AttemptResumed(attempt_id):
                self.dispatcher.on_paused(attempt_id, False, now_s)
            case PlainAnswered():
                self.dispatcher.on_plain_answered(event, now_s)
            case AttemptFailed():
                self.dispatcher.on_failed(event, now_s)
            case JobRead():
                self._on_job_read(event, now_s)
            case TicketsAsked():
                self.calls.request_tickets(event, now_s)
            case LogRead():
                self._on_log_read(event, now_s)
            case AppendAnswered(append_id):
                self.log_appender.on_acknowledged(append_id, now_s)
            case AppendFailed(append_id, uncertain):
                self.log_appender.on_failed(append_id, uncertain, now_s)
            case PeerMessageArrived(sender, message):
                self._on_peer_message(sender, message, now_s)
            case SeedsGiven(addresses):
                self.fleet.gossip.on_seeds(addresses)
            case VmListRead(vms):
                self.fleet.on_vm_list(vms, now_s)
                self.context.entry_count = 1 + len(self.membership.peers(self.context.identity))
                self._apply_bought_vms()
            case ReclaimNotice(vm_id, at_s):
                self.fleet.on_notices([(vm_id, at_s)], now_s)
            case NoticesRefreshed(requested_at_s):
                self.fleet.on_refreshed(requested_at_s, now_s)
            case LoadReported():
                self.fleet.on_load(event)
            case OrderAnswered() | OrderFailed() | StartAnswered() | StopAnswered() | OffersRead():
                self.control.handle(event, now_s)
            case StopAsked(deadline_s, urgent):
                begin_stop(self.context, deadline_s, urgent, now_s)

    def _on_request(self, request: Request, now_s: float) -> None:
        self.context.count(Counter.REQUESTS)
        self.context.trace(request.request_id, now_s, "arrived", request.kind.value)
        customer = authenticate(self.context.inventory, request.credential_hash)
        if isinstance(customer, NotRun):
            self.calls.refuse(request, customer, now_s)
            return
        inventory = self.context.inventory
        assert inventory is not None, "request authenticated without a configuration"
        if self.calls.answer_repeat(request, customer, inventory, now_s):
            return
        stopping = must_refuse(self.context, request, inventory.rules, now_s)
        refusal = admit(request, inventory, stopping, now_s)
        if refusal is not None:
            self.calls.refuse(request, refusal, now_s)
            return
        owner = result_owner(request, inventory)
        if owner is WorkOwner.CLAIM and request.idempotency_key is None:
            outcome = NotRun(RefusalReason.KEY_MISSING)
            self.context.finish_request(request.request_id, outcome, now_s)
            return
        work = make_work(request, customer, inventory, owner, now_s, self.dispatcher.lengths)
        refusal = self.dispatcher.check_admission(work, now_s)
        if refusal is not None:
            self.calls.refuse(request, refusal, now_s)
        elif owner is WorkOwner.JOB:
            self.jobs.submit(work, now_s)
        elif owner is WorkOwner.CALLER:
            self.dispatcher.enqueue(work, now_s)
        else:
            self.calls.submit(work, now_s)

    def _on_caller_gone(self, request_id: str) -> None:
        work = self.dispatcher.work_items.get(request_id)
        if work is not None and work.owner is WorkOwner.CALLER:
            self.context.count(Counter.CALLER_GONE)
            self.dispatcher.cancel(request_id)

    def _on_job_read(self, event: JobRead, now_s: float) -> None:
        customer = authenticate(self.context.inventory, event.credential_hash)
        if isinstance(customer, NotRun):
            self.context.finish_request(event.request_id, customer, now_s)
            return
        self.jobs.read(event.request_id, customer.name, event.job_id, event.position, now_s)

    def _on_log_read(self, event: LogRead, now_s: float) -> None:
        has_gap = self.log_appender.on_read(event)
        if event.stream == CONFIGURATION_STREAM:
            for record in event.records:
                self.log_appender.on_record(event.stream, record, now_s)
            self.configuration.on_log_read(event, now_s)
            return
        if event.stream == CONTROL_STREAM:
            self.control.on_log_read(event, now_s)
            return
        self.calls.on_read(event, has_gap)
        for record in event.records:
            is_new = self.log_appender.on_record(event.stream, record, now_s)
            self.calls.on_record(record)
            for entry in record.entries:
                # Claims and tickets also apply duplicate records, which is safe; see claim_table.
                if not self.calls.on_entry(entry, record, now_s) and is_new:
                    self._on_entry(entry, now_s)
        self.log_appender.on_read_applied(event, now_s)

    def _on_entry(self, entry: Entry, now_s: float) -> None:
        match entry:
            case JobAccepted():
                self.jobs.on_accepted(entry, now_s)
            case JobMoved():
                self.jobs.on_moved(entry, now_s)
            case JobFinished():
                self.jobs.on_finished(entry)
            case JobSnapshot():
                self.jobs.on_snapshot(entry, now_s)

    def _append_snapshot(self, snapshot: ConfigurationSnapshot, now_s: float) -> None:
        self.log_appender.add(CONFIGURATION_STREAM, snapshot, now_s)

    def _apply_bought_vms(self) -> None:
        """Update the replicas if the bought VMs in the platform's list have changed."""
        inventory = self.bought_vms.changed_inventory()
        if inventory is not None:
            self.context.inventory = inventory
            self.dispatcher.replicas.apply_inventory(inventory)

    def _apply_inventory(self, inventory: Inventory, now_s: float) -> None:
        inventory = self.bought_vms.with_bought(inventory)
        self.context.inventory = inventory
        self.dispatcher.replicas.apply_inventory(inventory)
        self.fleet.mark_replicas()
        self.context.log("configuration in force", version=inventory.version)
        self.dispatcher.dispatch_waiting(now_s)

    def _on_peer_message(self, sender: str, message: Message, now_s: float) -> None:
        self.jobs.on_message(sender, message, now_s)
        self.calls.on_message(sender, message, now_s)
        self.fleet.on_message(sender, message, now_s)
        match message:
            case InFlightDigest():
                self.dispatcher.on_digest(message, now_s)
            case LengthObserved():
                self.dispatcher.lengths.learn(message)
            case ReplicaVerdict(replica_id, in_order):
                self.dispatcher.stall_detector.on_verdict(replica_id, in_order, now_s)
            case ConfigurationQuery():
                self._answer_configuration_query(sender, message)
            case ConfigurationReply():
                self.configuration.on_reply(message, now_s)
            case CrashSeen() | TrialStarted() | SuspectVerdict():
                self.dispatcher.quarantine.on_message(message, now_s)
            case _:
                pass

    def _send_configuration_query(self, vm_id: str, query: ConfigurationQuery) -> bool:
        return self._send_message(vm_id, query)

    def _answer_configuration_query(self, sender: str, query: ConfigurationQuery) -> None:
        reply = self.configuration.answer_query(query)
        if reply is not None:
            self.context.count(Counter.PEER_MESSAGES)
            self.context.emit(SendPeerMessage(sender, query.reply_address, reply))

    def _broadcast(self, message: Message) -> None:
        for peer in self.membership.peers(self.context.identity):
            self._send_message(peer.vm_id, message)

    def _send_message(self, vm_id: str, message: Message) -> bool:
        address = self.membership.address_of(vm_id)
        if address is None:
            return False
        self.context.count(Counter.PEER_MESSAGES)
        self.context.emit(SendPeerMessage(vm_id, address, message))
        return True

    def _on_tick(self, now_s: float) -> None:
        self.log_appender.on_tick(now_s)
        self.calls.on_tick(now_s)
        self.jobs.on_tick(now_s)
        self.dispatcher.on_tick(now_s)
        self.control.on_tick(now_s)
        self.configuration.on_tick(now_s)
        self.fleet.on_tick(self.configuration.version, now_s)
        for message in self.dispatcher.due_messages(now_s):
            for peer in self.membership.peers(self.context.identity):
                self._send_message(peer.vm_id, message)
        if self.context.stopping:
            self._try_to_stop(now_s)

    def _try_to_stop(self, now_s: float) -> None:
        if must_abort(self.context, now_s):
            self._abort_in_flight(now_s)
        components = (self.calls, self.jobs, self.log_appender)
        idle = all(component.idle for component in components) and not self.dispatcher.work_items
        idle = idle or not self.context.is_enabled("finish-in-flight")
        drained = idle and now_s >= self.context.refuse_from_s
        if not self._stopped and (drained or now_s >= self.context.stop_deadline_s):
            self._stopped = True
            self.context.emit(Stopped())

    def _abort_in_flight(self, now_s: float) -> None:
        """Abort requests in flight and answer their callers before the VM is reclaimed."""
        self.calls.abort_pending(now_s)
        for work in list(self.dispatcher.work_items.values()):
            if work.owner is not WorkOwner.JOB:
                self.dispatcher.cancel(work.work_id)
                self.context.count(Counter.STOP_CUT)
                self._finish(work, aborted_outcome(work), now_s)

    def _deliver(self, work: WorkItem, payloads: tuple[bytes, ...], now_s: float) -> None:
        if work.owner is WorkOwner.JOB:
            self.jobs.deliver(work, payloads)
            return
        self.context.count(Counter.TOKENS_RELAYED, len(payloads))
        self.context.emit(SendTokens(work.work_id, payloads))

    def _finish(self, work: WorkItem, outcome: Outcome, now_s: float) -> None:
        if work.owner is WorkOwner.JOB:
            self.jobs.finish(work, outcome, now_s)
        elif work.owner in (WorkOwner.CLAIM, WorkOwner.TICKET):
            self.calls.finish(work, outcome, now_s)
        else:
            self.context.finish_request(work.work_id, outcome, now_s)
