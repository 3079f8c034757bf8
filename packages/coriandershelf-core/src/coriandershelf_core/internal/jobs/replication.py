"""Jobs held here: their output is copied to another entry VM before callers may see it.

Callers see what the VM that the log names as keeper of the copy has acknowledged. So output that a
caller has read outlives any one VM, announced or not. A leaving VM hands each job over: it stops
generating once its peer has caught up, sends the rest and asks the peer to become the holder; the
peer's entry in the log decides.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.claims.ledger import Ledger
from coriandershelf_core.internal.jobs.job_table import DONE, RUNNING, Job, VmRef
from coriandershelf_core.internal.jobs.placement import choose_copy_keeper
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.ending import is_whole
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
AVOID_S = 10.0

Tell = Callable[[str, Message], bool]


@dataclass(slots=True)
class HeldJob:
    """A job held here with its output.

    :param visible_count: payloads that callers may see.
    :param target: who is sent the copy now.
    :param sent_count: payloads sent to the target.
    :param held_count: payloads the target has acknowledged.
    :param progress_at_s: when the target last had nothing outstanding or acknowledged something.
    :param proposed_epoch: newest epoch proposed from here.
    :param end_epoch: epoch in which the end was written.
    :param succeeded: how generation ended, or ``None`` while it runs.
    :param suspended: generation stopped because the job is being handed over.
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
    end_epoch: int = -1
    succeeded: bool | None = None
    suspended: bool = False
    handover_at_s: float = 0.0
    replica_id: str = ""

    @property
    def caught_up(self) -> bool:
        """Return whether the target has everything made so far."""
        return self.target is not None and self.held_count == len(self.payloads)


