"""The cloud API without I/O: starts and stops VMs, refuses some starts, loses some answers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from coriandershelf_core.internal.vocabulary.events import CloudAnswer


@dataclass(slots=True)
class CloudVm:
    """A VM that was started."""

    token: str
    service: str
    zone: str
    machine_class: str
    purchase: str
    started_at_s: float
    ended_at_s: float | None = None


class CloudModel:
    """What the cloud runs and has run.

    :param start_s: time from a start to a VM that serves.
    """

    def __init__(self, rng: random.Random, start_s: float = 90.0) -> None:
        self._rng = rng
        self.start_s = start_s
        self.refuses: Callable[[str, str], bool] = lambda zone, purchase: False
        self.lost_answer_share = 0.0
        self.vms: dict[str, CloudVm] = {}

    def start(
        self,
        token: str,
        service: str,
        zone: str,
        machine_class: str,
        purchase: str,
        now_s: float,
    ) -> CloudAnswer:
        """Start a VM, once for each token."""
        if token not in self.vms:
            if self.refuses(zone, purchase):
                return CloudAnswer.REFUSED
            self.vms[token] = CloudVm(token, service, zone, machine_class, purchase, now_s)
        return self._answer()

    def stop(self, token: str, now_s: float) -> CloudAnswer:
        """Stop a VM; a repeat or an unknown token does no harm."""
        self._end(token, now_s)
        return self._answer()

    def reclaim(self, token: str, now_s: float) -> None:
        """Take a VM back."""
        self._end(token, now_s)

    def running(self, now_s: float) -> list[CloudVm]:
        """Return the VMs that cost money now."""
        return [vm for vm in self.vms.values() if vm.ended_at_s is None]

    def serving(self, now_s: float) -> list[CloudVm]:
        """Return the VMs that serve by now."""
        return [vm for vm in self.running(now_s) if vm.started_at_s + self.start_s <= now_s]

    def _end(self, token: str, now_s: float) -> None:
        vm = self.vms.get(token)
        if vm is not None and vm.ended_at_s is None:
            vm.ended_at_s = now_s

    def _answer(self) -> CloudAnswer:
        lost = self._rng.random() < self.lost_answer_share
        return CloudAnswer.LOST if lost else CloudAnswer.TAKEN
