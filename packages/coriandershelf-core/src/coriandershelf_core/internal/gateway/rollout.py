"""Roll-outs of a service to a new version: order, state, and the lease holder's decision.

An order asks for a target version within a time. The lease holder moves the roll-out through its
phases and keeps the state in the store; a phase is announced only after it stands there. While the
verdict is open (``CANARY``), every VM bounds its own requests to the target (``rollout_traffic``).
Only a version judged good gets a growing share (``MOVING``), then all new requests (``DRAINING``),
and the roll-out is completed once nothing runs at the old versions any more.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.rollout_counts import Evidence

# Score of the evidence (see ``rollout_counts``) that ends a roll-out while little is at stake: the
# counts are looked at many times. It is lower where a bad version would get more traffic, and
# lowest at the one look when the verdict is due.
CANARY_BAD_SCORE = 11.0
MOVING_BAD_SCORE = 8.0
VERDICT_BAD_SCORE = 5.0
# Above this score an early verdict, and the next share, wait for more evidence.
DOUBT_SCORE = 3.0
# Shares of an order's time. Evidence is gathered at least until ``VERDICT_SHARE``, so that a
# version that turns bad later is seen; what follows is needed to move the traffic and to let
# streams of the old version end.
VERDICT_SHARE = 0.55
# With too little or doubtful evidence, or too few new replicas, the verdict waits until then.
LATE_VERDICT_SHARE = 0.64
DOUBTFUL_VERDICT_SHARE = 0.7
LATE_CAPACITY_SHARE = 0.75
# Shortest observation of the first new replica before the verdict, as a share and in seconds.
OBSERVED_MIN_SHARE = 0.15
OBSERVED_MIN_S = 2.0
# Answers of the target that suffice for an early verdict.
ANSWERS_MIN_COUNT = 30
# The share rises by these steps; each must last long enough for answers and digests to return.
MOVING_SHARES = (0.25, 0.5)
STEP_TIME_SHARE = 0.05
STEP_MIN_S = 0.4
# A caller resumes a broken stream within this time, so the old version must have been idle for it.
DRAINED_FOR_S = 0.5
# The roll-out ends this long before the limit, at least the second value: the state is written
# first, then the status, and a call to the store may have to be repeated.
END_MARGIN_SHARE = 0.1
END_MARGIN_MIN_S = 0.8
# The start of the target's first replica dates an order whose time is in doubt by more than this.
ORDER_TIME_DOUBT_S = 3.0
# Replicas that started earlier than this were not started for the order.
ORDER_MAX_AGE_S = 600.0
# The target carries the load if it has this many slots for each running request.
SLOTS_PER_RUNNING = 1.3


class Phase(StrEnum):
    """Phase of a roll-out."""

    CANARY = "canary"
    MOVING = "moving"
    DRAINING = "draining"
    COMPLETED = "completed"
    REVERTED = "reverted"


TERMINAL = frozenset((Phase.COMPLETED, Phase.REVERTED))


class RolloutOrder(Struct, frozen=True):
    """The operator's order to move a service to a version.

    :param offset: offset of its record; a higher one replaces it.
    :param earliest_s: earliest time at which it may have been written; ``None`` if unknown.
    """

    service: str
    target: str
    duration_s: float
    offset: int
    earliest_s: float | None = None


class RolloutState(Struct, frozen=True):
    """State of a roll-out, as kept in the store.

    :param offset: offset of the order's record.
    :param number: fencing token of the holder that decided it; ``step`` counts the changes.
    :param phase: a ``Phase``; text, so that a phase of a newer build does not spoil the digest.
    :param share: share of the new requests that goes to the target while ``MOVING``.
    :param started_s: Unix time of the order, and ``changed_s`` of the last change.
    :param observed_s: Unix time since which the target has had a replica; 0 if it had none.
    :param barred: versions that got no good verdict and must not be used without a new order.
    :param reason: why the last change was made, for the log.
    """

    service: str
    target: str
    duration_s: float
    offset: int
    number: int
    step: int
    phase: str
    share: float
    started_s: float
    changed_s: float
    observed_s: float = 0.0
    barred: tuple[str, ...] = ()
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Return whether the roll-out was completed or reverted."""
        return self.phase in TERMINAL

    @property
    def status(self) -> str:
        """Return the state that the operator is told."""
        return self.phase if self.phase in TERMINAL else "in_progress"

    @property
    def rank(self) -> tuple[int, bool, int, int]:
        """Return the order of states: a newer order, then an ended one, then the later change."""
        return (self.offset, self.ended, self.number, self.step)


