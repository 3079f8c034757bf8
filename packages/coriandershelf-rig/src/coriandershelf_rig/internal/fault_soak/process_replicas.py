"""Replicas of the soak that run as processes of their own, to be killed in the middle of responses.

The kernel ends the connections of a killed process in order. No relay stands in between, since it
would end them later, and one after another.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import click

from coriandershelf_rig.internal.fault_soak.replicas import Executions, SoakReplica
from coriandershelf_rig.internal.processes import Processes

MODULE = "coriandershelf_rig.internal.fault_soak.process_replicas"
LISTENING_POLL_S = 0.01
LISTENING_MAX_S = 30.0
EXIT_MAX_S = 10.0


@dataclass
class FileExecutions(Executions):
    """Executions that a process writes to a file at once, so that they outlive it."""

    file: Path = field(kw_only=True)

    def __post_init__(self) -> None:
        self._descriptor = os.open(self.file, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def record_start(self, request_id: str, form: str, at_s: float) -> None:
        """Write that an execution starts."""
        os.write(self._descriptor, f"{form} {request_id} {at_s}\n".encode())

    def record_end(self, form: str) -> None:
        """Write that an execution has ended."""
        os.write(self._descriptor, f"{form}\n".encode())


@dataclass
class ProcessReplica(SoakReplica):
    """A replica as a process of its own.

    :param processes: the site's child processes.
    :param file: where the process writes its executions.
    """

    processes: Processes = field(kw_only=True)
    file: Path = field(kw_only=True)

    @property
    def _name(self) -> str:
        return f"{self.service}-{self.number}"

    async def start(self, port: int) -> None:
        """Run the first process, which listens on a port."""
        self.address = f"127.0.0.1:{port}"
        await self.start_process(self.version)

    async def end_process(self, is_silent: bool) -> None:
        """Kill the process; the kernel ends its connections, so it is never silent."""
        self.is_running = False
        self.processes.signal(self._name, signal.SIGKILL)
        await asyncio.to_thread(self.processes.wait, self._name, EXIT_MAX_S)

    async def start_process(self, version: int) -> None:
        """Start the next process at the same address."""
        self.version = version
        self.started_at_ms = int(time.time() * 1e3)
        options = {
            "service": self.service, "number": self.number, "incarnation": self.incarnation,
            "version": version, "started-at-ms": self.started_at_ms, "address": self.address,
            "file": self.file,
        }  # fmt: skip
        self.processes.start(self._name, MODULE, *(f"--{k}={v}" for k, v in options.items()))
        async with asyncio.timeout(LISTENING_MAX_S):
            while not await self._is_listening():
                assert self.processes.is_running(self._name), f"{self._name} could not start"
                await asyncio.sleep(LISTENING_POLL_S)
        self.is_running = True

    async def stop(self) -> None:
        """Do nothing: the site ends its processes."""

    def read_executions(self) -> None:
        """Add the executions of all processes that have run so far."""
        for line in self.file.read_text().splitlines():
            form, *start = line.split(" ")
            if start:
                request_id, at_s = start
                self.executions.record_start(request_id, form, float(at_s))
            else:
                self.executions.record_end(form)

    async def _is_listening(self) -> bool:
        host, _, port = self.address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True


@click.command()
@click.option("--service", required=True)
@click.option("--number", type=int, required=True)
@click.option("--incarnation", type=int, required=True)
@click.option("--version", type=int, required=True)
@click.option("--started-at-ms", type=int, required=True)
@click.option("--address", required=True)
@click.option("--file", type=click.Path(path_type=Path), required=True)
def main(
    service: str,
    number: int,
    incarnation: int,
    version: int,
    started_at_ms: int,
    address: str,
    file: Path,
) -> None:
    """Serve until a signal ends the process."""
    executions = FileExecutions(file=file)
    replica = SoakReplica(
        number,
        service,
        executions,
        incarnation=incarnation,
        version=version,
        started_at_ms=started_at_ms,
        address=address,
    )
    asyncio.run(replica.serve_forever())


if __name__ == "__main__":
    main()
