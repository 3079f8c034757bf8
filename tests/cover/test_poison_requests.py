"""What counts as evidence that a request crashes replicas, and what refutes it."""

from __future__ import annotations

from itertools import count

import pytest
from gateway_driver import GatewayDriver

from coriandershelf_core.internal.gateway.actions import Refusal
from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.poison_requests import (
    CRASHES_MAX_COUNT,
    FINGERPRINT_KEEP_S,
    FINGERPRINTS_MAX_COUNT,
    PoisonRequests,
)

FINGERPRINT = 7
DIGEST_PERIOD_S = 0.1


def exchange(vms: list[PoisonRequests], now_s: float, names_replicas: bool = True) -> None:
    """Let all VMs send their digests to all others.

    :param names_replicas: whether the digests name the replicas, as those of older builds do not.
    """
    digests = [
        Digest(
            f"vm-{number}", "", "", 1, 1, 0.0, crashes=vm.own_counts(),
            died=vm.own_crashed() if names_replicas else {},
        )
        for number, vm in enumerate(vms)
    ]  # fmt: skip
    for number, vm in enumerate(vms):
        for other, digest in enumerate(digests):
            if other != number:
                vm.on_digest(digest, now_s)


def run(vms: list[PoisonRequests], from_s: float, duration_s: float) -> float:
    """Let VMs exchange digests for some time; return when it ends."""
    now_s = from_s
    while now_s < from_s + duration_s:
        now_s += DIGEST_PERIOD_S
        for vm in vms:
            vm.on_tick(now_s)
        exchange(vms, now_s)
    return now_s


# Guards against a request that is refused for as long as two VMs live, since each keeps the other's
# evidence alive.
@pytest.mark.parametrize("vms_count", [1, 2, 8])
def test_evidence_that_several_vms_hold_ends(vms_count):
    vms = [PoisonRequests() for _ in range(vms_count)]
    for number in range(CRASHES_MAX_COUNT):
        at_s = 100.0 + number
        vms[number % vms_count].on_crash(FINGERPRINT, at_s, f"replica-{number}", at_s - 0.5)
    now_s = run(vms, 103.0, FINGERPRINT_KEEP_S - 10.0)
    assert all(vm.is_poison(FINGERPRINT) for vm in vms)
    now_s = run(vms, now_s, FINGERPRINT_KEEP_S)
    assert not any(vm.is_poison(FINGERPRINT) for vm in vms)
    assert not any(vm.own_counts() or vm.own_crashed() for vm in vms)


# Guards against identical requests that are refused after one crash of one replica.
@pytest.mark.parametrize("vms_count", [1, 2, 8])
def test_one_crash_counts_once_however_many_identical_requests_it_breaks(vms_count):
    vms = [PoisonRequests() for _ in range(vms_count)]
    for number in range(8):
        vms[number % vms_count].on_crash(FINGERPRINT, 100.0 + 0.001 * number, "replica-0/1", 99.0)
    run(vms, 100.1, 1.0)
    assert not any(vm.is_poison(FINGERPRINT) for vm in vms)


def test_crashes_of_different_replicas_count_over_all_vms():
    vms = [PoisonRequests() for _ in range(CRASHES_MAX_COUNT)]
    for number, vm in enumerate(vms):
        vm.on_crash(FINGERPRINT, 100.0, f"replica-{number}/1", 99.0)
    exchange(vms, 100.1)
    assert all(vm.is_poison(FINGERPRINT) for vm in vms)


# Guards against a replica that crashes again and again under a request before its starts are
# registered.
def test_a_replica_that_crashes_under_each_of_several_attempts_counts_each_time():
    poison = PoisonRequests()
    for number in range(CRASHES_MAX_COUNT):
        assert not poison.is_poison(FINGERPRINT)
        at_s = 100.0 + number
        poison.on_crash(FINGERPRINT, at_s + 0.2, "replica-0/1", at_s)
    assert poison.is_poison(FINGERPRINT)


def test_a_crash_that_an_older_build_reports_counts_too():
    vms = [PoisonRequests() for _ in range(CRASHES_MAX_COUNT)]
    for number, vm in enumerate(vms):
        vm.on_crash(FINGERPRINT, 100.0, f"replica-{number}/1", 99.0)
    exchange(vms, 100.1, names_replicas=False)
    assert all(vm.is_poison(FINGERPRINT) for vm in vms)
    exchange(vms, 100.2, names_replicas=False)
    vms[0].on_completed(FINGERPRINT)
    exchange(vms, 100.3, names_replicas=False)
    assert [vm.is_poison(FINGERPRINT) for vm in vms] == [False, True, True]


def test_a_completed_request_is_refused_only_after_as_many_crashes_again():
    vms = [PoisonRequests(), PoisonRequests()]
    numbers = count()

    def crash(vm: PoisonRequests, at_s: float) -> None:
        vm.on_crash(FINGERPRINT, at_s, f"replica-{next(numbers)}/1", at_s - 0.1)
        exchange(vms, at_s)

    for number in range(CRASHES_MAX_COUNT - 1):
        crash(vms[number % 2], 100.0 + number)
    vms[0].on_completed(FINGERPRINT)
    for number in range(CRASHES_MAX_COUNT - 1):
        crash(vms[number % 2], 110.0 + number)
        assert not vms[0].is_poison(FINGERPRINT)
    crash(vms[0], 115.0)
    assert vms[0].is_poison(FINGERPRINT)


def test_memory_and_digests_are_bounded():
    poison = PoisonRequests()
    for number in range(3 * FINGERPRINTS_MAX_COUNT):
        for replica in range(2 * CRASHES_MAX_COUNT):
            poison.on_crash(number, 100.0 + number, f"replica-{replica}", 99.0 + number)
    assert len(poison.own_counts()) <= FINGERPRINTS_MAX_COUNT
    assert all(len(item) <= CRASHES_MAX_COUNT for item in poison.own_crashed().values())
    assert all(item <= CRASHES_MAX_COUNT for item in poison.own_counts().values())


# Guards against a request that many callers send, and that replicas complete all the time, being
# refused because it was in flight at crashes by chance.
def test_a_request_that_replicas_complete_between_crashes_is_no_poison():
    driver = GatewayDriver().begin(plains=6)
    for _ in range(CRASHES_MAX_COUNT + 1):
        broken = driver.ask("/read/popular", fingerprint=FINGERPRINT)
        driver.fail(driver.attempts(broken)[-1].attempt_id)
        driver.answer(driver.attempts(broken)[-1].attempt_id)
        for _ in range(5):
            handle = driver.ask("/read/popular", fingerprint=FINGERPRINT)
            assert not driver.refusals(handle)
            driver.answer(driver.attempts(handle)[-1].attempt_id)
        driver.run(3.0)
    assert not [item for item in driver.actions if getattr(item, "refusal", 0) is Refusal.POISON]


# Guards against the same where the broken connections are a VM's own: identical requests that were
# in flight at one crash are no evidence of several.
def test_identical_requests_at_one_crash_of_a_replica_are_sent_again():
    driver = GatewayDriver().begin(plains=1)
    broken = [driver.ask("/read/popular", fingerprint=FINGERPRINT) for _ in range(5)]
    attempts = [driver.attempts(handle)[0] for handle in broken]
    assert len({attempt.replica_id for attempt in attempts}) == 1
    driver.now_s += 0.1
    for attempt in attempts:
        driver.fail(attempt.attempt_id)
    assert not driver.gateway.poison_requests.is_poison(FINGERPRINT)
