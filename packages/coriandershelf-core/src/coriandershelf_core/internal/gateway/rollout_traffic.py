"""What one VM sends to the target of a roll-out, and what it knows of the roll-out's state.

While the verdict is open, each VM sends the target no more than ``expose_share`` of the requests
that it has sent itself, plus its fraction of the slack, so the bound over all VMs holds without any
message. A process that was started after the order has no slack: another one may have spent it. A
VM stops sending to the target when the answers that it knows of prove it bad, without waiting for
the holder, and when its news of the roll-out is old.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import xxhash
from msgspec import Struct, field
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import Action, IncrementCounter, LogLine
from coriandershelf_core.internal.gateway.attempts import AttemptState
from coriandershelf_core.internal.gateway.deployment import Replica, RouteKind
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.load_tracking import PREFILL_TOKEN_S
from coriandershelf_core.internal.gateway.pool import Pool, ReplicaState
from coriandershelf_core.internal.gateway.request import ActiveRequest
from coriandershelf_core.internal.gateway.rollout import (
    VERDICT_SHARE,
    Phase,
    RolloutInputs,
    RolloutNews,
    RolloutOrder,
    RolloutState,
    bad_score,
    begin,
    decide,
)
from coriandershelf_core.internal.gateway.rollout_counts import (
    Evidence,
    Judged,
    OwnCounts,
    RouteCounts,
    Timing,
    VersionCounts,
    counts_since,
    latest_counts,
    sum_routes,
    weigh,
)
from coriandershelf_core.internal.gateway.selection import FIRST_EVENT_BASE_S
from coriandershelf_core.internal.gateway.settings import GatewaySettings

# Share of the bound that a canary uses: VMs count requests at slightly different times than
# callers, and what is left lets a version that turns bad under the first larger shares keep within
# the bound.
EXPOSURE_MARGIN = 0.8
# At most this share of a VM's requests goes to the target, so that both versions are compared in
# the same seconds; half of the slack is spent at once, the rest evenly until the verdict.
CANARY_SHARE_MAX = 0.5
SLACK_AT_ONCE_SHARE = 0.5
# News of a roll-out is used for this share of ``rollback_s`` at most, and for a few digest periods.
NEWS_ROLLBACK_SHARE = 0.6
NEWS_PERIODS_COUNT = 3.0
NEWS_MIN_AGE_S = 1.0
# Delay of a digest, and error of the clocks, that is not regarded as age of its news.
CLOCK_TOLERANCE_S = 0.3
# A request that was to be sent to the target is counted for this long until it is.
RESERVED_S = 0.1
# Ended roll-outs are sent to the peers for this long; then only the store has them.
ENDED_SHARED_S = 30.0
# Without news of a running roll-out for this long, the state is read from the store.
READ_STATE_AFTER_S = 1.5
# Replicas to which the requests of a canary go at a time, as a share of the target's; later it is
# the share of the requests. So they are loaded like the old ones, and a version that is bad under
# load shows it while its share is small. Then others follow.
CANARY_REPLICAS_SHARE = 0.1
CANARY_ROTATION_S = 0.7
# All counts are evaluated at this period, or at this share of the peers' digest period where that
# is longer, and after this share of it once a peer tells of bad answers.
EVALUATION_PERIOD_S = 0.25
EVALUATION_PERIODS_SHARE = 0.25
SOON_SHARE = 0.2
# Replicas of a version are started after its order is written. So one that is new to this VM waits
# until the orders are known up to when it was first seen, at most this long if they can't be read.
UNPROVED_MAX_S = 3.0
# Stands for a number of requests in flight that was not counted yet.
UNKNOWN_RUNNING = 1
# The counts of this last time are judged by themselves as well.
RECENT_S = 2.0
# Streams with fewer events say nothing about the pace of events.
PACE_EVENTS_MIN_COUNT = 4
# Replicas are not released for this long after the end of a roll-out: the registry is behind.
SETTLED_AFTER_S = 6.0


class _ServiceRollout(Struct):
    """The roll-out of one service, as known to this VM.

    :param heard_s: when the state was last known to be current.
    :param slack_count: this VM's fraction of the slack.
    :param requests_count: requests that this VM has sent since it knows of the order;
        ``target_count`` are the attempts at the target.
    :param reserved: requests about to be sent to the target, with the end of the reservation.
    :param credit: requests owed to the target while its share grows.
    :param past: all counts at times of the last ``RECENT_S``.
    :param evidence: what the counts proved when they were last evaluated.
    :param is_held: whether the known answers prove the target bad.
    """

    order: RolloutOrder
    known_since_s: float
    state: RolloutState | None = None
    heard_s: float = -math.inf
    own: OwnCounts = field(default_factory=OwnCounts)
    peers: dict[tuple[str, int], VersionCounts] = field(default_factory=dict)
    slack_count: float = 0.0
    requests_count: int = 0
    target_count: int = 0
    reserved: dict[int, float] = field(default_factory=dict)
    credit: float = 0.0
    is_held: bool = False
    evidence: Evidence = field(default_factory=Evidence)
    past: deque[tuple[float, dict[str, RouteCounts]]] = field(default_factory=deque)
    evaluate_at_s: float = 0.0
    old_running: int = UNKNOWN_RUNNING
    drained_since_s: float | None = None
    ended_at_s: float | None = None

    @property
    def current(self) -> RolloutState | None:
        """Return the state, unless it is that of an older order."""
        state = self.state
        return state if state is not None and state.offset == self.order.offset else None

    @property
    def barred(self) -> set[str]:
        """Return the versions that must not be used."""
        state = self.state
        if state is None:
            return set()
        barred = set(state.barred)
        if state.offset < self.order.offset:
            if state.phase != Phase.COMPLETED:
                barred.add(state.target)
            barred.discard(self.order.target)
        return barred

    @property
    def counts_answers(self) -> bool:
        """Return whether the roll-out is running."""
        state = self.current
        return state is None or not state.ended


class Rollouts(Struct):
    """The roll-outs known to this VM, by service.

    :param fleet_count: returns the number of VMs among which the slack is divided.
    :param digest_period_s: returns the longest period of the peers' digests.
    :param unix_s: returns the Unix time at a monotonic time.
    :param lead_until_s: end of this VM's lease while it is the holder: it decides the states.
    """

    settings: GatewaySettings
    pool: Pool
    fleet_count: Callable[[], int]
    digest_period_s: Callable[[], float]
    unix_s: Callable[[float], float]
    emit: Callable[[Action], None]
    lead_until_s: float = -math.inf
    _services: dict[str, _ServiceRollout] = field(default_factory=dict)
    _versions: dict[str, set[str]] = field(default_factory=dict)
    _unproved: dict[tuple[str, str], float] = field(default_factory=dict)

    def on_replicas(self, replicas: Iterable[Replica | None], now_s: float) -> None:
        """Hold back a version that is new to this VM until it knows of any order for it."""
        if not self.settings.expects_rollouts:
            return
        for replica in replicas:
            if replica is None:
                continue
            versions = self._versions.setdefault(replica.service, set())
            if replica.software_version not in versions:
                versions.add(replica.software_version)
                self._unproved[replica.service, replica.software_version] = now_s

    def on_orders_proved(self, at_s: float, now_s: float) -> None:
        """Take note that all orders written before ``at_s`` are known."""
        if self._unproved:
            self._unproved = {
                key: seen_s
                for key, seen_s in self._unproved.items()
                if seen_s >= at_s and now_s - seen_s < UNPROVED_MAX_S
            }

    def _proved(
        self, service: str, states: Sequence[ReplicaState], now_s: float
    ) -> Sequence[ReplicaState]:
        held = {
            version
            for (name, version), seen_s in self._unproved.items()
            if name == service and now_s - seen_s < UNPROVED_MAX_S
        }
        return [s for s in states if s.replica.software_version not in held] or states

    @property
    def known(self) -> bool:
        """Return whether any order is known."""
        return bool(self._services)

    def state_of(self, service: str) -> RolloutState | None:
        """Return the state of a service's latest order, if it is known."""
        item = self._services.get(service)
        return item.current if item is not None else None

    def states(self) -> list[RolloutState]:
        """Return the states of the latest orders."""
        return [item.current for item in self._services.values() if item.current is not None]

    def on_order(self, order: RolloutOrder, now_s: float) -> None:
        """Take note of an order; an older one than the known is ignored."""
        item = self._services.get(order.service)
        if item is not None and order.offset <= item.order.offset:
            if order.offset == item.order.offset and item.slack_count == 0.0:
                item.slack_count = self._slack_count(order, item)
            return
        item = self._replace(order, item, now_s)
        item.slack_count = self._slack_count(order, item)
        fields = (
            ("service", order.service),
            ("target", order.target),
            ("duration_s", order.duration_s),
            ("offset", order.offset),
        )
        self.emit(LogLine("rollout ordered", fields))

    def _slack_count(self, order: RolloutOrder, item: _ServiceRollout) -> float:
        state = item.current
        if order.earliest_s is None or (state is not None and state.ended):
            return 0.0
        return self.settings.canary_slack_count / max(1, self.fleet_count())

    def _replace(
        self, order: RolloutOrder, earlier: _ServiceRollout | None, now_s: float
    ) -> _ServiceRollout:
        item = _ServiceRollout(order, now_s, earlier.state if earlier is not None else None)
        self._services[order.service] = item
        return item

    def on_state(self, state: RolloutState, heard_s: float, now_s: float) -> None:
        """Take note of a state that was current at ``heard_s``; later states replace earlier."""
        times = (state.duration_s, state.started_s, state.changed_s, state.observed_s)
        if state.duration_s <= 0.0 or not all(map(math.isfinite, times)):
            self.emit(IncrementCounter("rollouts", "malformed"))
            return
        item = self._services.get(state.service)
        if item is None or state.offset > item.order.offset:
            order = RolloutOrder(state.service, state.target, state.duration_s, state.offset)
            item = self._replace(order, item, now_s)
        known = item.state
        if known is not None and state.rank < known.rank:
            return
        if known is None or state.rank > known.rank:
            item.state, item.credit, item.drained_since_s = state, 0.0, None
            item.heard_s = heard_s
            # What runs at the old versions is counted anew: the count may be older than the phase.
            item.evaluate_at_s, item.old_running = now_s, UNKNOWN_RUNNING
            item.ended_at_s = now_s if state.ended else None
            self._log_state(state)
        item.heard_s = max(item.heard_s, heard_s)

    def _log_state(self, state: RolloutState) -> None:
        self.emit(IncrementCounter("rollouts", state.phase))
        fields = (
            ("service", state.service),
            ("target", state.target),
            ("phase", state.phase),
            ("share", state.share),
            ("reason", state.reason),
            ("step", state.step),
            ("number", state.number),
        )
        self.emit(LogLine("rollout phase", fields))

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Take note of a peer's news and counts."""
        if not digest.rollouts and not digest.versions:
            return
        # A datagram that waited while this VM was frozen brings old news.
        late_s = max(0.0, self.unix_s(now_s) - digest.clock_s - CLOCK_TOLERANCE_S)
        for news in digest.rollouts.values():
            self.on_state(news.state, now_s - max(0, news.age_ms) / 1e3 - late_s, now_s)
        for service, counts in digest.versions.items():
            item = self._services.get(service)
            if item is None or counts.offset != item.order.offset:
                continue
            key = (digest.vm_id, digest.incarnation)
            known = item.peers.get(key)
            item.peers[key] = counts
            if known is not None and known.bad_count != counts.bad_count:
                soon_s = now_s + SOON_SHARE * self._evaluation_period_s()
                item.evaluate_at_s = min(item.evaluate_at_s, soon_s)

    def news(self, now_s: float) -> dict[str, RolloutNews]:
        """Return the news for a digest: running and just ended roll-outs."""
        news = {}
        for service, item in self._services.items():
            state = item.current
            if state is None:
                continue
            if item.ended_at_s is not None and now_s - item.ended_at_s > ENDED_SHARED_S:
                continue
            age_s = min(3600.0, max(0.0, now_s - self._heard_s(item, now_s)))
            news[service] = RolloutNews(state, round(age_s * 1e3))
        return news

    def counts(self) -> dict[str, VersionCounts]:
        """Return this VM's counts for a digest, of the running roll-outs."""
        return {
            service: item.own.snapshot(item.order.offset, item.old_running)
            for service, item in self._services.items()
            if item.counts_answers
        }

    def needs_state(self, now_s: float) -> bool:
        """Return whether the state of a roll-out should be read from the store."""
        return any(
            item.counts_answers
            and now_s - max(item.known_since_s, self._heard_s(item, now_s)) > READ_STATE_AFTER_S
            for item in self._services.values()
        )

    def is_settled(self, service: str, now_s: float) -> bool:
        """Return whether a service has no roll-out, or one that ended some time ago."""
        item = self._services.get(service)
        if item is None:
            return True
        return item.ended_at_s is not None and now_s - item.ended_at_s > SETTLED_AFTER_S

    def allowed(
        self, request: ActiveRequest, states: Sequence[ReplicaState], now_s: float
    ) -> Sequence[ReplicaState]:
        """Return the replicas whose version may run a request.

        :param states: the usable replicas of its service.
        """
        if self._unproved and request.software_version is None:
            states = self._proved(request.service, states, now_s)
        item = self._services.get(request.service)
        if item is None:
            return states
        target, barred, state = item.order.target, item.barred, item.current
        new = [s for s in states if s.replica.software_version == target and target not in barred]
        old = [
            s
            for s in states
            if s.replica.software_version != target and s.replica.software_version not in barred
        ]
        if state is not None and state.phase == Phase.COMPLETED:
            return new or old
        if not new:
            return old
        is_open = state is None or state.phase == Phase.CANARY
        is_known_open = is_open and state is not None and self._is_fresh(item, now_s)
        if not old and not item.is_held and not is_known_open:
            # This VM may have missed that the roll-out was completed and the old replicas stopped.
            return new
        version = request.software_version
        if version is not None and version != target:
            return old
        is_target = version == target
        if item.is_held or not self._may_send(item, request, is_target, now_s):
            return [] if is_target else old
        chosen = new
        if not is_target and (state is None or state.phase != Phase.DRAINING):
            share = CANARY_REPLICAS_SHARE if is_open or state is None else state.share
            chosen = self._open_replicas(new, share, now_s)
        if not chosen:
            return old
        item.reserved[request.arrival.handle] = now_s + RESERVED_S
        return chosen

    def _may_send(
        self, item: _ServiceRollout, request: ActiveRequest, is_target: bool, now_s: float
    ) -> bool:
        """Return whether the target may get a request; ``is_target`` if it began its stream."""
        state = item.current
        is_fresh = self._is_fresh(item, now_s)
        if state is not None and is_fresh:
            if state.phase == Phase.DRAINING:
                return True
            if state.phase == Phase.MOVING:
                return is_target or self._takes_share(item, state, request)
        if state is None or not is_fresh:
            return False
        # A retry of a failed request goes to the old version, so that its caller is served. So does
        # one that found no capacity at the target, or it would hold back what waits behind it.
        if (request.sent_count or request.has_waited) and not is_target:
            return False
        return self._is_within_bound(item, state, request, now_s)

    @staticmethod
    def _takes_share(item: _ServiceRollout, state: RolloutState, request: ActiveRequest) -> bool:
        if request.sent_count:
            return False
        # A waiting request is looked at each time capacity may be free, and counts once.
        if not request.has_waited:
            item.credit = min(1.0 + state.share, item.credit + state.share)
        if item.credit < 1.0:
            return False
        item.credit -= 1.0
        return True

    def _is_within_bound(
        self, item: _ServiceRollout, state: RolloutState, request: ActiveRequest, now_s: float
    ) -> bool:
        item.reserved = {
            handle: until_s
            for handle, until_s in item.reserved.items()
            if until_s > now_s and handle != request.arrival.handle
        }
        count = item.target_count + len(item.reserved) + 1
        verdict_s = max(0.1, VERDICT_SHARE * state.duration_s)
        elapsed_share = min(1.0, max(0.0, now_s - item.known_since_s) / verdict_s)
        slack_share = SLACK_AT_ONCE_SHARE + (1.0 - SLACK_AT_ONCE_SHARE) * elapsed_share
        bound = item.slack_count * slack_share
        bound += self.settings.expose_share * item.requests_count
        most = CANARY_SHARE_MAX * item.requests_count + 1.0
        return count <= min(EXPOSURE_MARGIN * bound, most)

    def _open_replicas(
        self, new: Sequence[ReplicaState], share: float, now_s: float
    ) -> list[ReplicaState]:
        """Return a share of the target's replicas with free slots; all VMs take the same ones."""
        open_states = [
            state
            for state in new
            if now_s >= max(state.ejected_until_s, state.backoff_until_s)
            and state.running_count < state.replica.slots_count
        ]
        window = int(self.unix_s(now_s) / CANARY_ROTATION_S)
        count = max(1, round(share * len(new)))
        return sorted(
            open_states,
            key=lambda state: xxhash.xxh64_intdigest(
                f"{window}/{state.replica.replica_id}".encode()
            ),
        )[:count]

    def _heard_s(self, item: _ServiceRollout, now_s: float) -> float:
        return now_s if now_s < self.lead_until_s else item.heard_s

    def _is_fresh(self, item: _ServiceRollout, now_s: float) -> bool:
        max_age_s = max(NEWS_MIN_AGE_S, NEWS_PERIODS_COUNT * self.digest_period_s())
        max_age_s = min(max_age_s, NEWS_ROLLBACK_SHARE * self.settings.rollback_s)
        return now_s - self._heard_s(item, now_s) <= max_age_s

    def on_started(self, request: ActiveRequest, state: ReplicaState) -> None:
        """Count an attempt that is about to be sent."""
        item = self._services.get(request.service)
        if item is None:
            return
        item.reserved.pop(request.arrival.handle, None)
        if not request.rollout_counted:
            request.rollout_counted = True
            item.requests_count += 1
        if state.replica.software_version == item.order.target:
            item.target_count += 1
            if item.counts_answers:
                self.emit(IncrementCounter("rollout_sends", request.service))

    def on_answer(self, attempt: AttemptState, failed: bool, now_s: float) -> None:
        """Count a complete response, or a stream's first event."""
        item = self._counted(attempt)
        if item is None:
            return
        is_new = self._is_new(item, attempt)
        item.own.confirm_breaks(attempt.state.replica.replica_id, now_s)
        taken_s = now_s - attempt.started_at_s
        timing = _timing(attempt, taken_s)
        references = _references(attempt, "")
        is_slow = not failed and item.own.is_slow(references, is_new, timing, now_s)
        if not is_new and not failed:
            item.own.note_time(references, timing, now_s)
        self._judge(item, attempt, failed, is_slow)

    def on_stream_ended(self, attempt: AttemptState, now_s: float) -> None:
        """Compare the pace of a whole stream's events."""
        item = self._counted(attempt)
        if item is None or attempt.first_event_at_s is None:
            return
        if attempt.events_count < PACE_EVENTS_MIN_COUNT:
            return
        is_new = self._is_new(item, attempt)
        gap_s = (now_s - attempt.first_event_at_s) / attempt.events_count
        # The pace does not depend on prompts, so it is compared with the old version's alone.
        timing = Timing(gap_s, 1.0, 0.0)
        references = _references(attempt, "pace")
        is_slow = item.own.is_slow(references, is_new, timing, now_s)
        if not is_new:
            item.own.note_time(references, timing, now_s)
        if is_slow:
            self._judge(item, attempt, False, True)

    def on_broken(self, attempt: AttemptState, now_s: float, certain: bool) -> None:
        """Count an attempt that broke off or gave no answer in time.

        :param certain: whether the replica itself is known to run.
        """
        item = self._counted(attempt)
        if item is None or attempt.judged is Judged.BAD:
            return
        if certain:
            self._judge(item, attempt, True, False)
            return
        counted = attempt.judged is not Judged.NOT_YET
        attempt.judged = Judged.BAD
        replica = attempt.state.replica
        item.own.add_break(
            attempt.request.route.name, replica.replica_id, self._is_new(item, attempt),
            attempt.started_at_s, counted, now_s,
        )  # fmt: skip

    def on_abandoned(self, attempt: AttemptState, now_s: float) -> None:
        """Count an attempt whose caller left, or that waits, if its answer is late already."""
        item = self._counted(attempt)
        if item is None or attempt.judged is not Judged.NOT_YET:
            return
        if attempt.headers_received and attempt.request.route.kind is not RouteKind.STREAM:
            return
        timing = _timing(attempt, now_s - attempt.started_at_s)
        is_new = self._is_new(item, attempt)
        if item.own.is_slow(_references(attempt, ""), is_new, timing, now_s):
            self._judge(item, attempt, False, True)

    def _judge(
        self, item: _ServiceRollout, attempt: AttemptState, failed: bool, slow: bool
    ) -> None:
        """Count an attempt once as an answer, and at most once as a failure or a slow one."""
        answers = int(attempt.judged is Judged.NOT_YET)
        is_bad = (failed or slow) and attempt.judged is not Judged.BAD
        if answers or is_bad:
            replica = attempt.state.replica
            is_new = self._is_new(item, attempt)
            route = attempt.request.route.name
            bad_count, slow_count = int(is_bad and failed), int(is_bad and not failed)
            item.own.add(route, replica.replica_id, is_new, answers, bad_count, slow_count)
            attempt.judged = Judged.BAD if is_bad else Judged.GOOD
            if is_bad and is_new:
                item.evaluate_at_s = 0.0
                self.emit(IncrementCounter("rollout_bad_answers", attempt.request.service))

    def _counted(self, attempt: AttemptState) -> _ServiceRollout | None:
        if not self._services:
            return None
        item = self._services.get(attempt.request.service)
        return item if item is not None and item.counts_answers else None

    @staticmethod
    def _is_new(item: _ServiceRollout, attempt: AttemptState) -> bool:
        return attempt.state.replica.software_version == item.order.target

    def on_tick(self, attempts: Iterable[AttemptState], now_s: float) -> None:
        """Judge attempts that wait for too long, and the target by all known counts."""
        due = [
            (service, item)
            for service, item in self._services.items()
            if item.counts_answers and now_s >= item.evaluate_at_s
        ]
        for service, item in due:
            item.evaluate_at_s = now_s + self._evaluation_period_s()
            item.old_running = 0
            for attempt in attempts:
                if attempt.request.service == service:
                    self.on_abandoned(attempt, now_s)
                    item.old_running += int(not self._is_new(item, attempt))
            evidence = item.evidence = self._evidence(item, service, now_s)
            state = item.current
            is_bad = evidence.score >= bad_score(state.phase if state is not None else "")
            if is_bad != item.is_held:
                item.is_held = is_bad
                event = "rollout held" if is_bad else "rollout no longer held"
                fields = (
                    ("service", service),
                    ("target", item.order.target),
                    ("evidence", evidence.reason),
                )
                self.emit(LogLine(event, fields))

    def _evaluation_period_s(self) -> float:
        """Return the period of evaluations: at a large site each takes longer, and news is rare."""
        return max(EVALUATION_PERIOD_S, EVALUATION_PERIODS_SHARE * self.digest_period_s())

    def _evidence(self, item: _ServiceRollout, service: str, now_s: float) -> Evidence:
        replicas = [
            state.replica.replica_id
            for state in self.pool.usable(service)
            if state.replica.software_version == item.order.target
        ]
        own = item.own.snapshot(item.order.offset, item.old_running)
        sums = sum_routes(latest_counts(item.peers, own))
        whole = weigh(sums, replicas)
        # A version that turns bad is not excused by its good answers before.
        while len(item.past) > 1 and item.past[1][0] <= now_s - RECENT_S:
            item.past.popleft()
        # Before, only a few replicas were used lately; their speed says little of the others.
        state = item.current
        with_slow = state is not None and state.phase == Phase.DRAINING
        recent = whole
        if item.past:
            recent = weigh(counts_since(sums, item.past[0][1]), replicas, with_slow)
        if not item.past or now_s - item.past[-1][0] >= EVALUATION_PERIOD_S:
            item.past.append((now_s, sums))
        if recent.score > whole.score:
            return replace(whole, score=recent.score, reason=f"{recent.reason} lately")
        return whole

    def propose(
        self,
        number: int,
        live_digests: Sequence[Digest],
        running_count: Callable[[str], int],
        now_s: float,
    ) -> list[RolloutState]:
        """Return the changes of state that the lease holder should write to the store.

        :param number: the holder's fencing token.
        :param live_digests: the last digests of the VMs that are heard.
        """
        changes = []
        unix_s = self.unix_s(now_s)
        for service, item in self._services.items():
            state = item.current
            if state is not None and state.ended:
                continue
            inputs = self._inputs(item, service, live_digests, running_count(service), now_s)
            if state is None:
                earliest_s = item.order.earliest_s
                earliest_unix_s = self.unix_s(earliest_s) if earliest_s is not None else None
                changes.append(
                    begin(item.order, item.state, inputs, number, earliest_unix_s, unix_s)
                )
                continue
            change = decide(state, inputs, number, unix_s)
            if change is not None:
                changes.append(change)
        return changes

    def _inputs(
        self,
        item: _ServiceRollout,
        service: str,
        live_digests: Sequence[Digest],
        running_count: int,
        now_s: float,
    ) -> RolloutInputs:
        target = item.order.target
        usable = self.pool.usable(service)
        new = [state.replica for state in usable if state.replica.software_version == target]
        not_old = {target, *item.barred}
        old = [state.replica for state in usable if state.replica.software_version not in not_old]
        starts = [replica.started_at_ms / 1e3 for replica in new if replica.started_at_ms]
        is_drained = all(_is_drained(digest, item, service) for digest in live_digests)
        if item.old_running or not is_drained:
            item.drained_since_s = None
        elif item.drained_since_s is None:
            item.drained_since_s = now_s
        drained_for_s = 0.0 if item.drained_since_s is None else now_s - item.drained_since_s
        return RolloutInputs(
            item.evidence,
            sum(replica.slots_count for replica in new),
            sum(replica.slots_count for replica in old),
            len(new),
            len(old),
            running_count,
            drained_for_s,
            min(starts, default=None),
        )


def _is_drained(digest: Digest, item: _ServiceRollout, service: str) -> bool:
    """Return whether a VM sends nothing new to the old versions and has nothing there."""
    news, counts = digest.rollouts.get(service), digest.versions.get(service)
    offset = item.order.offset
    if news is None or counts is None or counts.offset != offset or news.state.offset != offset:
        return False
    return news.state.phase == Phase.DRAINING and counts.old_running == 0


def _references(attempt: AttemptState, measure: str) -> tuple[str, str]:
    """Return what a time is compared with: its route, or all routes of the kind if rarely used."""
    route = attempt.request.route
    return f"{measure}/{route.name}", f"{measure}//{route.kind.value}"


def _timing(attempt: AttemptState, taken_s: float) -> Timing:
    cold_s = attempt.baseline_s
    if attempt.request.arrival.prompt_tokens and attempt.request.route.kind is RouteKind.STREAM:
        prefill_s = PREFILL_TOKEN_S * attempt.request.arrival.prompt_tokens
        cold_s = max(cold_s, FIRST_EVENT_BASE_S + prefill_s)
    return Timing(taken_s, attempt.baseline_s, cold_s)
