"""Jobs held by this VM: output is copied to another entry VM before callers may see it.

Callers see only output acknowledged by the VM that the log names for the copy. So output that a
caller has read survives the loss of any one VM, with or without a reclaim notice. A stopping VM
hands each job over: it stops generation once its peer has nearly caught up, sends the rest and
asks the peer to become the holder. The handover takes effect with the peer's entry in the log.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.claims.log_appender import LogAppender
from coriandershelf_core.internal.jobs.job_table import DONE, RUNNING, Job, VmRef
from coriandershelf_core.internal.jobs.placement import choose_copy_vm
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.completion import is_complete
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import VmState, VmStatus
from coriandershelf_core.internal.vocabulary.messages import (
    Heartbeat,
    JobCopied,
    JobCopy,
    JobHandover,
    Message,
)
from coriandershelf_core.internal.vocabulary.reasons import Counter
from coriandershelf_core.internal.vocabulary.records import LEDGER_STREAM, JobFinished, JobMoved

COPY_MAX_COUNT = 500
AVOID_TARGET_S = 10.0

SendMessage = Callable[[str, Message], bool]


@dataclass(slots=True)
class HeldJob:
    """A job held by this VM, and its output.

    :param visible_count: number of payloads that callers may see.
    :param progress_at_s: when the target last acknowledged payloads or had none outstanding.
    :param target: VM to which the output is being copied.
    :param sent_count: number of payloads sent to the target.
    :param held_count: number of payloads that the target has acknowledged.
    :param proposed_epoch: newest epoch proposed by this VM.
    :param finished_epoch: epoch in which the end of the job was appended to the log.
    :param succeeded: whether generation succeeded, or ``None`` while it runs.
    :param suspended: whether generation stopped because the job is being handed over.
    :param handover_at_s: when the handover request may be sent again.
    :param replica_id: replica that holds the KV cache, or empty.
    """

    job: Job
    payloads: list[bytes]
    visible_count: int
    progress_at_s: float
    target: VmRef | None = None
    sent_count: int = 0
    sent_at_s: float = 0.0
    held_count: int = 0
    proposed_epoch: int = 0
    finished_epoch: int = -1
    succeeded: bool | None = None
    suspended: bool = False
    handover_at_s: float = 0.0
    replica_id: str = ""

    @property
    def caught_up(self) -> bool:
        """Return whether the target has acknowledged all output so far."""
        return self.target is not None and self.held_count == len(self.payloads)


class Replication:
    """All jobs held by this VM, their copies and handovers.

    :param send_message: sends a message to a peer; returns false if the peer is unknown.
    :param suspend: stops a job's generation and returns the id of its replica, or empty.
    """

    def __init__(
        self,
        context: Context,
        log_appender: LogAppender,
        membership: Membership,
        send_message: SendMessage,
        suspend: Callable[[str], str],
    ) -> None:
        self._context = context
        self._log_appender = log_appender
        self._membership = membership
        self._send_message = send_message
        self._suspend = suspend
        self._avoid_until_s: dict[str, float] = {}
        self._next_heartbeat_at_s = 0.0
        self.held: dict[str, HeldJob] = {}

    def hold(self, job: Job, payloads: list[bytes], replica_id: str, now_s: float) -> HeldJob:
        """Hold a job with its output so far, which callers may have seen."""
        assert job.job_id not in self.held, f"{job.job_id} is held twice"
        held = HeldJob(job, payloads, len(payloads), now_s, replica_id=replica_id)
        held.proposed_epoch = job.epoch
        held.target = job.copy
        is_consistent = job.status != DONE or len(payloads) == job.length
        assert is_consistent, f"{job.job_id} is done, but its output is incomplete on this VM"
        if job.status != RUNNING or is_complete(payloads):
            held.succeeded = True
        self.held[job.job_id] = held
        return held

    def release(self, job_id: str) -> None:
        """Drop a job that has expired or that another VM holds now."""
        del self.held[job_id]

    def deliver(self, job_id: str, payloads: tuple[bytes, ...], replica_id: str) -> None:
        """Append new output of a job."""
        held = self.held[job_id]
        assert held.succeeded is None, f"{job_id} has output after its end"
        assert not held.suspended, f"{job_id} has output after its handover began"
        held.payloads.extend(payloads)
        held.replica_id = replica_id

    def end_output(self, job_id: str, succeeded: bool, now_s: float) -> None:
        """Record that generation ended; the end goes to the log once the output is replicated."""
        held = self.held[job_id]
        held.succeeded = succeeded
        self._advance(held, now_s)

    def on_copied(self, sender: str, message: JobCopied, now_s: float) -> None:
        """Apply an acknowledgement from the VM that keeps the copy."""
        held = self.held.get(message.job_id)
        if held is None or held.target is None or held.target.vm_id != sender:
            return
        if message.term != held.job.term:
            return
        if message.stopping:
            self._avoid(sender, now_s)
            self._choose_target(held, now_s)
            return
        if message.held_count < held.held_count:
            held.held_count = held.sent_count = message.held_count
        assert message.held_count <= len(
            held.payloads
        ), f"{message.job_id}: more payloads copied than generated"
        if message.held_count > held.held_count:
            held.held_count = message.held_count
            held.progress_at_s = now_s
        self._advance(held, now_s)

    def on_tick(self, now_s: float) -> None:
        """Advance the copy, visibility, end and handover of every held job; send heartbeats."""
        for held in list(self.held.values()):
            self._advance(held, now_s)
        if now_s >= self._next_heartbeat_at_s:
            self._next_heartbeat_at_s = now_s + self._context.settings.heartbeat_s
            self._send_heartbeats()

    @property
    def idle(self) -> bool:
        """Return whether no held job must be handed over before this VM stops."""
        return not any(self._must_hand_over(held) for held in self.held.values())

    def _must_hand_over(self, held: HeldJob) -> bool:
        failed = held.succeeded is False and held.job.status != RUNNING
        return not failed and self._context.is_enabled("job-handover")

    def _advance(self, held: HeldJob, now_s: float) -> None:
        self._check_target(held, now_s)
        self._send_copy(held, now_s)
        self._update_visible(held, now_s)
        self._append_finished(held, now_s)
        if not held.caught_up and not self._nearly_caught_up(held):
            return
        if self._context.stopping and self._must_hand_over(held):
            self._hand_over(held, now_s)
        elif held.target != held.job.copy:
            self._propose_copy(held, now_s)

    def _nearly_caught_up(self, held: HeldJob) -> bool:
        return held.target is not None and len(held.payloads) - held.held_count <= COPY_MAX_COUNT

    def _check_target(self, held: HeldJob, now_s: float) -> None:
        """Choose another VM for the copy if the current one is not live or does not acknowledge."""
        if held.held_count == len(held.payloads) and not held.suspended:
            held.progress_at_s = now_s
        limit_s = self._context.settings.job_copy_limit_s
        stalled = now_s - held.progress_at_s > limit_s
        if stalled and held.target is not None:
            self._avoid(held.target.vm_id, now_s)
        if stalled or not self._is_live(held.target):
            self._choose_target(held, now_s)

    def _choose_target(self, held: HeldJob, now_s: float) -> None:
        copying = self._context.is_enabled("job-copy") or self._context.stopping
        candidates = self._candidates(now_s) if copying else []
        zone = self._context.identity.zone
        held.target = choose_copy_vm(held.job.job_id, zone, candidates)
        held.sent_count = held.held_count = 0
        held.sent_at_s = held.handover_at_s = 0.0
        held.progress_at_s = now_s

    def _candidates(self, now_s: float) -> list[VmStatus]:
        peers = self._membership.live_peers(self._context.identity)
        return [peer for peer in peers if self._avoid_until_s.get(peer.vm_id, 0.0) <= now_s]

    def _avoid(self, vm_id: str, now_s: float) -> None:
        self._avoid_until_s[vm_id] = now_s + AVOID_TARGET_S

    def _is_live(self, target: VmRef | None) -> bool:
        if target is None:
            return False
        live = self._membership.state_of(target.vm_id) is VmState.LIVE
        return live and self._membership.incarnation_of(target.vm_id) == target.incarnation

    def _send_copy(self, held: HeldJob, now_s: float) -> None:
        """Send the next batch; at most one is outstanding, which bounds the memory in flight."""
        if held.target is None or held.held_count == len(held.payloads):
            return
        if held.sent_count > held.held_count:
            if now_s - held.sent_at_s < self._context.settings.job_copy_resend_s:
                return
            held.sent_count = held.held_count
        start = max(held.sent_count, held.held_count)
        batch = tuple(held.payloads[start : start + COPY_MAX_COUNT])
        message = JobCopy(
            job_id=held.job.job_id,
            term=held.job.term,
            position=start,
            payloads=batch,
            visible_count=held.visible_count,
            replica_id=held.replica_id,
        )
        self._context.count(Counter.JOB_COPIES)
        self._send_message(held.target.vm_id, message)
        held.sent_count = start + len(batch)
        held.sent_at_s = now_s

    def _update_visible(self, held: HeldJob, now_s: float) -> None:
        """Let callers see the output acknowledged by the VM that the log names for the copy.

        If no other entry VM is live to keep a copy, callers see all output.
        """
        if held.job.copy is not None and held.job.copy == held.target:
            held.visible_count = max(held.visible_count, held.held_count)
        elif not self._context.is_enabled("job-copy") or self._is_alone():
            held.visible_count = len(held.payloads)
        assert held.visible_count <= len(
            held.payloads
        ), f"{held.job.job_id}: more payloads visible than generated"

    def _is_alone(self) -> bool:
        return not self._membership.live_peers(self._context.identity)

    def _append_finished(self, held: HeldJob, now_s: float) -> None:
        job = held.job
        if held.succeeded is None or job.status != RUNNING or held.finished_epoch == job.epoch:
            return
        if held.succeeded and held.visible_count < len(held.payloads):
            return
        held.finished_epoch = job.epoch
        entry = JobFinished(
            job_id=job.job_id,
            holder=job.holder.vm_id,
            succeeded=held.succeeded,
            at_s=now_s,
            epoch=job.epoch,
            length=len(held.payloads),
        )
        self._log_appender.add(LEDGER_STREAM, entry, now_s)

    def _propose_copy(self, held: HeldJob, now_s: float) -> None:
        """Propose the target as copy VM once it has all output that callers may have seen."""
        job = held.job
        if held.proposed_epoch > job.epoch or held.held_count < held.visible_count:
            return
        assert held.target is not None, "no target to propose as copy VM"
        held.proposed_epoch = job.epoch + 1
        entry = JobMoved(
            job_id=job.job_id,
            holder=job.holder.vm_id,
            epoch=job.epoch + 1,
            holder_incarnation=job.holder.incarnation,
            copy_vm_id=held.target.vm_id,
            copy_incarnation=held.target.incarnation,
        )
        self._log_appender.add(LEDGER_STREAM, entry, now_s)

    def _hand_over(self, held: HeldJob, now_s: float) -> None:
        if not held.suspended:
            held.suspended = True
            held.replica_id = self._suspend(held.job.job_id) or held.replica_id
        if not held.caught_up or now_s < held.handover_at_s:
            return
        assert held.target is not None, "no target for the handover"
        message = JobHandover(
            job_id=held.job.job_id,
            epoch=held.job.epoch,
            term=held.job.term,
            held_count=held.held_count,
            replica_id=held.replica_id,
        )
        held.handover_at_s = now_s + self._context.settings.job_copy_resend_s
        self._send_message(held.target.vm_id, message)

    def _send_heartbeats(self) -> None:
        """Send heartbeats of this VM, the holder, to the VMs that keep copies of its jobs."""
        identity = self._context.identity
        version = self._context.inventory.version if self._context.inventory else 0
        heartbeat = Heartbeat(identity.vm_id, identity.incarnation, version, self._context.stopping)
        targets = {held.target.vm_id for held in self.held.values() if held.target is not None}
        for vm_id in sorted(targets):
            self._send_message(vm_id, heartbeat)
