"""Memory of one core's control state, by nodes, with 1.5 replicas a node."""

from __future__ import annotations

import subprocess
import sys
import tracemalloc

from coriandershelf_rig.internal.fleet import Fleet
from coriandershelf_rig.internal.slopes.fit import Quantity

NAME = "state"
NODE_COUNTS = (25, 50, 100, 200)
TARGET_COUNT = 400
WARM_UP_S = 5.0
RESIDENT_PROGRAM = (
    "import psutil;"
    "import coriandershelf_entry.internal.application;"
    "print(psutil.Process().memory_info().rss)"
)


def run(seed: int) -> str:
    """Measure the state of a core, and the interpreter with the entry VM's libraries alone."""
    points = tuple((float(count), _state_mebibytes(count, seed)) for count in NODE_COUNTS)
    state = Quantity("control state of a core", "node", "MiB", points, TARGET_COUNT)
    # Measured in a process of its own, since this one has loaded the rig.
    output = subprocess.run(
        [sys.executable, "-c", RESIDENT_PROGRAM], capture_output=True, text=True, check=True
    )
    resident = int(output.stdout) / 2**20
    return f"{state.report()}\ninterpreter and libraries alone: {resident:.1f} MiB resident"


def _state_mebibytes(node_count: int, seed: int) -> float:
    """Return the traced memory of a fleet's cores, divided by their number."""
    tracemalloc.start()
    fleet = Fleet(node_count, int(node_count * 1.5), 6, seed)
    fleet.run(WARM_UP_S)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / node_count / 2**20
