"""The state that entry VMs exchange several times a second."""

from __future__ import annotations

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.poison_parts import PartDigest
from coriandershelf_core.internal.gateway.request_limits import LimitDigest
from coriandershelf_core.internal.gateway.rollout import RolloutNews
from coriandershelf_core.internal.gateway.rollout_counts import VersionCounts


class HolderInfo(Struct, frozen=True):
    """The lease holder as known to a VM.

    :param number: its fencing token.
    """

    vm_id: str
    number: int


class ReplicaDigest(Struct, frozen=True):
    """The sender's requests and measurements at one replica.

    :param running_count: requests in flight.
    :param waiting_tokens: prompt tokens of these requests that await prefill.
    :param slowness_percent: recent mean of measured ÷ expected latency; 0 if unknown.
    :param pace_percent: service time ÷ its usual value, as reported by the replica; 0 if there was
        no recent report.
    :param pace_age_ms: time since that report.
    """

    running_count: int
    waiting_tokens: int
    slowness_percent: int = 0
    pace_percent: int = 0
    pace_age_ms: int = 0


class DatedStart(Struct, frozen=True):
    """What the connections of a VM of an earlier build showed of a start of a replica.

    :param age_ms: time since then.
    """

    started_at_ms: int
    age_ms: int


class ServiceRates(Struct, frozen=True):
    """Arrival rates and load of one service at one entry VM.

    :param tokens_per_s: prompt tokens.
    :param late_tokens_per_s: prompt tokens of requests that missed their objective.
    :param running_count: requests in flight at the service's replicas.
    """

    requests_per_s: float
    tokens_per_s: float
    late_tokens_per_s: float = 0.0
    running_count: int = 0


class Digest(Struct, frozen=True):
    """Snapshot of one entry VM's state.

    :param clock_s: the sender's wall-clock time.
    :param replicas: the sender's requests by replica id; omitted on large sites, where the links of
        small VMs could not carry it and load trackers are used instead.
    :param spent: usage since the process started, by customer.
    :param demand: recently requested usage per second, by customer.
    :param begun: requests that started to run, by usage window and customer.
    :param crashes: the sender's count of crashed replicas, by request fingerprint.
    :param died: the same by request fingerprint and hash of the replica's start.
    :param work: arrival rates at the sender, by service.
    :param left: start times (Unix milliseconds) of replicas that the sender recently saw leaving or
        gone in the registry, by replica id.
    :param limits: the request limits that replicas state, by replica id.
    :param parts: evidence on prompt parts that crash replicas, by hash of the part.
    :param no_path: whether the sender has no path of its own to some replicas.
    :param build: the sender's version and protocol level; empty from builds of level 0.
    :param holder: the sender itself, while it holds the lease.
    :param rollouts: the running and just ended roll-outs, by service.
    :param versions: the sender's counts of answers by version, by service.
    :param lease_end: end offset of the lease's partition, as known to the holder; 0 from others.
    :param released: the highest fencing token that the sender gave up: it never acts with it again.
    :param token: no fencing token that the sender knows of is higher.
    :param reported: the newest usage window whose report the sender knows to be final.
    :param alive: the starts that ran shortly before, by replica id; from builds that have replicas
        not asked.
    :param complete: whether ``spent``, ``demand`` and ``work`` are set.
    :param digest_port: the port of the sender's host for digests; 0 if they go to ``address``.
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
    work: dict[str, ServiceRates] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    limits: dict[str, LimitDigest] = field(default_factory=dict)
    parts: dict[int, PartDigest] = field(default_factory=dict)
    no_path: bool = False
    build: str = ""
    holder: HolderInfo | None = None
    complete: bool = False
    digest_port: int = 0
    rollouts: dict[str, RolloutNews] = field(default_factory=dict)
    versions: dict[str, VersionCounts] = field(default_factory=dict)
    lease_end: int = 0
    released: int = 0
    token: int = 0
    reported: int = 0
    alive: dict[str, DatedStart] = field(default_factory=dict)
    died: dict[int, dict[int, int]] = field(default_factory=dict)
