"""A close-delimited response is complete only if its replica is known to run after its end."""

from __future__ import annotations

import pytest
from gateway_driver import PLAN, GatewayDriver, make_deployment, make_replicas
from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import (
    AbortStream,
    CheckLiveness,
    EndStream,
    IncrementCounter,
    Refusal,
    SendResponse,
    StartAttempt,
)
from coriandershelf_core.internal.gateway.attempts import wait_max_s
from coriandershelf_core.internal.gateway.events import (
    CallerLeft,
    Liveness,
    LivenessChecked,
    RegistryProved,
    ReplicasRead,
    ResponseHeadRead,
    StreamOpened,
)
from coriandershelf_core.internal.gateway.replica_starts import NoStart, StatedStart
from coriandershelf_core.internal.gateway.response_ends import (
    CONFIRMED_WITHIN_S,
    EXPECTED_S,
    REPEATED_AFTER_S,
)

STREAM_PATHS = ["/ask/1", "/plan/1"]
BODY_PATHS = ["/book/1", "/read/1"]


class Response:
    """A close-delimited response of which all bytes were read."""

    def __init__(self, path: str, is_known: bool = True) -> None:
        """Let it end.

        :param is_known: whether its connection is known to lead to the registered start.
        """
        self.driver = GatewayDriver().begin()
        self.handle = self.driver.ask(path, time_left_s=15.0)
        self.attempt = self.driver.attempts(self.handle)[0]
        self.sent_at_s = self.driver.now_s
        age_s = 8.0 if is_known else 0.0
        self.read_head(self.attempt, age_s)
        if path in STREAM_PATHS:
            self.driver.open(self.attempt.attempt_id)
            self.driver.read(self.attempt.attempt_id, 1)
            self.actions = self.driver.end(self.attempt.attempt_id, is_close_delimited=True)
        else:
            self.actions = self.driver.answer(self.attempt.attempt_id, is_close_delimited=True)

    def read_head(self, attempt: StartAttempt, age_s: float) -> None:
        connected_at_s = self.driver.now_s - age_s
        self.driver.post(
            ResponseHeadRead(
                attempt.attempt_id, True, connected_at_s=connected_at_s,
                sent_at_s=self.driver.now_s,
            )
        )  # fmt: skip

    @property
    def is_checked(self) -> bool:
        return any(isinstance(item, CheckLiveness) for item in self.driver.actions)

    @property
    def is_delivered(self) -> bool:
        ends = (EndStream, SendResponse)
        return any(isinstance(item, ends) for item in self.driver.actions)

    @property
    def is_broken_off(self) -> bool:
        if any(isinstance(item, AbortStream) for item in self.driver.actions):
            return True
        refusals = self.driver.refusals(self.handle)
        return [item.refusal for item in refusals] == [Refusal.UNKNOWN_OUTCOME]

    def check(self, outcome: Liveness, connected_at_s: float | None = None) -> None:
        self.driver.post(LivenessChecked(self.attempt.replica_id, outcome, connected_at_s))


# Guards against a response of a killed replica that looks complete (ORDER, MIXED).
@pytest.mark.parametrize("path", STREAM_PATHS + BODY_PATHS)
def test_an_end_alone_is_not_delivered_and_the_replica_is_asked(path):
    response = Response(path)
    assert not response.is_delivered
    assert response.is_checked


@pytest.mark.parametrize("path", STREAM_PATHS + BODY_PATHS)
def test_an_answer_on_an_older_connection_confirms_the_end(path):
    response = Response(path, is_known=False)
    response.check(Liveness.ANSWERED, response.sent_at_s - 1.0)
    assert response.is_delivered


# Guards against the next process at the address that answers for a killed one.
@pytest.mark.parametrize("path", STREAM_PATHS + BODY_PATHS)
def test_an_answer_on_a_newer_connection_confirms_nothing(path):
    response = Response(path, is_known=False)
    response.driver.now_s += 0.01
    response.check(Liveness.ANSWERED, response.driver.now_s)
    assert not response.is_delivered


