"""Adapters to the platform: one module for each of its services.

All detail of the platform's protocols stays in this library.
"""

from coltsfootseam.platform.hostlist import (
    HostList,
    HostListClient,
    HostState,
    ListedHost,
)
from coltsfootseam.platform.log import (
    Appended,
    Log,
    LogClient,
    LogEntry,
    LogPage,
)

__all__ = [
    "Appended",
    "HostList",
    "HostListClient",
    "HostState",
    "ListedHost",
    "Log",
    "LogClient",
    "LogEntry",
    "LogPage",
]
