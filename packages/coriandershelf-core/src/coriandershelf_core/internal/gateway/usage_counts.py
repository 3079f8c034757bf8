"""Counts, by window of true time, of the requests that began to run."""

from __future__ import annotations

from dataclasses import dataclass, field

from coriandershelf_core.internal.gateway.digest import Digest

WINDOWS_KEEP_COUNT = 8
WINDOWS_TOLD_COUNT = 3


@dataclass(slots=True)
class UsageCounts:
    """This VM's counts and those that other VMs told.

    :param window_s: length of a usage window.
    """

    window_s: float
    _own: dict[int, dict[str, int]] = field(default_factory=dict)
    _others: dict[tuple[str, int], dict[int, dict[str, int]]] = field(default_factory=dict)

    def window_of(self, true_s: float) -> int:
        """Return the number of the window that a true time of day lies in."""
        return int(true_s // self.window_s)

    def note(self, customer: str, true_s: float) -> None:
        """Count a request that began to run at a true time of day."""
        counts = self._own.setdefault(self.window_of(true_s), {})
        counts[customer] = counts.get(customer, 0) + 1

    def told(self) -> dict[int, dict[str, int]]:
        """Return the latest windows' counts, for this VM's digest."""
        latest = sorted(self._own)[-WINDOWS_TOLD_COUNT:]
        return {window: self._own[window] for window in latest}

    def on_digest(self, digest: Digest) -> None:
        """Take over another VM's counts; they only rise within one incarnation."""
        windows = self._others.setdefault((digest.vm_id, digest.incarnation), {})
        windows.update(digest.begun)

    def total(self, window: int, customers: list[str]) -> dict[str, int]:
        """Return the counts of all VMs for a window, with every customer named."""
        total = dict.fromkeys(customers, 0)
        for windows in [self._own, *self._others.values()]:
            for name, count in windows.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def expire(self, true_s: float) -> None:
        """Forget windows whose report is long past."""
        oldest = self.window_of(true_s) - WINDOWS_KEEP_COUNT
        for windows in [self._own, *self._others.values()]:
            for window in [window for window in windows if window < oldest]:
                del windows[window]
        self._others = {source: windows for source, windows in self._others.items() if windows}
