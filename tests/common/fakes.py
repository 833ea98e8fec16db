"""Fakes of the platform's log and of an entry host, in virtual time."""

import random

from coltsfootseam.observe import Observer
from coltsfootseam.platform import Appended, LogEntry, LogPage
from coltsfootseam.replication import Connectivity, Proposer, Replica
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.timers import VirtualTimers


class FakeLog:
    """A log in memory that can lose replies.

    Attributes:
        entries: The kept records.
        first_offset: Offset of the oldest kept record.
        down: Whether every call is refused and has no effect.
        replies_to_lose: How many of the next appends take effect although the
            caller gets a refusal.
        appends: How many appends took effect.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.first_offset = 0
        self.down = False
        self.replies_to_lose = 0
        self.appends = 0

    async def append(self, text: str) -> Appended | Refusal:
        """Appends one record."""
        if self.down:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "down")
        offset = self.next_offset()
        self.entries.append(LogEntry(offset, text))
        self.appends += 1
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return Refusal(ResultCode.OUTCOME_PENDING, "reply lost")
        return Appended(offset)

    async def read(self, from_offset: int, wait_s: float) -> LogPage | Refusal:
        """Reads the available records without waiting."""
        del wait_s
        if self.down:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "down")
        entries: list[LogEntry] = []
        if from_offset >= self.first_offset:
            entries = [
                entry for entry in self.entries if entry.offset >= from_offset
            ]
        return LogPage(self.first_offset, self.next_offset(), entries)

    def next_offset(self) -> int:
        """Returns the offset of the next record to be appended."""
        return self.entries[-1].offset + 1 if self.entries else 0

    def expire_before(self, offset: int) -> None:
        """Deletes the records before an offset, as retention does."""
        self.first_offset = offset
        self.entries = [each for each in self.entries if each.offset >= offset]


class FakeEntry:
    """Replica, connectivity and proposer of an entry host."""

    def __init__(
        self, entry_id: str, log: FakeLog, timers: VirtualTimers
    ) -> None:
        self.entry_id = entry_id
        self.log = log
        self.timers = timers
        self.observer = Observer(timers, entry_id, "zone-a")
        self.replica = Replica(self.observer)
        self.connectivity = Connectivity(timers, self.observer)
        self.proposer = Proposer(
            entry_id, log, self.replica, timers, self.observer, timeout_s=8.0
        )

    async def read_log(self) -> None:
        """Folds all records of the log."""
        page = await self.log.read(self.replica.next_offset(), 0.0)
        assert isinstance(page, LogPage)
        self.connectivity.record_log_reply(self.timers.now_s())
        for entry in page.entries:
            self.replica.apply(entry.offset, entry.text)


def make_rng() -> random.Random:
    """Returns a random generator with a fixed seed."""
    return random.Random(20261204)
