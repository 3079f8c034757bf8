"""Counts of started requests by customer and usage window, for the usage reports."""

from __future__ import annotations

from msgspec import Struct, field

from coriandershelf_core.internal.gateway.digest import Digest

WINDOWS_KEEP_COUNT = 8
WINDOWS_SENT_COUNT = 3


WindowCounts = dict[int, dict[str, int]]


class SourceCounts(Struct, frozen=True):
    """Counts of one process of an entry VM: by window, then by customer."""

    vm_id: str
    incarnation: int
    windows: WindowCounts


class UsageCounts(Struct):
    """This VM's own counts and those from the digests of other VMs.

    :param window_s: length of a usage window.
    """

    window_s: float
    _own: WindowCounts = field(default_factory=dict)
    _others: dict[tuple[str, int], WindowCounts] = field(default_factory=dict)

    def window_of(self, true_s: float) -> int:
        """Return the number of the window that contains a Unix time."""
        return int(true_s // self.window_s)

    def count_started(self, customer: str, true_s: float) -> None:
        """Count a request that started to run at a Unix time."""
        counts = self._own.setdefault(self.window_of(true_s), {})
        counts[customer] = counts.get(customer, 0) + 1

    def latest_windows(self) -> dict[int, dict[str, int]]:
        """Return this VM's counts of the latest windows, for its digest."""
        latest = sorted(self._own)[-WINDOWS_SENT_COUNT:]
        return {window: self._own[window] for window in latest}

    def on_digest(self, digest: Digest) -> None:
        """Merge another VM's counts, which only rise within one incarnation."""
        windows = self._others.setdefault((digest.vm_id, digest.incarnation), {})
        windows.update(digest.begun)

    def sources(self, vm_id: str, incarnation: int) -> tuple[SourceCounts, ...]:
        """Return the latest counts by process, to be kept where the loss of all VMs spares them.

        :param vm_id: this VM's id, with its process's ``incarnation``.
        """
        known = {**self._others, (vm_id, incarnation): self._own}
        latest = sorted({window for windows in known.values() for window in windows})
        kept = set(latest[-WINDOWS_SENT_COUNT:])
        return tuple(
            SourceCounts(*source, {key: dict(windows[key]) for key in windows if key in kept})
            for source, windows in known.items()
            if not kept.isdisjoint(windows)
        )

    def merge(self, kept: SourceCounts, vm_id: str, incarnation: int) -> None:
        """Merge kept counts of another process; counts only rise, so the higher one is newer."""
        source = (kept.vm_id, kept.incarnation)
        if source == (vm_id, incarnation):
            return
        windows = self._others.setdefault(source, {})
        for window, counts in kept.windows.items():
            known = windows.get(window, {})
            merged = {name: max(count, known.get(name, 0)) for name, count in counts.items()}
            windows[window] = {**known, **merged}

    def total(self, window: int, customers: list[str]) -> dict[str, int]:
        """Return the counts of all VMs for a window, with 0 for customers without requests."""
        total = dict.fromkeys(customers, 0)
        for windows in [self._own, *self._others.values()]:
            for name, count in windows.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def expire(self, true_s: float) -> None:
        """Remove windows whose reports are long past."""
        oldest = self.window_of(true_s) - WINDOWS_KEEP_COUNT
        for windows in [self._own, *self._others.values()]:
            for window in [window for window in windows if window < oldest]:
                del windows[window]
        self._others = {source: windows for source, windows in self._others.items() if windows}
