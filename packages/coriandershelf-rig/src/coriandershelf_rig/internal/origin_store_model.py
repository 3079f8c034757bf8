"""Model of what the store keeps about versions and origins of streams, for virtual time."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field

from msgspec.structs import replace

from coriandershelf_core.internal.gateway.actions import (
    Action,
    AppendOrigins,
    ReadOrigins,
    RecordVersions,
    RetireVersion,
)
from coriandershelf_core.internal.gateway.events import (
    Event,
    OriginsAppended,
    OriginsRead,
    VersionsRecorded,
)
from coriandershelf_core.internal.gateway.origin_messages import ServiceVersion, StreamOrigin

STORE_ACTIONS = ReadOrigins | AppendOrigins | RecordVersions | RetireVersion
KEEP_S = 20.0


@dataclass
class OriginStoreModel:
    """Recorded versions and origins, with an outage that tests can inject.

    :param origins: origins with the time of their record, which is deleted after ``KEEP_S``.
    :param is_down: whether all calls fail, without effect.
    :param call_s: time of a call, for those that model it.
    """

    versions: set[ServiceVersion] = field(default_factory=set)
    versions_end: int = 0
    origins: list[tuple[float, StreamOrigin]] = field(default_factory=list)
    is_down: bool = False
    call_s: float = 0.004
    appends_count: int = 0
    reads_count: int = 0

    def perform(self, action: STORE_ACTIONS, now_s: float) -> Event | None:
        """Perform a call and return the event with its outcome, if it has one."""
        match action:
            case ReadOrigins():
                self.reads_count += 1
                if self.is_down:
                    return OriginsRead(None)
                self.origins = [item for item in self.origins if now_s - item[0] <= KEEP_S]
                services = [version.service for version in self.versions]
                is_mixed = len(services) > len(set(services))
                origins = tuple(origin for _, origin in self.origins) if is_mixed else ()
                return OriginsRead(tuple(self.versions), origins, self.versions_end)
            case AppendOrigins(origins):
                self.appends_count += 1
                if not self.is_down:
                    self.origins += [(now_s, _stored(origin)) for origin in origins]
                return OriginsAppended(not self.is_down)
            case RecordVersions(versions):
                if not self.is_down:
                    self.versions.update(versions)
                    self.versions_end += len(versions)
                return VersionsRecorded(versions, not self.is_down)
            case RetireVersion(version, end):
                if not self.is_down and end == self.versions_end:
                    self.versions.discard(version)
                    self.versions_end += 1
        return None

    def copy(self) -> OriginStoreModel:
        """Return a copy, from which the store may come back later."""
        return deepcopy(self)


def _stored(origin: StreamOrigin) -> StreamOrigin:
    """Return an origin as it is read again."""
    if origin.claim is None:
        return origin
    return replace(origin, claim=replace(origin.claim, connected_age_ms=0))


def is_store_action(action: Action) -> bool:
    """Return whether an action is a call of the store about versions or origins."""
    return isinstance(action, STORE_ACTIONS)
