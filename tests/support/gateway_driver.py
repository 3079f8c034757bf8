"""Drives a gateway in virtual time and records its actions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import Action, RejectRequest, StartAttempt
from coriandershelf_core.internal.gateway.deployment import (
    Backend,
    Customer,
    Deployment,
    Replica,
    Route,
    RouteKind,
    Service,
)
from coriandershelf_core.internal.gateway.events import (
    AnswerRead,
    AttemptFailed,
    ConfigurationProved,
    DeploymentRead,
    Event,
    FailureCause,
    RegistryProved,
    ReplicasRead,
    RequestArrived,
    ResponseHeadRead,
    StreamEnded,
    StreamOpened,
    StreamRead,
    Tick,
)
from coriandershelf_core.internal.gateway.gateway import Gateway
from coriandershelf_core.internal.gateway.replica_starts import NoStart, StatedStart
from coriandershelf_core.internal.gateway.request import Arrival, PromptPart
from coriandershelf_core.internal.gateway.settings import GatewaySettings
from coriandershelf_rig.internal.origin_store_model import OriginStoreModel, is_store_action

# Registrations that are known for this long show that their replicas ran meanwhile.
PROVED_S = 10.0
# Age of a connection that is kept.
KNOWN_CONNECTION_AGE_S = 8.0
HOST = "site.example"
KEY = "key-1"
ENGINE = "engine"
PLAIN = "plain"

PLAN = Route(
    "plan", HOST, "/plan/", RouteKind.STREAM, 0.8, 15.0, 2, 1, (Backend(ENGINE, 1.0),),
    resumable=True, gap_objective_s=0.5,
)  # fmt: skip
ASK = Route(
    "ask", HOST, "/ask/", RouteKind.STREAM, 0.5, 3.0, 1, 0, (Backend(ENGINE, 1.0),),
    gap_objective_s=0.5,
)  # fmt: skip
BOOK = Route(
    "book", HOST, "/book/", RouteKind.NON_IDEMPOTENT, 0.125, 1.0, 1, 2, (Backend(PLAIN, 1.0),)
)
READ = Route("read", HOST, "/read/", RouteKind.IDEMPOTENT, 0.125, 1.0, 2, 2, (Backend(PLAIN, 1.0),))


def make_deployment(version: int = 1, **changes: object) -> Deployment:
    deployment = Deployment(
        version,
        (PLAN, ASK, BOOK, READ),
        {
            ENGINE: Service(ENGINE, 100, "/health", engine_slots_count=8),
            PLAIN: Service(PLAIN, 100, "/health"),
        },
        (Customer("customer-1", (KEY,)),),
    )
    return replace(deployment, **changes)


def make_replicas(engines: int = 3, plains: int = 3) -> dict[str, Replica | None]:
    replicas: dict[str, Replica | None] = {}
    for service, count, slots in ((ENGINE, engines, 8), (PLAIN, plains, 6)):
        for index in range(count):
            name = f"{service}-{index}"
            address = f"10.0.{len(replicas)}.1:80"
            replicas[name] = Replica(name, service, address, f"zone-{index}", slots)
    return replicas


@dataclass
class GatewayDriver:
    """One gateway with configuration, replicas and virtual time.

    :param actions: all actions of the gateway so far.
    :param cursor: number of actions that a network model has processed.
    :param store: answers the gateway's calls at once.
    """

    settings: GatewaySettings = field(default_factory=GatewaySettings)
    vm_id: str = "vm-1"
    seed: int = 1
    now_s: float = 100.0
    clock_offset_s: float = 1_700_000_000.0
    actions: list[Action] = field(default_factory=list)
    last_handle: int = 0
    cursor: int = 0
    store: OriginStoreModel = field(default_factory=OriginStoreModel)
    heads_read: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.gateway = Gateway(
            self.vm_id, f"{self.vm_id}:7500", "zone-0", 1, self.settings,
            random.Random(self.seed), self.clock_offset_s,
        )  # fmt: skip

    def begin(self, deployment: Deployment | None = None, **replicas: int) -> GatewayDriver:
        self.post(DeploymentRead(deployment or make_deployment()))
        self.post(ReplicasRead(make_replicas(**replicas), complete=True))
        self.prove_registry()
        self.confirm_configuration()
        return self

    def prove_registry(self) -> None:
        """Let the registry have been read in order for long enough to prove what it shows."""
        for age_s in (PROVED_S, 7.5, 5.0, 2.5, 0.0):
            self.post(RegistryProved(self.now_s - age_s))

    def confirm_configuration(self) -> None:
        self.post(ConfigurationProved(self.now_s))

    def post(self, event: Event) -> list[Action]:
        fresh = self.gateway.step(event, self.now_s, self.now_s + self.clock_offset_s)
        self.actions += fresh
        for action in fresh:
            outcome = self.store.perform(action, self.now_s) if is_store_action(action) else None
            if outcome is not None:
                fresh = [*fresh, *self.post(outcome)]
        return fresh

    def run(self, duration_s: float, confirmed: bool = True) -> list[Action]:
        """Advance the time tick by tick; return the actions emitted meanwhile.

        :param confirmed: whether the configuration is confirmed as current at each tick.
        """
        first = len(self.actions)
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.05
            if confirmed:
                self.confirm_configuration()
            self.post(Tick())
        return self.actions[first:]

    def ask(self, path: str, **changes: object) -> int:
        """Post a request; return its handle."""
        self.last_handle += 1
        arrival = Arrival(
            self.last_handle, f"id-{self.last_handle}", "POST", HOST, path, KEY, 3.0,
            self.last_handle, prompt_tokens=1000, output_tokens=50,
            parts=(PromptPart("system", 300), PromptPart(f"session-{self.last_handle}", 200)),
        )  # fmt: skip
        self.post(RequestArrived(replace(arrival, **changes)))
        return self.last_handle

    def attempts(self, handle: int) -> list[StartAttempt]:
        return [
            action
            for action in self.actions
            if isinstance(action, StartAttempt) and action.handle == handle
        ]

    def refusals(self, handle: int) -> list[RejectRequest]:
        return [
            action
            for action in self.actions
            if isinstance(action, RejectRequest) and action.handle == handle
        ]

    def answer(
        self,
        attempt_id: int,
        status: int = 200,
        not_run: bool = False,
        is_close_delimited: bool = False,
    ) -> list[Action]:
        receipt = not not_run
        return self.post(
            AnswerRead(
                attempt_id, status, (), b"body", not_run or status == 421, receipt, status == 421,
                is_close_delimited=is_close_delimited,
            )
        )  # fmt: skip

    def fail(self, attempt_id: int, sent: bool = True) -> list[Action]:
        cause = FailureCause.CLOSED if sent else FailureCause.CONNECT
        return self.post(AttemptFailed(attempt_id, cause, sent))

    def open(self, attempt_id: int) -> list[Action]:
        """Let a stream's headers arrive, from the registered start by default."""
        attempt = self.gateway.relay.attempts.by_id.get(attempt_id)
        if attempt is not None and attempt_id not in self.heads_read:
            self.read_head(attempt_id, attempt.state.replica.started_at_ms)
        return self.post(StreamOpened(attempt_id, 200, ()))

    def read_head(
        self,
        attempt_id: int,
        start: StatedStart,
        was_asked: bool = False,
        age_s: float = KNOWN_CONNECTION_AGE_S,
    ) -> list[Action]:
        """Let the head of a response arrive, on a connection that leads to a start.

        Only those that are asked for it state their start.

        :param age_s: how long ago the replica had accepted the connection.
        """
        asked = [
            item
            for item in self.actions
            if isinstance(item, StartAttempt) and item.attempt_id == attempt_id
        ]
        self.heads_read.add(attempt_id)
        stated = start if asked and asked[0].asks_start else NoStart.NOT_ASKED
        connected_at_s = self.now_s - age_s
        return self.post(
            ResponseHeadRead(
                attempt_id, False, connected_at_s=connected_at_s, start=stated, was_asked=was_asked
            )
        )

    def read(self, attempt_id: int, event_id: int) -> list[Action]:
        payload = f"id: {event_id}\ndata: x\n\n".encode()
        return self.post(StreamRead(attempt_id, payload, 1, event_id))

    def end(
        self, attempt_id: int, is_close_delimited: bool = False, after_comment: bool = False
    ) -> list[Action]:
        return self.post(StreamEnded(attempt_id, is_close_delimited, after_comment))
