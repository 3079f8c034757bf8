"""The share of bookings that each way serves while the log is down, and in a cut-off zone."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace

import click

from coriandershelf_core import Done
from coriandershelf_rig.internal.bench import Call
from coriandershelf_rig.internal.report import Report
from coriandershelf_rig.internal.soak_bench import SoakBench
from coriandershelf_rig.internal.soak_plan import (
    VM_COUNT,
    Book,
    Cut,
    Kill,
    LogOutage,
    Pause,
    entry_name,
    upstream_name,
)
from coriandershelf_rig.internal.soak_site import SOAK_SETTINGS

NAME = "log-outage"
TICKETS_PER_VM = 100
BOOKINGS_PER_S = 2.0
OUTAGE_S = 60.0
CUT_S = 60.0
BETWEEN_S = 20.0
REPEAT_AFTER_S = 2.5
REPEATS_MAX_COUNT = 3
DEADLINE_S = 5.0
SETTINGS = replace(
    SOAK_SETTINGS,
    log_retention_s=3600.0,
    key_window_s=1800.0,
    ticket_life_s=1800.0,
    repeat_wait_s=2.0,
)
ZONE_B = (1, 3)
OTHER_WAY = frozenset({"tickets-one-owner"})


@dataclass(slots=True)
class Booking:
    """One booking and every call that a caller made for it."""

    phase: str
    key: str
    calls: list[Call] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Return whether the caller learned that it is booked."""
        return any(isinstance(call.outcome, Done) for call in self.calls)


@dataclass(slots=True)
class WayResult:
    """What one way served by phase, and the bookings that ran more than once."""

    sent: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)
    doubled: int = 0

    def share(self, phase: str) -> float:
        """Return the share of a phase's bookings that were done in time."""
        return self.done[phase] / self.sent[phase]


class _Run:
    """One way on one seed: an outage with a pause and a death, then a zone cut off."""

    def __init__(self, seed: int, with_tickets: bool, disabled: frozenset[str]) -> None:
        self.bench = SoakBench(seed, disabled, SETTINGS)
        self.rng = random.Random(seed)
        self.bookings: list[Booking] = []
        self._with_tickets = with_tickets
        self._unused: list[str] = []

    def run(self) -> WayResult:
        """Run both phases."""
        bench = self.bench
        bench.run(2.0)
        self._take_tickets(tuple(range(VM_COUNT)))
        bench.apply(LogOutage(0.0, OUTAGE_S))
        bench.at(OUTAGE_S / 3, lambda: bench.apply(Pause(0.0, 0, 10.0)))
        bench.at(OUTAGE_S / 2, lambda: bench.apply(Kill(0.0, 1, 5.0, False)))
        self._book("outage", tuple(range(VM_COUNT)), OUTAGE_S)
        bench.run(BETWEEN_S)
        self._take_tickets(ZONE_B)
        self._cut_zone()
        self._book("cut-off zone", ZONE_B, CUT_S)
        bench.run(BETWEEN_S)
        return self._result()

    def _take_tickets(self, vms: tuple[int, ...]) -> None:
        """Let callers take new tickets at the entry VMs that they reach."""
        if not self._with_tickets:
            return
        self._unused.clear()
        known = len(self.bench.tickets)
        for vm in vms:
            self.bench.take_tickets(vm, TICKETS_PER_VM)
        self.bench.run(2.0)
        self._unused = self.bench.tickets[known:]
        self.rng.shuffle(self._unused)

    def _cut_zone(self) -> None:
        """Cut zone B's entry VMs and upstream off from zone A's and from the log."""
        for vm in ZONE_B:
            away = ["log", upstream_name(0), entry_name(0), entry_name(2)]
            for other in away:
                self.bench.apply(Cut(0.0, entry_name(vm), other, True, CUT_S))

    def _book(self, phase: str, vms: tuple[int, ...], duration_s: float) -> None:
        """Let callers book at random times; none that ends after the phase is counted."""
        until_s = duration_s - REPEAT_AFTER_S * REPEATS_MAX_COUNT
        for _ in range(int(until_s * BOOKINGS_PER_S)):
            at_s = self.rng.uniform(0.0, until_s)
            key = self._unused.pop() if self._with_tickets else f"key-{len(self.bookings)}"
            booking = Booking(phase, key)
            self.bookings.append(booking)
            self._call(booking, vms, at_s, REPEATS_MAX_COUNT)
        self.bench.run(duration_s)

    def _call(
        self, booking: Booking, vms: tuple[int, ...], delay_s: float, left_count: int
    ) -> None:
        """Call now, and again with the same key at another entry VM while not done."""

        def send() -> None:
            if booking.done or not left_count:
                return
            vm = self.rng.choice(vms)
            book = Book(self.bench.now_s, vm, booking.key, 0, DEADLINE_S)
            call = self.bench.book(book)
            if call is not None:
                booking.calls.append(call)
            self._call(booking, vms, REPEAT_AFTER_S, left_count - 1)

        self.bench.at(delay_s, send)

    def _result(self) -> WayResult:
        result = WayResult()
        for booking in self.bookings:
            result.sent[booking.phase] += 1
            result.done[booking.phase] += booking.done
        ran = Counter(execution.body for execution in self.bench.executions)
        result.doubled = sum(count > 1 for count in ran.values())
        return result


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Measure the share of bookings done while the log is down: refusing, and tickets.

    :param plot: not used; there is nothing to plot.
    """
    refusing = _Run(seed, False, disabled).run()
    tickets = _Run(seed, True, disabled).run()
    takeover = _Run(seed, True, disabled | OTHER_WAY).run()
    ways = {"refuse": refusing, "tickets": tickets, "tickets, taken over by timeout": takeover}
    lines = [
        f"{name}: outage {way.share('outage'):.3f}, cut-off zone {way.share('cut-off zone'):.3f}, "
        f"doubled {way.doubled}"
        for name, way in ways.items()
    ]
    if verbose:
        for line in lines:
            click.echo(line)
    return Report(
        experiment=NAME,
        seed=seed,
        measure="share of bookings done while the log is down",
        baseline=refusing.share("outage"),
        candidate=tickets.share("outage"),
        target=None,
        violations=refusing.doubled + tickets.doubled,
        note="; ".join(lines),
    )
