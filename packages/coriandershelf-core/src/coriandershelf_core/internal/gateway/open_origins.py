"""Streams of which it is not known yet at which software version they began.

A stream may begin at a start of a replica that has not registered. The VMs that keep origins are
told of the start. Each of them, and any VM that asks for it, learns the version once it reads the
registration of that start.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.origin_messages import (
    UNREGISTERED_VERSION,
    OriginClaim,
)
from coriandershelf_core.internal.gateway.pool import Pool

OPEN_MAX_COUNT = 20_000
# As long as origins are kept.
KEPT_S = 60.0
CHECK_PERIOD_S = 0.1


class OpenOrigin(Struct, frozen=True):
    """A stream of an unknown version.

    :param claim: the start of a replica at which it began; ``None`` if that was not stated.
    :param is_own: whether this VM forwarded the stream's first event.
    :param noted_at_s: when this VM learnt of it.
    """

    service: str
    claim: OriginClaim | None
    is_own: bool
    noted_at_s: float


class KnownOrigin(Struct, frozen=True):
    """A stream of which the version has become known."""

    stream_id: str
    version: str
    claim: OriginClaim
    is_own: bool


class OpenOrigins(Struct):
    """The open origins that this VM knows of."""

    pool: Pool
    _open: OrderedDict[str, OpenOrigin] = field(default_factory=OrderedDict)
    _checked_at_s: float = 0.0

    def begin(self, stream_id: str, service: str, claim: OriginClaim | None, now_s: float) -> None:
        """Add a stream of this VM."""
        self._add(stream_id, OpenOrigin(service, claim, True, now_s))

    def on_claim(self, stream_id: str, claim: OriginClaim, now_s: float) -> None:
        """Add a stream that another VM forwards.

        What a VM of an earlier build claims is not what the replica stated.
        """
        if stream_id not in self._open and claim.version == UNREGISTERED_VERSION:
            self._add(stream_id, OpenOrigin(claim.service, claim, False, now_s))

    def claim_of(self, stream_id: str) -> OriginClaim | None:
        """Return what to tell other VMs of an open origin."""
        origin = self._open.get(stream_id)
        return None if origin is None else origin.claim

    def end(self, stream_id: str) -> None:
        """Remove a stream of which the version is known."""
        self._open.pop(stream_id, None)

    def has_any_of(self, service: str) -> bool:
        """Return whether streams of a service are of an unknown version."""
        return any(origin.service == service for origin in self._open.values())

    def services(self) -> set[str]:
        """Return the services that have such streams."""
        return {origin.service for origin in self._open.values()}

    def may_become_known(self, stream_id: str) -> bool:
        """Return whether the version that began a stream may still become known."""
        origin = self._open.get(stream_id)
        if origin is None or origin.claim is None:
            return False
        state = self.pool.get(origin.claim.replica_id)
        if state is not None and state.replica.started_at_ms > origin.claim.started_at_ms:
            # The clock of the replica may have gone back before the start that was stated.
            registered_at_s = state.registered_at_s
            if registered_at_s is not None and registered_at_s >= origin.noted_at_s:
                return False
        return not self.pool.would_be_registered(origin.noted_at_s)

    def pop_known(self, now_s: float) -> list[KnownOrigin]:
        """Remove and return the origins that have become known; drop old ones."""
        if not self._open or now_s - self._checked_at_s < CHECK_PERIOD_S:
            return []
        self._checked_at_s = now_s
        known = []
        for stream_id, origin in list(self._open.items()):
            claim, version = origin.claim, None
            if claim is not None:
                version = self.pool.version_of_start(claim.replica_id, claim.started_at_ms)
            if claim is not None and version is not None:
                known.append(KnownOrigin(stream_id, version, claim, origin.is_own))
            if version is not None or now_s - origin.noted_at_s > KEPT_S:
                del self._open[stream_id]
        return known

    def _add(self, stream_id: str, origin: OpenOrigin) -> None:
        self._open[stream_id] = origin
        if len(self._open) > OPEN_MAX_COUNT:
            self._open.popitem(last=False)
