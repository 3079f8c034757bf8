"""Simulated upstreams of the bench: model engines and plain services."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.vocabulary.actions import StartAttempt
from coriandershelf_core.internal.vocabulary.events import (
    AttemptFailed,
    AttemptOpened,
    Event,
    FailureCause,
    LoadReported,
    PlainAnswered,
    StreamEnded,
    TokensArrived,
    VmRole,
)
from coriandershelf_core.internal.vocabulary.inventory import ServiceKind
from coriandershelf_rig.internal.bench_state import (
    LAST_PAYLOAD,
    BenchEntry,
    BenchUpstream,
    Call,
    Shape,
    call_identity,
)
from coriandershelf_rig.internal.deployments import Deployment
from coriandershelf_rig.internal.engine_model import EngineModel, EngineToken, Sequence
from coriandershelf_rig.internal.virtual_time import VirtualTime

LOAD_REPORT_PERIOD_S = 1.0
LOAD_REPORT_LAG_S = 1.0
PLAIN_DURATION_S = 0.02


class BenchUpstreams(VirtualTime):
    """Runs attempts on upstreams and passes the resulting events to the cores.

    :param start_s: initial virtual time.
    :param deployment: the deployment to simulate.
    """

    def __init__(self, start_s: float, deployment: Deployment) -> None:
        super().__init__(start_s)
        self.deployment = deployment
        self.entries: dict[str, BenchEntry] = {}
        self.upstreams: dict[str, BenchUpstream] = {}
        self.calls: dict[str, Call] = {}
        self.shapes: dict[str, Shape] = {}
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self._replica_by_address: dict[str, str] = {}

    def feed(self, vm_id: str, event: Event) -> None:
        """Pass an event to an entry VM's core."""
        raise NotImplementedError

    def _register_vm(self, vm_id: str, role: VmRole, zone: str) -> None:
        raise NotImplementedError

    def kill_upstream(self, replica_id: str) -> None:
        """Kill an upstream; connections to it close."""
        upstream = self.upstreams[replica_id]
        upstream.alive = False
        for attempt_id, owner in list(upstream.attempts.items()):
            self._fail_attempt(owner, replica_id, attempt_id, FailureCause.CLOSED)
        upstream.attempts.clear()

    def restart_upstream(self, replica_id: str) -> None:
        """Restart an upstream with empty caches; its counters are kept."""
        upstream = self.upstreams[replica_id]
        if upstream.engine is not None:
            counters = upstream.engine.counters
            upstream.engine = EngineModel(upstream.engine.shape)
            upstream.engine.counters = counters
        upstream.alive = True
        upstream.step_scheduled = False

    def latency_s(self, source_zone: str, target_zone: str) -> float:
        """Return the one-way latency between two zones."""
        return 0.0001 if source_zone == target_zone else self.deployment.zone_latency_s

    def _start_attempt(self, vm_id: str, action: StartAttempt) -> None:
        upstream = self.upstreams[action.replica_id]
        self._replica_by_address[action.address] = action.replica_id
        if self.is_cut(vm_id, action.replica_id):
            return
        if not upstream.alive:
            event = AttemptFailed(action.attempt_id, FailureCause.CONNECT, sent=False)
            self._send_to_entry(vm_id, action.replica_id, event)
            return
        upstream.attempts[action.attempt_id] = vm_id
        if action.kind is ServiceKind.PLAIN:
            self._run_plain(vm_id, upstream, action)
        elif action.kv_source:
            self._import_then_run(vm_id, upstream, action)
        else:
            self._run_sequence(vm_id, upstream, action)

    def _import_then_run(self, vm_id: str, upstream: BenchUpstream, action: StartAttempt) -> None:
        """Import a sequence's KV cache, then run it; a slowed source slows the transfer."""
        assert upstream.engine is not None, f"{action.replica_id} runs no model"
        source = self.upstreams[self._replica_by_address[action.kv_source]]
        tokens = 0
        if source.alive and source.engine is not None:
            tokens = source.engine.export_kv(action.request_id)
        factor = max(source.engine.slow_factor if source.engine else 1.0, 1.0)
        delay_s = tokens / upstream.engine.shape.kv_tokens_per_s * factor

        def begin() -> None:
            if upstream.alive and action.attempt_id in upstream.attempts:
                self._run_sequence(vm_id, upstream, action, tokens)

        self.at(delay_s, begin)

    def _run_plain(self, vm_id: str, upstream: BenchUpstream, action: StartAttempt) -> None:
        identity = call_identity(action.path, action.body)
        upstream.executions[identity] = upstream.executions.get(identity, 0) + 1

        def answer() -> None:
            if upstream.attempts.pop(action.attempt_id, None) is not None:
                event = PlainAnswered(action.attempt_id, upstream.plain_status, b'{"ok":true}')
                self._send_to_entry(vm_id, action.replica_id, event)

        self.at(PLAIN_DURATION_S, answer)

    def _run_sequence(
        self,
        vm_id: str,
        upstream: BenchUpstream,
        action: StartAttempt,
        imported_tokens: int = 0,
    ) -> None:
        engine = upstream.engine
        assert engine is not None, f"{action.replica_id} runs no model"
        request = self.calls[action.request_id].request
        shape = self.shapes[action.request_id]
        position = len(action.resume_payloads)
        if imported_tokens:
            engine.import_kv(action.request_id, imported_tokens)
        sequence = Sequence(
            attempt_id=action.attempt_id,
            request_id=action.request_id,
            content_key=0,
            prompt_tokens=request.prompt_tokens,
            prefix_hashes=request.prefix_hashes,
            length=shape.length,
            position=position,
            priority=action.priority,
            crashes=shape.crashes,
        )
        if not engine.submit(sequence, self.now_s):
            del upstream.attempts[action.attempt_id]
            self._fail_attempt(vm_id, action.replica_id, action.attempt_id, FailureCause.REFUSED)
            return
        self._send_to_entry(vm_id, action.replica_id, AttemptOpened(action.attempt_id))
        if engine.crashed:
            self.kill_upstream(action.replica_id)
            return
        self._schedule_step(action.replica_id, upstream)

    def _schedule_step(self, replica_id: str, upstream: BenchUpstream) -> None:
        engine = upstream.engine
        if upstream.step_scheduled or engine is None or engine.next_step_s is None:
            return
        upstream.step_scheduled = True

        def step() -> None:
            if upstream.engine is not engine or not upstream.alive:
                return
            upstream.step_scheduled = False
            for token in engine.advance(self.now_s):
                self._deliver_token(replica_id, upstream, token)
            if engine.crashed:
                self.kill_upstream(replica_id)
                return
            self._schedule_step(replica_id, upstream)

        self.at(max(0.0, engine.next_step_s - self.now_s), step)

    def _deliver_token(self, replica_id: str, upstream: BenchUpstream, token: EngineToken) -> None:
        vm_id = upstream.attempts.get(token.attempt_id)
        if vm_id is None or token.attempt_id in upstream.muted_attempts:
            return
        payload = LAST_PAYLOAD if token.finished else b"%d" % token.position
        attempt_id = token.attempt_id
        event = TokensArrived(attempt_id, attempt_id, token.position, (payload,))
        self._send_to_entry(vm_id, replica_id, event)
        if token.finished:
            del upstream.attempts[attempt_id]
            ended = StreamEnded(attempt_id, attempt_id, token.position + 1)
            self._send_to_entry(vm_id, replica_id, ended)

    def _drop_attempt(self, upstream: BenchUpstream, attempt_id: str) -> None:
        del upstream.attempts[attempt_id]
        if upstream.engine is not None:
            upstream.engine.cancel(attempt_id)

    def _fail_attempt(
        self, vm_id: str, replica_id: str, attempt_id: str, cause: FailureCause
    ) -> None:
        self._send_to_entry(vm_id, replica_id, AttemptFailed(attempt_id, cause, sent=True))

    def _send_to_entry(self, vm_id: str, replica_id: str, event: Event) -> None:
        if self.is_cut(replica_id, vm_id):
            return
        entry = self.entries[vm_id]
        delay_s = self.latency_s(self.upstreams[replica_id].zone, entry.zone)

        def deliver() -> None:
            if self.entries[vm_id] is entry:
                self.feed(vm_id, event)

        self.at(delay_s, deliver)

    def _report_loads(self) -> None:
        """Report every engine's load; reports arrive ``LOAD_REPORT_LAG_S`` late."""
        for replica_id, upstream in self.upstreams.items():
            if upstream.engine is None or not upstream.alive:
                continue
            engine = upstream.engine
            event = LoadReported(replica_id, engine.running_count, engine.waiting_count, self.now_s)
            for vm_id in self.entries:
                if self.is_cut(replica_id, vm_id):
                    continue
                self.at(LOAD_REPORT_LAG_S, lambda v=vm_id, e=event: self.feed(v, e))  # type: ignore[misc]
        self.at(LOAD_REPORT_PERIOD_S, self._report_loads)
