"""Response queues between the core and the handlers of callers."""

from __future__ import annotations

import asyncio

from coriandershelf_core import Outcome


class CallerMailbox:
    """Queues the payloads and the final outcome of one request for its handler.

    An attempt stops reading from its upstream while the mailbox is full, so a slow caller causes
    back-pressure instead of unbounded memory.
    """

    def __init__(self, limit_count: int) -> None:
        self._limit_count = limit_count
        self._payloads: list[bytes] = []
        self._outcome: Outcome | None = None
        self._changed = asyncio.Event()
        self._space = asyncio.Event()
        self._space.set()

    def put_payloads(self, payloads: tuple[bytes, ...]) -> None:
        """Queue payloads for the caller."""
        self._payloads.extend(payloads)
        if len(self._payloads) >= self._limit_count:
            self._space.clear()
        self._changed.set()

    def put_outcome(self, outcome: Outcome) -> None:
        """Set the final outcome; nothing may follow it."""
        assert self._outcome is None, "outcome set twice"
        self._outcome = outcome
        self._changed.set()

    async def receive(self) -> tuple[list[bytes], Outcome | None]:
        """Wait for a change and return all queued payloads, and the outcome once it is known."""
        await self._changed.wait()
        self._changed.clear()
        payloads, self._payloads = self._payloads, []
        self._space.set()
        return payloads, self._outcome

    @property
    def has_space(self) -> bool:
        """Return whether fewer payloads than the limit are queued."""
        return self._space.is_set()

    async def wait_for_space(self) -> None:
        """Wait until fewer payloads than the limit are queued."""
        await self._space.wait()

    def close(self) -> None:
        """Remove the limit and release a waiting attempt, since the caller no longer reads."""
        self._limit_count = 1 << 62
        self._space.set()
