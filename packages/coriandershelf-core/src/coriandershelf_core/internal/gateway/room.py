"""Room at replicas on sites with many entry VMs: one VM a replica keeps its exact account.

Where many VMs send to one replica, each learns of the others' requests later than most of them
take. So before it sends, a VM asks the accountants of a few replicas, and tells the one that it
chose of each step. An account is a help and no permission: without an answer the VM decides by
what it knows itself, and the replica's own refusal holds in any case.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from coriandershelf_core.internal.gateway.part_memory import PartMemory
from coriandershelf_core.internal.gateway.request import PromptPart

# Time that an engine takes for a prompt token, before its slowness is learnt.
PROMPT_TOKEN_S = 1.0e-5
# An accountant that took over a moment ago knows only what began since; the digests' counts, about
# a second old on the largest sites, fill the gap for this long.
TAKEN_OVER_S = 2.0
# A replica that a VM could not reach is shown as shut out to all for this long; then one may try.
UNREACHABLE_S = 1.0
# A replica's speed is a moving mean over the times that all VMs tell, some ten a second.
SLOWNESS_WEIGHT = 0.08
SLOWNESS_MIN = 0.4
SLOWNESS_MAX = 8.0
TIMES_MIN_COUNT = 3


class WorkStep(Enum):
    """What became of an attempt."""

    STARTED = "started"
    BEGUN = "begun"
    ENDED = "ended"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class RoomAsk:
    """A question for the accounts of some replicas.

    :param parts: the leading parts of the prompt that is to be sent.
    """

    vm_id: str
    address: str
    ask_id: int
    replicas: tuple[str, ...]
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class Room:
    """One replica's account.

    :param waiting_tokens: prompt tokens of all entry VMs' requests there that are not yet read.
    :param cached_tokens: tokens of the prompt asked about that the replica has read lately.
    :param shut_out: whether some VM could not reach it a moment ago.
    :param pace: time that work takes there ÷ the usual, as it last said to any VM; ``pace_age_s``
        how long ago.
    :param slowness: time that work took there of late, at all VMs, ÷ the time expected of it at a
        replica of usual speed; ``None`` while too few told.
    """

    replica_id: str
    running_count: int
    waiting_tokens: int
    cached_tokens: int
    shut_out: bool = False
    pace: float = 1.0
    pace_age_s: float = math.inf
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class RoomTold:
    """The answer to a question."""

    vm_id: str
    ask_id: int
    rooms: tuple[Room, ...]


@dataclass(frozen=True, slots=True)
class WorkNote:
    """What a VM tells a replica's accountant of one of its attempts there.

    :param tokens_count: prompt tokens that the replica has to read.
    :param keep_s: time after which the attempt has ended in any case.
    :param pace: the pace that the replica has just stated, if it did.
    :param slowness: time to the first event ÷ the time expected of it.
    """

    vm_id: str
    incarnation: int
    replica_id: str
    attempt_id: int
    step: WorkStep
    tokens_count: int = 0
    keep_s: float = 0.0
    parts: tuple[PromptPart, ...] = ()
    pace: float | None = None
    slowness: float | None = None


RoomMessage = RoomAsk | RoomTold | WorkNote


class Accountants:
    """Which VM keeps a replica's account: one of its zone if there is any, the same for every VM.

    Rendezvous hashing (Thaler and Ravishankar 1998) over the VMs heard of lately; a cut between
    zones leaves a replica and its accountant on one side.
    """

    def __init__(self) -> None:
        self._vms_by_zone: dict[str, tuple[str, ...]] = {}
        self._known: dict[str, str | None] = {}

    def update(self, vms_by_zone: dict[str, tuple[str, ...]]) -> None:
        """Take the VMs that are there, in order of their ids, by zone."""
        if vms_by_zone != self._vms_by_zone:
            self._vms_by_zone = vms_by_zone
            self._known.clear()

    def of(self, replica_id: str, zone: str) -> str | None:
        """Return the VM that keeps a replica's account; ``None`` where no VM is known."""
        if replica_id not in self._known:
            everywhere = [vm_id for vms in self._vms_by_zone.values() for vm_id in vms]
            self._known[replica_id] = max(
                self._vms_by_zone.get(zone) or everywhere,
                key=lambda vm_id: xxhash.xxh64_intdigest(f"{replica_id}/{vm_id}".encode()),
                default=None,
            )
        return self._known[replica_id]


