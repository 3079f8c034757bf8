"""A small deployment in virtual time with fault injection at every interface."""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass

from coriandershelf_core import CoreSettings, Done
from coriandershelf_core.internal.vocabulary.actions import (
    Action,
    Append,
    CancelAttempt,
    SendOutcome,
    SendPeerMessage,
    StartAttempt,
)
from coriandershelf_core.internal.vocabulary.events import (
    AppendAnswered,
    AppendFailed,
    AttemptFailed,
    Event,
    FailureCause,
    LogRead,
    PeerMessageArrived,
    PlainAnswered,
    StopAsked,
    Tick,
    TicketsAsked,
    VmListRead,
    VmState,
)
from coriandershelf_core.internal.vocabulary.messages import TicketCall, TicketResult
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    LEDGER_STREAM,
    Record,
)
from coriandershelf_rig.internal.bench import (
    APPEND_TIMEOUT_S,
    LOG_LATENCY_S,
    LOG_READ_MAX_COUNT,
    Bench,
    BenchEntry,
    BenchUpstream,
    Call,
)
from coriandershelf_rig.internal.bench_upstreams import PLAIN_DURATION_S
from coriandershelf_rig.internal.deployments import key_hash
from coriandershelf_rig.internal.log_model import AppendOutcome
from coriandershelf_rig.internal.soak_plan import (
    TICKET_PREFIX,
    TICKET_STRIDE,
    TICKETS_PER_REQUEST,
    VM_COUNT,
    BadAppends,
    BadPeers,
    BadUpstreams,
    Book,
    Cut,
    Kill,
    KillUpstream,
    LogOutage,
    Operation,
    Pause,
    Stop,
    TakeTickets,
    entry_name,
    upstream_name,
)
from coriandershelf_rig.internal.soak_site import CUSTOMER, PATH, SOAK_SETTINGS, soak_deployment

LATE_APPEND_MAX_S = 12.0
LATE_ATTEMPT_MAX_S = 12.0
LATE_MESSAGE_MAX_S = 5.0
READ_PERIOD_S = 0.03


@dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a call by the plain service; the checks of an episode rely on these."""

    at_s: float
    request_id: str
    body: bytes


def _counts_as_step(event: Event) -> bool:
    """Return whether an event counts as a step.

    Ticks, VM lists, empty log reads, failed connects and peer messages other than ticket calls
    and results don't count.
    """
    if isinstance(event, LogRead):
        return bool(event.records)
    if isinstance(event, AttemptFailed):
        return event.cause is not FailureCause.CONNECT
    if isinstance(event, PeerMessageArrived):
        return isinstance(event.message, TicketCall | TicketResult)
    return not isinstance(event, Tick | VmListRead)


class SoakBench(Bench):
    """A bench that performs the operations of a soak episode.

    :param seed: of all random numbers except those of the plan.
    """

    def __init__(
        self,
        seed: int,
        disabled: frozenset[str] = frozenset(),
        settings: CoreSettings = SOAK_SETTINGS,
    ) -> None:
        self.faults_rng = random.Random(seed)
        self.executions: list[Execution] = []
        self.steps: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.bad_append_share = 0.0
        self.bad_upstream_share = 0.0
        self.bad_peer_share = 0.0
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._outage_count = 0
        self._cancelled: set[str] = set()
        self._tickets_by_name: dict[str, str] = {}
        self.tickets: list[str] = []
        super().__init__(soak_deployment(), seed, settings, disabled)
        self.log.retention_s = settings.log_retention_s
        self.is_cut = lambda source, target: self._cuts[source, target] > 0

    def apply(self, operation: Operation) -> None:
        """Perform one operation at the current time."""
        match operation:
            case Book():
                self.book(operation)
            case TakeTickets(_, vm, count):
                self.take_tickets(vm, count)
            case Pause(_, vm, duration_s):
                self._pause(entry_name(vm), duration_s)
            case Kill(_, vm, restart_after_s, reuse):
                self._kill(entry_name(vm), restart_after_s, reuse)
            case Stop(_, vm, restart_after_s):
                self._stop(entry_name(vm), restart_after_s)
            case Cut(_, source, target, both_ways, duration_s):
                self._cut_link(source, target, duration_s)
                if both_ways:
                    self._cut_link(target, source, duration_s)
            case LogOutage(_, duration_s):
                self._outage_count += 1
                self.log.down = True
                self.at(duration_s, self._end_outage)
            case BadAppends(_, share, duration_s):
                self.bad_append_share = share
                self.at(duration_s, lambda: setattr(self, "bad_append_share", 0.0))
            case BadUpstreams(_, share, duration_s):
                self.bad_upstream_share = share
                self.at(duration_s, lambda: setattr(self, "bad_upstream_share", 0.0))
            case BadPeers(_, share, duration_s):
                self.bad_peer_share = share
                self.at(duration_s, lambda: setattr(self, "bad_peer_share", 0.0))
            case KillUpstream(_, upstream, restart_after_s):
                name = upstream_name(upstream)
                self.kill_upstream(name)
                self.at(restart_after_s, lambda: self.restart_upstream(name))
        if not isinstance(operation, Book | TakeTickets):
            self.faults[type(operation).__name__] += 1

    def book(self, booking: Book) -> Call | None:
        """Send a booking to an entry VM, or to the next one that is alive; ``None`` if none is."""
        for offset in range(VM_COUNT):
            vm_id = entry_name((booking.vm + offset) % VM_COUNT)
            if self.entries[vm_id].alive:
                key = self.resolve_key(booking.key)
                body = f"{key}/{booking.variant}".encode()
                request = self.plain_call(CUSTOMER, PATH, body, key, booking.deadline_s)
                return self.send(vm_id, request)
        return None

    def take_tickets(self, vm: int, count: int) -> None:
        """Request tickets from an entry VM."""
        self._sequence += 1
        request_id = f"t{self._sequence}"
        credential_hash = key_hash(f"{CUSTOMER}-demo-key")
        self.feed(entry_name(vm), TicketsAsked(request_id, credential_hash, count))

    def resolve_key(self, name: str) -> str:
        """Return a booking's key, with a ticket in place of a placeholder once any was issued."""
        if not name.startswith(TICKET_PREFIX):
            return name
        number = int(name.removeprefix(TICKET_PREFIX))
        if name not in self._tickets_by_name and self.tickets:
            newest = self.tickets[-TICKETS_PER_REQUEST:]
            self._tickets_by_name[name] = newest[number // TICKET_STRIDE % len(newest)]
        return self._tickets_by_name.get(name, name)

    def end_faults(self) -> None:
        """End every fault: resume paused entry VMs, restart killed ones and every upstream."""
        self._cuts.clear()
        self._outage_count = 0
        self.log.down = False
        self.bad_append_share = 0.0
        self.bad_upstream_share = 0.0
        self.bad_peer_share = 0.0
        for vm_id, entry in list(self.entries.items()):
            if entry.alive and entry.paused:
                self.resume_entry(vm_id)
            elif not entry.alive:
                self.start_entry(vm_id, entry.zone)
        for name in self.upstreams:
            self.restart_upstream(name)

    def feed(self, vm_id: str, event: Event) -> None:
        """Deliver an event to a core and count it."""
        if _counts_as_step(event):
            self.steps[type(event).__name__] += 1
        super().feed(vm_id, event)

    def _pause(self, vm_id: str, duration_s: float) -> None:
        entry = self.entries[vm_id]
        if not entry.alive or entry.paused:
            return
        self.pause_entry(vm_id)

        def resume() -> None:
            if self.entries[vm_id] is entry and entry.alive and entry.paused:
                self.resume_entry(vm_id)

        self.at(duration_s, resume)

    def _kill(self, vm_id: str, restart_after_s: float, reuse_incarnation: bool) -> None:
        entry = self.entries[vm_id]
        if not entry.alive:
            return
        self.kill_entry(vm_id)
        incarnation = entry.core.context.identity.incarnation

        def restart() -> None:
            if self.entries[vm_id] is not entry:
                return
            latest_incarnation = self._incarnation
            if reuse_incarnation:
                self._incarnation = incarnation - 1
            self.start_entry(vm_id, entry.zone)
            self._incarnation = max(latest_incarnation, self._incarnation)

        self.at(restart_after_s, restart)

    def _stop(self, vm_id: str, restart_after_s: float) -> None:
        if not self.entries[vm_id].alive:
            return
        self.set_vm_state(vm_id, VmState.LEAVING)
        self.feed(vm_id, StopAsked(self.now_s + restart_after_s))
        self.at(restart_after_s, lambda: self._kill(vm_id, 0.5, False))

    def _cut_link(self, source: str, target: str, duration_s: float) -> None:
        self._cuts[source, target] += 1

        def end_cut() -> None:
            self._cuts[source, target] -= 1

        self.at(duration_s, end_cut)

    def _end_outage(self) -> None:
        self._outage_count = max(0, self._outage_count - 1)
        self.log.down = self._outage_count > 0

    def _perform(self, vm_id: str, action: Action) -> None:
        match action:
            case Append():
                self._send_append(vm_id, action)
            case StartAttempt():
                self._send_attempt(vm_id, action)
            case SendOutcome(request_id, Done(_, body)) if request_id.startswith("t"):
                self.tickets += json.loads(body)["tickets"]
            case CancelAttempt(attempt_id):
                self._cancelled.add(attempt_id)
                super()._perform(vm_id, action)
            case _:
                super()._perform(vm_id, action)

    def _draws_fault(self, share: float) -> bool:
        return self.faults_rng.random() < share

    def _send_message(self, vm_id: str, action: SendPeerMessage) -> None:
        """Send a message, or inject a fault: it is lost, late, or late and duplicated."""
        if not self._draws_fault(self.bad_peer_share):
            super()._send_message(vm_id, action)
            return
        self.faults["peer message bad"] += 1
        for _ in range(self.faults_rng.randrange(3)):
            delay_s = self.faults_rng.uniform(0.0, LATE_MESSAGE_MAX_S)
            self.at(delay_s, lambda: super(SoakBench, self)._send_message(vm_id, action))

    def _send_append(self, vm_id: str, action: Append) -> None:
        """Send an append, or inject a fault: it is lost, loses its answer, or arrives late."""
        entry = self.entries[vm_id]
        identity = entry.core.context.identity
        data = (vm_id, identity.incarnation, action.sequence, action.entries)
        delivery = "whole"
        if self._draws_fault(self.bad_append_share):
            delivery = self.faults_rng.choice(("lost", "answer-lost", "late"))
            self.faults[f"append {delivery}"] += 1
        delay_s = LOG_LATENCY_S
        if delivery == "late":
            delay_s = self.faults_rng.uniform(0.1, LATE_APPEND_MAX_S)

        def reach_log() -> None:
            outcome, offset = AppendOutcome.LOST, -1
            if delivery != "lost" and not self.is_cut(vm_id, "log"):
                outcome, offset = self.log.append(action.stream, data, self.now_s)
            if outcome is AppendOutcome.REFUSED:
                self._deliver_later(
                    vm_id, entry, AppendFailed(action.append_id, False), LOG_LATENCY_S
                )
            elif (
                outcome is AppendOutcome.ACCEPTED
                and delivery == "whole"
                and not self.is_cut("log", vm_id)
            ):
                answer = AppendAnswered(action.append_id, offset)
                self._deliver_later(vm_id, entry, answer, LOG_LATENCY_S)
            elif delivery != "late":
                self._deliver_later(
                    vm_id, entry, AppendFailed(action.append_id, True), APPEND_TIMEOUT_S
                )

        self.at(delay_s, reach_log)
        if delivery == "late":
            self._deliver_later(
                vm_id, entry, AppendFailed(action.append_id, True), APPEND_TIMEOUT_S
            )

    def _deliver_later(self, vm_id: str, entry: BenchEntry, event: Event, delay_s: float) -> None:
        """Deliver an event after a delay, unless the process has been replaced by then."""

        def deliver() -> None:
            if self.entries[vm_id] is entry:
                self.feed(vm_id, event)

        self.at(delay_s, deliver)

    def _send_attempt(self, vm_id: str, action: StartAttempt) -> None:
        delay_s = 0.0005
        if self._draws_fault(self.bad_upstream_share):
            self.faults["attempt late"] += 1
            delay_s = self.faults_rng.uniform(0.0, LATE_ATTEMPT_MAX_S)

        entry = self.entries[vm_id]

        def start_attempt() -> None:
            if self.entries[vm_id] is not entry:
                # Sent before the process crashed: it runs, but its answer reaches no process.
                self.executions.append(Execution(self.now_s, action.request_id, action.body))
            elif action.attempt_id not in self._cancelled:
                self._start_attempt(vm_id, action)

        self.at(delay_s, start_attempt)

    def _run_plain(self, vm_id: str, upstream: BenchUpstream, action: StartAttempt) -> None:
        entry = self.entries[vm_id]
        self.executions.append(Execution(self.now_s, action.request_id, action.body))
        delay_s = PLAIN_DURATION_S
        if self._draws_fault(self.bad_upstream_share):
            self.faults["answer late"] += 1
            delay_s = self.faults_rng.uniform(0.0, LATE_ATTEMPT_MAX_S)

        def send_answer() -> None:
            attempt = upstream.attempts.pop(action.attempt_id, None)
            if attempt is not None and self.entries[vm_id] is entry:
                event = PlainAnswered(action.attempt_id, 200, b"ran " + action.body)
                self._send_to_entry(vm_id, action.replica_id, event)

        self.at(delay_s, send_answer)

    def _read_log(self, entry: BenchEntry, vm_id: str) -> None:
        """Read the configuration and ledger streams.

        Each read is delivered after a delay, so it may be out of date.
        """
        if not entry.alive or self.entries[vm_id] is not entry:
            return
        cut = self.is_cut(vm_id, "log") or self.is_cut("log", vm_id)
        if not entry.paused and not cut:
            for stream in (CONFIGURATION_STREAM, LEDGER_STREAM):
                self._read_stream(entry, vm_id, stream)
        period_s = READ_PERIOD_S * self.faults_rng.uniform(0.5, 1.5)
        self.at(period_s, lambda: self._read_log(entry, vm_id))

    def _read_stream(self, entry: BenchEntry, vm_id: str, stream: str) -> None:
        start_offset = entry.offsets.get(stream, 0)
        # This soak does not cover the expiry of configuration records, so none of them expire.
        if stream == CONFIGURATION_STREAM:
            usual_retention_s, self.log.retention_s = self.log.retention_s, float("inf")
        answer = self.log.read(stream, start_offset, LOG_READ_MAX_COUNT, self.now_s)
        if stream == CONFIGURATION_STREAM:
            self.log.retention_s = usual_retention_s
        if answer is None:
            return
        stored_records, first_offset, next_offset = answer
        entry.offsets[stream] = next_offset
        if stream == CONFIGURATION_STREAM and not stored_records:
            return
        records = tuple(Record(item.offset, item.time_s, *item.data) for item in stored_records)
        at_end = len(stored_records) < LOG_READ_MAX_COUNT
        event = LogRead(stream, records, first_offset, next_offset, at_end)
        self._deliver_later(vm_id, entry, event, LOG_LATENCY_S * self.faults_rng.uniform(0.5, 1.5))
