"""A TCP relay on loopback that can cut connections or stop forwarding on them for good."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math

from coriandershelf_rig.internal.standin_replica import ReplicaConnection

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to one address.

    A stalled connection stays open at both ends, but no data passes any more; new connections
    work, as behind a NAT device that has lost track of the old ones. Each chunk is delayed by
    ``delay_s``, and one from the target also by its size at ``bytes_per_s``. If data from the
    target arrives while ``drop_responses`` is set, it is dropped and nothing from the target is
    forwarded on that connection any more.

    :param passes_resets: whether a connection that the target resets, or that the relay ends, is
        reset instead of closed. A response that ends with its connection else looks complete.
    """

    def __init__(self, target: str, passes_resets: bool = False) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._process = 0
        self._passes_resets = passes_resets
        self._connections: set[asyncio.Task[None]] = set()
        self._stalled: set[asyncio.Task[None]] = set()
        self._cut = False
        self.delay_s = 0.0
        self.bytes_per_s = math.inf
        self.drop_responses = False

    @property
    def has_connections(self) -> bool:
        """Return whether a connection is open that still forwards data."""
        return bool(self._connections - self._stalled)

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        serve = functools.partial(self._serve, self._process)
        self._server = await asyncio.start_server(serve, host, int(port))

    async def end_process(self, is_silent: bool) -> None:
        """Refuse connections until :meth:`start`, as where the target's process has ended.

        :param is_silent: whether open connections stall instead of being closed.
        """
        assert self._server is not None, "the relay must have been started"
        self._server.close()
        # A connection that was accepted, but is not served yet, must not reach the next process.
        self._process += 1
        if is_silent:
            self.stall_connections()
        else:
            await self._close_all()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        await self._close_all()

    async def cut(self) -> None:
        """Close every connection and refuse new ones until :meth:`accept_connections`."""
        self._cut = True
        await self._close_all()

    def stall_connections(self) -> None:
        """Stop forwarding on the currently open connections, for good."""
        self._stalled |= self._connections

    def accept_connections(self) -> None:
        """Accept new connections again."""
        self._cut = False

    async def _close_all(self) -> None:
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, process: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None, "the server runs each connection in a task"
        self._connections.add(task)
        is_sound = False
        with contextlib.suppress(asyncio.CancelledError, OSError):
            if not self._cut and process == self._process:
                await self._forward_both_ways(reader, writer, task)
                is_sound = True
        if self._passes_resets and not is_sound and not writer.is_closing():
            ReplicaConnection(reader, writer).reset()
        writer.close()
        self._connections.discard(task)
        self._stalled.discard(task)

    async def _forward_both_ways(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
        forwarders = [
            asyncio.create_task(self._forward(reader, target_writer, task)),
            asyncio.create_task(self._forward(target_reader, writer, task, from_target=True)),
        ]
        try:
            done, _ = await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            for forwarder in done:
                forwarder.result()
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            await asyncio.gather(*forwarders, return_exceptions=True)
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
        from_target: bool = False,
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if from_target and self.bytes_per_s < math.inf:
                await asyncio.sleep(len(chunk) / self.bytes_per_s)
            if task in self._stalled or (from_target and self.drop_responses):
                # Nothing is forwarded, not even the end of the stream: the other end sees no close.
                await asyncio.Event().wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()
