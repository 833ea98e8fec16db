"""Loopback networks, one for each cluster that runs on this machine."""

import socket

_NETWORK_COUNT = 250
_CLAIM_HOST = "255.254"
_CLAIM_PORT = 9999


class NetworkClaim:
    """Keeps a loopback network from other launchers until it is released.

    Attributes:
        network: First two numbers of its addresses.
    """

    __slots__ = ("_sock", "network")

    def __init__(self, network: str, sock: socket.socket) -> None:
        self.network = network
        self._sock = sock

    def release(self) -> None:
        """Lets other launchers have the network."""
        self._sock.close()


def claim_network(first: int) -> NetworkClaim:
    """Claims the first free network, looking from a number on.

    Processes of clusters that run at the same time must not share addresses.
    A bound socket tells the launchers of the machine apart, and the system
    releases it with its process.

    Raises:
        OSError: If every network is taken.
    """
    for number in range(first, first + _NETWORK_COUNT):
        network = f"127.{1 + number % _NETWORK_COUNT}"
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.bind((f"{network}.{_CLAIM_HOST}", _CLAIM_PORT))
        except OSError:
            sock.close()
            continue
        return NetworkClaim(network, sock)
    raise OSError(f"all {_NETWORK_COUNT} loopback networks are taken")