@dataclass(slots=True)
class _Work:
    tokens_count: int
    started_at_s: float
    until_s: float


@dataclass(slots=True)
class _Account:
    """The attempts at one replica, by VM, incarnation and attempt."""

    since_s: float
    works: dict[tuple[str, int, int], _Work] = field(default_factory=dict)
    begun_at_s: float = -math.inf
    unreachable_until_s: float = -math.inf
    pace: float = 1.0
    pace_at_s: float = -math.inf
    slowness: float = 1.0
    times_count: int = 0

    def waiting_tokens(self, now_s: float) -> int:
        """Return the prompt tokens still to be read, less what was read of the first prompt."""
        waiting = [work for work in self.works.values() if work.tokens_count]
        if not waiting:
            return 0
        first = waiting[0]
        reading_s = now_s - max(first.started_at_s, self.begun_at_s)
        read = int(reading_s / (PROMPT_TOKEN_S * self.slowness * self.pace))
        return sum(work.tokens_count for work in waiting) - min(first.tokens_count, read)

    def on_slowness(self, slowness: float) -> None:
        """Take one more time into the moving mean."""
        self.times_count += 1
        weight = max(SLOWNESS_WEIGHT, 1.0 / self.times_count)
        bounded = min(SLOWNESS_MAX, max(SLOWNESS_MIN, slowness))
        self.slowness += weight * (bounded - self.slowness)


class RoomLedger:
    """The accounts that this VM keeps."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._parts = PartMemory()

    def on_note(self, note: WorkNote, now_s: float) -> None:
        """Enter a step of an attempt."""
        account = self._account(note.replica_id, now_s)
        key = (note.vm_id, note.incarnation, note.attempt_id)
        if note.pace is not None:
            account.pace, account.pace_at_s = note.pace, now_s
        if note.slowness is not None:
            account.on_slowness(note.slowness)
        match note.step:
            case WorkStep.STARTED:
                account.works[key] = _Work(note.tokens_count, now_s, now_s + note.keep_s)
                self._parts.note(note.parts, note.replica_id, now_s)
            case WorkStep.BEGUN:
                account.unreachable_until_s = -math.inf
                account.begun_at_s = now_s
                if key in account.works:
                    account.works[key].tokens_count = 0
            case WorkStep.ENDED:
                account.works.pop(key, None)
            case WorkStep.UNREACHABLE:
                account.works.pop(key, None)
                account.unreachable_until_s = now_s + UNREACHABLE_S

    def room(
        self,
        replica_id: str,
        parts: Sequence[PromptPart],
        believed: tuple[int, int],
        now_s: float,
    ) -> Room:
        """Return a replica's account.

        :param believed: requests and waiting prompt tokens there by digests, which count while
            the account is young.
        """
        account = self._account(replica_id, now_s)
        running_count = len(account.works)
        waiting_tokens = account.waiting_tokens(now_s)
        if now_s - account.since_s < TAKEN_OVER_S:
            running_count = max(running_count, believed[0])
            waiting_tokens = max(waiting_tokens, believed[1])
        cached_tokens = self._parts.cached_tokens(parts, replica_id, now_s)
        shut_out = now_s < account.unreachable_until_s
        return Room(
            replica_id, running_count, waiting_tokens, cached_tokens, shut_out,
            account.pace, now_s - account.pace_at_s,
            account.slowness if account.times_count >= TIMES_MIN_COUNT else None,
        )  # fmt: skip

    def on_tick(self, replicas: set[str], processes: set[tuple[str, int]], now_s: float) -> None:
        """Drop what has ended unseen.

        :param replicas: the ids of those that are registered.
        :param processes: ids and incarnations of the entry VMs heard of lately.
        """
        for replica_id in [name for name in self._accounts if name not in replicas]:
            del self._accounts[replica_id]
        for account in self._accounts.values():
            ended = [
                key
                for key, work in account.works.items()
                if now_s >= work.until_s or key[:2] not in processes
            ]
            for key in ended:
                del account.works[key]

    def _account(self, replica_id: str, now_s: float) -> _Account:
        account = self._accounts.get(replica_id)
        if account is None:
            account = self._accounts[replica_id] = _Account(now_s)
        return account