def test_an_answer_on_a_newer_connection_to_the_same_start_confirms_the_end():
    response = Response("/plan/1")
    response.check(Liveness.ANSWERED, response.driver.now_s - 1.0)
    assert response.is_delivered


def end_of_stated_start(start: StatedStart) -> GatewayDriver:
    """Let a stream of start 0 end, of which the replica was asked, and then answer as a start."""
    driver = GatewayDriver().begin(engines=1)
    attempt = driver.attempts(driver.ask("/plan/1", time_left_s=15.0))[0]
    driver.read_head(attempt.attempt_id, 0)
    driver.open(attempt.attempt_id)
    driver.read(attempt.attempt_id, 1)
    driver.end(attempt.attempt_id, is_close_delimited=True)
    driver.now_s += 0.01
    answered = LivenessChecked(attempt.replica_id, Liveness.ANSWERED, driver.now_s, start=start)
    driver.post(answered)
    return driver


# Guards against the first such response of a service, for which no older connection is kept.
def test_the_same_stated_start_confirms_the_end_on_any_connection():
    driver = end_of_stated_start(0)
    assert any(isinstance(item, EndStream) for item in driver.actions)


# Guards against the next process at the address, which may state no start.
@pytest.mark.parametrize("start", [7, NoStart.NOT_STATED, NoStart.NO_ANSWER])
def test_another_stated_start_confirms_nothing(start):
    driver = end_of_stated_start(start)
    driver.run(CONFIRMED_WITHIN_S + 0.1)
    assert not any(isinstance(item, EndStream) for item in driver.actions)


# Guards against a registration that the store has written after its replica was killed.
@pytest.mark.parametrize("path", STREAM_PATHS + BODY_PATHS)
def test_a_registration_confirms_nothing(path):
    response = Response(path)
    driver = response.driver
    driver.now_s += 0.6
    state = driver.gateway.pool.get(response.attempt.replica_id)
    registered = {response.attempt.replica_id: state.replica}
    driver.post(ReplicasRead(registered))
    driver.post(RegistryProved(driver.now_s))
    driver.run(0.2)
    assert not response.is_delivered


def test_an_answer_to_a_later_request_at_the_same_start_confirms_the_end():
    response = Response("/book/1")
    driver = response.driver
    driver.now_s += 0.01
    later = driver.attempts(driver.ask("/book/2"))[0]
    while later.replica_id != response.attempt.replica_id:
        later = driver.attempts(driver.ask("/book/2"))[0]
    response.read_head(later, age_s=8.0)
    driver.run(0.1)
    assert response.is_delivered


@pytest.mark.parametrize("path", ["/ask/1", "/book/1"])
def test_a_replica_that_accepts_no_connection_ends_at_once_what_may_not_be_repeated(path):
    response = Response(path)
    response.check(Liveness.UNREACHABLE)
    assert response.is_broken_off and not response.is_delivered


@pytest.mark.parametrize("path", ["/plan/1", "/read/1"])
@pytest.mark.parametrize("outcome", [Liveness.UNREACHABLE, Liveness.CLOSED, Liveness.SILENT])
def test_what_may_be_repeated_goes_on_at_another_replica(path, outcome):
    response = Response(path)
    response.check(outcome)
    response.driver.run(REPEATED_AFTER_S + 0.1)
    attempts = response.driver.attempts(response.handle)
    assert [item.last_event_id for item in attempts] == [None, 1 if path == "/plan/1" else None]
    assert attempts[1].replica_id != attempts[0].replica_id
    response.driver.open(attempts[1].attempt_id) if path == "/plan/1" else None
    if path == "/plan/1":
        response.driver.end(attempts[1].attempt_id)
    else:
        response.driver.answer(attempts[1].attempt_id)
    assert response.is_delivered


