"""Share of bookings that each variant serves during a log outage and in a partitioned zone."""

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
OUTAGE_DURATION_S = 60.0
CUT_DURATION_S = 60.0
RECOVERY_S = 20.0
RETRY_DELAY_S = 2.5
CALLS_MAX_COUNT = 3
DEADLINE_S = 5.0
SETTINGS = replace(
    SOAK_SETTINGS,
    log_retention_s=3600.0,
    key_window_s=1800.0,
    ticket_life_s=1800.0,
    repeat_wait_s=2.0,
)
ZONE_B = (1, 3)
TAKEOVER_DISABLED = frozenset({"tickets-one-owner"})


@dataclass(slots=True)
class Booking:
    """One booking and the calls that its caller made."""

    phase: str
    key: str
    calls: list[Call] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Return whether the caller received a confirmation."""
        return any(isinstance(call.outcome, Done) for call in self.calls)


@dataclass(slots=True)
class VariantResult:
    """Bookings sent and confirmed by phase, and the number that ran more than once."""

    sent: Counter[str] = field(default_factory=Counter)
    succeeded: Counter[str] = field(default_factory=Counter)
    duplicate_count: int = 0

    def success_share(self, phase: str) -> float:
        """Return the share of a phase's bookings that were confirmed in time."""
        return self.succeeded[phase] / self.sent[phase]


class _Simulation:
    """One variant with one seed: an outage with a paused and a killed VM, then a partition."""

    def __init__(self, seed: int, with_tickets: bool, disabled: frozenset[str]) -> None:
        self.bench = SoakBench(seed, disabled, SETTINGS)
        self.rng = random.Random(seed)
        self.bookings: list[Booking] = []
        self._with_tickets = with_tickets
        self._unused_tickets: list[str] = []

    def run(self) -> VariantResult:
        """Run both phases."""
        bench = self.bench
        bench.run(2.0)
        self._issue_tickets(tuple(range(VM_COUNT)))
        bench.apply(LogOutage(0.0, OUTAGE_DURATION_S))
        bench.at(OUTAGE_DURATION_S / 3, lambda: bench.apply(Pause(0.0, 0, 10.0)))
        bench.at(OUTAGE_DURATION_S / 2, lambda: bench.apply(Kill(0.0, 1, 5.0, False)))
        self._run_phase("outage", tuple(range(VM_COUNT)), OUTAGE_DURATION_S)
        bench.run(RECOVERY_S)
        self._issue_tickets(ZONE_B)
        self._cut_zone()
        self._run_phase("cut-off zone", ZONE_B, CUT_DURATION_S)
        bench.run(RECOVERY_S)
        return self._result()

    def _issue_tickets(self, vms: tuple[int, ...]) -> None:
        """Issue new tickets to callers at the given entry VMs."""
        if not self._with_tickets:
            return
        self._unused_tickets.clear()
        known_count = len(self.bench.tickets)
        for vm in vms:
            self.bench.take_tickets(vm, TICKETS_PER_VM)
        self.bench.run(2.0)
        self._unused_tickets = self.bench.tickets[known_count:]
        self.rng.shuffle(self._unused_tickets)

    def _cut_zone(self) -> None:
        """Cut zone B's entry VMs off from zone A's VMs and from the log."""
        for vm in ZONE_B:
            unreachable = ["log", upstream_name(0), entry_name(0), entry_name(2)]
            for other in unreachable:
                self.bench.apply(Cut(0.0, entry_name(vm), other, True, CUT_DURATION_S))

    def _run_phase(self, phase: str, vms: tuple[int, ...], duration_s: float) -> None:
        """Send bookings at random times, early enough for every retry to fall into the phase."""
        last_start_s = duration_s - RETRY_DELAY_S * CALLS_MAX_COUNT
        for _ in range(int(last_start_s * BOOKINGS_PER_S)):
            at_s = self.rng.uniform(0.0, last_start_s)
            key = self._unused_tickets.pop() if self._with_tickets else f"key-{len(self.bookings)}"
            booking = Booking(phase, key)
            self.bookings.append(booking)
            self._schedule_call(booking, vms, at_s, CALLS_MAX_COUNT)
        self.bench.run(duration_s)

    def _schedule_call(
        self, booking: Booking, vms: tuple[int, ...], delay_s: float, remaining_count: int
    ) -> None:
        """Call after a delay and retry with the same key at a random entry VM until confirmed."""

        def send() -> None:
            if booking.succeeded or not remaining_count:
                return
            vm = self.rng.choice(vms)
            book = Book(self.bench.now_s, vm, booking.key, 0, DEADLINE_S)
            call = self.bench.book(book)
            if call is not None:
                booking.calls.append(call)
            self._schedule_call(booking, vms, RETRY_DELAY_S, remaining_count - 1)

        self.bench.at(delay_s, send)

    def _result(self) -> VariantResult:
        result = VariantResult()
        for booking in self.bookings:
            result.sent[booking.phase] += 1
            result.succeeded[booking.phase] += booking.succeeded
        execution_counts = Counter(execution.body for execution in self.bench.executions)
        result.duplicate_count = sum(count > 1 for count in execution_counts.values())
        return result


def run(
    seed: int,
    disabled: frozenset[str] = frozenset(),
    verbose: bool = False,
    plot: str | None = None,
) -> Report:
    """Compare refusing bookings with serving them by ticket while the log is down.

    :param plot: ignored; there is nothing to plot.
    """
    refusing = _Simulation(seed, False, disabled).run()
    tickets = _Simulation(seed, True, disabled).run()
    takeover = _Simulation(seed, True, disabled | TAKEOVER_DISABLED).run()
    variants = {"refuse": refusing, "tickets": tickets, "tickets, taken over by timeout": takeover}
    lines = [
        f"{name}: outage {variant.success_share('outage'):.3f}, "
        f"cut-off zone {variant.success_share('cut-off zone'):.3f}, "
        f"doubled {variant.duplicate_count}"
        for name, variant in variants.items()
    ]
    if verbose:
        for line in lines:
            click.echo(line)
    return Report(
        experiment=NAME,
        seed=seed,
        measure="share of bookings done while the log is down",
        baseline=refusing.success_share("outage"),
        candidate=tickets.success_share("outage"),
        target=None,
        violations=refusing.duplicate_count + tickets.duplicate_count,
        note="; ".join(lines),
    )
