"""Mailboxes between the core and the callers' handlers."""

from __future__ import annotations

import asyncio

from coriandershelf_core import Outcome


class CallerMailbox:
    """Payloads on their way to one caller, and the final outcome.

    The attempt that fills it waits for room, so a slow caller holds back its upstream instead of
    growing memory.
    """

    def __init__(self, limit_count: int) -> None:
        self._limit_count = limit_count
        self._payloads: list[bytes] = []
        self._outcome: Outcome | None = None
        self._filled = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()

    def put_payloads(self, payloads: tuple[bytes, ...]) -> None:
        """Add payloads for the caller."""
        self._payloads.extend(payloads)
        if len(self._payloads) >= self._limit_count:
            self._room.clear()
        self._filled.set()

    def put_outcome(self, outcome: Outcome) -> None:
        """Add the final outcome; nothing follows it."""
        assert self._outcome is None, "a caller is answered once"
        self._outcome = outcome
        self._filled.set()

    async def take(self) -> tuple[list[bytes], Outcome | None]:
        """Wait for something and return all payloads, and the outcome once it is there."""
        await self._filled.wait()
        self._filled.clear()
        payloads, self._payloads = self._payloads, []
        self._room.set()
        return payloads, self._outcome

    @property
    def has_room(self) -> bool:
        """Return whether the caller has taken enough."""
        return self._room.is_set()

    async def room(self) -> None:
        """Wait until the caller has taken enough."""
        await self._room.wait()

    def close(self) -> None:
        """Let whoever waits for room go on; nobody reads any more."""
        self._limit_count = 1 << 62
        self._room.set()
