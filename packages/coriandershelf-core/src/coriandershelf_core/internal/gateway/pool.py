"""The registered replicas, with this VM's measurements of each."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.deployment import Replica
from coriandershelf_core.internal.gateway.digest import ReplicaDigest
from coriandershelf_core.internal.gateway.events import ReportedLoad
from coriandershelf_core.internal.gateway.origin_messages import ServiceVersion
from coriandershelf_core.internal.gateway.process_tracking import AnsweredSpan, AnsweringProcess
from coriandershelf_core.internal.gateway.replica_starts import KnownStarts, NoStart, StatedStart
from coriandershelf_core.internal.gateway.request_limits import LimitDigest, RequestLimit

# Registrations that expired during a store outage return within about two seconds of its end; a
# longer grace period would keep replicas that really left while this VM was cut off.
REREGISTRATION_GRACE_S = 1.9
# Time that a registration takes to be read, in addition.
REGISTRATION_READ_S = 0.3
# A process that has run for longer is registered, if it reaches the store: the users' platform
# executes writes up to 6 s late, and a heartbeat may be under way. Their pages state no bound.
UNREGISTERED_MAX_S = 8.0
# While the store is read, proofs of the registry are not older: two long polls.
PROOF_AGE_MAX_S = 5.0
LATENCY_RATIO_WEIGHT = 0.25
# Weight of the peers' mean, in samples, and minimum number of own samples to send a mean.
PEER_MEAN_SAMPLES_COUNT = 4
SHARED_SAMPLES_MIN_COUNT = 2
SAMPLES_MAX_COUNT = 12
LATENCY_RATIO_MIN = 0.4
LATENCY_RATIO_MAX = 8.0
FAILURE_DECAY_S = 3.0
FAILURES_MIN = 2.5
FAILURE_SHARE_MAX = 0.35
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 8.0
SLOWDOWN_DECAY_S = 0.4
# Peers drop digests with numbers that they cannot use, and a replica may state any.
SLOWDOWN_MAX = 1_000.0
# A replica's departure is sent to the peers for this long, several digest periods.
LEFT_SHARED_S = 6.0
# Replicas of which the leaving is kept: those of several hours at the largest site.
LEAVING_STARTS_MAX_COUNT = 4096
# Streams that began at a software version may be resumed for this long after its last replica left.
VERSION_KEPT_S = 60.0
# A slowdown reported by a replica is sent to the peers for this long.
SLOWDOWN_SHARED_S = 0.6


class InFlightAttempt(Struct):
    """One attempt of this VM at a replica.

    :param waiting_tokens: prompt tokens that await prefill; 0 after the first event.
    """

    waiting_tokens: int
    started_at_s: float


class ReplicaState(Struct):
    """Load, latency and health of one replica.

    :param limit: the request limit that the replica states.
    :param own_waiting_tokens: prompt tokens of this VM's requests that await prefill.
    :param peer_running_count: requests of other entry VMs, from their digests.
    :param peer_waiting_tokens: prompt tokens of those requests that await prefill.
    :param own_latency_ratio: moving mean of measured ÷ expected latency.
    :param low_load_latency_ratio: the same over requests sent at low load, which reflects the
        replica's speed alone.
    :param samples_count: number of samples of ``own_latency_ratio``, up to a limit.
    :param peer_latency_ratio: mean of the other entry VMs' ratios.
    :param slowdown: current ÷ usual service time, from the latest report of the replica to any VM.
    :param own_slowdown: the same, from the latest report to this VM.
    :param backoff_until_s: no requests are sent until then because the replica refused one.
    :param missing_since_s: when its registration vanished during a store outage.
    :param registered_at_s: when this VM learnt of the start that is registered.
    :param stated_start_ms: the start that the replica stated last to this VM, if it did.
    :param process: the process that answered this VM last.
    :param answered: when it is known to have run, by its answers alone.
    """

    replica: Replica
    limit: RequestLimit
    in_flight: dict[int, InFlightAttempt] = field(default_factory=dict)
    own_waiting_tokens: int = 0
    peer_running_count: int = 0
    peer_waiting_tokens: int = 0
    own_latency_ratio: float = 1.0
    low_load_latency_ratio: float = 1.0
    low_load_samples_count: int = 0
    samples_count: int = 0
    sampled_at_s: float = -math.inf
    peer_latency_ratio: float | None = None
    slowdown: float = 1.0
    slowdown_at_s: float = -math.inf
    own_slowdown: float = 1.0
    own_slowdown_at_s: float = -math.inf
    leaving: bool = False
    backoff_until_s: float = 0.0
    ejected_until_s: float = 0.0
    ejection_s: float = 0.0
    successes: float = 0.0
    failures: float = 0.0
    failures_at_s: float = 0.0
    missing_since_s: float | None = None
    registered_at_s: float | None = None
    stated_start_ms: int | None = None
    process: AnsweringProcess = field(default_factory=AnsweringProcess)
    answered: AnsweredSpan = field(default_factory=AnsweredSpan)

    @property
    def start_ms(self) -> int:
        """Return the start that runs, as far as this VM knows."""
        return self.replica.started_at_ms if self.stated_start_ms is None else self.stated_start_ms

    @property
    def running_count(self) -> int:
        """Return the known requests of all entry VMs at the replica."""
        return len(self.in_flight) + self.peer_running_count

    @property
    def waiting_tokens(self) -> int:
        """Return the known prompt tokens of all entry VMs that await prefill."""
        return self.own_waiting_tokens + self.peer_waiting_tokens

    @property
    def latency_ratio(self) -> float:
        """Return the measured ÷ expected latency, from the samples of all entry VMs."""
        if self.peer_latency_ratio is None:
            return self.own_latency_ratio
        own_weight = self.samples_count / (self.samples_count + PEER_MEAN_SAMPLES_COUNT)
        return self.peer_latency_ratio + own_weight * (
            self.own_latency_ratio - self.peer_latency_ratio
        )

    def on_peer_digests(self, digests: Sequence[ReplicaDigest], now_s: float) -> None:
        """Update from the other entry VMs' digests of this replica."""
        if not digests:
            self.peer_running_count = self.peer_waiting_tokens = 0
            return
        self.peer_running_count = sum(item.running_count for item in digests)
        self.peer_waiting_tokens = sum(item.waiting_tokens for item in digests)
        known = [item.slowness_percent / 100.0 for item in digests if item.slowness_percent]
        if known:
            self.peer_latency_ratio = sum(known) / len(known)
        for item in digests:
            at_s = now_s - item.pace_age_ms / 1e3
            if item.pace_percent and at_s > self.slowdown_at_s:
                self.slowdown, self.slowdown_at_s = item.pace_percent / 100.0, at_s

    def own_digest(self, now_s: float) -> ReplicaDigest:
        """Return this VM's digest of the replica."""
        known = self.samples_count >= SHARED_SAMPLES_MIN_COUNT
        percent = round(self.own_latency_ratio * 100.0) if known else 0
        pace_age_s = now_s - self.own_slowdown_at_s
        if pace_age_s > SLOWDOWN_SHARED_S:
            return ReplicaDigest(len(self.in_flight), self.own_waiting_tokens, percent)
        pace_percent = round(self.own_slowdown * 100.0)
        pace_age_ms = round(pace_age_s * 1e3)
        return ReplicaDigest(
            len(self.in_flight), self.own_waiting_tokens, percent, pace_percent, pace_age_ms
        )

    def sampled_since(self, at_s: float) -> bool:
        """Return whether there is a latency sample since a time."""
        return self.sampled_at_s >= at_s

    def current_slowdown(self, now_s: float) -> float:
        """Return the reported slowdown, decaying to 1 with its age."""
        weight = math.exp(-max(0.0, now_s - self.slowdown_at_s) / SLOWDOWN_DECAY_S)
        return 1.0 + (self.slowdown - 1.0) * weight

    def on_peer_slowdown(self, slowdown: float, age_s: float, now_s: float) -> None:
        """Update from a slowdown reported to another VM, if it is newer."""
        if now_s - age_s > self.slowdown_at_s:
            self.slowdown, self.slowdown_at_s = slowdown, now_s - age_s

    def start(self, attempt_id: int, waiting_tokens: int, now_s: float) -> None:
        """Add an attempt that is sent to the replica."""
        self.in_flight[attempt_id] = InFlightAttempt(waiting_tokens, now_s)
        self.own_waiting_tokens += waiting_tokens
        self.limit.on_sent(now_s)

    def on_first_event(self, attempt_id: int) -> InFlightAttempt | None:
        """Record that the prefill of an attempt is complete."""
        attempt = self.in_flight.get(attempt_id)
        if attempt is not None:
            self.own_waiting_tokens -= attempt.waiting_tokens
            attempt.waiting_tokens = 0
        return attempt

    def end(self, attempt_id: int) -> None:
        """Remove an attempt that has ended."""
        attempt = self.in_flight.pop(attempt_id, None)
        if attempt is not None:
            self.own_waiting_tokens -= attempt.waiting_tokens

    def on_latency(self, taken_s: float, expected_s: float, now_s: float, low_load: bool) -> None:
        """Add a sample of the time to a response or first event.

        :param low_load: whether few other requests ran there when it was sent.
        """
        ratio = min(LATENCY_RATIO_MAX, max(LATENCY_RATIO_MIN, taken_s / expected_s))
        self.samples_count = min(SAMPLES_MAX_COUNT, self.samples_count + 1)
        self.sampled_at_s = now_s
        weight = max(LATENCY_RATIO_WEIGHT, 1.0 / (1 + self.samples_count))
        self.own_latency_ratio += weight * (ratio - self.own_latency_ratio)
        if low_load:
            self.low_load_samples_count = min(SAMPLES_MAX_COUNT, self.low_load_samples_count + 1)
            weight = max(LATENCY_RATIO_WEIGHT, 1.0 / (1 + self.low_load_samples_count))
            self.low_load_latency_ratio += weight * (ratio - self.low_load_latency_ratio)

    def on_load(self, load: ReportedLoad | None, now_s: float) -> None:
        """Update from the load reported in a response."""
        if load is not None:
            self.slowdown = self.own_slowdown = min(SLOWDOWN_MAX, load.slowdown)
            self.slowdown_at_s = self.own_slowdown_at_s = now_s

    def on_success(self, now_s: float) -> None:
        """Record a success, which ends an ejection."""
        self._decay(now_s)
        self.successes += 1.0
        if self.ejected_until_s:
            self.ejected_until_s = self.ejection_s = 0.0
            self.failures = 0.0

    def on_failure(self, now_s: float) -> bool:
        """Record a failure; true if it caused an ejection."""
        self._decay(now_s)
        self.failures += 1.0
        share = self.failures / (self.failures + self.successes)
        if self.failures < FAILURES_MIN or share < FAILURE_SHARE_MAX:
            return False
        return self.eject(now_s)

    def eject(self, now_s: float) -> bool:
        """Eject the replica, with exponential backoff; false if it is ejected already."""
        if now_s < self.ejected_until_s:
            return False
        self.ejection_s = min(EJECTION_MAX_S, max(EJECTION_MIN_S, 2.0 * self.ejection_s))
        self.ejected_until_s = now_s + self.ejection_s
        return True

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self.failures_at_s) / FAILURE_DECAY_S)
        self.successes *= factor
        self.failures *= factor
        self.failures_at_s = now_s


