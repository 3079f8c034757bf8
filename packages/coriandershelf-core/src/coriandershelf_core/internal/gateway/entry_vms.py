"""The live entry VMs, as known to this one."""

from __future__ import annotations

from msgspec import Struct, field


class EntryVms(Struct):
    """This VM, and the live VMs that are not stopping.

    :param ids: their ids in order; this VM is among them unless it is stopping.
    :param ids_by_zone: the same by availability zone.
    :param addresses: where the other ones are reached.
    :param relay_addresses: the same, of those that have a path to all replicas.
    :param lowest_level: the protocol level that all entry VMs support, see ``builds``.
    """

    own_id: str
    ids: tuple[str, ...] = ()
    ids_by_zone: dict[str, tuple[str, ...]] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    relay_addresses: tuple[str, ...] = ()
    lowest_level: int = 0
