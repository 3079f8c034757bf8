"""The scheduling class that an engine is told: the order holds across entry VMs.

Each entry VM orders its own works; works of several entry VMs meet only in an engine's waiting
list, which takes the lowest class first.
"""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.work import Work, WorkClass

PRIORITIES_MAX_COUNT = 10
BEYOND_SHARE = 10
LONG_ABOVE_FLOOR = 20


def engine_priority(work: Work, beyond_share: bool, owned_slot: bool) -> int:
    """Return a work's scheduling class; 0 comes first.

    :param beyond_share: whether its customer has used more than its share.
    :param owned_slot: whether a long work takes a slot of its entry VM's floor, which short work
        must not keep from it.
    """
    if work.work_class is WorkClass.LONG:
        return 0 if owned_slot else LONG_ABOVE_FLOOR
    if beyond_share:
        return BEYOND_SHARE
    return min(work.priority, PRIORITIES_MAX_COUNT - 1)