# Guards against responses that are held back for ever.
@pytest.mark.parametrize("path", ["/ask/1", "/book/1"])
def test_an_end_that_is_never_confirmed_is_given_up(path):
    response = Response(path)
    response.check(Liveness.NO_CONNECTION)
    response.driver.run(CONFIRMED_WITHIN_S + 0.1)
    assert response.is_broken_off and not response.is_delivered


# Guards against a check that a replica counts against its limit, or gets in its pause.
def test_a_replica_that_wants_a_pause_is_not_asked_meanwhile():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    attempt = driver.attempts(handle)[0]
    driver.open(attempt.attempt_id)
    driver.read(attempt.attempt_id, 1)
    state = driver.gateway.pool.get(attempt.replica_id)
    state.backoff_until_s = driver.now_s + 0.5
    assert not any(
        isinstance(item, CheckLiveness)
        for item in driver.end(attempt.attempt_id, is_close_delimited=True) + driver.run(0.3)
    )
    assert any(isinstance(item, CheckLiveness) for item in driver.run(0.4))


def test_requests_of_a_service_with_such_responses_have_a_connection_to_ask_on():
    driver = GatewayDriver().begin()
    expected = []
    for number, is_close_delimited in enumerate([False, True, False, False]):
        attempt = driver.attempts(driver.ask(f"/read/{number}"))[0]
        expected.append(attempt.checks_liveness)
        driver.answer(attempt.attempt_id, is_close_delimited=is_close_delimited)
        driver.post(LivenessChecked(attempt.replica_id, Liveness.ANSWERED, driver.now_s - 9.0))
        driver.now_s += EXPECTED_S * 0.6
        driver.confirm_configuration()
    assert expected == [False, False, True, False]


# Guards against bytes of a killed process that are read late and count as a sign of life.
@pytest.mark.parametrize("path", STREAM_PATHS)
def test_what_is_only_read_after_the_end_confirms_nothing(path):
    response = Response(path)
    driver = response.driver
    driver.run(0.5)
    relay = driver.gateway.relay
    relay.ends.on_read(relay.attempts.by_id[response.attempt.attempt_id], driver.now_s)
    driver.run(0.1)
    assert not response.is_delivered


# Guards against a late copy of another answer that counts as one of the replica that runs.
def test_a_response_of_another_request_confirms_nothing():
    response = Response("/book/1")
    driver = response.driver
    driver.now_s += 0.01
    later = driver.attempts(driver.ask("/book/2"))[0]
    while later.replica_id != response.attempt.replica_id:
        later = driver.attempts(driver.ask("/book/2"))[0]
    connected_at_s = driver.now_s - 8.0
    driver.post(
        ResponseHeadRead(
            later.attempt_id, False, connected_at_s=connected_at_s, sent_at_s=driver.now_s,
            is_mismatched=True,
        )
    )  # fmt: skip
    driver.run(0.1)
    assert not response.is_delivered


# Guards against failures, too, that are cut short and look whole.
@pytest.mark.parametrize("status", [404, 409, 500])
def test_a_failure_is_not_delivered_before_its_end_is_confirmed(status):
    driver = GatewayDriver().begin()
    handle = driver.ask("/book/1")
    attempt = driver.attempts(handle)[0]
    driver.answer(attempt.attempt_id, status, is_close_delimited=True)
    assert not any(isinstance(item, SendResponse) for item in driver.actions)
    driver.run(CONFIRMED_WITHIN_S + 0.1)
    assert [item.refusal for item in driver.refusals(handle)] == [Refusal.UNKNOWN_OUTCOME]


# Guards against responses of a replica with a request limit that are never confirmed.
def test_a_replica_with_a_limit_is_asked_within_it():
    driver = GatewayDriver().begin()
    handle = driver.ask("/plan/1", time_left_s=15.0)
    attempt = driver.attempts(handle)[0]
    driver.post(ResponseHeadRead(attempt.attempt_id, True, requests_max_per_s=4.0))
    driver.open(attempt.attempt_id)
    driver.read(attempt.attempt_id, 1)
    state = driver.gateway.pool.get(attempt.replica_id)
    sent_count = len(state.limit._sent_at_s)
    driver.run(1.0)
    driver.end(attempt.attempt_id, is_close_delimited=True)
    driver.run(1.0)
    assert any(isinstance(item, CheckLiveness) for item in driver.actions)
    assert len(state.limit._sent_at_s) == sent_count + 1


