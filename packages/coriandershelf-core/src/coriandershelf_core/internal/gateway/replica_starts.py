"""Which start of a replica answers, as that start says itself, and its software version.

A replica may crash and start again under its id and address, also at another software version. Its
end need not show, and the store may execute what its former process wrote seconds later. So nothing
about a process tells when it ran, but what it says of itself when it is asked: no connection
outlives the process that accepted it, so a connection that was asked leads to the start that it
stated for as long as it answers. A registration is a fact on the start that it names, whenever it
was written.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

from msgspec import Struct

from coriandershelf_core.internal.gateway.deployment import Replica

# Starts whose version is kept: those of several hours at the largest site.
STARTS_MAX_COUNT = 4096


class NoStart(Enum):
    """Why it is not known to which start of a replica a connection leads."""

    NOT_ASKED = "not-asked"
    # The replica answers, but does not say.
    NOT_STATED = "not-stated"
    # It did not answer, or could not then.
    NO_ANSWER = "no-answer"


# Unix time of a start in milliseconds, or why it is not known.
StatedStart = int | NoStart


class KnownStart(Struct, frozen=True):
    """A start that was registered.

    :param number: counts the starts in the order in which their first registrations were read.
    """

    version: str
    number: int


class KnownStarts:
    """The software versions of all starts that were ever registered."""

    def __init__(self) -> None:
        self._starts: OrderedDict[tuple[str, int], KnownStart] = OrderedDict()
        self._count = 0

    def on_registered(self, replica: Replica) -> None:
        """Note the version of a start."""
        key = replica.replica_id, replica.started_at_ms
        known = self._starts.pop(key, None)
        if known is None:
            self._count += 1
        number = self._count if known is None else known.number
        self._starts[key] = KnownStart(replica.software_version, number)
        if len(self._starts) > STARTS_MAX_COUNT:
            self._starts.popitem(last=False)

    def version_of(self, replica_id: str, start: StatedStart) -> str | None:
        """Return the version of a start; ``None`` if it is not known or was not registered."""
        known = None if isinstance(start, NoStart) else self._starts.get((replica_id, start))
        return None if known is None else known.version

    def was_replaced(self, replica: Replica, by: Replica) -> bool:
        """Return whether a start of a replica had ended before another one registered.

        Both its own time and the order of their registrations tell so; either alone may be wrong,
        since clocks go back and the store executes registrations late.
        """
        known = self._starts.get((replica.replica_id, replica.started_at_ms))
        other = self._starts.get((by.replica_id, by.started_at_ms))
        if known is None or other is None:
            return False
        return known.number < other.number and replica.started_at_ms < by.started_at_ms