class Pool:
    """All registered replicas by id."""

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}
        self._departed: dict[str, ReplicaState] = {}
        self._left_at: dict[str, tuple[int, float]] = {}
        self._version_left_at_s: dict[tuple[str, str], float] = {}
        self._starts = KnownStarts()
        # Starts of replicas that are known to leave, which is final for a start.
        self._leaving_starts: dict[str, int] = {}
        self._is_read = False
        # Since when the registry has been read without a failure, and up to when.
        self._in_order_since_s = math.inf
        self._in_order_until_s = -math.inf
        # Since when there was no long pause between two proofs.
        self._proved_since_s = -math.inf
        # Replicas register within a heartbeat after a start.
        self._heartbeat_s = 0.0

    def __iter__(self) -> Iterator[ReplicaState]:
        return iter(self._states.values())

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return a replica's state, also while a departed one drains; ``None`` if unknown."""
        return self._states.get(replica_id) or self._departed.get(replica_id)

    def ids(self) -> set[str]:
        """Return the ids of the registered replicas."""
        return set(self._states)

    def has_address(self, address: str) -> bool:
        """Return whether a registered replica has this address."""
        return any(state.replica.address == address for state in self._states.values())

    def own_running(self) -> dict[str, int]:
        """Return this VM's requests in flight, by service."""
        running: dict[str, int] = {}
        for state in self._states.values():
            service = state.replica.service
            running[service] = running.get(service, 0) + len(state.in_flight)
        return running

    def usable(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that may receive new requests."""
        return [
            state
            for state in self._states.values()
            if state.replica.service == service and not state.leaving
        ]

    def only_version(self, service: str, now_s: float) -> str | None:
        """Return the only software version of a service; ``None`` if there are or were others."""
        versions = self.versions_of(service, now_s)
        return versions.pop() if len(versions) == 1 else None

    def versions_of(self, service: str, now_s: float) -> set[str]:
        """Return the software versions whose streams may still be resumed."""
        versions = {
            state.replica.software_version
            for state in self._states.values()
            if state.replica.service == service
        }
        versions.update(
            version
            for (name, version), left_at_s in self._version_left_at_s.items()
            if name == service and now_s - left_at_s <= VERSION_KEPT_S
        )
        return versions

    def on_recorded_versions(self, recorded: Iterable[ServiceVersion], now_s: float) -> None:
        """Take recorded versions that this VM has never seen as if they had left just now."""
        for item in recorded:
            self._version_left_at_s.setdefault((item.service, item.version), now_s)

    def version_left_since_s(self, item: ServiceVersion, now_s: float) -> float:
        """Return how long ago a version left that has no replica; 0 if it is not known to."""
        return now_s - self._version_left_at_s.get((item.service, item.version), now_s)

    def apply(
        self,
        replicas: dict[str, Replica | None],
        complete: bool,
        after_outage: bool,
        now_s: float,
    ) -> list[ReplicaState]:
        """Apply registry changes and return the replicas removed by them."""
        self._is_read = True
        gone = [name for name, replica in replicas.items() if replica is None]
        if complete:
            gone += [name for name in self._states if name not in replicas]
        for name, replica in replicas.items():
            if replica is not None and not self._has_ended(replica):
                self._put(name, replica, now_s)
                self._starts.on_registered(replica)
                if replica.leaving:
                    self._note_leaving(name, replica.started_at_ms)
                    self._left_at.setdefault(name, (replica.started_at_ms, now_s))
        left = []
        for name in gone:
            former = self._states.get(name)
            if former is None:
                continue
            if after_outage and not former.leaving:
                if former.missing_since_s is None:
                    former.missing_since_s = now_s
                continue
            self._left_at.setdefault(name, (former.replica.started_at_ms, now_s))
            left.append(self._remove(name, now_s))
        return left

    def on_registry_proved(
        self,
        at_s: float,
        after_failure: bool,
        heartbeat_s: float,
        in_order_since_s: float | None = None,
    ) -> None:
        """Note that all registrations that were written before a time are known.

        :param heartbeat_s: period at which replicas renew their registrations.
        :param in_order_since_s: since when the VM that reads has done so without a failure.
        """
        self._heartbeat_s = heartbeat_s
        if in_order_since_s is not None:
            self._in_order_since_s = in_order_since_s
        elif after_failure or math.isinf(self._in_order_since_s):
            self._in_order_since_s = at_s
        if at_s - self._in_order_until_s > PROOF_AGE_MAX_S:
            self._proved_since_s = at_s
        self._in_order_until_s = max(self._in_order_until_s, at_s)

    def registry_age_ms(self, now_s: float) -> int | None:
        """Return how old the last proof of the registry is, for the log; ``None`` without one."""
        age_s = now_s - self._in_order_until_s
        return None if math.isinf(age_s) else round(age_s * 1e3)

    def is_settled(self, now_s: float, cut_until_s: float = -math.inf) -> bool:
        """Return whether replicas had time to register since the first read and any outage.

        What was read before an outage tells nothing of replicas that have started since.

        :param cut_until_s: until when replicas may have been cut off from the store.
        """
        is_recent = now_s - self._in_order_until_s <= PROOF_AGE_MAX_S
        return is_recent and self.would_be_registered(cut_until_s)

    def is_proved_since(self, at_s: float) -> bool:
        """Return whether all registrations that were written before a time are known."""
        return self._in_order_until_s >= at_s

    def would_be_registered(self, since_s: float) -> bool:
        """Return whether a start that ran at a time and reaches the store would be registered."""
        settling_s = max(self._heartbeat_s, REREGISTRATION_GRACE_S) + REGISTRATION_READ_S
        return self._in_order_until_s - max(self._in_order_since_s, since_s) > settling_s

    def may_be_settled(self, now_s: float) -> bool:
        """Return whether a proof of the registry now would settle it."""
        settling_s = max(self._heartbeat_s, REREGISTRATION_GRACE_S) + REGISTRATION_READ_S
        return now_s - self._in_order_since_s > settling_s

    def registered_by_s(self) -> float:
        """Return by when a process had to run to be registered by now, if it reaches the store."""
        by_s = self._in_order_until_s - UNREGISTERED_MAX_S
        return by_s if by_s > max(self._in_order_since_s, self._proved_since_s) else -math.inf

    def on_stated_start(self, replica_id: str, start: StatedStart) -> bool:
        """Note which start of a replica answers; return whether it is news that it is another."""
        state = self._states.get(replica_id)
        if state is None or isinstance(start, NoStart):
            return False
        is_news = start != state.start_ms
        state.stated_start_ms = start
        return is_news

    def version_of_start(self, replica_id: str, start: StatedStart) -> str | None:
        """Return the version of a start; ``None`` if it is not known or was not registered."""
        return self._starts.version_of(replica_id, start)

    def running_at(self, version: str, states: Iterable[ReplicaState]) -> list[ReplicaState]:
        """Return the replicas whose start is one of a software version, as far as is known."""
        return [
            state
            for state in states
            if self.version_of_start(state.replica.replica_id, state.start_ms) == version
        ]

    def expire(self, now_s: float) -> list[ReplicaState]:
        """Remove replicas that did not register again after a store outage."""
        due = [
            name
            for name, state in self._states.items()
            if state.missing_since_s is not None
            and now_s - state.missing_since_s >= REREGISTRATION_GRACE_S
        ]
        self._departed = {name: state for name, state in self._departed.items() if state.in_flight}
        return [self._remove(name, now_s) for name in due]

    def recently_left(self, now_s: float) -> dict[str, int]:
        """Return the replicas recently seen as leaving or gone, with their start times."""
        self._left_at = {
            name: item for name, item in self._left_at.items() if now_s - item[1] <= LEFT_SHARED_S
        }
        left = {
            name: started_at_ms
            for name, (started_at_ms, _) in self._left_at.items()
            if name not in self._states or self._states[name].leaving
        }
        for name, state in self._states.items():
            # A VM that starts reads a delayed registration as ready, however old the leaving is.
            if state.leaving and not state.replica.leaving and name in self._leaving_starts:
                left[name] = state.replica.started_at_ms
        return left

    def on_left(self, left: dict[str, int]) -> list[ReplicaState]:
        """Mark replicas as leaving that another VM saw leaving in the registry; return them.

        Needed because this VM's own long poll may stall although the registry has changed.
        """
        marked = []
        for name, started_at_ms in left.items():
            state = self._states.get(name)
            if state is None:
                if not self._is_read:
                    # The VM starts, and may yet read a delayed registration.
                    self._note_leaving(name, started_at_ms)
                continue
            same = state.replica.started_at_ms == started_at_ms
            if same and not state.leaving:
                state.leaving = True
                marked.append(state)
        return marked

    def on_limits(self, limits: dict[str, LimitDigest], now_s: float) -> list[ReplicaState]:
        """Apply the limits that another VM knows; return the replicas whose limit changed."""
        changed = []
        for name, digest in limits.items():
            state = self._states.get(name)
            same = state is not None and state.replica.started_at_ms == digest.started_at_ms
            if state is not None and same and state.limit.on_digest(digest, now_s):
                changed.append(state)
        return changed

    def limits(self, now_s: float) -> dict[str, LimitDigest]:
        """Return the request limits for this VM's digests, by replica id."""
        digests = {
            name: state.limit.digest(state.replica.started_at_ms, now_s)
            for name, state in self._states.items()
            if state.limit.was_stated
        }
        return {name: digest for name, digest in digests.items() if digest is not None}

    def on_stated_leaving(self, state: ReplicaState, now_s: float) -> bool:
        """Record that a replica stated in a response that it leaves; false if known before."""
        if state.leaving:
            return False
        state.leaving = True
        replica = state.replica
        self._note_leaving(replica.replica_id, state.start_ms)
        self._left_at.setdefault(replica.replica_id, (state.start_ms, now_s))
        return True

    def _note_leaving(self, name: str, started_at_ms: int) -> None:
        """Keep that a start of a replica leaves, also once its registration is gone."""
        self._leaving_starts.pop(name, None)
        self._leaving_starts[name] = started_at_ms
        if len(self._leaving_starts) > LEAVING_STARTS_MAX_COUNT:
            del self._leaving_starts[next(iter(self._leaving_starts))]

    def mark_leaving(self, replica_id: str) -> None:
        """Send no more requests to a replica, because its address belongs to another one."""
        state = self._states.get(replica_id)
        if state is not None:
            state.leaving = True

    def _has_ended(self, replica: Replica) -> bool:
        """Return whether a registration is of a start that another one has replaced before.

        The store may execute it late.
        """
        state = self._states.get(replica.replica_id)
        return state is not None and self._starts.was_replaced(replica, state.replica)

    def _put(self, name: str, replica: Replica, now_s: float) -> None:
        former = self._states.get(name)
        state = former
        if state is None or _start_of(state.replica) != _start_of(replica):
            state = ReplicaState(replica, RequestLimit(replica.replica_id), registered_at_s=now_s)
            self._states[name] = state
            if former is not None:
                self._replace(name, former, now_s)
        state.replica = replica
        # A replica never comes back from leaving; a delayed registration may still say that it is
        # ready.
        is_late = self._leaving_starts.get(name) == replica.started_at_ms
        state.leaving = state.leaving or replica.leaving or is_late
        state.missing_since_s = None

    def _replace(self, name: str, former: ReplicaState, now_s: float) -> None:
        """Take over that a replica has started again."""
        self._note_version_left(former, now_s)
        # Requests for which it was selected must not go to its successor unchecked.
        former.leaving = True
        if former.in_flight:
            self._departed[f"{name}@{former.replica.started_at_ms}"] = former

    def _note_version_left(self, state: ReplicaState, now_s: float) -> None:
        replica = state.replica
        self._version_left_at_s[replica.service, replica.software_version] = now_s

    def _remove(self, name: str, now_s: float) -> ReplicaState:
        state = self._states.pop(name)
        self._note_version_left(state, now_s)
        state.leaving = True
        if state.in_flight:
            self._departed[name] = state
        return state


def _start_of(replica: Replica) -> tuple[int, str]:
    """Return what tells two starts of a replica under the same id apart."""
    return replica.started_at_ms, replica.software_version
