"""The task that owns the core: events in by mailbox, actions out to the tasks that do I/O."""

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
    """Steps the core with each event and hands its actions to ``perform``.

    A broken invariant is logged with the event that broke it and ends the process through
    ``fail``.
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
        """Queue an event; it is applied before the loop's next turn of I/O."""
        self._events.append(event)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._drain)

    async def tick_forever(self, period_s: float) -> None:
        """Tell the core of the passing of time."""
        while True:
            await asyncio.sleep(period_s)
            self.post(Tick())

    def _drain(self) -> None:
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
