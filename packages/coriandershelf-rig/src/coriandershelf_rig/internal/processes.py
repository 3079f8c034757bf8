"""Child processes of the rig, each stopped by its process id."""

from __future__ import annotations

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

STOP_TIMEOUT_S = 10.0


def free_ports(count: int) -> list[int]:
    """Return ``count`` ports that no process listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


# Below the ephemeral port range, from which an outgoing connection could take a port before the
# server binds it. Every process goes through all of them, from a place of its own: a port whose
# server closed a connection stays taken for a minute, so a few ports would soon be used up.
_PORTS = range(20_000, 32_000)
_FIRST_INDEX = os.getpid() % 120 * 100
_PORT_CANDIDATES = itertools.cycle(itertools.chain(_PORTS[_FIRST_INDEX:], _PORTS[:_FIRST_INDEX]))


def consecutive_ports(count: int) -> int:
    """Return the first of ``count`` consecutive ports that no process listens on."""
    while True:
        first = next(_PORT_CANDIDATES)
        if all(_is_free(first + offset) for offset in range(count)):
            for _ in range(count):
                next(_PORT_CANDIDATES)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Processes:
    """The rig's child processes by name."""

    def __init__(self, log_folder: Path) -> None:
        self._log_folder = log_folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, *arguments: str, takes_commands: bool = False) -> None:
        """Start ``python -m module`` with its output in a log file named after it.

        :param takes_commands: whether :meth:`write` reaches its standard input.
        """
        command = [sys.executable, "-m", module, *arguments]
        stdin = subprocess.PIPE if takes_commands else subprocess.DEVNULL
        with open(self._log_folder / f"{name}.log", "ab") as output:
            self._children[name] = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=stdin
            )

    def write(self, name: str, line: str) -> None:
        """Write a line to a child's standard input if it is still running."""
        stdin = self._children[name].stdin
        assert stdin is not None, "the child takes no commands"
        with contextlib.suppress(BrokenPipeError):
            stdin.write(line.encode() + b"\n")
            stdin.flush()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child if it is still running."""
        child = self._children[name]
        if child.poll() is None:
            child.send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Return a child's exit code, or ``None`` if it is still running after the timeout."""
        try:
            return self._children[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def is_running(self, name: str) -> bool:
        """Return whether a child is running."""
        return self._children[name].poll() is None

    def pid(self, name: str) -> int:
        """Return a child's process id."""
        return self._children[name].pid

    def stop_all(self) -> None:
        """Kill every child, suspended ones too, and wait for their exit."""
        for child in self._children.values():
            if child.poll() is None:
                os.kill(child.pid, signal.SIGCONT)
                child.kill()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for child in self._children.values():
            child.wait(max(0.1, deadline_s - time.monotonic()))
