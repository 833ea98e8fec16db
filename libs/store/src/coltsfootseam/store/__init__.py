"""Access to the store: keyed partitions, journals and group membership."""

from coltsfootseam.store.journal import (
    TOKENS_PER_EPOCH,
    Claim,
    Journal,
    claim_journal,
    in_batches,
)
from coltsfootseam.store.latest_records import LatestRecordsReader
from coltsfootseam.store.membership import Membership, MembershipTimes
from coltsfootseam.store.messages import (
    Appended,
    Assignment,
    Conflict,
    HistoryGone,
    KeyedRecord,
    LatestPage,
    LatestRecords,
    Page,
    Partition,
    PartitionHolder,
    StoredRecord,
    Writer,
)
from coltsfootseam.store.monitored import MonitoredStore
from coltsfootseam.store.port import Store
from coltsfootseam.store.tail import Tail

__all__ = [
    "TOKENS_PER_EPOCH",
    "Appended",
    "Assignment",
    "Claim",
    "Conflict",
    "HistoryGone",
    "Journal",
    "KeyedRecord",
    "LatestPage",
    "LatestRecords",
    "LatestRecordsReader",
    "Membership",
    "MembershipTimes",
    "MonitoredStore",
    "Page",
    "Partition",
    "PartitionHolder",
    "Store",
    "StoredRecord",
    "Tail",
    "Writer",
    "claim_journal",
    "in_batches",
]
