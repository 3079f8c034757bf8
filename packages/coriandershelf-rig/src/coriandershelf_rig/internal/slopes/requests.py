"""CPU time of a request, a token and a tick in the core, by number of the service's replicas."""

from __future__ import annotations

import random
import time

from coriandershelf_core import CoreSettings, EntryCore, Request, RequestKind, VmIdentity
from coriandershelf_core.internal.vocabulary.actions import StartAttempt
from coriandershelf_core.internal.vocabulary.events import (
    AttemptOpened,
    LogRead,
    RequestArrived,
    StreamEnded,
    Tick,
    TokensArrived,
    VmListRead,
    VmRole,
    VmState,
    VmStatus,
)
from coriandershelf_core.internal.vocabulary.inventory import (
    Customer,
    Inventory,
    Replica,
    Service,
    ServiceKind,
    Zone,
)
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    ConfigurationProposed,
    Record,
)
from coriandershelf_rig.internal.slopes.fit import LinearFit, join_summaries, median_of

NAME = "requests"
REPLICA_COUNTS = (12, 50, 100, 200, 600)
TARGET_COUNT = 600
REQUEST_COUNT = 200
TOKEN_COUNT = 50
TICK_COUNT = 100
REPEAT_COUNT = 3
SLOTS = 16
PEER_COUNT = 20


def make_core(replica_count: int, seed: int) -> EntryCore:
    """Return a core configured with ``replica_count`` replicas in six availability zones."""
    zones = tuple(Zone(f"zone-{index}", "region") for index in range(6))
    replicas = tuple(
        Replica(f"replica-{index}", "model", zones[index % 6].name, f"r{index}", SLOTS)
        for index in range(replica_count)
    )
    services = (Service("model", ServiceKind.MODEL),)
    inventory = Inventory(1, zones, services, replicas, (Customer("caller", ("0" * 64,)),))
    core = EntryCore(
        VmIdentity("entry-1", "zone-0", 1, "entry-1"),
        CoreSettings(),
        random.Random(seed),
        lambda inventory_text, rules_text, version: inventory,
    )
    proposal = ConfigurationProposed("p", 0, "operator", 0.0, "", "")
    record = Record(0, 1000.0, "operator", 1, 1, (proposal,))
    core.step(LogRead(CONFIGURATION_STREAM, (record,), 0, 1), 1000.0)
    # With this many peers, as in any large fleet, in-flight digests are not exchanged.
    peers = tuple(
        VmStatus(f"entry-{index}", 1, VmRole.ENTRY, "zone-1", VmState.LIVE, f"e{index}")
        for index in range(2, PEER_COUNT + 2)
    )
    core.step(VmListRead(peers), 1000.0)
    for index in range(100):
        core.step(Tick(), 1000.0 + index * 0.1)
    return core


def make_request(index: int, now_s: float) -> Request:
    """Return a short chat request."""
    return Request(
        request_id=f"r{index}",
        kind=RequestKind.CHAT,
        credential_hash="0" * 64,
        service="model",
        deadline_s=now_s + 60.0,
        prompt_tokens=100,
        max_tokens=TOKEN_COUNT,
    )


def _time_request(core: EntryCore, with_tokens: bool) -> float:
    """Return the CPU seconds per request, with all its tokens or with only the first one."""
    started_s = time.process_time()
    now_s = 1010.0
    for index in range(REQUEST_COUNT):
        now_s += 0.01
        actions = core.step(RequestArrived(make_request(index, now_s)), now_s)
        attempt_id = next(
            action.attempt_id for action in actions if isinstance(action, StartAttempt)
        )
        core.step(AttemptOpened(attempt_id), now_s)
        count = TOKEN_COUNT if with_tokens else 1
        for position in range(count):
            event = TokensArrived(attempt_id, attempt_id, position, (b"t",))
            core.step(event, now_s + position * 1e-5)
        core.step(StreamEnded(attempt_id, attempt_id, count), now_s + 0.001)
    return (time.process_time() - started_s) / REQUEST_COUNT


def _time_tick(core: EntryCore) -> float:
    started_s = time.process_time()
    for index in range(TICK_COUNT):
        core.step(Tick(), 2000.0 + index * 0.05)
    return (time.process_time() - started_s) / TICK_COUNT


def run(seed: int) -> str:
    """Measure requests, tokens and ticks of an otherwise idle core."""
    per_request, per_token, per_tick = [], [], []
    for count in REPLICA_COUNTS:
        size = float(count)
        base_s = median_of(REPEAT_COUNT, lambda n=count: _time_request(make_core(n, seed), False))  # type: ignore[misc]
        full_s = median_of(REPEAT_COUNT, lambda n=count: _time_request(make_core(n, seed), True))  # type: ignore[misc]
        tick_s = median_of(REPEAT_COUNT, lambda n=count: _time_tick(make_core(n, seed)))  # type: ignore[misc]
        per_request.append((size, base_s * 1e6))
        per_token.append((size, (full_s - base_s) / (TOKEN_COUNT - 1) * 1e6))
        per_tick.append((size, tick_s * 1e6))
    return join_summaries(
        [
            LinearFit("a request in the core", "replica", "us", tuple(per_request), TARGET_COUNT),
            LinearFit("a token in the core", "replica", "us", tuple(per_token), TARGET_COUNT),
            LinearFit("a tick of an idle core", "replica", "us", tuple(per_tick), TARGET_COUNT),
        ]
    )
