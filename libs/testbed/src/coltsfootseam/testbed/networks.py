"""Loopback networks, one for each cluster on this machine."""

import socket

_NETWORK_COUNT = 250
_CLAIM_HOST = "255.254"
_CLAIM_PORT = 9999


class NetworkClaim:
    """Exclusive use of a loopback network until it is released.

    Attributes:
        network: First two numbers of its addresses.
    """

    __slots__ = ("_sock", "network")

    def __init__(self, network: str, sock: socket.socket) -> None:
        self.network = network
        self._sock = sock

    def release(self) -> None:
        """Makes the network available to other launchers."""
        self._sock.close()


def claim_network(first: int) -> NetworkClaim:
    """Claims the first free network, starting at a number.

    Processes of clusters that run at the same time must not share addresses.
    A socket bound within the network excludes other launchers of the machine;
    the operating system closes it when its process ends.

    Args:
        first: Number of the network to try first.

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
