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
