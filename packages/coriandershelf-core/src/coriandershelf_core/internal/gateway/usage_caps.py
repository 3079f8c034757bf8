"""Usage caps of customers, enforced over all entry VMs together."""

from __future__ import annotations

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.deployment import Customer
from coriandershelf_core.internal.gateway.digest import Digest

# A peer without digests for this long, or for the given number of digest periods where these are
# longer, is assumed to use its share until the next digest.
PEER_SILENT_MIN_S = 1.0
PEER_SILENT_PERIODS_COUNT = 1.5
# A peer silent for longer than this is assumed to be gone; network partitions last seconds.
PEER_GONE_S = 15.0
# Initial level of a bucket, as a share of its size, before any peer digests.
INITIAL_LEVEL_SHARE = 0.25
# A request needs its cost in the bucket, but at most this share of the bucket's size: larger ones
# could hardly pass otherwise. A new bucket has as much, so that it admits any one request.
NEEDED_LEVEL_MAX_SHARE = INITIAL_LEVEL_SHARE
DEMAND_DECAY_S = 2.0
# Lowest part of a customer's demand at this VM: capacity is divided by it.
LOCAL_SHARE_MIN = 1e-6
# A request leaves in the bucket what the customer's cheaper requests ask for in this time, up to a
# share of the bucket's size. One long prompt costs as much as dozens of bookings, so while the cap
# binds the long ones are refused first, and most callers are served.
RESERVE_S = 1.0
RESERVE_MAX_SHARE = 0.5
# Requests are as cheap as each other within a factor of two.
COST_CLASSES_COUNT = 24
# Streams that are resumed count as the cheapest, so that all new requests leave a reserve for them:
# a caller that is refused one loses the events that it has.
RESUMED_COST_CLASS = 0
# Up to this many VMs exchange digests at the full rate; with more, each VM limits its own usage
# between digests.
FREQUENT_DIGEST_VMS_COUNT = 12
# The local limit does not apply while the bucket is filled above this share.
LOCAL_LIMIT_LEVEL_SHARE = 0.5
LOCAL_BURST_S = 0.25


class _Peer(Struct):
    incarnation: int
    received_at_s: float
    spent: dict[str, float]
    demand: dict[str, float]
    charged_at_s: float = 0.0


class _Bucket(Struct):
    """This VM's view of a token bucket shared by all entry VMs.

    :param local_level: level of the local limit, refilled at this VM's share of the rate.
    :param cost_demands: requested usage per second at this VM, by class of cost.
    """

    level: float
    updated_at_s: float
    rate_per_s: float
    burst: float
    spent: float = 0.0
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0
    local_level: float = 0.0
    local_at_s: float = 0.0
    cost_demands: list[float] = field(default_factory=lambda: [0.0] * COST_CLASSES_COUNT)


