"""The daemon that runs on every entry host."""

from coltsfootseam.entry.daemon import run_entry
from coltsfootseam.entry.messages import (
    CommandReply,
    ContractCommand,
    ContractView,
    EntryStatus,
    HostView,
    MemberView,
    PoolView,
)

__all__ = [
    "CommandReply",
    "ContractCommand",
    "ContractView",
    "EntryStatus",
    "HostView",
    "MemberView",
    "PoolView",
    "run_entry",
]
