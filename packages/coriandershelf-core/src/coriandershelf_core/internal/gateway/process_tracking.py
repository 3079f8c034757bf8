"""Tells whether two connections of a VM to a replica lead to the same process.

Replicas that do not state their start are told apart only so: no two processes have one address at
a time, so connections lead to the same process if it is known to have run at the same time.
"""

from __future__ import annotations

import math

from msgspec import Struct

# What is read in time was sent this long before at most, also if a packet was lost on the way.
READ_LAG_S = 0.3
# A VM that handles its events in time has no longer pauses between two ticks.
TICK_PAUSE_MAX_S = 0.25


class AnsweringProcess(Struct):
    """The process that has answered this VM, and the time in which it is known to have run.

    :ivar number: counts the processes; a connection that proves nothing counts as another one.
    :ivar answered_sent_at_s: when the last request or check was sent that it has answered.
    """

    number: int = 0
    from_s: float = math.inf
    alive_at_s: float = -math.inf
    answered_sent_at_s: float = -math.inf

    def on_answered(self, connected_at_s: float, sent_at_s: float) -> int | None:
        """Note an answer on a connection; return the number of its process, if it is known.

        :param connected_at_s: a time by which the replica had accepted the connection.
        :param sent_at_s: when the request was sent that is answered.
        """
        if connected_at_s > self.alive_at_s:
            self.number += 1
            self.from_s = connected_at_s
        elif sent_at_s < self.from_s:
            return None
        self.alive_at_s = max(self.alive_at_s, sent_at_s)
        self.answered_sent_at_s = max(self.answered_sent_at_s, sent_at_s)
        return self.number


class AnsweredSpan(Struct):
    """A time in which one process of a replica is known to have run, by its answers alone.

    A process that answers a request had the address from when it accepted the connection until
    the request was sent. Where two such times overlap, both answers are of one process.
    """

    from_s: float = math.inf
    until_s: float = -math.inf

    def on_answered(self, connected_at_s: float, sent_at_s: float) -> None:
        """Note an answer to a request that was sent on a connection.

        :param connected_at_s: a time by which the replica had accepted the connection.
        """
        if connected_at_s > self.until_s:
            self.from_s, self.until_s = connected_at_s, sent_at_s
        elif sent_at_s >= self.from_s:
            self.from_s = min(self.from_s, connected_at_s)
            self.until_s = max(self.until_s, sent_at_s)

    def accepted_by_s(self, ran_at_s: float) -> float:
        """Return by when a process that ran at a time had accepted the connections it answers on.

        It is that time, or later if the process is known to have run on.
        """
        return max(ran_at_s, self.until_s) if self.from_s <= ran_at_s else ran_at_s


class ReadTiming(Struct):
    """Tells whether this VM reads what arrives in time."""

    _ticked_at_s: float = -math.inf
    _in_time_since_s: float = math.inf

    def on_tick(self, now_s: float) -> None:
        """Note that this VM handles its events at this time."""
        if now_s - self._ticked_at_s > TICK_PAUSE_MAX_S:
            self._in_time_since_s = now_s
        self._ticked_at_s = now_s

    def is_in_time(self, now_s: float) -> bool:
        """Return whether what is read now was sent within ``READ_LAG_S``.

        After a pause of this VM, what had arrived meanwhile is read first.
        """
        is_ticking = now_s - self._ticked_at_s <= TICK_PAUSE_MAX_S
        return is_ticking and now_s - self._in_time_since_s >= READ_LAG_S
