"""A Hypothesis state machine that drives several entry cores under every fault of the soak."""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coriandershelf_rig.internal.soak_bench import SoakBench
from coriandershelf_rig.internal.soak_judge import judge
from coriandershelf_rig.internal.soak_plan import (
    UPSTREAM_COUNT,
    VM_COUNT,
    BadAppends,
    BadPeers,
    BadUpstreams,
    Book,
    Cut,
    Kill,
    KillUpstream,
    LogOutage,
    Pause,
    Stop,
    TakeTickets,
    entry_name,
    upstream_name,
)

VMS = st.integers(0, VM_COUNT - 1)
SHORT_S = st.sampled_from([0.005, 0.05, 0.5, 3.0, 12.0])
SHARES = st.sampled_from([0.5, 1.0])
ENDS = st.sampled_from(["log", *map(entry_name, range(VM_COUNT)), upstream_name(0)])


class ClaimsMachine(RuleBasedStateMachine):
    """Books under two keys and two tickets; virtual time advances only in ``wait``."""

    disabled: frozenset[str] = frozenset()

    def __init__(self) -> None:
        super().__init__()
        self.bench = SoakBench(1, self.disabled)
        self.bench.run(1.0)

    @rule(
        vm=VMS,
        key=st.sampled_from(["a", "b", "ticket-0", "ticket-3"]),
        variant=st.integers(0, 1),
        deadline_s=SHORT_S,
    )
    def book(self, vm: int, key: str, variant: int, deadline_s: float) -> None:
        self.bench.apply(Book(0.0, vm, key, variant, deadline_s))

    @rule(duration_s=SHORT_S)
    def wait(self, duration_s: float) -> None:
        self.bench.run(duration_s)

    @rule(vm=VMS, duration_s=SHORT_S)
    def pause(self, vm: int, duration_s: float) -> None:
        self.bench.apply(Pause(0.0, vm, duration_s))

    @rule(vm=VMS, duration_s=SHORT_S, reuse=st.booleans())
    def kill(self, vm: int, duration_s: float, reuse: bool) -> None:
        self.bench.apply(Kill(0.0, vm, duration_s, reuse))

    @rule(vm=VMS, duration_s=SHORT_S)
    def stop(self, vm: int, duration_s: float) -> None:
        self.bench.apply(Stop(0.0, vm, duration_s))

    @rule(source=ENDS, aim=ENDS, both_ways=st.booleans(), duration_s=SHORT_S)
    def cut(self, source: str, aim: str, both_ways: bool, duration_s: float) -> None:
        self.bench.apply(Cut(0.0, source, aim, both_ways, duration_s))

    @rule(duration_s=SHORT_S)
    def log_outage(self, duration_s: float) -> None:
        self.bench.apply(LogOutage(0.0, duration_s))

    @rule(share=SHARES, duration_s=SHORT_S)
    def bad_appends(self, share: float, duration_s: float) -> None:
        self.bench.apply(BadAppends(0.0, share, duration_s))

    @rule(share=SHARES, duration_s=SHORT_S)
    def bad_upstreams(self, share: float, duration_s: float) -> None:
        self.bench.apply(BadUpstreams(0.0, share, duration_s))

    @rule(share=SHARES, duration_s=SHORT_S)
    def bad_peers(self, share: float, duration_s: float) -> None:
        self.bench.apply(BadPeers(0.0, share, duration_s))

    @rule(vm=VMS, count=st.integers(1, 3))
    def take_tickets(self, vm: int, count: int) -> None:
        self.bench.apply(TakeTickets(0.0, vm, count))

    @rule(upstream=st.integers(0, UPSTREAM_COUNT - 1), duration_s=SHORT_S)
    def kill_upstream(self, upstream: int, duration_s: float) -> None:
        self.bench.apply(KillUpstream(0.0, upstream, duration_s))

    @invariant()
    def no_booking_has_run_twice(self) -> None:
        counts = Counter(execution.body for execution in self.bench.executions)
        assert all(count == 1 for count in counts.values()), counts

    def teardown(self) -> None:
        assert judge(self.bench) == []
