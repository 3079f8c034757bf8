"""Filter: works that wait for a replica."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from coriandershelf_core.internal.replicas import ReplicaState
from coriandershelf_core.internal.work import Work


class WorkQueue:
    """Works in the order in which they are to be dispatched."""

    def __init__(self) -> None:
        self._works: dict[str, Work] = {}

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(list(self._works.values()))

    def push(self, work: Work) -> None:
        """Add a work that is not waiting yet."""
        assert work.work_id not in self._works, f"{work.work_id} waits twice"
        self._works[work.work_id] = work

    def remove(self, work_id: str) -> Work | None:
        """Take out a work by id; ``None`` if it does not wait."""
        return self._works.pop(work_id, None)

    def take_first(
        self, choose: Callable[[Work], ReplicaState | None]
    ) -> tuple[Work, ReplicaState] | None:
        """Take the first work for which ``choose`` finds a replica, or ``None``."""
        for work in sorted(self._works.values(), key=lambda work: work.priority):
            state = choose(work)
            if state is not None:
                return self._works.pop(work.work_id), state
        return None

    def take_expired(self, now_s: float) -> list[Work]:
        """Take out every work whose deadline has passed."""
        expired = [work for work in self._works.values() if work.request.deadline_s <= now_s]
        for work in expired:
            del self._works[work.work_id]
        return expired
