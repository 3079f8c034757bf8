"""Memory of one core's control state, by number of nodes, with 1.5 replicas each."""

from __future__ import annotations

import subprocess
import sys
import tracemalloc

from coriandershelf_rig.internal.fleet import Fleet
from coriandershelf_rig.internal.slopes.fit import LinearFit

NAME = "state"
NODE_COUNTS = (25, 50, 100, 200)
TARGET_COUNT = 400
WARM_UP_S = 5.0
RESIDENT_MEMORY_PROGRAM = (
    "import psutil;"
    "import coriandershelf_entry.internal.application;"
    "print(psutil.Process().memory_info().rss)"
)


def run(seed: int) -> str:
    """Measure a core's state, and the interpreter with only the entry VM's libraries loaded."""
    points = tuple((float(count), _state_mib(count, seed)) for count in NODE_COUNTS)
    state = LinearFit("control state of a core", "node", "MiB", points, TARGET_COUNT)
    # Measured in a separate process, since this one has loaded the rig.
    output = subprocess.run(
        [sys.executable, "-c", RESIDENT_MEMORY_PROGRAM], capture_output=True, text=True, check=True
    )
    resident_mib = int(output.stdout) / 2**20
    return f"{state.summary()}\ninterpreter and libraries alone: {resident_mib:.1f} MiB resident"


def _state_mib(node_count: int, seed: int) -> float:
    """Return the traced memory of a fleet of cores, in MiB per core."""
    tracemalloc.start()
    fleet = Fleet(node_count, int(node_count * 1.5), 6, seed)
    fleet.run(WARM_UP_S)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / node_count / 2**20
