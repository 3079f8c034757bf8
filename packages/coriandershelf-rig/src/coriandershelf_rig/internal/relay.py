"""A TCP relay on loopback that can cut connections or let them go silent for good."""

from __future__ import annotations

import asyncio
import contextlib

PIECE_BYTES = 65536


class Relay:
    """Forwards connections to one address.

    A silent connection stays open at both ends while nothing passes any more; new connections
    work, as behind a device that has lost track of the old ones. ``delay_s`` holds up each piece;
    while ``one_way`` is set nothing comes back from the target.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._silent: set[asyncio.Task[None]] = set()
        self._cut = False
        self.delay_s = 0.0
        self.one_way = False

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        await self._close_all()

    async def cut(self) -> None:
        """Close every connection and refuse new ones until :meth:`heal`."""
        self._cut = True
        await self._close_all()

    def silence(self) -> None:
        """Let the connections open now go silent for good."""
        self._silent |= self._connections

    def heal(self) -> None:
        """Take new connections again."""
        self._cut = False

    async def _close_all(self) -> None:
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None, "the server runs each connection in a task"
        self._connections.add(task)
        with contextlib.suppress(asyncio.CancelledError, OSError):
            if not self._cut:
                await self._relay(reader, writer, task)
        writer.close()
        self._connections.discard(task)
        self._silent.discard(task)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, task)),
            asyncio.create_task(self._pump(far_reader, writer, task, back=True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
        back: bool = False,
    ) -> None:
        while True:
            piece = await reader.read(PIECE_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if task in self._silent or (back and self.one_way):
                # Nothing is forwarded, not even the close: the other end never learns of it.
                await asyncio.Event().wait()
            if not piece:
                return
            writer.write(piece)
            await writer.drain()