class UsageCaps(Struct):
    """One token bucket per customer, shared by all entry VMs.

    Each VM's digests contain its usage. A silent VM is assumed to continue to use its share of the
    demand, so that both sides of a network partition together stay within the cap.

    :param digest_period_s: longest period at which a live peer sends digests.
    """

    entry_vms_count: int = 1
    digest_period_s: float = 0.0
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _peer_demand_per_s: dict[str, float] = field(default_factory=dict)

    def adopt(self, customers: tuple[Customer, ...], now_s: float) -> None:
        """Apply the caps of a new configuration."""
        for customer in customers:
            bucket = self._buckets.get(customer.name)
            if bucket is None:
                level = customer.burst * INITIAL_LEVEL_SHARE
                self._buckets[customer.name] = _Bucket(
                    level, now_s, customer.rate_per_s, customer.burst
                )
                continue
            self._refill(bucket, now_s)
            bucket.rate_per_s = customer.rate_per_s
            bucket.burst = customer.burst
            bucket.level = min(bucket.level, customer.burst)

    def wait_s(self, customer: Customer, cost: float, now_s: float, resumes: bool = False) -> float:
        """Return 0 if a request is within the cap, else the time until one is.

        If any request were allowed while the level is above zero, one long prompt would overdraw
        the bucket, and the customer's short requests and bookings would be refused for it.
        """
        bucket = self._buckets[customer.name]
        cost_class = RESUMED_COST_CLASS if resumes else _cost_class(cost)
        if customer.rate_per_s <= 0.0:
            # Shares between customers need the demand of those without a cap as well.
            self._update_demand(bucket, cost, now_s, cost_class)
            return 0.0
        self._refill(bucket, now_s)
        self._update_demand(bucket, cost, now_s, cost_class)
        needed = min(cost, NEEDED_LEVEL_MAX_SHARE * bucket.burst)
        needed += self._reserve(customer.name, bucket, cost_class)
        if bucket.level < needed:
            return max(0.05, (needed - bucket.level) / bucket.rate_per_s)
        return self._local_wait_s(customer.name, bucket, now_s)

    def level(self, customer: Customer) -> float:
        """Return the usage that a customer has left, in the unit of its cap."""
        return self._buckets[customer.name].level

    def spend(self, customer: Customer, cost: float) -> None:
        """Charge a request; a negative cost refunds one that did not run."""
        bucket = self._buckets[customer.name]
        bucket.level -= cost
        bucket.local_level -= cost
        bucket.spent += cost

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Charge the usage of another VM since its last digest."""
        peer = self._peers.get(digest.vm_id)
        if peer is None or peer.incarnation != digest.incarnation:
            base = {} if peer is not None else dict(digest.spent)
            demand = peer.demand if peer is not None else {}
            peer = _Peer(digest.incarnation, now_s, base, demand, now_s)
            self._peers[digest.vm_id] = peer
        for name, spent in digest.spent.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= spent - peer.spent.get(name, 0.0)
        peer.spent = dict(digest.spent)
        self._set_demand(peer, {} if digest.stopping else digest.demand)
        peer.received_at_s = peer.charged_at_s = now_s

    def on_minimal_digest(self, digest: Digest, now_s: float) -> None:
        """Record that another VM is alive, from a digest without usage."""
        peer = self._peers.get(digest.vm_id)
        if peer is not None and peer.incarnation == digest.incarnation:
            peer.received_at_s = peer.charged_at_s = now_s

    def on_tick(self, now_s: float) -> None:
        """Charge silent peers their shares; remove those that are gone."""
        silent_after_s = max(PEER_SILENT_MIN_S, PEER_SILENT_PERIODS_COUNT * self.digest_period_s)
        for vm_id, peer in list(self._peers.items()):
            silent_s = now_s - peer.received_at_s
            if silent_s > PEER_GONE_S:
                self._set_demand(peer, {})
                del self._peers[vm_id]
            elif silent_s > silent_after_s:
                self._charge_share(peer, now_s)

    def spent(self) -> dict[str, float]:
        """Return this VM's usage since its start, by customer."""
        return {name: bucket.spent for name, bucket in self._buckets.items() if bucket.spent}

    def demand(self, now_s: float) -> dict[str, float]:
        """Return the requested usage per second at this VM, by customer."""
        demand: dict[str, float] = {}
        for name, bucket in self._buckets.items():
            self._update_demand(bucket, 0.0, now_s)
            if bucket.demand_per_s >= 1.0:
                demand[name] = round(bucket.demand_per_s)
        return demand

    def local_share(self, name: str, now_s: float) -> float:
        """Return the part of a customer's demand that arrives at this VM; 1 if there is none.

        It is above zero also for a customer that has long asked at other VMs only: its requests
        here are weighed by it.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return 1.0
        self._update_demand(bucket, 0.0, now_s)
        total = self._peer_demand_per_s.get(name, 0.0) + bucket.demand_per_s
        if total <= 0.0 or bucket.demand_per_s <= 0.0:
            return 1.0
        return max(LOCAL_SHARE_MIN, bucket.demand_per_s / total)

    def _local_wait_s(self, name: str, bucket: _Bucket, now_s: float) -> float:
        """Limit this VM's usage between digests to its share of the demand.

        Many VMs exchange digests only about once a second; without this limit, each of them would
        use the same remaining tokens.
        """
        total = self._peer_demand_per_s.get(name, 0.0) + bucket.demand_per_s
        share = bucket.demand_per_s / total if total > 0.0 else 1.0
        elapsed_s, bucket.local_at_s = now_s - bucket.local_at_s, now_s
        rate = share * bucket.rate_per_s
        local_burst = max(share * max(0.0, bucket.level), rate * LOCAL_BURST_S)
        bucket.local_level = min(local_burst, bucket.local_level + rate * elapsed_s)
        frequent_digests = self.entry_vms_count <= FREQUENT_DIGEST_VMS_COUNT
        if frequent_digests or bucket.level > LOCAL_LIMIT_LEVEL_SHARE * bucket.burst:
            return 0.0
        if bucket.local_level > 0.0 or rate <= 0.0:
            return 0.0
        return max(0.05, -bucket.local_level / rate)

    def _reserve(self, name: str, bucket: _Bucket, cost_class: int) -> float:
        """Return what a request leaves in the bucket for cheaper ones of its customer.

        This VM's arrivals stand for those of all VMs, in proportion to their demand.
        """
        cheaper_per_s = sum(bucket.cost_demands[:cost_class])
        if cheaper_per_s <= 0.0:
            return 0.0
        total = self._peer_demand_per_s.get(name, 0.0) + bucket.demand_per_s
        scale = total / bucket.demand_per_s if bucket.demand_per_s > 0.0 else 1.0
        return min(RESERVE_S * cheaper_per_s * scale, RESERVE_MAX_SHARE * bucket.burst)

    def _charge_share(self, peer: _Peer, now_s: float) -> None:
        elapsed_s, peer.charged_at_s = now_s - peer.charged_at_s, now_s
        for name, peer_demand in peer.demand.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            others = self._peer_demand_per_s.get(name, 0.0)
            total = max(others + bucket.demand_per_s, bucket.rate_per_s)
            charge = bucket.rate_per_s * peer_demand / total * elapsed_s if total else 0.0
            bucket.level -= charge
            # This much of the usage in the peer's next digest is already charged.
            peer.spent[name] = peer.spent.get(name, 0.0) + charge

    def _set_demand(self, peer: _Peer, demand: dict[str, float]) -> None:
        """Replace a peer's demand and update the sums over all peers."""
        sums = self._peer_demand_per_s
        for name, demand_per_s in peer.demand.items():
            sums[name] -= demand_per_s
        for name, demand_per_s in demand.items():
            sums[name] = sums.get(name, 0.0) + demand_per_s
        peer.demand = demand

    @staticmethod
    def _refill(bucket: _Bucket, now_s: float) -> None:
        refill = (now_s - bucket.updated_at_s) * bucket.rate_per_s
        bucket.level = min(bucket.burst, bucket.level + refill)
        bucket.updated_at_s = now_s

    @staticmethod
    def _update_demand(bucket: _Bucket, cost: float, now_s: float, cost_class: int = 0) -> None:
        elapsed_s = now_s - bucket.demand_at_s
        kept_share = max(0.0, 1.0 - elapsed_s / DEMAND_DECAY_S)
        bucket.demand_per_s *= kept_share
        bucket.demand_per_s += cost / DEMAND_DECAY_S
        bucket.demand_at_s = now_s
        bucket.cost_demands = [item * kept_share for item in bucket.cost_demands]
        bucket.cost_demands[cost_class] += cost / DEMAND_DECAY_S


def _cost_class(cost: float) -> int:
    return min(COST_CLASSES_COUNT - 1, int(cost).bit_length())
