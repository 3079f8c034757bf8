"""The state machine of one entry VM, which turns events into actions."""

from __future__ import annotations

import random

from coriandershelf_core.internal.admission.admit import admit
from coriandershelf_core.internal.admission.authenticate import authenticate
from coriandershelf_core.internal.admission.classify import make_work, owner_of
from coriandershelf_core.internal.admission.stopping import (
    begin_stop,
    cut_outcome,
    must_cut,
    refuses,
)
from coriandershelf_core.internal.claims.calls import Calls
from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.configuration.configuration import (
    Configuration,
    ParseConfiguration,
)
from coriandershelf_core.internal.control.bought import BoughtVms
from coriandershelf_core.internal.control.control import Control
from coriandershelf_core.internal.jobs.jobs import Jobs
from coriandershelf_core.internal.membership.fleet_view import FleetView
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.serving import Serving
from coriandershelf_core.internal.vocabulary.actions import Action, SendTokens, Stopped, TellPeer
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
from coriandershelf_core.internal.vocabulary.work import Work, WorkOwner


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
        self.ledger = Ledger(self.context)
        self.membership = Membership(self.context)
        self.configuration = Configuration(
            self.context,
            parse,
            self._apply_inventory,
            self._append_snapshot,
            self._send_configuration_query,
        )
        self.serving = Serving(self.context, self._deliver, self._finish, self._broadcast)
        self.fleet = FleetView(
            self.context,
            self.membership,
            self.serving,
            self._send_message,
            self.configuration.on_peer_version,
        )
        self.calls = Calls(
            self.context, self.ledger, self.membership, self.serving.enqueue, self._send_message
        )
        self.jobs = Jobs(
            self.context,
            self.ledger,
            self.membership,
            self.serving.enqueue,
            self.serving.cancel,
            self._send_message,
        )
        self.bought = BoughtVms(self.context, self.membership, self.serving)
        self.control = Control(self.context, self.ledger, self.bought.needs, self.bought.vm_serves)
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
                self.serving.on_tokens(event, now_s)
            case Tick():
                self._on_tick(now_s)
            case RequestArrived(request):
                self._on_request(request, now_s)
            case CallerGone(request_id):
                self._on_caller_gone(request_id)
            case AttemptOpened():
                self.serving.on_opened(event, now_s)
            case StreamEnded():
                self.serving.on_stream_ended(event, now_s)
            case AttemptPaused(attempt_id):
                self.serving.on_paused(attempt_id, True, now_s)
            case AttemptResumed(attempt_id):
                self.serving.on_paused(attempt_id, False, now_s)
            case PlainAnswered():
                self.serving.on_plain_answered(event, now_s)
            case AttemptFailed():
                self.serving.on_failed(event, now_s)
            case JobRead():
                self._on_job_read(event, now_s)
            case TicketsAsked():
                self.calls.ask_tickets(event, now_s)
            case LogRead():
                self._on_log_read(event, now_s)
            case AppendAnswered(append_id):
                self.ledger.on_answered(append_id, now_s)
            case AppendFailed(append_id, uncertain):
                self.ledger.on_failed(append_id, uncertain, now_s)
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
            case NoticesRefreshed(asked_at_s):
                self.fleet.on_refreshed(asked_at_s, now_s)
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
        if self.calls.answer_known(request, customer, inventory, now_s):
            return
        stopping = refuses(self.context, request, inventory.rules, now_s)
        refusal = admit(request, inventory, stopping, now_s)
        if refusal is not None:
            self.calls.refuse(request, refusal, now_s)
            return
        owner = owner_of(request, inventory)
        if owner is WorkOwner.CLAIM and request.idempotency_key is None:
            outcome = NotRun(RefusalReason.KEY_MISSING)
            self.context.finish(request.request_id, outcome, now_s)
            return
        work = make_work(request, customer, inventory, owner, now_s, self.serving.lengths)
        refusal = self.serving.refusal_of(work, now_s)
        if refusal is not None:
            self.calls.refuse(request, refusal, now_s)
        elif owner is WorkOwner.JOB:
            self.jobs.request(work, now_s)
        elif owner is WorkOwner.CALLER:
            self.serving.enqueue(work, now_s)
        else:
            self.calls.request(work, now_s)

    def _on_caller_gone(self, request_id: str) -> None:
        work = self.serving.works.get(request_id)
        if work is not None and work.owner is WorkOwner.CALLER:
            self.context.count(Counter.CALLER_GONE)
            self.serving.cancel(request_id)

    def _on_job_read(self, event: JobRead, now_s: float) -> None:
        customer = authenticate(self.context.inventory, event.credential_hash)
        if isinstance(customer, NotRun):
            self.context.finish(event.request_id, customer, now_s)
            return
        self.jobs.read(event.request_id, customer.name, event.job_id, event.position, now_s)

    def _on_log_read(self, event: LogRead, now_s: float) -> None:
        has_gap = self.ledger.on_read(event)
        if event.stream == CONFIGURATION_STREAM:
            for record in event.records:
                self.ledger.on_record(event.stream, record, now_s)
            self.configuration.on_log_read(event, now_s)
            return
        if event.stream == CONTROL_STREAM:
            self.control.on_log_read(event, now_s)
            return
        self.calls.on_read(event, has_gap)
        for record in event.records:
            is_new = self.ledger.on_record(event.stream, record, now_s)
            self.calls.on_record(record)
            for entry in record.entries:
                # Claims and tickets also apply duplicate records, which is safe; see claim_table.
                if not self.calls.on_entry(entry, record, now_s) and is_new:
                    self._on_entry(entry, now_s)
        self.ledger.on_read_applied(event, now_s)

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
        self.ledger.add(CONFIGURATION_STREAM, snapshot, now_s)

    def _apply_bought_vms(self) -> None:
        """Update the routed replicas to the bought VMs in the platform's list."""
        inventory = self.bought.changed_inventory()
        if inventory is not None:
            self.context.inventory = inventory
            self.serving.replicas.adopt(inventory)

    def _apply_inventory(self, inventory: Inventory, now_s: float) -> None:
        inventory = self.bought.with_bought(inventory)
        self.context.inventory = inventory
        self.serving.replicas.adopt(inventory)
        self.fleet.mark_replicas()
        self.context.log("configuration in force", version=inventory.version)
        self.serving.pump(now_s)

    def _on_peer_message(self, sender: str, message: Message, now_s: float) -> None:
        self.jobs.on_message(sender, message, now_s)
        self.calls.on_message(sender, message, now_s)
        self.fleet.on_message(sender, message, now_s)
        match message:
            case InFlightDigest():
                self.serving.on_digest(message, now_s)
            case LengthObserved():
                self.serving.lengths.learn(message)
            case ReplicaVerdict(replica_id, in_order):
                self.serving.stalls.on_verdict(replica_id, in_order, now_s)
            case ConfigurationQuery():
                self._answer_configuration_query(sender, message)
            case ConfigurationReply():
                self.configuration.on_reply(message, now_s)
            case CrashSeen() | TrialStarted() | SuspectVerdict():
                self.serving.quarantine.on_message(message, now_s)
            case _:
                pass

    def _send_configuration_query(self, vm_id: str, query: ConfigurationQuery) -> bool:
        return self._send_message(vm_id, query)

    def _answer_configuration_query(self, sender: str, query: ConfigurationQuery) -> None:
        reply = self.configuration.answer_query(query)
        if reply is not None:
            self.context.count(Counter.PEER_MESSAGES)
            self.context.emit(TellPeer(sender, query.reply_address, reply))

    def _broadcast(self, message: Message) -> None:
        for peer in self.membership.peers(self.context.identity):
            self._send_message(peer.vm_id, message)

    def _send_message(self, vm_id: str, message: Message) -> bool:
        address = self.membership.address_of(vm_id)
        if address is None:
            return False
        self.context.count(Counter.PEER_MESSAGES)
        self.context.emit(TellPeer(vm_id, address, message))
        return True

    def _on_tick(self, now_s: float) -> None:
        self.ledger.on_tick(now_s)
        self.calls.on_tick(now_s)
        self.jobs.on_tick(now_s)
        self.serving.on_tick(now_s)
        self.control.on_tick(now_s)
        self.configuration.on_tick(now_s)
        self.fleet.on_tick(self.configuration.version, now_s)
        for message in self.serving.due_messages(now_s):
            for peer in self.membership.peers(self.context.identity):
                self._send_message(peer.vm_id, message)
        if self.context.stopping:
            self._try_to_stop(now_s)

    def _try_to_stop(self, now_s: float) -> None:
        if must_cut(self.context, now_s):
            self._abort_in_flight(now_s)
        components = (self.calls, self.jobs, self.ledger)
        idle = all(component.idle for component in components) and not self.serving.works
        idle = idle or not self.context.enabled("finish-in-flight")
        drained = idle and now_s >= self.context.refuse_at_s
        if not self._stopped and (drained or now_s >= self.context.stop_deadline_s):
            self._stopped = True
            self.context.emit(Stopped())

    def _abort_in_flight(self, now_s: float) -> None:
        """Abort requests in flight and answer their callers before the VM is reclaimed."""
        self.calls.cut_rest(now_s)
        for work in list(self.serving.works.values()):
            if work.owner is not WorkOwner.JOB:
                self.serving.cancel(work.work_id)
                self.context.count(Counter.STOP_CUT)
                self._finish(work, cut_outcome(work), now_s)

    def _deliver(self, work: Work, payloads: tuple[bytes, ...], now_s: float) -> None:
        if work.owner is WorkOwner.JOB:
            self.jobs.deliver(work, payloads)
            return
        self.context.count(Counter.TOKENS_RELAYED, len(payloads))
        self.context.emit(SendTokens(work.work_id, payloads))

    def _finish(self, work: Work, outcome: Outcome, now_s: float) -> None:
        if work.owner is WorkOwner.JOB:
            self.jobs.finish(work, outcome, now_s)
        elif work.owner in (WorkOwner.CLAIM, WorkOwner.TICKET):
            self.calls.finish(work, outcome, now_s)
        else:
            self.context.finish(work.work_id, outcome, now_s)
