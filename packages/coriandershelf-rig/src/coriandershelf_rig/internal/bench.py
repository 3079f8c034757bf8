"""Discrete-event simulation of entry VM cores, engines, plain services and the log in one process.

The core under test is the production core; only its interfaces are replaced by small fakes. All
random numbers derive from one seed, so a run is reproducible.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from coriandershelf_core import (
    CoreSettings,
    EntryCore,
    Outcome,
    Request,
    RequestKind,
    VmIdentity,
)
from coriandershelf_core.internal.vocabulary.actions import (
    Action,
    Append,
    CancelAttempt,
    IncrementCounter,
    RefreshNotices,
    SendOutcome,
    SendPeerMessage,
    SendTokens,
    StartAttempt,
    Stopped,
)
from coriandershelf_core.internal.vocabulary.events import (
    AppendAnswered,
    AppendFailed,
    CallerGone,
    Event,
    LogRead,
    NoticesRefreshed,
    PeerMessageArrived,
    ReclaimNotice,
    RequestArrived,
    Tick,
    VmListRead,
    VmRole,
    VmState,
    VmStatus,
)
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    CONTROL_STREAM,
    LEDGER_STREAM,
    ConfigurationProposed,
    Record,
)
from coriandershelf_rig.internal.bench_state import (
    LAST_PAYLOAD,
    BenchEntry,
    BenchUpstream,
    Call,
    Shape,
    call_identity,
    is_whole,
)
from coriandershelf_rig.internal.bench_upstreams import LOAD_REPORT_PERIOD_S, BenchUpstreams
from coriandershelf_rig.internal.deployments import (
    Deployment,
    inventory_yaml,
    key_hash,
    rules_yaml,
)
from coriandershelf_rig.internal.engine_model import EngineModel
from coriandershelf_rig.internal.log_model import AppendOutcome, LogModel
from coriandershelf_wire import parse_or_none

__all__ = [
    "LAST_PAYLOAD",
    "Bench",
    "BenchEntry",
    "BenchUpstream",
    "Call",
    "Shape",
    "executions_by_body",
    "is_whole",
    "was_run",
]

START_S = 1000.0
TICK_S = 0.05
LOG_LATENCY_S = 0.004
NOTICE_LATENCY_S = 0.01
LOG_READ_PERIOD_S = 0.01
LOG_READ_IDLE_S = 0.25
LOG_READ_MAX_COUNT = 500
APPEND_TIMEOUT_S = 2.0


class Bench(BenchUpstreams):
    """Runs the cores and fakes of a deployment in virtual time.

    :param deployment: the zones, entry VMs, replicas and customers to simulate.
    :param seed: seed of all random numbers.
    :param disabled: mechanisms disabled in every core.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        settings: CoreSettings | None = None,
        disabled: frozenset[str] = frozenset(),
    ) -> None:
        super().__init__(START_S, deployment)
        self.rng = random.Random(seed)
        self.settings = settings or CoreSettings()
        self.disabled = disabled
        self.log = LogModel(self.rng)
        self.counters: dict[str, int] = {}
        self.vms: dict[str, VmStatus] = {}
        self.notices: list[ReclaimNotice] = []
        self.on_final: Callable[[Call], None] = lambda call: None
        self.on_attempt: Callable[[str, StartAttempt], None] = lambda vm_id, attempt: None
        self._sequence = 0
        self._incarnation = 0
        for replica in deployment.replicas:
            engine = EngineModel(replica.engine) if replica.engine else None
            self.upstreams[replica.replica_id] = BenchUpstream(replica.zone, engine)
            self._register_vm(replica.replica_id, VmRole.UPSTREAM, replica.zone)
        for vm_id, zone in deployment.entries:
            self.start_entry(vm_id, zone)
        self.publish("initial", 0)
        self.at(LOAD_REPORT_PERIOD_S, self._report_loads)

    def start_entry(self, vm_id: str, zone: str) -> BenchEntry:
        """Start an entry VM, or restart it with no state."""
        self._incarnation += 1
        identity = VmIdentity(vm_id, zone, self._incarnation, vm_id)
        rng = random.Random(self.rng.getrandbits(63))
        core = EntryCore(identity, self.settings, rng, parse_or_none, self.disabled)
        entry = BenchEntry(core, zone)
        self.entries[vm_id] = entry
        self._register_vm(vm_id, VmRole.ENTRY, zone)
        self.at(self.rng.random() * TICK_S, lambda: self._tick(entry, vm_id))
        self.at(self.rng.random() * LOG_READ_PERIOD_S, lambda: self._read_log(entry, vm_id))
        return entry

    def kill_entry(self, vm_id: str) -> None:
        """Kill an entry VM without a clean stop; its attempts' connections close."""
        self.entries[vm_id].alive = False
        for upstream in self.upstreams.values():
            for attempt_id, owner in list(upstream.attempts.items()):
                if owner == vm_id:
                    self._drop_attempt(upstream, attempt_id)

    def pause_entry(self, vm_id: str) -> None:
        """Pause an entry VM; events for it except ticks are queued."""
        self.entries[vm_id].paused = True

    def resume_entry(self, vm_id: str) -> None:
        """Resume a paused entry VM and apply the queued events in order."""
        entry = self.entries[vm_id]
        entry.paused = False
        queued_events, entry.queued_events = entry.queued_events, []
        for event in queued_events:
            self.feed(vm_id, event)

    def set_vm_state(self, vm_id: str, state: VmState) -> None:
        """Change a VM's state in the platform's VM list."""
        status = self.vms[vm_id]
        self.vms[vm_id] = VmStatus(
            vm_id, status.incarnation, status.role, status.zone, state, status.address
        )

    def announce_reclaim(self, vm_id: str, in_s: float) -> None:
        """Send a reclaim notice to every running entry VM that can reach the notice service."""
        notice = ReclaimNotice(vm_id, self.now_s + in_s)
        self.notices.append(notice)
        for name, entry in self.entries.items():
            if not entry.paused and not self.is_cut(name, "notices"):
                self.at(NOTICE_LATENCY_S, lambda v=name: self.feed(v, notice))  # type: ignore[misc]

    def publish(self, publish_id: str, base_version: int, rules_text: str | None = None) -> None:
        """Append a proposal of the deployment's configuration to the log."""
        inventory_text = inventory_yaml(self.deployment, {})
        rules_text = rules_text or rules_yaml(self.deployment)
        proposal = ConfigurationProposed(
            publish_id, base_version, "operator", self.now_s, inventory_text, rules_text
        )
        self._sequence += 1
        data = ("operator", 1, self._sequence, (proposal,))
        self.log.append(CONFIGURATION_STREAM, data, self.now_s)

    def send(self, vm_id: str, request: Request, shape: Shape | None = None) -> Call:
        """Send a request to an entry VM."""
        call = Call(request, vm_id, self.now_s)
        self.calls[request.request_id] = call
        self.shapes[request.request_id] = shape or Shape(request.max_tokens)
        self.feed(vm_id, RequestArrived(request))
        return call

    def disconnect(self, call: Call) -> None:
        """Close the connection of a call's caller."""
        self.feed(call.vm_id, CallerGone(call.request.request_id))

    def chat(
        self,
        customer: str,
        prompt_tokens: int = 100,
        max_tokens: int = 100,
        deadline_s: float = 60.0,
        kind: RequestKind = RequestKind.CHAT,
        prefix_hashes: tuple[int, ...] = (),
    ) -> Request:
        """Return a model request with a new id."""
        self._sequence += 1
        return Request(
            request_id=f"r{self._sequence}",
            kind=kind,
            credential_hash=key_hash(f"{customer}-demo-key"),
            service=self.deployment.model,
            deadline_s=self.now_s + deadline_s,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            prefix_hashes=prefix_hashes,
        )

    def plain_call(
        self, customer: str, path: str, body: bytes, key: str | None, deadline_s: float = 30.0
    ) -> Request:
        """Return a call of the deployment's plain service with a new id."""
        self._sequence += 1
        return Request(
            request_id=f"r{self._sequence}",
            kind=RequestKind.SERVICE,
            credential_hash=key_hash(f"{customer}-demo-key"),
            service=self.deployment.plain,
            path=path,
            body=body,
            idempotency_key=key,
            deadline_s=self.now_s + deadline_s,
        )

    def feed(self, vm_id: str, event: Event) -> None:
        """Pass an event to an entry VM's core and perform the resulting actions."""
        entry = self.entries[vm_id]
        if not entry.alive:
            return
        if entry.paused:
            if not isinstance(event, Tick):
                entry.queued_events.append(event)
            return
        for action in entry.core.step(event, self.now_s):
            self._perform(vm_id, action)

    def _register_vm(self, vm_id: str, role: VmRole, zone: str) -> None:
        status = VmStatus(vm_id, self._incarnation, role, zone, VmState.LIVE, vm_id)
        self.vms[vm_id] = status

    def _tick(self, entry: BenchEntry, vm_id: str) -> None:
        if not entry.alive or self.entries[vm_id] is not entry:
            return
        self.feed(vm_id, Tick())
        if not self.is_cut(vm_id, "list"):
            self.feed(vm_id, VmListRead(tuple(self.vms.values())))
        self.at(TICK_S, lambda: self._tick(entry, vm_id))

    def _read_log(self, entry: BenchEntry, vm_id: str) -> None:
        if not entry.alive or self.entries[vm_id] is not entry:
            return
        if not entry.paused and not self.is_cut(vm_id, "log"):
            for stream in (CONFIGURATION_STREAM, LEDGER_STREAM, CONTROL_STREAM):
                start = entry.offsets.get(stream, 0)
                answer = self.log.read(stream, start, LOG_READ_MAX_COUNT, self.now_s)
                if answer is None:
                    continue
                stored, first_offset, next_offset = answer
                entry.offsets[stream] = next_offset
                idle_s = self.now_s - entry.read_at_s.get(stream, 0.0)
                if not stored and next_offset == start and idle_s < LOG_READ_IDLE_S:
                    continue
                entry.read_at_s[stream] = self.now_s
                records = tuple(Record(item.offset, item.time_s, *item.data) for item in stored)
                at_end = len(stored) < LOG_READ_MAX_COUNT
                self.feed(vm_id, LogRead(stream, records, first_offset, next_offset, at_end))
        self.at(LOG_READ_PERIOD_S, lambda: self._read_log(entry, vm_id))

    def _perform(self, vm_id: str, action: Action) -> None:
        match action:
            case SendTokens(request_id, payloads):
                self._on_payloads(request_id, payloads)
            case StartAttempt():
                self.on_attempt(vm_id, action)
                upstream = self.upstreams[action.replica_id]
                delay_s = self.latency_s(self.entries[vm_id].zone, upstream.zone)
                self.at(delay_s, lambda: self._start_attempt(vm_id, action))
            case CancelAttempt(attempt_id):
                for upstream in self.upstreams.values():
                    if attempt_id in upstream.attempts:
                        self._drop_attempt(upstream, attempt_id)
            case SendOutcome(request_id, outcome):
                self._on_final(request_id, outcome)
            case Append():
                self.at(LOG_LATENCY_S, lambda: self._append(vm_id, action))
            case SendPeerMessage():
                self._send_message(vm_id, action)
            case RefreshNotices(asked_at_s):
                self._refresh_notices(vm_id, asked_at_s)
            case Stopped():
                self.entries[vm_id].stopped_at_s = self.now_s
                self.at(0.0, lambda: self.kill_entry(vm_id))
            case IncrementCounter(name, amount):
                self.counters[name] = self.counters.get(name, 0) + amount
            case _:
                pass

    def _refresh_notices(self, vm_id: str, asked_at_s: float) -> None:
        if self.is_cut(vm_id, "notices"):
            return
        answer = [*self.notices, NoticesRefreshed(asked_at_s)]
        for event in answer:
            self.at(NOTICE_LATENCY_S, lambda e=event: self.feed(vm_id, e))  # type: ignore[misc]

    def _on_payloads(self, request_id: str, payloads: tuple[bytes, ...]) -> None:
        call = self.calls[request_id]
        if call.first_token_at_s is None:
            call.first_token_at_s = self.now_s
        elif call.last_token_at_s is not None:
            call.token_gaps_s.append((self.now_s - call.last_token_at_s) / len(payloads))
        call.last_token_at_s = self.now_s
        call.payloads.extend(payloads)

    def _on_final(self, request_id: str, outcome: Outcome) -> None:
        call = self.calls.get(request_id)
        if call is None:
            return
        assert call.outcome is None, f"{request_id} is answered twice"
        call.outcome = outcome
        call.ended_at_s = self.now_s
        self.on_final(call)

    def _append(self, vm_id: str, action: Append) -> None:
        identity = self.entries[vm_id].core.context.identity
        data = (vm_id, identity.incarnation, action.sequence, action.entries)
        if self.is_cut(vm_id, "log"):
            result, offset = AppendOutcome.LOST, -1
        else:
            result, offset = self.log.append(action.stream, data, self.now_s)
        answer: Event
        if result is AppendOutcome.ACCEPTED:
            answer = AppendAnswered(action.append_id, offset)
            delay_s = LOG_LATENCY_S
        else:
            answer = AppendFailed(action.append_id, result is not AppendOutcome.REFUSED)
            delay_s = LOG_LATENCY_S if result is AppendOutcome.REFUSED else APPEND_TIMEOUT_S
        entry = self.entries[vm_id]

        def deliver() -> None:
            if self.entries[vm_id] is entry:
                self.feed(vm_id, answer)

        self.at(delay_s, deliver)

    def _send_message(self, vm_id: str, action: SendPeerMessage) -> None:
        if action.vm_id not in self.entries or self.is_cut(vm_id, action.vm_id):
            return
        delay_s = self.latency_s(self.entries[vm_id].zone, self.entries[action.vm_id].zone)
        event = PeerMessageArrived(vm_id, action.message)
        self.at(delay_s, lambda: self.feed(action.vm_id, event))


def executions_by_body(bench: Bench) -> dict[str, int]:
    """Return how often each plain call was executed, over all upstreams, by call identity."""
    totals: dict[str, int] = {}
    for upstream in bench.upstreams.values():
        for identity, count in upstream.executions.items():
            totals[identity] = totals.get(identity, 0) + count
    return totals


def was_run(bench: Bench, request: Request) -> bool:
    """Return whether any plain service executed a call."""
    return executions_by_body(bench).get(call_identity(request.path, request.body), 0) > 0
