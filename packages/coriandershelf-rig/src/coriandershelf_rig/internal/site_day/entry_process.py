"""Starts an entry VM whose network paths can be cut and whose time of day can jump.

On loopback all processes share one network. A VM's sockets therefore carry its own address, which
tells replicas and the store who calls. The addresses that it cannot reach, and the error of its
time of day, are read from a file.
"""

from __future__ import annotations

import json
import os
import runpy
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

READ_PERIOD_S = 0.02
# Lets a connection take its port only when it is established.
IP_BIND_ADDRESS_NO_PORT = 24


class Surroundings:
    """The addresses that cannot be reached, and the clock's error, as a file says."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._read_at_s = float("-inf")
        self._state: dict[str, Any] = {}

    def is_blocked(self, ip: str, form: str) -> bool:
        """Return whether packets to an address are lost (``drop``) or refused (``reset``)."""
        return ip in self._read().get(form, ())

    def clock_step_s(self) -> float:
        """Return by how much the time of day is wrong."""
        return float(self._read().get("clock_s", 0.0))

    def _read(self) -> dict[str, Any]:
        now_s = time.monotonic()
        if now_s - self._read_at_s > READ_PERIOD_S:
            self._read_at_s = now_s
            try:
                self._state = json.loads(self._file.read_text())
            except (OSError, ValueError):
                self._state = {}
        return self._state


def _patch(ip: str, around: Surroundings, hole: tuple[str, int]) -> None:
    connect: Callable[..., Any] = socket.socket.connect
    send_to: Callable[..., Any] = socket.socket.sendto

    def connect_from(self: socket.socket, address: Any) -> Any:
        if self.family == socket.AF_INET and self.type & socket.SOCK_STREAM:
            if around.is_blocked(address[0], "reset"):
                raise ConnectionRefusedError
            if around.is_blocked(address[0], "drop"):
                address = hole
            if self.getsockname()[1] == 0:
                self.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                self.bind((ip, 0))
        return connect(self, address)

    def send_to_reachable(self: socket.socket, data: Any, *rest: Any) -> Any:
        address = rest[-1]
        if around.is_blocked(address[0], "drop") or around.is_blocked(address[0], "reset"):
            return len(data)
        return send_to(self, data, *rest)

    true_time = time.time
    setattr(time, "time", lambda: true_time() + around.clock_step_s())  # noqa: B010
    setattr(time, "time_ns", lambda: int(time.time() * 1e9))  # noqa: B010
    setattr(socket.socket, "connect", connect_from)  # noqa: B010
    setattr(socket.socket, "sendto", send_to_reachable)  # noqa: B010


def main() -> None:
    """Run the entry VM: IP address, file of blocked addresses, lost address, its arguments."""
    ip, file, hole, *arguments = sys.argv[1:]
    host, _, port = hole.rpartition(":")
    _patch(ip, Surroundings(Path(file)), (host, int(port)))
    sys.argv = ["coriandershelf_entry", *arguments]
    os.environ.pop("PYTHONSTARTUP", None)
    runpy.run_module("coriandershelf_entry", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
