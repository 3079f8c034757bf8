"""Sends and receives messages between entry VMs over gRPC."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import grpc.aio

from coriandershelf_core.internal.vocabulary.actions import SendPeerMessage
from coriandershelf_core.internal.vocabulary.events import PeerMessageArrived
from coriandershelf_core.internal.vocabulary.messages import Message
from coriandershelf_entry.internal.core_task import Post
from coriandershelf_wire import Malformed, decode_batch, encode_batch
from coriandershelf_wire.internal import peer_pb2, peer_pb2_grpc

DELIVER_TIMEOUT_S = 2.0
QUEUE_MAX_COUNT = 1000
KEEPALIVE_OPTIONS = [
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
    ("grpc.max_receive_message_length", 64 << 20),
    ("grpc.max_send_message_length", 64 << 20),
]


class PeerServer(peer_pb2_grpc.PeerServicer):
    """Receives batches from other entry VMs and posts their messages."""

    def __init__(self, listen: str, post: Post, log: Any) -> None:
        self._post = post
        self._log = log
        self._server = grpc.aio.server(options=KEEPALIVE_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)  # type: ignore[no-untyped-call]
        self._server.add_insecure_port(listen)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening; batches in flight have 0.5 s to finish."""
        await self._server.stop(0.5)

    async def Deliver(  # noqa: N802  name given by the generated base class
        self, request: peer_pb2.Batch, context: Any
    ) -> peer_pb2.Receipt:
        """Receive one batch."""
        messages = decode_batch(request)
        if isinstance(messages, Malformed):
            self._log.error("peer batch skipped", sender=request.sender, reason=messages.reason)
            return peer_pb2.Receipt()
        for message in messages:
            self._post(PeerMessageArrived(request.sender, message))
        return peer_pb2.Receipt()


class PeerSender:
    """Sends messages with one task per peer, which owns its channel and batches its queue."""

    def __init__(self, vm_id: str, incarnation: int) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._queues: dict[str, asyncio.Queue[Message]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, action: SendPeerMessage) -> None:
        """Queue a message; the oldest is dropped if the queue of the peer is full."""
        address = action.address
        queue = self._queues.get(address)
        if queue is None:
            queue = self._queues[address] = asyncio.Queue(QUEUE_MAX_COUNT)
            self._tasks[address] = asyncio.create_task(self._send_forever(address, queue))
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(action.message)

    async def stop(self) -> None:
        """Close every channel."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _send_forever(self, address: str, queue: asyncio.Queue[Message]) -> None:
        async with grpc.aio.insecure_channel(address, options=KEEPALIVE_OPTIONS) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)  # type: ignore[no-untyped-call]
            while True:
                messages = [await queue.get()]
                while not queue.empty():
                    messages.append(queue.get_nowait())
                batch = encode_batch(self._vm_id, self._incarnation, tuple(messages))
                try:
                    await stub.Deliver(batch, timeout=DELIVER_TIMEOUT_S)
                except grpc.aio.AioRpcError:
                    # Delivery to peers is best effort; the core resends what it needs delivered.
                    continue
