"""Adapters to the platform's services, one module for each.

No details of the platform's protocols are used outside this library.
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
