"""The schedule of one soak episode: bookings, repeats of bookings, and faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

EPISODE_S = 60.0
VM_COUNT = 4
UPSTREAM_COUNT = 2
BOOKING_COUNT = 90
KEY_COUNT = 30
FAULT_COUNT = 26
OTHER_BODY_SHARE = 0.08
REPEAT_WITHIN_S = 25.0
TICKET_PREFIX = "ticket-"
TICKET_STRIDE = 3
TICKET_REQUEST_COUNT = 12
TICKETS_PER_REQUEST = 10


@dataclass(frozen=True, slots=True)
class Book:
    """A caller sends a booking, or repeats one, under an idempotency key.

    :param variant: a repeat with another variant sends another body under the same key.
    """

    at_s: float
    vm: int
    key: str
    variant: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class TakeTickets:
    """A caller requests tickets, which later bookings refer to by number."""

    at_s: float
    vm: int
    count: int


@dataclass(frozen=True, slots=True)
class Pause:
    """An entry VM's process is suspended."""

    at_s: float
    vm: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class Kill:
    """An entry VM crashes without notice and is restarted.

    :param reuse_incarnation: the restarted VM has the incarnation number of the crashed one.
    """

    at_s: float
    vm: int
    restart_after_s: float
    reuse_incarnation: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """An entry VM is stopped gracefully and restarted."""

    at_s: float
    vm: int
    restart_after_s: float


@dataclass(frozen=True, slots=True)
class Cut:
    """Messages from ``source`` to ``target`` are dropped, and those back if ``both_ways``."""

    at_s: float
    source: str
    target: str
    both_ways: bool
    duration_s: float


@dataclass(frozen=True, slots=True)
class LogOutage:
    """The log does not answer."""

    at_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class BadAppends:
    """A share of the appends is lost, arrives late or loses its answer."""

    at_s: float
    share: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class BadUpstreams:
    """A share of the attempts starts late, and a share of the answers comes late or never."""

    at_s: float
    share: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class BadPeers:
    """A share of the messages between entry VMs is lost, late or duplicated."""

    at_s: float
    share: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class KillUpstream:
    """An upstream crashes and is restarted."""

    at_s: float
    upstream: int
    restart_after_s: float


Operation = (
    Book
    | TakeTickets
    | Pause
    | Kill
    | Stop
    | Cut
    | LogOutage
    | BadAppends
    | BadUpstreams
    | BadPeers
    | KillUpstream
)


def entry_name(vm: int) -> str:
    """Return an entry VM's id."""
    return f"entry-{vm + 1}"


def upstream_name(upstream: int) -> str:
    """Return an upstream's id."""
    return f"orders-{upstream + 1}"


def make_plan(seed: int, episode: int) -> list[Operation]:
    """Return an episode's operations in order of time."""
    rng = random.Random(f"{seed}/{episode}")
    operations = _draw_bookings(rng)
    operations += _draw_ticket_requests(rng)
    operations += [_draw_fault(rng) for _ in range(rng.randint(2, FAULT_COUNT))]
    return sorted(operations, key=lambda operation: operation.at_s)


def _draw_bookings(rng: random.Random) -> list[Operation]:
    """Return bookings, most of which repeat an earlier booking's key soon after it."""
    starts = [rng.uniform(0.5, EPISODE_S - 5.0) for _ in range(KEY_COUNT)]
    bookings: list[Operation] = []
    for index in range(BOOKING_COUNT):
        number = index % KEY_COUNT
        delay_s = 0.0 if index < KEY_COUNT else REPEAT_WITHIN_S * rng.random() ** 4
        if index >= KEY_COUNT and rng.random() < 0.1:
            delay_s = rng.uniform(0.0, EPISODE_S)
        uses_ticket = number % TICKET_STRIDE == 0
        has_other_body = index >= KEY_COUNT and rng.random() < OTHER_BODY_SHARE
        bookings.append(
            Book(
                min(EPISODE_S, starts[number] + delay_s),
                rng.randrange(VM_COUNT),
                f"{TICKET_PREFIX}{number}" if uses_ticket else f"key-{number}",
                int(has_other_body),
                rng.choice((0.5, 3.0, 10.0)),
            )
        )
    return bookings


def _draw_ticket_requests(rng: random.Random) -> list[Operation]:
    times = sorted(rng.uniform(0.1, EPISODE_S) for _ in range(TICKET_REQUEST_COUNT))
    return [TakeTickets(at_s, rng.randrange(VM_COUNT), TICKETS_PER_REQUEST) for at_s in times]


def _draw_fault(rng: random.Random) -> Operation:
    at_s = rng.uniform(0.0, EPISODE_S)
    duration_s = rng.choice((0.05, 0.5, 3.0, 15.0)) * rng.uniform(0.5, 1.5)
    vm = rng.randrange(VM_COUNT)
    kind = rng.randrange(10)
    if kind == 0:
        return Kill(at_s, vm, duration_s, rng.random() < 0.2)
    if kind == 1:
        return Stop(at_s, vm, duration_s)
    if kind == 2:
        return LogOutage(at_s, duration_s)
    if kind == 3:
        return BadAppends(at_s, rng.choice((0.1, 0.5, 1.0)), duration_s)
    if kind == 4:
        return BadUpstreams(at_s, rng.choice((0.1, 0.5, 1.0)), duration_s)
    if kind == 5:
        return KillUpstream(at_s, rng.randrange(UPSTREAM_COUNT), duration_s)
    if kind == 9:
        return BadPeers(at_s, rng.choice((0.1, 0.5, 1.0)), duration_s)
    if kind in (6, 7):
        peer = rng.choice(("log", entry_name(rng.randrange(VM_COUNT)), upstream_name(0)))
        endpoints = [entry_name(vm), peer]
        rng.shuffle(endpoints)
        return Cut(at_s, endpoints[0], endpoints[1], rng.random() < 0.5, duration_s)
    return Pause(at_s, vm, duration_s)
