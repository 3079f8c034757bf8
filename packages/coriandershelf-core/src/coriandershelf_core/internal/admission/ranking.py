"""The scheduling class that an engine is told: the order holds across entry VMs.

Each entry VM orders its own works; works of several entry VMs meet only in an engine's waiting
list, which takes the lowest class first.
"""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.work import Work, WorkClass

PRIORITIES_MAX_COUNT = 10
OVER_SHARE_CLASS = 10
LONG_ABOVE_FLOOR_CLASS = 20


def engine_priority(work: Work, over_share: bool, owned_slot: bool) -> int:
    """Return a work's scheduling class; 0 comes first.

    :param beyond_share: whether its customer has used more than its share.
    :param owned_slot: whether a long work takes a slot of its entry VM's floor, which short work
        must not keep from it.
    """
    if work.work_class is WorkClass.LONG:
        return 0 if owned_slot else LONG_ABOVE_FLOOR_CLASS
    if over_share:
        return OVER_SHARE_CLASS
    return min(work.priority, PRIORITIES_MAX_COUNT - 1)
