"""Messages between entry VMs about which software version began a stream."""

from __future__ import annotations

from msgspec import Struct


class StreamOrigin(Struct, frozen=True):
    """Tells that the first event of a stream comes from a replica of a software version.

    :param stream_id: id of the caller's request that brings the first event.
    """

    stream_id: str
    version: str


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


OriginMessage = StreamOrigin | OriginQuery | OriginReply
