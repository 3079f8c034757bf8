"""Requests suspected of crashing the upstreams that run them.

Every request in flight at a crashed replica is a suspect, although most did not cause the crash.
So each is tried again at a replica that runs no other suspect: a second crash can then be
attributed to it alone. The entry VMs exchange messages about crashes, trials and verdicts, because
the caller may send the same request again to any of them, under another key.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from coriandershelf_core.internal.vocabulary.request import Request

SUSPECTS_MAX_COUNT = 5000
SAME_CRASH_S = 1.0
TRIAL_MEMORY_S = 5.0
BLOCKING_CRASHES_COUNT = 2


def identity_of(request: Request) -> str:
    """Return an identifier that a request shares with its repeats under other keys and ids."""
    if not request.body:
        return request.request_id
    text = f"{request.service}\0{request.path}\0".encode()
    return hashlib.sha256(text + request.body).hexdigest()


@dataclass(slots=True)
class Suspicion:
    """The crashes attributed to one identity.

    :param crashes: replica and time of each crash during which it was in flight.
    :param blocked: whether requests with the identity are refused.
    """

    crashes: list[tuple[str, float]] = field(default_factory=list)
    blocked: bool = False
    changed_at_s: float = 0.0


@dataclass(slots=True)
class Trial:
    """An identity that runs at a replica without any other suspect."""

    identity: str
    started_at_s: float


class Suspects:
    """Suspicions and trials, from this VM and from other entry VMs' messages.

    :param keep_s: how long a suspicion or verdict is kept.
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._suspicions: OrderedDict[str, Suspicion] = OrderedDict()
        self._trials: dict[str, Trial] = {}

    def is_blocked(self, identity: str) -> bool:
        """Return whether requests with an identity are refused."""
        suspicion = self._suspicions.get(identity)
        return suspicion is not None and suspicion.blocked

    def is_suspected(self, identity: str) -> bool:
        """Return whether requests with an identity may only run as a trial."""
        return identity in self._suspicions

    def on_crash(self, identity: str, replica_id: str, now_s: float) -> bool:
        """Record a crash for an identity that was in flight; true if it is now blocked.

        If another suspect is on trial at the replica, the crash is attributed to that one only.
        """
        trial = self._trial_at(replica_id, now_s)
        if trial is not None and trial.identity != identity:
            return self.is_blocked(identity)
        suspicion = self._suspicions.setdefault(identity, Suspicion())
        suspicion.changed_at_s = now_s
        self._suspicions.move_to_end(identity)
        known = any(
            crashed_id == replica_id and now_s - at_s < SAME_CRASH_S
            for crashed_id, at_s in suspicion.crashes
        )
        if not known:
            suspicion.crashes.append((replica_id, now_s))
        if len(suspicion.crashes) >= BLOCKING_CRASHES_COUNT:
            suspicion.blocked = True
        while len(self._suspicions) > SUSPECTS_MAX_COUNT:
            self._suspicions.popitem(last=False)
        return suspicion.blocked

    def on_verdict(self, identity: str, guilty: bool, now_s: float) -> None:
        """Apply a verdict; a negative one clears a suspicion, but does not unblock an identity."""
        if guilty:
            suspicion = self._suspicions.setdefault(identity, Suspicion())
            suspicion.blocked = True
            suspicion.changed_at_s = now_s
        elif not self.is_blocked(identity):
            self._suspicions.pop(identity, None)
        self.end_trial(identity)

    def end_trial(self, identity: str) -> None:
        """Remove the trials of an identity."""
        for replica_id, trial in list(self._trials.items()):
            if trial.identity == identity:
                del self._trials[replica_id]

    def on_trial(self, identity: str, replica_id: str, now_s: float) -> None:
        """Record that an identity is on trial at a replica."""
        self._trials[replica_id] = Trial(identity, now_s)

    def may_start_trial(self, identity: str, replica_id: str, now_s: float) -> bool:
        """Return whether a trial may start: at most one per replica and one per identity."""
        if self._trial_at(replica_id, now_s) is not None:
            return False
        return not any(
            trial.identity == identity and now_s - trial.started_at_s < TRIAL_MEMORY_S
            for trial in self._trials.values()
        )

    def on_tick(self, now_s: float) -> None:
        """Remove suspicions that have expired."""
        while self._suspicions:
            identity, suspicion = next(iter(self._suspicions.items()))
            if now_s - suspicion.changed_at_s < self._keep_s:
                return
            del self._suspicions[identity]

    def _trial_at(self, replica_id: str, now_s: float) -> Trial | None:
        trial = self._trials.get(replica_id)
        if trial is None or now_s - trial.started_at_s >= TRIAL_MEMORY_S:
            return None
        return trial
