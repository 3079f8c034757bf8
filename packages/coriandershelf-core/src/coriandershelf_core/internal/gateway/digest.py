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
class Digest:
    """One entry VM's state of the moment.

    :param clock_s: the sender's time of day, as its machine says.
    :param running: for each replica id, requests in flight and prompt tokens not yet read there.
    :param spent: for each customer, usage since the process's start.
    :param demand: for each customer, usage asked for a second, of late.
    :param begun: for each usage window, for each customer, requests that began to run in it.
    :param crashes: fingerprints of requests whose replicas broke off, with the count here.
    :param work: for each service, requests a second and prompt tokens a second.
    """

    vm_id: str
    address: str
    zone: str
    incarnation: int
    sequence: int
    clock_s: float
    stopping: bool = False
    configuration_version: int = 0
    running: dict[str, tuple[int, int]] = field(default_factory=dict)
    spent: dict[str, float] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)
    begun: dict[int, dict[str, int]] = field(default_factory=dict)
    crashes: dict[int, int] = field(default_factory=dict)
    work: dict[str, tuple[float, float]] = field(default_factory=dict)
    holder: HolderSeen | None = None
