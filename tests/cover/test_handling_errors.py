"""An unexpected error in the handling of an event never leaves a request without an answer."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from gateway_driver import GatewayDriver
from hypothesis import given
from hypothesis import strategies as st

from coriandershelf_core.internal.gateway import attempts, crash_suspects, pool, rollout_traffic
from coriandershelf_core.internal.gateway.actions import (
    STATUS_OF,
    AbortStream,
    Action,
    EndStream,
    RejectRequest,
    SendResponse,
    StartAttempt,
)
from coriandershelf_core.internal.gateway.admission_control import AdmissionControl
from coriandershelf_core.internal.gateway.events import AnswerRead, ReportedLoad
from coriandershelf_core.internal.gateway.load_queries import LoadQueries
from coriandershelf_core.internal.gateway.selection import ReplicaSelector
from coriandershelf_core.internal.vocabulary.outcome import NOT_RUN_STATUSES
from coriandershelf_platform.client_connection import ResponseHead
from coriandershelf_platform.replica_client import _parse_load

# What the handling of a request calls, from its arrival to its end.
STEPS = [
    (AdmissionControl, "on_request"),
    (AdmissionControl, "holds_back"),
    (AdmissionControl, "on_attempt_end"),
    (ReplicaSelector, "find_candidates"),
    (LoadQueries, "notify"),
    (attempts.Attempts, "start"),
    (attempts.Attempts, "end"),
    (pool.ReplicaState, "start"),
    (pool.ReplicaState, "end"),
    (pool.ReplicaState, "on_load"),
    (pool.ReplicaState, "on_latency"),
    (pool.ReplicaState, "on_success"),
    (pool.ReplicaState, "on_first_event"),
    (crash_suspects.CrashSuspects, "on_completed"),
    (crash_suspects.CrashSuspects, "on_crash"),
    (rollout_traffic.Rollouts, "on_answer"),
    (rollout_traffic.Rollouts, "on_stream_ended"),
]
LIMIT_S = 5.0
NOT_HANDLED = "event not handled"


class Breaker:
    """Lets one call of a step raise an error, counted from the first."""

    def __init__(self, owner: type, name: str, call_number: int) -> None:
        self._original: Callable[..., object] = getattr(owner, name)
        self._owner, self._name = owner, name
        self._left_count = call_number
        self.raised = False

    def __enter__(self) -> Breaker:
        def call(*args: object, **kwargs: object) -> object:
            self._left_count -= 1
            if self._left_count == 0:
                self.raised = True
                raise ZeroDivisionError("injected")
            return self._original(*args, **kwargs)

        setattr(self._owner, self._name, call)
        return self

    def __exit__(self, *_: object) -> None:
        setattr(self._owner, self._name, self._original)


def is_final(action: Action) -> bool:
    return isinstance(action, SendResponse | RejectRequest | EndStream | AbortStream)


def answer_all(driver: GatewayDriver, answered: set[int]) -> None:
    """Let the replicas answer the attempts that were started."""
    for action in list(driver.actions):
        if not isinstance(action, StartAttempt) or action.attempt_id in answered:
            continue
        answered.add(action.attempt_id)
        if action.stream:
            driver.open(action.attempt_id)
            driver.read(action.attempt_id, (action.last_event_id or 0) + 1)
            driver.end(action.attempt_id)
        else:
            driver.answer(action.attempt_id)


# Guards against a caller that waits for good: an error after the end of the attempt left its
# request in flight without one, and time limits were looked at by attempt only.
@pytest.mark.parametrize("path", ["/book/1", "/read/1", "/plan/1", "/ask/1"])
@pytest.mark.parametrize("owner, name", STEPS)
def test_every_request_has_exactly_one_answer_whatever_step_fails(owner, name, path):
    for call_number in (1, 2, 3):
        driver = GatewayDriver().begin()
        first = len(driver.actions)
        answered: set[int] = set()
        with Breaker(owner, name, call_number) as breaker:
            handles = [driver.ask(path) for _ in range(2)]
            for _ in range(round(LIMIT_S / 0.1)):
                answer_all(driver, answered)
                driver.run(0.1)
        actions = driver.actions[first:]
        for handle in handles:
            finals = [item for item in actions if is_final(item) and item.handle == handle]
            assert len(finals) == 1, (call_number, finals)
            sent_count = len(driver.attempts(handle))
            if path == "/book/1":
                assert sent_count <= 1
            if isinstance(finals[0], RejectRequest) and sent_count:
                assert STATUS_OF[finals[0].refusal] not in NOT_RUN_STATUSES
        assert not driver.gateway.relay.active_requests
        logged = [item for item in actions if getattr(item, "event", "") == NOT_HANDLED]
        assert len(logged) == int(breaker.raised)


# Guards against a whole answer that is thrown away since what it teaches could not be kept.
@pytest.mark.parametrize("name", ["on_latency", "on_success", "on_load"])
def test_a_whole_answer_is_delivered_although_nothing_is_learnt_from_it(name):
    driver = GatewayDriver().begin()
    with Breaker(pool.ReplicaState, name, 1) as breaker:
        handle = driver.ask("/book/1")
        driver.answer(driver.attempts(handle)[0].attempt_id)
    assert breaker.raised
    assert SendResponse(handle, 200, (), b"body") in driver.actions


# Guards against an answer that is never passed on: its load header named a figure of 0, by which a
# mean was divided.
@given(st.lists(st.integers(0, 3), min_size=3, max_size=5))
def test_no_figures_of_a_load_header_keep_an_answer_from_its_caller(figures):
    head = ResponseHead(200, (("x-server-load", ",".join(map(str, figures))),))
    load = _parse_load(head)
    driver = GatewayDriver().begin()
    for _ in range(3):
        handle = driver.ask("/book/1")
        (attempt,) = driver.attempts(handle)
        driver.post(AnswerRead(attempt.attempt_id, 200, (), b"body", False, True, load=load))
        assert SendResponse(handle, 200, (), b"body") in driver.actions
    assert not [item for item in driver.actions if getattr(item, "event", "") == NOT_HANDLED]


def test_a_load_of_no_time_is_no_load():
    assert _parse_load(ResponseHead(200, (("x-server-load", "1,0,8,0"),))) is None
    assert _parse_load(ResponseHead(200, (("x-server-load", "1,0,0"),))) is None
    assert _parse_load(ResponseHead(200, (("x-server-load", "0,0,8,100"),))) == ReportedLoad(
        0, 0, 8, 1.0
    )
