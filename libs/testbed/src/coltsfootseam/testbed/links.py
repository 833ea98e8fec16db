"""Links between nodes on a loopback network, which can be cut and healed.

A node listens on ``127.N.0.NODE``. The link from another node to it is a proxy
on ``127.N.SOURCE.NODE``, with the same port.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable, Iterator

import msgspec

from coltsfootseam.standins.proxy import ProxyFaults, ProxyStandIn
from coltsfootseam.testbed.networks import claim_network

_BACKLOG = 1024
MAX_HOLD_S = 12.0
"""A worker carries out calls that were under way for up to this time."""


class Cut(msgspec.Struct, frozen=True, eq=False):
    """Pairs of nodes, source and target, between which no data passes."""

    pairs: frozenset[tuple[int, int]]


def one_way(sources: Iterable[int], targets: Iterable[int]) -> Cut:
    """Returns a cut of all that some nodes send to others."""
    target_list = list(targets)
    return Cut(frozenset((a, b) for a in sources for b in target_list))


def both_ways(some: Iterable[int], others: Iterable[int]) -> Cut:
    """Returns a cut between some nodes and others."""
    there = one_way(some, others).pairs
    return Cut(there | {(b, a) for a, b in there})


def linked_address(address: str, source: int) -> str:
    """Returns where the link from a node to an address listens."""
    if not address:
        return address
    ip, _, port = address.partition(":")
    first, second, _, target = ip.split(".")
    if int(target) == source:
        return address
    return f"{first}.{second}.{source}.{target}:{port}"


class Links:
    """The links of a network."""

    __slots__ = (
        "_cuts",
        "_max_hold_s",
        "_network",
        "_proxies_by_pair",
        "_servers",
    )

    def __init__(self, network: str, max_hold_s: float) -> None:
        self._network = network
        self._max_hold_s = max_hold_s
        self._cuts: list[Cut] = []
        self._proxies_by_pair: dict[tuple[int, int], ProxyStandIn] = {}
        self._servers: list[asyncio.Server] = []

    def ip(self, node: int) -> str:
        """Returns the address that a node listens on."""
        return f"{self._network}.0.{node}"

    async def connect(self, source: int, target: int, port: int) -> None:
        """Opens the link from a node to a port of another."""
        address = f"{self.ip(target)}:{port}"
        proxy = ProxyStandIn(address, self._max_hold_s)
        ip = linked_address(address, source).partition(":")[0]
        server = await asyncio.start_server(
            proxy.accept, ip, port, backlog=_BACKLOG
        )
        self._servers.append(server)
        self._proxies_by_pair[source, target] = proxy

    def is_open(self, source: int, target: int) -> bool:
        """Returns whether no cut stops what a node sends to another."""
        return not any((source, target) in cut.pairs for cut in self._cuts)

    @contextlib.contextmanager
    def cutting(self, cut: Cut, loses_data: bool = False) -> Iterator[None]:
        """Cuts links while the context is open; cuts may overlap.

        Args:
            cut: What doesn't get through.
            loses_data: Whether connections that were open at the end of the
                cut deliver nothing any more. Otherwise what was sent meanwhile
                arrives then.
        """
        self._cuts.append(cut)
        self._apply(cut, False)
        try:
            yield
        finally:
            self._cuts.remove(cut)
            self._apply(cut, loses_data)

    def _apply(self, cut: Cut, loses_data: bool) -> None:
        for (source, target), proxy in self._proxies_by_pair.items():
            if cut.pairs.isdisjoint({(source, target), (target, source)}):
                continue
            proxy.apply(
                ProxyFaults(
                    silence_open=loses_data,
                    hold_to_target=not self.is_open(source, target),
                    hold_from_target=not self.is_open(target, source),
                )
            )

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        for server in self._servers:
            server.close()
        for proxy in self._proxies_by_pair.values():
            await proxy.close()


@contextlib.asynccontextmanager
async def opening_links(
    first_network: int, max_hold_s: float = MAX_HOLD_S
) -> AsyncIterator[Links]:
    """Yields the links of a network that no other launcher uses.

    Args:
        first_network: Number of the network to try first.
        max_hold_s: A connection whose data a cut held for longer is silenced.
    """
    claim = claim_network(first_network)
    links = Links(claim.network, max_hold_s)
    try:
        yield links
    finally:
        await links.close()
        claim.release()