# Guards against a check for each of many responses that end at once.
def test_one_check_confirms_all_ends_before_it():
    driver = GatewayDriver().begin(engines=1)
    handles = [driver.ask(f"/plan/{number}", time_left_s=15.0) for number in range(4)]
    attempts = [driver.attempts(handle)[0] for handle in handles]
    for attempt in attempts:
        driver.open(attempt.attempt_id)
        driver.read(attempt.attempt_id, 1)
        driver.end(attempt.attempt_id, is_close_delimited=True)
    checks = [item for item in driver.actions if isinstance(item, CheckLiveness)]
    assert len(checks) == 1
    assert checks[0].asks_start
    name, connected_at_s = attempts[0].replica_id, driver.now_s - 9.0
    driver.post(LivenessChecked(name, Liveness.ANSWERED, connected_at_s, start=0))
    assert sum(isinstance(item, EndStream) for item in driver.actions) == len(attempts)


# Guards against an error, and a second end, where a caller leaves while the replica is asked.
@pytest.mark.parametrize("path", STREAM_PATHS + BODY_PATHS)
def test_an_answer_after_the_caller_has_left_ends_nothing(path):
    response = Response(path)
    response.driver.post(CallerLeft(response.handle))
    response.check(Liveness.ANSWERED, response.driver.now_s - 9.0)
    assert not response.is_delivered
    assert not [
        item for item in response.driver.actions if item == IncrementCounter("errors", "event")
    ]


class EndAfterComment:
    """A close-delimited stream of a replica that runs on, which ended right after a comment."""

    def __init__(self, path: str = "/plan/1", attempts_max_count: int = 3) -> None:
        self.driver = GatewayDriver()
        deployment = make_deployment()
        routes = tuple(
            replace(route, attempts_max_count=attempts_max_count) for route in deployment.routes
        )
        self.driver.begin(replace(deployment, routes=routes))
        self.begin(path)

    def begin(self, path: str = "/plan/1") -> None:
        """Let another stream of the same service begin, and end after a comment."""
        self.driver.actions.clear()
        self.handle = self.driver.ask(path, time_left_s=15.0)
        self.open(event_id=1)
        self.end()

    @property
    def attempts(self) -> list[StartAttempt]:
        return self.driver.attempts(self.handle)

    @property
    def has_ended(self) -> bool:
        return any(isinstance(item, EndStream) for item in self.driver.actions)

    def open(self, event_id: int | None) -> None:
        """Let the last attempt begin to answer, with an event if there is one to come."""
        attempt, now_s = self.attempts[-1], self.driver.now_s
        start = 0 if attempt.asks_start else NoStart.NOT_ASKED
        self.driver.post(
            ResponseHeadRead(
                attempt.attempt_id, True, connected_at_s=now_s - 8.0, sent_at_s=now_s, start=start
            )
        )
        self.driver.post(StreamOpened(attempt.attempt_id, 200, ()))
        if event_id is not None:
            self.driver.read(attempt.attempt_id, event_id)

    def end(self, after_comment: bool = True) -> None:
        """End the last attempt with its connection; its replica answers a check after that."""
        attempt = self.attempts[-1]
        self.driver.end(attempt.attempt_id, is_close_delimited=True, after_comment=after_comment)
        connected_at_s = self.driver.now_s - 8.0
        answered = LivenessChecked(attempt.replica_id, Liveness.ANSWERED, connected_at_s, start=0)
        self.driver.post(answered)