class Replication:
    """Every job held here, its copy and its handover.

    :param tell: sends a message to a peer.
    :param suspend: stops a job's generation and returns the replica it ran on, or empty.
    """

    def __init__(
        self,
        context: Context,
        ledger: Ledger,
        membership: Membership,
        tell: Tell,
        suspend: Callable[[str], str],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._membership = membership
        self._tell = tell
        self._suspend = suspend
        self._avoid_until_s: dict[str, float] = {}
        self._heartbeat_at_s = 0.0
        self.held: dict[str, HeldJob] = {}

    def hold(self, job: Job, payloads: list[bytes], replica_id: str, now_s: float) -> HeldJob:
        """Hold a job with the output made so far, which callers may have seen."""
        assert job.job_id not in self.held, f"{job.job_id} is held twice"
        held = HeldJob(job, payloads, len(payloads), now_s, replica_id=replica_id)
        held.proposed_epoch = job.epoch
        held.target = job.copy
        whole = job.status != DONE or len(payloads) == job.length
        assert whole, f"{job.job_id} is done, but its output is not whole here"
        if job.status != RUNNING or is_whole(payloads):
            held.succeeded = True
        self.held[job.job_id] = held
        return held

    def release(self, job_id: str) -> None:
        """Drop a job that another VM holds now."""
        del self.held[job_id]

    def deliver(self, job_id: str, payloads: tuple[bytes, ...], replica_id: str) -> None:
        """Add new output."""
        held = self.held[job_id]
        assert held.succeeded is None, f"{job_id} has output behind its end"
        assert not held.suspended, f"{job_id} has output after its handover began"
        held.payloads.extend(payloads)
        held.replica_id = replica_id

    def end(self, job_id: str, succeeded: bool, now_s: float) -> None:
        """Note that generation ended; the end is written once its output is safe."""
        held = self.held[job_id]
        held.succeeded = succeeded
        self._advance(held, now_s)

    def on_copied(self, sender: str, message: JobCopied, now_s: float) -> None:
        """Apply an acknowledgement."""
        held = self.held.get(message.job_id)
        if held is None or held.target is None or held.target.vm_id != sender:
            return
        if message.term != held.job.term:
            return
        if message.stopping:
            self._avoid(sender, now_s)
            self._retarget(held, now_s)
            return
        if message.held_count < held.held_count:
            held.held_count = held.sent_count = message.held_count
        assert message.held_count <= len(held.payloads), f"{message.job_id}: more copied than made"
        if message.held_count > held.held_count:
            held.held_count = message.held_count
            held.progress_at_s = now_s
        self._advance(held, now_s)

    def on_tick(self, now_s: float) -> None:
        """Copy, expose, hand over and write what is due."""
        for held in list(self.held.values()):
            self._advance(held, now_s)
        if now_s >= self._heartbeat_at_s:
            self._heartbeat_at_s = now_s + self._context.settings.heartbeat_s
            self._send_heartbeats()

    @property
    def idle(self) -> bool:
        """Return whether a stopping VM has nothing left to hand over."""
        return not any(self._must_hand_over(held) for held in self.held.values())

    def _must_hand_over(self, held: HeldJob) -> bool:
        failed = held.succeeded is False and held.job.status != RUNNING
        return not failed and self._context.enabled("job-handover")

    def _advance(self, held: HeldJob, now_s: float) -> None:
        self._check_target(held, now_s)
        self._send(held, now_s)
        self._expose(held, now_s)
        self._write_end(held, now_s)
        if not held.caught_up and not self._nearly_caught_up(held):
            return
        if self._context.stopping and self._must_hand_over(held):
            self._hand_over(held, now_s)
        elif held.target != held.job.copy:
            self._propose_copy(held, now_s)

    def _nearly_caught_up(self, held: HeldJob) -> bool:
        return held.target is not None and len(held.payloads) - held.held_count <= COPY_MAX_COUNT

    def _check_target(self, held: HeldJob, now_s: float) -> None:
        """Choose another VM for the copy where this one is leaving, gone or silent."""
        if held.held_count == len(held.payloads) and not held.suspended:
            held.progress_at_s = now_s
        limit_s = self._context.settings.job_copy_limit_s
        silent = now_s - held.progress_at_s > limit_s
        if silent and held.target is not None:
            self._avoid(held.target.vm_id, now_s)
        if silent or not self._is_live(held.target):
            self._retarget(held, now_s)

    def _retarget(self, held: HeldJob, now_s: float) -> None:
        copying = self._context.enabled("job-copy") or self._context.stopping
        candidates = self._candidates(now_s) if copying else []
        zone = self._context.identity.zone
        held.target = choose_copy_keeper(held.job.job_id, zone, candidates)
        held.sent_count = held.held_count = 0
        held.sent_at_s = held.handover_at_s = 0.0
        held.progress_at_s = now_s

    def _candidates(self, now_s: float) -> list[VmStatus]:
        peers = self._membership.live_peers(self._context.identity)
        return [peer for peer in peers if self._avoid_until_s.get(peer.vm_id, 0.0) <= now_s]

    def _avoid(self, vm_id: str, now_s: float) -> None:
        self._avoid_until_s[vm_id] = now_s + AVOID_S

    def _is_live(self, target: VmRef | None) -> bool:
        if target is None:
            return False
        live = self._membership.state_of(target.vm_id) is VmState.LIVE
        return live and self._membership.incarnation_of(target.vm_id) == target.incarnation

    def _send(self, held: HeldJob, now_s: float) -> None:
        """Send the next piece; one is on its way at a time, so memory on the way is bounded."""
        if held.target is None or held.held_count == len(held.payloads):
            return
        if held.sent_count > held.held_count:
            if now_s - held.sent_at_s < self._context.settings.job_copy_resend_s:
                return
            held.sent_count = held.held_count
        start = max(held.sent_count, held.held_count)
        piece = tuple(held.payloads[start : start + COPY_MAX_COUNT])
        message = JobCopy(
            job_id=held.job.job_id,
            term=held.job.term,
            position=start,
            payloads=piece,
            visible_count=held.visible_count,
            replica_id=held.replica_id,
        )
        self._context.count(Counter.JOB_COPIES)
        self._tell(held.target.vm_id, message)
        held.sent_count = start + len(piece)
        held.sent_at_s = now_s

    def _expose(self, held: HeldJob, now_s: float) -> None:
        """Let callers see what the VM named in the log has acknowledged.

        Where no other entry VM can keep a copy, callers see what there is.
        """
        if held.job.copy is not None and held.job.copy == held.target:
            held.visible_count = max(held.visible_count, held.held_count)
        elif not self._context.enabled("job-copy") or self._is_alone():
            held.visible_count = len(held.payloads)
        assert held.visible_count <= len(held.payloads), f"{held.job.job_id}: more seen than made"

    def _is_alone(self) -> bool:
        return not self._membership.live_peers(self._context.identity)

    def _write_end(self, held: HeldJob, now_s: float) -> None:
        job = held.job
        if held.succeeded is None or job.status != RUNNING or held.end_epoch == job.epoch:
            return
        if held.succeeded and held.visible_count < len(held.payloads):
            return
        held.end_epoch = job.epoch
        entry = JobFinished(
            job_id=job.job_id,
            holder=job.holder.vm_id,
            succeeded=held.succeeded,
            at_s=now_s,
            epoch=job.epoch,
            length=len(held.payloads),
        )
        self._ledger.add(LEDGER_STREAM, entry, now_s)

    def _propose_copy(self, held: HeldJob, now_s: float) -> None:
        """Name the target in the log once it has all that callers may have seen."""
        job = held.job
        if held.proposed_epoch > job.epoch or held.held_count < held.visible_count:
            return
        assert held.target is not None, "only a VM that caught up is proposed"
        held.proposed_epoch = job.epoch + 1
        entry = JobMoved(
            job_id=job.job_id,
            holder=job.holder.vm_id,
            epoch=job.epoch + 1,
            holder_incarnation=job.holder.incarnation,
            copy_vm_id=held.target.vm_id,
            copy_incarnation=held.target.incarnation,
        )
        self._ledger.add(LEDGER_STREAM, entry, now_s)

    def _hand_over(self, held: HeldJob, now_s: float) -> None:
        if not held.suspended:
            held.suspended = True
            held.replica_id = self._suspend(held.job.job_id) or held.replica_id
        if not held.caught_up or now_s < held.handover_at_s:
            return
        assert held.target is not None, "a job is handed to a VM that caught up"
        message = JobHandover(
            job_id=held.job.job_id,
            epoch=held.job.epoch,
            term=held.job.term,
            held_count=held.held_count,
            replica_id=held.replica_id,
        )
        held.handover_at_s = now_s + self._context.settings.job_copy_resend_s
        self._tell(held.target.vm_id, message)

    def _send_heartbeats(self) -> None:
        """Let the VMs that keep copies know that their holder lives."""
        identity = self._context.identity
        version = self._context.inventory.version if self._context.inventory else 0
        heartbeat = Heartbeat(identity.vm_id, identity.incarnation, version, self._context.stopping)
        targets = {held.target.vm_id for held in self.held.values() if held.target is not None}
        for vm_id in sorted(targets):
            self._tell(vm_id, heartbeat)
