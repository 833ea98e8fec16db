"""Links between nodes on loopback."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest

from coltsfootseam.testbed.links import (
    MAX_HOLD_S,
    Links,
    linked_address,
    one_way,
    opening_links,
)

PORT = 7000
SOURCE, TARGET = 1, 2
QUIET_S = 0.3
LIMIT_S = 10.0
FIRST_NETWORK = 200


class Connected(msgspec.Struct):
    """A connection from the source, and what the target received of it."""

    links: Links
    writer: asyncio.StreamWriter
    received: asyncio.Queue[bytes]

    async def next_data(self) -> bytes:
        """Returns what the target receives next."""
        async with asyncio.timeout(LIMIT_S):
            return await self.received.get()


@pytest.fixture
def max_hold_s() -> float:
    """Returns how long the links hold data back."""
    return MAX_HOLD_S


@pytest.fixture
async def connected(max_hold_s: float) -> AsyncIterator[Connected]:
    received: asyncio.Queue[bytes] = asyncio.Queue()

    async def receive(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(100):
            received.put_nowait(data)
        received.put_nowait(b"")
        writer.close()

    async with opening_links(FIRST_NETWORK, max_hold_s) as links:
        address = f"{links.ip(TARGET)}:{PORT}"
        await links.connect(SOURCE, TARGET, PORT)
        async with await asyncio.start_server(receive, links.ip(TARGET), PORT):
            ip = linked_address(address, SOURCE).partition(":")[0]
            _, writer = await asyncio.open_connection(ip, PORT)
            yield Connected(links, writer, received)
            writer.close()


# A cut that lets data or the end of a connection through would part nothing.
async def test_a_cut_holds_data_and_ends_back_until_it_is_healed(
    connected: Connected,
) -> None:
    with connected.links.cutting(one_way([SOURCE], [TARGET])):
        connected.writer.write(b"late")
        connected.writer.close()
        await asyncio.sleep(QUIET_S)
        assert connected.received.empty()
    assert await connected.next_data() == b"late"
    assert await connected.next_data() == b""


# Overlapping cuts must not heal each other.
async def test_a_link_is_cut_until_the_last_of_its_cuts_ends(
    connected: Connected,
) -> None:
    links = connected.links
    with links.cutting(one_way([SOURCE], [TARGET])):
        with links.cutting(one_way([SOURCE], [TARGET])):
            connected.writer.write(b"late")
        await asyncio.sleep(QUIET_S)
        assert connected.received.empty()
        assert not links.is_open(SOURCE, TARGET)
        assert links.is_open(TARGET, SOURCE)
    assert await connected.next_data() == b"late"


# A connection that lost data must not go on in the middle of a message.
async def test_a_connection_that_lost_data_stays_silent(
    connected: Connected,
) -> None:
    cut = one_way([SOURCE], [TARGET])
    with connected.links.cutting(cut, loses_data=True):
        connected.writer.write(b"lost")
        await asyncio.sleep(QUIET_S)
    connected.writer.write(b"lost too")
    await asyncio.sleep(QUIET_S)
    assert connected.received.empty()


# A call that reached a worker later than the platform's calls can would break
# guarantees that no manager can give.
@pytest.mark.parametrize("max_hold_s", [QUIET_S / 2])
async def test_data_that_was_held_back_for_too_long_is_lost(
    connected: Connected,
) -> None:
    with connected.links.cutting(one_way([SOURCE], [TARGET])):
        connected.writer.write(b"too late")
        await asyncio.sleep(QUIET_S)
    connected.writer.write(b"lost too")
    await asyncio.sleep(QUIET_S)
    assert connected.received.empty()
