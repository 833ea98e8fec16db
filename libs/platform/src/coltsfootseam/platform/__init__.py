"""Adapters to the platform: one module for each of its services.

All detail of the platform's protocols stays in this library.
"""

from coltsfootseam.platform.hostlist import (
    HostListClient,
    HostState,
    ListedHost,
)
from coltsfootseam.platform.log import (
    Appended,
    LogClient,
    LogEntry,
    LogPage,
)

__all__ = [
    "Appended",
    "HostListClient",
    "HostState",
    "ListedHost",
    "LogClient",
    "LogEntry",
    "LogPage",
]
