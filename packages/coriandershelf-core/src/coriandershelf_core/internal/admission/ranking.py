"""Scheduling class by which an engine orders the requests of all entry VMs.

Each entry VM orders only its own work items. Those of different entry VMs meet in an engine's
waiting queue, which takes the lowest class first.
"""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.work import WorkClass, WorkItem

PRIORITIES_MAX_COUNT = 10
OVER_SHARE_CLASS = 10
LONG_ABOVE_FLOOR_CLASS = 20


def engine_priority(work: WorkItem, over_share: bool, within_floor: bool) -> int:
    """Return a work item's scheduling class; 0 comes first.

    :param over_share: whether its customer's recent usage exceeds its share.
    :param within_floor: whether a long work item takes a slot of its entry VM's floor, which short
        work must not delay.
    """
    if work.work_class is WorkClass.LONG:
        return 0 if within_floor else LONG_ABOVE_FLOOR_CLASS
    if over_share:
        return OVER_SHARE_CLASS
    return min(work.priority, PRIORITIES_MAX_COUNT - 1)
