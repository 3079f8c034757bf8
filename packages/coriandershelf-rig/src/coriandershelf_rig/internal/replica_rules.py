"""Checks what reaches replicas against what they stated in their responses.

The checks see only what replicas and callers see, never the state of an entry VM.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_COUNT = 5.0
# A VM must keep to a limit from this long after it received a response that states it.
LIMIT_NOTICE_S = 0.5


@dataclass(frozen=True, slots=True)
class ArrivedRequest:
    """A request that reached a replica.

    :param vm: the entry VM that sent it.
    """

    at_s: float
    vm: str


@dataclass(slots=True)
class LimitedPeriod:
    """A period in which a replica stated a request limit in its responses.

    :param informed_at_s: when each VM first received a response with the limit.
    """

    replica: str
    per_s: float
    from_s: float
    to_s: float = float("inf")
    informed_at_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ExcusedPeriod:
    """A period in which a VM was restarted, paused or cut off."""

    vm: str
    from_s: float
    to_s: float


def limit_violation(
    period: LimitedPeriod,
    arrivals: Sequence[ArrivedRequest],
    excused: Sequence[ExcusedPeriod],
    contact_s: float,
) -> str | None:
    """Return a line about the worst window in which a replica got too many requests, if any.

    Windows end ``contact_s`` after the limit was first stated, or later, and so may begin before.

    :param arrivals: the requests that reached the replica, by time.
    """
    allowed_count = LIMIT_FACTOR * LIMIT_WINDOW_S * period.per_s + LIMIT_SLACK_COUNT
    window: deque[ArrivedRequest] = deque()
    worst_count, worst_at_s = 0, 0.0
    for arrival in arrivals:
        window.append(arrival)
        while window[0].at_s <= arrival.at_s - LIMIT_WINDOW_S:
            window.popleft()
        if not period.from_s + contact_s <= arrival.at_s <= period.to_s:
            continue
        count = sum(
            1
            for earlier in window
            if period.informed_at_s.get(earlier.vm, float("inf")) <= arrival.at_s - LIMIT_NOTICE_S
            and not any(
                item.vm == earlier.vm
                and item.from_s <= arrival.at_s
                and item.to_s >= window[0].at_s
                for item in excused
            )
        )
        if count > worst_count:
            worst_count, worst_at_s = count, arrival.at_s
    if worst_count <= allowed_count:
        return None
    return (
        f"{period.replica} stated {period.per_s:g} requests a second and got {worst_count} in "
        f"{LIMIT_WINDOW_S:g} s until {worst_at_s:.2f} s; allowed {allowed_count:g}"
    )


RESUMED_MIN_COUNT = 12
RESUMED_SHARE_MIN = 0.5
MIXED_MAX_COUNT = 2


@dataclass(slots=True)
class ObservedStream:
    """A stream as its caller sees it, over all of its requests.

    :param first_id: id of the request that brought the first event.
    :param versions: software versions of the replicas that made its events, without repeats.
    :param events_count: events received; they are numbered from 1.
    :param began_at_s: when the first event was received.
    """

    first_id: str = ""
    versions: list[str] = field(default_factory=list)
    events_count: int = 0
    began_at_s: float = 0.0

    def add_event(self, request_id: str, version: str, at_s: float = 0.0) -> None:
        """Add an event."""
        if not self.first_id:
            self.first_id = request_id
            self.began_at_s = at_s
        if version not in self.versions:
            self.versions.append(version)
        self.events_count += 1


@dataclass(slots=True)
class ResumptionCounts:
    """Outcomes of new streams, and of streams that were resumed at a version that still serves."""

    begun: int = 0
    not_begun: int = 0
    resumed: int = 0
    not_resumed: int = 0


def version_violations(streams: Sequence[ObservedStream], counts: ResumptionCounts) -> list[str]:
    """Return a line if streams joined events of two versions, and one if too few were resumed."""
    violations = []
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    if len(mixed) > MIXED_MAX_COUNT:
        violations.append(
            f"{len(mixed)} streams went on at another version, first {mixed[0].first_id} with "
            f"{', '.join(mixed[0].versions)}"
        )
    tries_count = counts.resumed + counts.not_resumed
    begun_share = counts.begun / max(1, counts.begun + counts.not_begun)
    if tries_count >= RESUMED_MIN_COUNT:
        resumed_share = counts.resumed / tries_count
        if resumed_share < RESUMED_SHARE_MIN * begun_share:
            violations.append(
                f"{counts.resumed} of {tries_count} streams were resumed, while {begun_share:.0%} "
                "of new ones began"
            )
    return violations


STORED_AFTER_S = 0.5
WENT_ON_SHARE_MIN = 0.9


@dataclass(slots=True)
class PowerLoss:
    """A loss of power of all entry VMs.

    :param under_way: the streams that it broke off, with their events by then.
    :param served_versions: versions of the replicas that served when the VMs started again.
    """

    at_s: float
    under_way: list[tuple[ObservedStream, int]]
    served_versions: set[str] = field(default_factory=set)


def power_loss_violations(losses: Sequence[PowerLoss]) -> list[str]:
    """Return a line for each loss after which too few streams went on at a version that serves.

    Streams are judged that had been under way for half a second.
    """
    violations = []
    for loss in losses:
        judged = [
            stream.events_count > events_count
            for stream, events_count in loss.under_way
            if loss.at_s - stream.began_at_s >= STORED_AFTER_S
            and stream.versions[0] in loss.served_versions
        ]
        if sum(judged) < WENT_ON_SHARE_MIN * len(judged):
            violations.append(
                f"{sum(judged)} of {len(judged)} streams went on after the loss of power at "
                f"{loss.at_s:.2f} s"
            )
    return violations


PAUSE_NOTICE_S = 0.5
PAUSED_MAX_COUNT = 2


@dataclass(frozen=True, slots=True)
class StatedPause:
    """A refusal by which a replica asked a VM for a pause."""

    replica: str
    vm: str
    from_s: float
    pause_s: float


def leaving_violation(
    replica: str,
    arrivals: Sequence[ArrivedRequest],
    informed_at_s: dict[str, float],
    drain_s: float,
) -> str | None:
    """Return a line about the first request that a leaving replica got too late, if any.

    :param informed_at_s: when each VM first received a response that states the leaving.
    """
    for arrival in arrivals:
        known_at_s = informed_at_s.get(arrival.vm)
        if known_at_s is not None and arrival.at_s > known_at_s + drain_s:
            late_s = arrival.at_s - known_at_s
            return f"{replica} got a request {late_s:.2f} s after it told {arrival.vm} that it left"
    return None


def pause_violation(pause: StatedPause, arrivals: Sequence[ArrivedRequest]) -> str | None:
    """Return a line if a replica got too many requests in a pause that it asked for.

    :param arrivals: the requests that reached the replica.
    """
    from_s, to_s = pause.from_s + PAUSE_NOTICE_S, pause.from_s + pause.pause_s
    count = sum(1 for item in arrivals if item.vm == pause.vm and from_s <= item.at_s <= to_s)
    if count <= PAUSED_MAX_COUNT:
        return None
    return f"{pause.replica} asked {pause.vm} for {pause.pause_s:g} s and got {count} requests"
