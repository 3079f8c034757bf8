"""Runs the core in the event loop: queues its events and hands out its actions for I/O."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from coriandershelf_core import EntryCore
from coriandershelf_core.internal.vocabulary.actions import Action
from coriandershelf_core.internal.vocabulary.events import Event, Tick
from coriandershelf_entry.internal.clock import Clock

Post = Callable[[Event], None]
Perform = Callable[[Action], None]


class CoreTask:
    """Applies each event to the core and hands the resulting actions to ``perform``.

    An exception in the core is a broken invariant: it is logged with the type of the event, and
    ``fail`` ends the process.
    """

    def __init__(
        self, core: EntryCore, clock: Clock, perform: Perform, fail: Callable[[], None], log: Any
    ) -> None:
        self.core = core
        self._clock = clock
        self._perform = perform
        self._fail = fail
        self._log = log
        self._events: deque[Event] = deque()
        self._scheduled = False

    def post(self, event: Event) -> None:
        """Queue an event; it is applied before the event loop next polls for I/O."""
        self._events.append(event)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._process_events)

    async def tick_forever(self, period_s: float) -> None:
        """Post a tick every period."""
        while True:
            await asyncio.sleep(period_s)
            self.post(Tick())

    def _process_events(self) -> None:
        self._scheduled = False
        while self._events:
            event = self._events.popleft()
            try:
                actions = self.core.step(event, self._clock())
            except Exception as error:
                self._log.error("invariant broken", error=repr(error), event_type=type(event))
                self._fail()
                raise
            for action in actions:
                self._perform(action)
