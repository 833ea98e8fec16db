"""What a port serves, and within which limits."""

from collections.abc import Callable

import msgspec

from coltsfootseam.connections.internal.table import Report
from coltsfootseam.connections.limits import PortLimits, RequestLimits
from coltsfootseam.connections.loop_share import LoopShare


class Port(msgspec.Struct, frozen=True):
    """What a port serves, and within which limits.

    Attributes:
        address: Host and port to listen on.
        limits: What all its connections may use.
        share: The share of the loop that all ports of a process use together.
        report: Is told how many connections were closed, and why.
        request_limits: Returns what a request may be.
    """

    address: str
    limits: PortLimits
    share: LoopShare
    report: Report
    request_limits: Callable[[], RequestLimits] = RequestLimits