class RolloutNews(Struct, frozen=True):
    """A state as known to a VM, with the time since the holder is known to have stood by it."""

    state: RolloutState
    age_ms: int


class RolloutInputs(Struct, frozen=True):
    """What the holder knows of a service.

    :param new_slots: request slots of the target's replicas, and ``old_slots`` of the others.
    :param new_count: replicas of the target, and ``old_count`` of other versions.
    :param running_count: requests in flight at the service over all VMs.
    :param drained_for_s: since when all VMs that are heard have nothing at the old versions.
    :param first_new_replica_s: Unix time of the start of the target's first replica, if known.
    """

    evidence: Evidence = field(default_factory=Evidence)
    new_slots: int = 0
    old_slots: int = 0
    new_count: int = 0
    old_count: int = 0
    running_count: int = 0
    drained_for_s: float = 0.0
    first_new_replica_s: float | None = None


def begin(
    order: RolloutOrder,
    earlier: RolloutState | None,
    inputs: RolloutInputs,
    number: int,
    earliest_unix_s: float | None,
    unix_s: float,
) -> RolloutState:
    """Return the first state of an order.

    The time of the order is not in its record. It was written after the last read without it, and
    before the first replica of its target started.

    :param earlier: the latest state of the service, of an older order.
    :param earliest_unix_s: the time of that read, ``None`` if there was none.
    """
    started_s = unix_s if earliest_unix_s is None else min(unix_s, earliest_unix_s)
    first_s = inputs.first_new_replica_s
    if first_s is not None and unix_s - ORDER_MAX_AGE_S < first_s < unix_s:
        is_doubtful = earliest_unix_s is None or first_s - started_s > ORDER_TIME_DOUBT_S
        started_s = first_s if is_doubtful else started_s
    barred: set[str] = set(earlier.barred) if earlier is not None else set()
    if earlier is not None and earlier.phase != Phase.COMPLETED:
        barred.add(earlier.target)
    barred.discard(order.target)
    phase, reason = Phase.CANARY, "order"
    if inputs.new_count and not inputs.old_count:
        phase, reason = Phase.COMPLETED, "present version"
    elif unix_s >= started_s + order.duration_s:
        phase, reason = Phase.REVERTED, "time over"
    if phase is Phase.REVERTED:
        barred.add(order.target)
    return RolloutState(
        order.service, order.target, order.duration_s, order.offset, number, 1, phase.value, 0.0,
        started_s, unix_s, unix_s if inputs.new_count else 0.0, tuple(sorted(barred)), reason,
    )  # fmt: skip


