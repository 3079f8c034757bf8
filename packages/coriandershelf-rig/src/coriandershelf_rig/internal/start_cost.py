"""Processor time that a start of the platform's process takes until it listens."""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from coriandershelf_rig.internal.processes import free_ports

START_TIMEOUT_S = 30.0
POLL_S = 0.004
# A loopback address for each measuring process, so that the fixed internal ports are free.
ADDRESS = f"127.73.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
INTERNAL_PORTS = (7500, 7515)


def start_cost_s(python_path: str) -> float:
    """Start the process with its modules on this path; return the user and system time."""
    front, ready, store = free_ports(3)
    settings = {
        "node_name": "start-cost",
        "ip": ADDRESS,
        "zone": "a",
        "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
        "internal_ports": INTERNAL_PORTS,
        "provider": {"address": f"127.0.0.1:{store}"},
        "cloud": {"address": f"127.0.0.1:{store}", "duties": ["autoscale"]},
    }
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "node.json"
        file.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, "-S", "-m", "coriandershelf_entry", "--border", "platform"],
            env={
                **os.environ,
                "PYTHONPATH": python_path,
                "CORIANDERSHELF_NODE_FILE": str(file),
            },
            stdout=subprocess.DEVNULL,
        )
        try:
            _wait_until_listening(process, front)
            # The process has one thread. The file has nanoseconds, /proc/PID/stat hundredths.
            fields = Path(f"/proc/{process.pid}/schedstat").read_text().split()
        finally:
            process.kill()
            process.wait()
    return int(fields[0]) / 1e9


def compare_starts(python_paths: Sequence[str], runs_count: int) -> list[str]:
    """Return a line for each path; their starts alternate, so that all meet the same load.

    One start of each is not counted: it may compile modules and fills the file cache.
    """
    costs: dict[str, list[float]] = {path: [] for path in python_paths}
    for number in range(1 + runs_count):
        for path, measured in costs.items():
            cost_s = start_cost_s(path)
            if number:
                measured.append(cost_s)
    lines = []
    for path, measured in costs.items():
        first, middle, third = statistics.quantiles(measured, n=4)
        lines.append(
            f"{path}: {runs_count} starts, median {middle:.3f} s,"
            f" quartiles {first:.3f} and {third:.3f} s, least {min(measured):.3f} s"
        )
    return lines


def _wait_until_listening(process: subprocess.Popen[bytes], port: int) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(POLL_S)
    raise RuntimeError("the process did not listen")
