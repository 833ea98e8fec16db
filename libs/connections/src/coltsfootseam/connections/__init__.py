"""HTTP servers whose connections stay within a budget."""

from coltsfootseam.connections.bodies import read_body
from coltsfootseam.connections.internal.listener import Listener
from coltsfootseam.connections.internal.table import Report
from coltsfootseam.connections.limits import (
    PortLimits,
    ProcessLimits,
    RequestLimits,
)
from coltsfootseam.connections.loop_share import LoopShare
from coltsfootseam.connections.port import Port
from coltsfootseam.connections.server import (
    HttpHandler,
    make_server,
    serving_application,
    serving_connections,
    working_on,
)

__all__ = [
    "HttpHandler",
    "Listener",
    "LoopShare",
    "Port",
    "PortLimits",
    "ProcessLimits",
    "Report",
    "RequestLimits",
    "make_server",
    "read_body",
    "serving_application",
    "serving_connections",
    "working_on",
]
