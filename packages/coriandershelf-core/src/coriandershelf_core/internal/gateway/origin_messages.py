"""Messages about which software version began a stream, and what the store keeps of it."""

from __future__ import annotations

from msgspec import Struct

# The version of a stream while it is not known which start of its replica began it. No replica
# registers it, so a VM that does not know its meaning resumes the stream nowhere.
UNKNOWN_VERSION = "\0"
# The version of streams that began at several versions under one id. No replica registers it
# either. Which of the streams a caller holds events of is not known.
SEVERAL_VERSIONS = "\0\0"


# The version in a claim on a start that was not registered yet. Builds before this one claim the
# start that was registered, which need not be the one that answered.
UNREGISTERED_VERSION = ""


def joined_version(known: str | None, told: str) -> str:
    """Return the version of a stream of which one was known, if any, and another one is told."""
    if known in (None, UNKNOWN_VERSION, told):
        return told
    return known if told == UNKNOWN_VERSION else SEVERAL_VERSIONS


class OriginClaim(Struct, frozen=True):
    """The start at which a stream began, as it stated itself; its registration tells the version.

    :param version: ``UNREGISTERED_VERSION``.
    :param connected_age_ms: 0; builds before this one tell the age of the connection.
    """

    service: str
    replica_id: str
    started_at_ms: int
    version: str = UNREGISTERED_VERSION
    connected_age_ms: int = 0


class StreamOrigin(Struct, frozen=True):
    """Tells that the first event of a stream comes from a replica of a software version.

    :param stream_id: id of the caller's request that brings the first event.
    :param version: ``UNKNOWN_VERSION`` if it is not known yet, ``SEVERAL_VERSIONS`` if several
        streams began under the id, at different ones.
    :param claim: what would make it known.
    """

    stream_id: str
    version: str
    claim: OriginClaim | None = None


class OriginQuery(Struct, frozen=True):
    """Asks for the version that began a stream.

    :param address: where to send the reply.
    """

    vm_id: str
    address: str
    query_id: int
    stream_id: str


class OriginReply(Struct, frozen=True):
    """The reply to a query; ``version`` is ``None`` if the VM does not know the stream."""

    vm_id: str
    query_id: int
    stream_id: str
    version: str | None
    claim: OriginClaim | None = None


class OriginBatch(Struct, frozen=True):
    """Asks another VM to write origins to the store together with its own.

    :param address: where to confirm that they are stored.
    """

    address: str
    origins: tuple[StreamOrigin, ...]


class OriginsStored(Struct, frozen=True):
    """Tells that the origins of streams of a batch are in the store."""

    stream_ids: tuple[str, ...]


class ServiceVersion(Struct, frozen=True):
    """A software version of a service."""

    service: str
    version: str


OriginMessage = StreamOrigin | OriginQuery | OriginReply | OriginBatch | OriginsStored
