"""Messages between entry VMs over real datagrams on loopback."""

from __future__ import annotations

import asyncio
import socket

import pytest

from coriandershelf_core.internal.gateway.digest import Digest
from coriandershelf_core.internal.gateway.events import DigestArrived, Event, RoomMessageArrived
from coriandershelf_core.internal.gateway.load_tracking import LoadReply
from coriandershelf_core.internal.gateway.peers import Peers
from coriandershelf_platform.peer_link import READ_MAX_COUNT, PeerLink
from coriandershelf_rig.internal.processes import consecutive_ports


class Link:
    """A link with what it has posted and counted."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.dropped: list[str] = []
        self.link = PeerLink(self.events.append, lambda message: None, self._on_dropped)
        self.port = consecutive_ports(2)
        self.link.start("127.0.0.1", self.port, self.port + 1)

    def _on_dropped(self, reason: str, sender: str, fault: str) -> None:
        self.dropped.append(reason)


def make_digest(vm_id: str, digest_port: int = 0) -> Digest:
    return Digest(vm_id, "127.0.0.1:7500", "zone-1", 1, 1, 0.0, digest_port=digest_port)


def test_digests_wait_for_the_next_tick_and_other_messages_do_not():
    # A wake-up for each digest took more processor time than all decisions of an idle VM.
    async def scenario() -> None:
        receiver, sender = Link(), Link()
        sender.link.send(make_digest("vm-2"), (f"127.0.0.1:{receiver.port + 1}",))
        sender.link.send(LoadReply("vm-2", 1, ()), (f"127.0.0.1:{receiver.port}",))
        while not receiver.events:
            await asyncio.sleep(0.001)
        assert [type(event) for event in receiver.events] == [RoomMessageArrived]
        receiver.link.read_digests()
        assert [type(event) for event in receiver.events] == [RoomMessageArrived, DigestArrived]
        receiver.link.close()
        sender.link.close()

    asyncio.run(scenario())


def test_a_digest_at_the_port_of_other_messages_is_read_as_before():
    # VMs of an earlier build know of one port only.
    async def scenario() -> None:
        receiver, sender = Link(), Link()
        sender.link.send(make_digest("vm-2"), (f"127.0.0.1:{receiver.port}",))
        while not receiver.events:
            await asyncio.sleep(0.001)
        assert [type(event) for event in receiver.events] == [DigestArrived]
        receiver.link.close()
        sender.link.close()

    asyncio.run(scenario())


def test_a_flood_of_datagrams_is_read_in_bounded_parts():
    # Reading until the socket is empty would keep callers waiting for as long as the flood lasts.
    async def scenario() -> None:
        receiver = Link()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
            for _ in range(READ_MAX_COUNT + 10):
                flood.sendto(b"?", ("127.0.0.1", receiver.port + 1))
            receiver.link.read_digests()
            assert len(receiver.dropped) == READ_MAX_COUNT
            receiver.link.read_digests()
            assert len(receiver.dropped) == READ_MAX_COUNT + 10
        receiver.link.close()

    asyncio.run(scenario())


def test_a_peer_that_cannot_be_reached_does_not_stop_the_others_messages():
    async def scenario() -> None:
        receiver, sender = Link(), Link()
        closed_port = consecutive_ports(1)
        addresses = (f"127.0.0.1:{closed_port}", f"127.0.0.1:{receiver.port}")
        for _ in range(3):
            sender.link.send(LoadReply("vm-2", 1, ()), addresses)
        while len(receiver.events) < 3:
            await asyncio.sleep(0.001)
        receiver.link.close()
        sender.link.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("digest_port", "address"), [(0, "127.0.0.1:7500"), (7501, "127.0.0.1:7501")]
)
def test_digests_go_where_the_peer_reads_them(digest_port, address):
    peers = Peers("vm-1")
    peers.on_registered({"vm-2": "127.0.0.1:7500"}, 0.0)
    assert peers.address_of("vm-2") == "127.0.0.1:7500"
    peers.on_digest(make_digest("vm-2", digest_port), 0.1)
    assert peers.address_of("vm-2") == address


def test_a_peer_that_comes_back_with_an_earlier_build_gets_digests_at_its_address():
    peers = Peers("vm-1")
    peers.on_digest(make_digest("vm-2", 7501), 0.1)
    restarted = Digest("vm-2", "127.0.0.1:7500", "zone-1", 2, 1, 0.0)
    peers.on_digest(restarted, 0.2)
    assert peers.address_of("vm-2") == "127.0.0.1:7500"
