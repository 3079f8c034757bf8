"""Load tracking on sites with many entry VMs: one VM per replica tracks its exact load.

On such sites digests are sent so rarely that most requests end before the other VMs learn of them.
So before sending a request, a VM queries the trackers of a few replicas, and sends the tracker of
the selected one an update at each step of the attempt. Tracked loads are advisory: without a reply
the VM decides by its own state, and the replica may still refuse the request.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

import xxhash
from msgspec import Struct, field

from coriandershelf_core.internal.gateway.prompt_cache_index import PromptCacheIndex
from coriandershelf_core.internal.gateway.request import PromptPart

# Prefill time per prompt token of an engine of nominal speed.
PREFILL_TOKEN_S = 1.0e-5
# A new tracker knows only attempts started since it took over; for this long the digests' counts,
# about a second old on the largest sites, fill the gap.
TAKEOVER_GRACE_S = 2.0
# A replica that a VM could not connect to is reported as unusable to all VMs for this long, after
# which it is tried again.
UNREACHABLE_S = 1.0
# Weight of a sample in the moving mean of the latency ratio; all VMs together send about ten
# samples a second.
LATENCY_RATIO_WEIGHT = 0.08
LATENCY_RATIO_MIN = 0.4
LATENCY_RATIO_MAX = 8.0
SAMPLES_MIN_COUNT = 3


class AttemptStep(Enum):
    """A step in the life cycle of an attempt."""

    STARTED = "started"
    FIRST_EVENT = "begun"
    ENDED = "ended"
    UNREACHABLE = "unreachable"


class LoadQuery(Struct, frozen=True):
    """A query for the loads of some replicas.

    :param address: where to send the reply.
    :param parts: prompt parts of the request to be sent.
    """

    vm_id: str
    address: str
    ask_id: int
    replicas: tuple[str, ...]
    parts: tuple[PromptPart, ...]


class TrackedLoad(Struct, frozen=True):
    """The tracked load of one replica.

    :param running_count: requests of all entry VMs in flight.
    :param waiting_tokens: prompt tokens of these requests that await prefill.
    :param cached_tokens: leading tokens of the queried prompt that are likely in its KV cache.
    :param shut_out: whether some VM recently could not connect to it.
    :param pace: service time ÷ its usual value, from the replica's latest report to any VM.
    :param pace_age_s: time since that report.
    :param slowness: recent mean over all VMs of measured ÷ expected latency, where the expectation
        is for a replica of nominal speed; ``None`` with too few samples.
    :param streams_count: those of the requests that have had their first event.
    """

    replica_id: str
    running_count: int
    waiting_tokens: int
    cached_tokens: int
    shut_out: bool = False
    pace: float = 1.0
    pace_age_s: float = math.inf
    slowness: float | None = None
    streams_count: int = 0


class LoadReply(Struct, frozen=True):
    """The reply to a query."""

    vm_id: str
    ask_id: int
    rooms: tuple[TrackedLoad, ...]


class AttemptUpdate(Struct, frozen=True):
    """An update on one attempt, sent to the VM that tracks its replica's load.

    :param tokens_count: prompt tokens that the replica has to prefill.
    :param keep_s: time after which the attempt has ended in any case.
    :param parts: prompt parts that the replica prefills.
    :param pace: service time ÷ its usual value, if the replica has just reported it.
    :param slowness: measured ÷ expected time to first event.
    """

    vm_id: str
    incarnation: int
    replica_id: str
    attempt_id: int
    step: AttemptStep
    tokens_count: int = 0
    keep_s: float = 0.0
    parts: tuple[PromptPart, ...] = ()
    pace: float | None = None
    slowness: float | None = None


LoadMessage = LoadQuery | LoadReply | AttemptUpdate


class TrackerAssignment:
    """Assigns each replica the VM that tracks its load, in the replica's zone if possible.

    Rendezvous hashing (Thaler and Ravishankar 1998) over the live VMs, so that all VMs agree. In a
    network partition between zones, a replica and its tracker stay on the same side.
    """

    def __init__(self) -> None:
        self._vms_by_zone: dict[str, tuple[str, ...]] = {}
        self._tracker_ids: dict[str, str | None] = {}

    def set_vms(self, vms_by_zone: dict[str, tuple[str, ...]]) -> None:
        """Set the live VMs by zone, ordered by id."""
        if vms_by_zone != self._vms_by_zone:
            self._vms_by_zone = vms_by_zone
            self._tracker_ids.clear()

    def tracker_of(self, replica_id: str, zone: str) -> str | None:
        """Return the VM that tracks a replica's load, or ``None`` if no VM is known."""
        if replica_id not in self._tracker_ids:
            everywhere = [vm_id for vms in self._vms_by_zone.values() for vm_id in vms]
            self._tracker_ids[replica_id] = max(
                self._vms_by_zone.get(zone) or everywhere,
                key=lambda vm_id: xxhash.xxh64_intdigest(f"{replica_id}/{vm_id}".encode()),
                default=None,
            )
        return self._tracker_ids[replica_id]


class _TrackedAttempt(Struct):
    tokens_count: int
    started_at_s: float
    expires_at_s: float


