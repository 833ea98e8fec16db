"""Writes snapshots of the state to the log before its records expire."""

import uuid

from coltsfootseam.observe import Observer
from coltsfootseam.replication.lease import LeaseManager
from coltsfootseam.replication.proposer import Proposer
from coltsfootseam.replication.replica import Replica
from coltsfootseam.state import (
    SnapshotChunk,
    encode_state,
    rank_members,
    split_snapshot,
)
from coltsfootseam.timers import TimerService

_RECORDS_PER_SNAPSHOT = 2000
_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.5


class Snapshotter:
    """Writes a snapshot after enough records or a period without one."""

    __slots__ = (
        "_last_snapshot_offset",
        "_last_snapshot_s",
        "_lease",
        "_observer",
        "_own_id",
        "_period_s",
        "_proposer",
        "_replica",
        "_timers",
    )

    def __init__(
        self,
        own_id: str,
        proposer: Proposer,
        replica: Replica,
        lease: LeaseManager,
        timers: TimerService,
        observer: Observer,
        period_s: float,
    ) -> None:
        self._own_id = own_id
        self._proposer = proposer
        self._replica = replica
        self._lease = lease
        self._timers = timers
        self._observer = observer
        self._period_s = period_s
        self._last_snapshot_offset = -1
        self._last_snapshot_s = timers.now_s()

    async def tick(self) -> None:
        """Writes a snapshot if one is due and this host has the role.

        The role belongs to the member that ranks first and holds its lease.
        """
        if self._replica.snapshot_offset != self._last_snapshot_offset:
            self._last_snapshot_offset = self._replica.snapshot_offset
            self._last_snapshot_s = self._timers.now_s()
        if self._is_due() and self._has_role():
            await self._write()

    def _is_due(self) -> bool:
        records = self._replica.state.offset - self._replica.snapshot_offset
        if records >= _RECORDS_PER_SNAPSHOT:
            return True
        return self._timers.now_s() - self._last_snapshot_s >= self._period_s

    def _has_role(self) -> bool:
        if not self._lease.holds_lease():
            return False
        members = self._replica.state.members_by_id
        return rank_members(members, "snapshot")[:1] == [self._own_id]

    async def _write(self) -> None:
        state = self._replica.state
        chunks = split_snapshot(
            uuid.uuid4().hex, state.offset, encode_state(state)
        )
        for chunk in chunks:
            if not await self._append(chunk):
                self._observer.count("snapshot.given_up")
                return
        self._last_snapshot_s = self._timers.now_s()
        self._observer.record_event(
            "snapshot.written", str(chunks[0].state_offset), f"{len(chunks)}"
        )

    async def _append(self, chunk: SnapshotChunk) -> bool:
        # Duplicate chunks in the log are harmless.
        for _ in range(_MAX_ATTEMPTS):
            refusal = await self._proposer.append_once(
                self._proposer.make_record(chunk)
            )
            if refusal is None:
                return True
            await self._timers.sleep(_RETRY_DELAY_S)
        return False
