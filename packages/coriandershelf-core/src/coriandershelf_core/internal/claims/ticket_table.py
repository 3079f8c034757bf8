"""Grants of tickets and results of their calls, replayed from the ledger."""

from __future__ import annotations

from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.records import TicketsGranted, TicketUsed

TICKET_PREFIX = "ticket"


@dataclass(slots=True)
class Grant:
    """A grant and whether its owner released it."""

    entry: TicketsGranted
    granted_at_s: float
    released: bool = False


def ticket_key(grant_id: str, number: int) -> str:
    """Return the idempotency key of a ticket."""
    return f"{TICKET_PREFIX}.{grant_id}.{number}"


def parse_ticket(key: str | None) -> tuple[str, int] | None:
    """Return a ticket's grant id and number, or ``None`` for a key that is not a ticket."""
    parts = (key or "").split(".")
    if len(parts) != 3 or parts[0] != TICKET_PREFIX or not parts[2].isdecimal():
        return None
    return parts[1], int(parts[2])


class TicketTable:
    """The unexpired grants and the used tickets.

    :param lifetime_s: how long after its grant a ticket is valid. It is at most half of the log's
        retention, so a grant whose record has left the log is always expired.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.used_tickets: dict[str, TicketUsed] = {}
        self._grants: dict[str, Grant] = {}
        self._used_at_s: dict[str, float] = {}

    def grant_of(self, key: str | None, customer: str, now_s: float) -> Grant | None:
        """Return the unexpired grant of a customer's ticket, or ``None``."""
        parsed = parse_ticket(key)
        if parsed is None:
            return None
        grant = self._grants.get(parsed[0])
        if grant is None or grant.entry.customer != customer:
            return None
        valid = parsed[1] < grant.entry.count and self.is_live(parsed[0], now_s)
        return grant if valid else None

    def is_live(self, grant_id: str, now_s: float) -> bool:
        """Return whether a grant is known and has not expired."""
        grant = self._grants.get(grant_id)
        return grant is not None and now_s < grant.granted_at_s + self.lifetime_s

    def clear(self) -> None:
        """Drop all state; needed after the reader missed records."""
        self._grants.clear()
        self._used_at_s.clear()
        self.used_tickets.clear()

    def on_granted(self, granted: TicketsGranted, time_s: float) -> bool:
        """Apply a grant; return false for a duplicate, which does not extend its lifetime."""
        if granted.grant_id in self._grants:
            return False
        self._grants[granted.grant_id] = Grant(granted, time_s)
        return True

    def on_used(self, used: TicketUsed, time_s: float) -> None:
        """Apply the result of a ticket; later results of the same ticket are ignored."""
        self.used_tickets.setdefault(used.key_hash, used)
        self._used_at_s.setdefault(used.key_hash, time_s)

    def on_released(self, grant_id: str) -> None:
        """Apply the release of a grant by its owner."""
        grant = self._grants.get(grant_id)
        if grant is not None:
            grant.released = True

    def expire(self, time_s: float) -> None:
        """Drop grants and results whose lifetime has passed, by log time."""
        while self._grants:
            grant_id, grant = next(iter(self._grants.items()))
            if time_s < grant.granted_at_s + self.lifetime_s:
                break
            del self._grants[grant_id]
        while self._used_at_s:
            key_hash, used_at_s = next(iter(self._used_at_s.items()))
            if time_s < used_at_s + self.lifetime_s:
                break
            del self._used_at_s[key_hash]
            del self.used_tickets[key_hash]