class _TrackedReplica(Struct):
    """State of one tracked replica.

    :param attempts: attempts in flight by VM id, incarnation and attempt id.
    :param prefill_done_at_s: when the prefill of an attempt last completed.
    """

    created_at_s: float
    attempts: dict[tuple[str, int, int], _TrackedAttempt] = field(default_factory=dict)
    prefill_done_at_s: float = -math.inf
    unreachable_until_s: float = -math.inf
    slowdown: float = 1.0
    slowdown_at_s: float = -math.inf
    latency_ratio: float = 1.0
    samples_count: int = 0

    def waiting_tokens(self, now_s: float) -> int:
        """Return the tokens that await prefill, less the estimated progress on the first prompt."""
        waiting = [attempt for attempt in self.attempts.values() if attempt.tokens_count]
        if not waiting:
            return 0
        first = waiting[0]
        prefilling_s = now_s - max(first.started_at_s, self.prefill_done_at_s)
        prefilled = int(prefilling_s / (PREFILL_TOKEN_S * self.latency_ratio * self.slowdown))
        return sum(attempt.tokens_count for attempt in waiting) - min(first.tokens_count, prefilled)

    def on_latency_ratio(self, latency_ratio: float) -> None:
        """Add a sample to the moving mean."""
        self.samples_count += 1
        weight = max(LATENCY_RATIO_WEIGHT, 1.0 / self.samples_count)
        bounded = min(LATENCY_RATIO_MAX, max(LATENCY_RATIO_MIN, latency_ratio))
        self.latency_ratio += weight * (bounded - self.latency_ratio)


class LoadTracker:
    """Tracks the load of the replicas assigned to this VM."""

    def __init__(self) -> None:
        self._replicas: dict[str, _TrackedReplica] = {}
        self._prompt_cache = PromptCacheIndex()

    def on_update(self, update: AttemptUpdate, now_s: float) -> None:
        """Apply a step of an attempt."""
        tracked = self._tracked(update.replica_id, now_s)
        key = (update.vm_id, update.incarnation, update.attempt_id)
        # A replica that states 0 would have expected times of 0, by which loads are divided.
        if update.pace is not None and update.pace > 0.0:
            tracked.slowdown, tracked.slowdown_at_s = update.pace, now_s
        if update.slowness is not None:
            tracked.on_latency_ratio(update.slowness)
        match update.step:
            case AttemptStep.STARTED:
                tracked.attempts[key] = _TrackedAttempt(
                    update.tokens_count, now_s, now_s + update.keep_s
                )
                self._prompt_cache.add(update.parts, update.replica_id, now_s)
            case AttemptStep.FIRST_EVENT:
                tracked.unreachable_until_s = -math.inf
                tracked.prefill_done_at_s = now_s
                if key in tracked.attempts:
                    tracked.attempts[key].tokens_count = 0
            case AttemptStep.ENDED:
                tracked.attempts.pop(key, None)
            case AttemptStep.UNREACHABLE:
                tracked.attempts.pop(key, None)
                tracked.unreachable_until_s = now_s + UNREACHABLE_S

    def load(
        self,
        replica_id: str,
        parts: Sequence[PromptPart],
        digest_load: tuple[int, int],
        now_s: float,
    ) -> TrackedLoad:
        """Return a replica's load.

        :param digest_load: requests in flight, and prompt tokens awaiting prefill, as known from
            digests; used as lower bounds shortly after this VM became the tracker.
        """
        tracked = self._tracked(replica_id, now_s)
        running_count = len(tracked.attempts)
        waiting_tokens = tracked.waiting_tokens(now_s)
        if now_s - tracked.created_at_s < TAKEOVER_GRACE_S:
            running_count = max(running_count, digest_load[0])
            waiting_tokens = max(waiting_tokens, digest_load[1])
        cached_tokens = self._prompt_cache.cached_tokens(parts, replica_id, now_s)
        shut_out = now_s < tracked.unreachable_until_s
        return TrackedLoad(
            replica_id, running_count, waiting_tokens, cached_tokens, shut_out,
            tracked.slowdown, now_s - tracked.slowdown_at_s,
            tracked.latency_ratio if tracked.samples_count >= SAMPLES_MIN_COUNT else None,
            sum(1 for attempt in tracked.attempts.values() if not attempt.tokens_count),
        )  # fmt: skip

    def on_tick(self, replicas: set[str], processes: set[tuple[str, int]], now_s: float) -> None:
        """Remove attempts whose end was missed, and replicas that are gone.

        :param replicas: ids of the registered replicas.
        :param processes: ids and incarnations of the live entry VMs.
        """
        for replica_id in [name for name in self._replicas if name not in replicas]:
            del self._replicas[replica_id]
        for tracked in self._replicas.values():
            stale = [
                key
                for key, attempt in tracked.attempts.items()
                if now_s >= attempt.expires_at_s or key[:2] not in processes
            ]
            for key in stale:
                del tracked.attempts[key]

    def _tracked(self, replica_id: str, now_s: float) -> _TrackedReplica:
        tracked = self._replicas.get(replica_id)
        if tracked is None:
            tracked = self._replicas[replica_id] = _TrackedReplica(now_s)
        return tracked