def decide(
    state: RolloutState, inputs: RolloutInputs, number: int, unix_s: float
) -> RolloutState | None:
    """Return the next state of a running roll-out, or ``None`` if nothing changes."""
    if state.ended:
        return None
    elapsed_s = unix_s - state.started_s
    share = elapsed_s / state.duration_s
    evidence = inputs.evidence

    def change(phase: Phase, reason: str, new_share: float = 0.0) -> RolloutState:
        return _changed(state, phase, reason, new_share, number, unix_s)

    if evidence.score >= bad_score(state.phase):
        return change(Phase.REVERTED, evidence.reason)
    margin_s = max(END_MARGIN_MIN_S, END_MARGIN_SHARE * state.duration_s)
    at_end = elapsed_s >= state.duration_s - margin_s
    if state.observed_s == 0.0:
        if inputs.new_count:
            return replace(
                state, number=number, step=state.step + 1, observed_s=unix_s, reason="first replica"
            )
        return change(Phase.REVERTED, "no replicas") if at_end else None
    if at_end:
        if not inputs.new_count:
            return change(Phase.REVERTED, "no replicas")
        if evidence.score >= VERDICT_BAD_SCORE and state.phase == Phase.CANARY:
            return change(Phase.REVERTED, evidence.reason)
        return change(Phase.COMPLETED, "time limit", 1.0)
    if not inputs.new_count:
        return None
    if state.phase == Phase.CANARY:
        verdict = _verdict(state, inputs, share, unix_s)
        if verdict is Phase.REVERTED:
            return change(verdict, evidence.reason)
        return change(verdict, "good", MOVING_SHARES[0]) if verdict is not None else None
    lasted_s = unix_s - state.changed_s
    if state.phase == Phase.MOVING:
        step_s = max(STEP_MIN_S, STEP_TIME_SHARE * state.duration_s)
        higher = [value for value in MOVING_SHARES if value > state.share]
        next_share = higher[0] if higher else 1.0
        has_capacity = _capacity_share(inputs) >= next_share or share >= LATE_CAPACITY_SHARE
        is_doubtful = evidence.score >= DOUBT_SCORE and share < LATE_CAPACITY_SHARE
        if lasted_s < step_s or not has_capacity or is_doubtful:
            return None
        return change(Phase.MOVING if higher else Phase.DRAINING, "next share", next_share)
    if state.phase == Phase.DRAINING and min(lasted_s, inputs.drained_for_s) >= DRAINED_FOR_S:
        return change(Phase.COMPLETED, "drained", 1.0)
    return None


def bad_score(phase: str) -> float:
    """Return the score of the evidence that proves a target bad."""
    return MOVING_BAD_SCORE if phase in (Phase.MOVING, Phase.DRAINING) else CANARY_BAD_SCORE


def _changed(
    state: RolloutState, phase: Phase, reason: str, share: float, number: int, unix_s: float
) -> RolloutState:
    barred = set(state.barred)
    if phase is Phase.REVERTED:
        barred.add(state.target)
    return replace(
        state, number=number, step=state.step + 1, phase=phase.value, share=share,
        changed_s=unix_s, barred=tuple(sorted(barred)), reason=reason,
    )  # fmt: skip


def _verdict(
    state: RolloutState, inputs: RolloutInputs, share: float, unix_s: float
) -> Phase | None:
    """Return the phase after ``CANARY``, or ``None`` while the verdict is open."""
    evidence = inputs.evidence
    observed_min_s = min(OBSERVED_MIN_S, OBSERVED_MIN_SHARE * state.duration_s)
    is_observed = unix_s - state.observed_s >= observed_min_s
    if share < VERDICT_SHARE or not (is_observed or share >= LATE_CAPACITY_SHARE):
        return None
    if share < LATE_VERDICT_SHARE and evidence.answers_count < ANSWERS_MIN_COUNT:
        return None
    if evidence.score >= DOUBT_SCORE and share < DOUBTFUL_VERDICT_SHARE:
        return None
    if evidence.score >= VERDICT_BAD_SCORE:
        return Phase.REVERTED
    if _capacity_share(inputs) < MOVING_SHARES[0] and share < LATE_CAPACITY_SHARE:
        return None
    return Phase.MOVING


def _capacity_share(inputs: RolloutInputs) -> float:
    """Return the share of the load that the target's replicas can carry."""
    if inputs.new_slots >= inputs.old_slots:
        return 1.0
    return inputs.new_slots / max(1.0, SLOTS_PER_RUNNING * inputs.running_count)
