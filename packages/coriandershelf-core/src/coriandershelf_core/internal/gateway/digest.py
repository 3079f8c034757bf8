"""What entry VMs tell each other several times a second."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HolderSeen:
    """The holder of the duties as a VM knows it.

    :param number: its fencing number.
    """

    vm_id: str
    number: int


@dataclass(frozen=True, slots=True)
class ReplicaDigest:
    """What a VM has at one replica.

    :param waiting_tokens: prompt tokens of its requests there that are not yet read.
    :param slowness_percent: time that work took there of late ÷ the time expected; 0 if not known.
    :param pace_percent: time that work takes there at the moment ÷ the usual, as the replica said;
        0 if it did not of late.
    """

    running_count: int
    waiting_tokens: int
    slowness_percent: int = 0
    pace_percent: int = 0
    pace_age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Work:
    """What arrives of a service.

    :param tokens_per_s: prompt tokens; ``late_tokens_per_s`` those of requests that missed their
        objective.
    :param running_count: the sender's requests at the service's replicas.
    """

    requests_per_s: float
    tokens_per_s: float
    late_tokens_per_s: float = 0.0
    running_count: int = 0


@dataclass(frozen=True, slots=True)
class Digest:
    """One entry VM's state of the moment.

    :param clock_s: the sender's time of day, as its machine says.
    :param replicas: by replica id, what the sender has there; left out on large sites, where links
        of small VMs could not carry it and the accounts of room stand in.
    :param spent: for each customer, usage since the process's start.
    :param demand: for each customer, usage asked for a second, of late.
    :param begun: for each usage window, for each customer, requests that began to run in it.
    :param crashes: fingerprints of requests whose replicas broke off, with the count here.
    :param complete: whether ``spent``, ``demand`` and ``work`` are filled in.
    :param left: replicas that the sender read of as leaving or gone a moment ago, with their start
        in Unix milliseconds.
    :param work: by service, what arrives at the sender.
    """

    vm_id: str
    address: str
    zone: str
    incarnation: int
    sequence: int
    clock_s: float
    stopping: bool = False
    configuration_version: int = 0
    replicas: dict[str, ReplicaDigest] = field(default_factory=dict)
    spent: dict[str, float] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)
    begun: dict[int, dict[str, int]] = field(default_factory=dict)
    crashes: dict[int, int] = field(default_factory=dict)
    work: dict[str, Work] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    holder: HolderSeen | None = None
    complete: bool = False
