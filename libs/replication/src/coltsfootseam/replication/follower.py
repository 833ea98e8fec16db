"""Follows the log, and restores a snapshot if records are missing."""

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.platform import Log, LogPage
from coltsfootseam.replication.connectivity import Connectivity
from coltsfootseam.replication.replica import Replica
from coltsfootseam.results import Refusal
from coltsfootseam.state import (
    CompleteSnapshot,
    SnapshotAssembler,
    SnapshotChunk,
    decode_record,
)
from coltsfootseam.timers import TimerService

_RETRY_DELAY_S = 0.25


class FollowTimes(msgspec.Struct, frozen=True):
    """Periods of the follower, in seconds.

    Attributes:
        wait_s: How long the log may hold a read open.
        pause_s: Pause before the next read once caught up, so that a busy log
            is read in pages rather than record by record.
    """

    wait_s: float
    pause_s: float = 0.25


class LogFollower:
    """Reads the log from the replica's next offset on.

    Attributes:
        caught_up: Whether the replica has folded every record of the log.
        went_back: Whether the log has lost records that were read before.
    """

    __slots__ = (
        "_connectivity",
        "_log",
        "_observer",
        "_replica",
        "_timers",
        "_times",
        "caught_up",
        "went_back",
    )

    def __init__(
        self,
        log: Log,
        replica: Replica,
        connectivity: Connectivity,
        timers: TimerService,
        observer: Observer,
        times: FollowTimes,
    ) -> None:
        self._log = log
        self._replica = replica
        self._connectivity = connectivity
        self._timers = timers
        self._observer = observer
        self._times = times
        self.caught_up = False
        self.went_back = False

    async def run(self) -> None:
        """Follows the log until cancelled."""
        while True:
            pause_s = await self.step()
            if pause_s > 0:
                await self._timers.sleep(pause_s)

    async def step(self) -> float:
        """Reads and folds one page.

        Returns:
            The pause before the next page, in seconds.
        """
        wait_s = self._times.wait_s if self.caught_up else 0.0
        next_offset = self._replica.next_offset()
        sent_s = self._timers.now_s()
        page = await self._log.read(next_offset, wait_s)
        if isinstance(page, Refusal):
            self._connectivity.record_log_failure(page.reason)
            return _RETRY_DELAY_S
        self._connectivity.record_log_reply(sent_s)
        if self._check_went_back(page, next_offset):
            return _RETRY_DELAY_S
        if page.first_offset > self._replica.next_offset():
            return await self._restore_snapshot(page)
        for entry in page.entries:
            self._replica.apply(entry.offset, entry.text)
        self.caught_up = self._replica.next_offset() >= page.next_offset
        return self._times.pause_s if self.caught_up else 0.0

    def _check_went_back(self, page: LogPage, from_offset: int) -> bool:
        """Returns whether the log ends before the requested offset."""
        # Compares with the requested offset, as the replica may have caught up
        # from a peer during the read.
        went_back = page.next_offset < from_offset
        if went_back and not self.went_back:
            self._observer.record_change(
                "log.went_back",
                str(page.next_offset),
                f"offset {from_offset} was expected",
            )
        self.went_back = went_back
        return went_back

    async def _restore_snapshot(self, page: LogPage) -> float:
        """Restores the latest snapshot in the log; returns the next pause."""
        self._observer.record_change(
            "log.gap",
            str(self._replica.next_offset()),
            f"log starts at {page.first_offset}",
        )
        snapshot = await self._find_latest_snapshot(page.first_offset)
        if snapshot is None:
            self._observer.count("log.no_snapshot")
            return _RETRY_DELAY_S
        self._replica.restore(snapshot.data, "snapshot in the log")
        return 0.0

    async def _find_latest_snapshot(
        self, first_offset: int
    ) -> CompleteSnapshot | None:
        assembler = SnapshotAssembler()
        latest: CompleteSnapshot | None = None
        offset = first_offset
        while True:
            page = await self._log.read(offset, 0.0)
            if isinstance(page, Refusal) or not page.entries:
                return latest
            for entry in page.entries:
                snapshot = _add_record(assembler, entry.text)
                if snapshot is not None and _is_newer(snapshot, latest):
                    latest = snapshot
            offset = page.entries[-1].offset + 1


def _add_record(
    assembler: SnapshotAssembler, text: str
) -> CompleteSnapshot | None:
    """Returns the snapshot that a record completes, if it completes one."""
    record = decode_record(text)
    if isinstance(record, Refusal):
        return None
    if not isinstance(record.body, SnapshotChunk):
        return None
    return assembler.add(record.body)


def _is_newer(first: CompleteSnapshot, second: CompleteSnapshot | None) -> bool:
    return second is None or first.state_offset > second.state_offset