# Guards against a stream that looks complete though its replica, which runs on, closed its
# connection between a comment and the next event.
def test_a_stream_that_ended_after_a_comment_goes_on_after_its_last_event():
    stream = EndAfterComment()
    assert not stream.has_ended
    assert [item.last_event_id for item in stream.attempts] == [None, 1]
    stream.open(event_id=2)
    stream.end(after_comment=False)
    assert stream.has_ended and len(stream.attempts) == 2


# Guards against a whole stream that its caller loses, or gets after many attempts, since its
# replicas write a comment last.
@pytest.mark.parametrize("after_comment", [False, True])
def test_an_attempt_that_brings_no_event_shows_that_a_stream_was_whole(after_comment):
    stream = EndAfterComment()
    stream.open(event_id=None)
    stream.end(after_comment)
    assert stream.has_ended and len(stream.attempts) == 2


@pytest.mark.parametrize("path, attempts_max_count", [("/plan/1", 1), ("/ask/1", 3)])
def test_a_stream_that_cannot_go_on_may_end_after_a_comment(path, attempts_max_count):
    stream = EndAfterComment(path, attempts_max_count)
    assert stream.has_ended and len(stream.attempts) == 1


# Guards against a whole stream that its caller loses since no replica could show that it was.
@pytest.mark.parametrize("trouble", ["fails", "cannot be connected", "answers an error", "leaves"])
def test_a_stream_whose_rest_cannot_be_asked_for_is_whole_as_before(trouble):
    stream = EndAfterComment()
    driver = stream.driver
    for _ in range(9):
        if stream.has_ended:
            break
        attempt_id = stream.attempts[-1].attempt_id
        if trouble == "answers an error":
            driver.answer(attempt_id, 404)
        elif trouble == "leaves":
            driver.post(ReplicasRead(make_replicas(0, 0), complete=True))
            driver.fail(attempt_id)
        else:
            driver.fail(attempt_id, sent=trouble == "fails")
    assert stream.has_ended
    assert not any(isinstance(item, AbortStream) for item in driver.actions)


# Guards against a half of a stream that looks complete since all of its attempts ended so.
def test_a_stream_breaks_off_after_a_comment_where_others_did():
    stream = EndAfterComment(attempts_max_count=2)
    stream.open(event_id=2)
    stream.end()
    assert not stream.has_ended
    assert AbortStream(stream.handle) in stream.driver.actions
    # A stream that was whole shows that such ends of the service may be sound.
    stream.begin()
    stream.open(event_id=None)
    stream.end()
    assert stream.has_ended
    stream.begin()
    stream.driver.fail(stream.attempts[-1].attempt_id)
    assert stream.has_ended


def test_others_that_broke_off_after_a_comment_are_forgotten():
    stream = EndAfterComment(attempts_max_count=2)
    stream.open(event_id=2)
    stream.end()
    stream.begin()
    stream.driver.fail(stream.attempts[-1].attempt_id)
    assert not stream.has_ended
    stream.driver.now_s += EXPECTED_S + 1.0
    stream.driver.confirm_configuration()
    stream.begin()
    stream.driver.fail(stream.attempts[-1].attempt_id)
    assert stream.has_ended


# Guards against a whole stream that its caller abandons while a silent replica is asked for more.
def test_a_stream_ends_before_its_caller_abandons_it():
    stream = EndAfterComment(attempts_max_count=2)
    stream.driver.run(wait_max_s(PLAN) + 0.1)
    assert stream.has_ended
    assert not any(isinstance(item, AbortStream) for item in stream.driver.actions)
    stream.driver.end(stream.attempts[-1].attempt_id, is_close_delimited=True)
    assert sum(isinstance(item, EndStream) for item in stream.driver.actions) == 1


# Guards against a stream that looks whole though another attempt has shown that it is not.
def test_a_stream_that_went_on_and_breaks_again_is_broken_off():
    stream = EndAfterComment(attempts_max_count=2)
    stream.open(event_id=2)
    stream.driver.fail(stream.attempts[-1].attempt_id)
    assert not stream.has_ended
    assert any(isinstance(item, AbortStream) for item in stream.driver.actions)
