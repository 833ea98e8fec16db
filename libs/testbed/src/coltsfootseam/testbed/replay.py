"""Replays the whole log after a run and checks the decisions in it.

The fold decides which records are accepted. Ownership and budgets are checked
again here, independently of the fold.
"""

import msgspec

from coltsfootseam.platform import LogPage
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state import (
    FleetState,
    HostClaimed,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
    Record,
    decode_record,
    fold_record,
)
from coltsfootseam.testbed.cluster import Cluster


class ReplayFindings(msgspec.Struct):
    """Findings of a replay of the log.

    Attributes:
        records: Number of records read.
        host_in_two_pools: Claims accepted for a host that had an owner.
        budget_breaches: Drains accepted beyond a pool's availability budget.
        moves: Claims accepted for a host that had been released before.
    """

    records: int = 0
    host_in_two_pools: int = 0
    budget_breaches: int = 0
    moves: int = 0


class LogReplay:
    """Folds records and tracks ownership independently of the fold.

    Attributes:
        state: State that the records so far fold to.
        findings: Findings so far.
    """

    __slots__ = (
        "_down_ids",
        "_owner_by_host_id",
        "_released_ids",
        "findings",
        "state",
    )

    def __init__(self) -> None:
        self.state = FleetState()
        self.findings = ReplayFindings()
        self._owner_by_host_id: dict[str, str] = {}
        self._down_ids: set[str] = set()
        self._released_ids: set[str] = set()

    def add(self, offset: int, record: Record) -> None:
        """Applies the next record of the log."""
        is_duplicate = record.record_id in self.state.outcomes_by_record_id
        outcome = fold_record(self.state, offset, record)
        self.findings.records += 1
        if outcome.code is ResultCode.OK and not is_duplicate:
            self._check_accepted(record)

    def _check_accepted(self, record: Record) -> None:
        body = record.body
        if isinstance(body, HostClaimed):
            had_owner = body.host_id in self._owner_by_host_id
            self.findings.host_in_two_pools += had_owner
            self.findings.moves += body.host_id in self._released_ids
            self._owner_by_host_id[body.host_id] = body.pool
        elif isinstance(body, HostReleased):
            del self._owner_by_host_id[body.host_id]
            self._down_ids.discard(body.host_id)
            self._released_ids.add(body.host_id)
        elif isinstance(body, HostDownSet) and body.down:
            self._down_ids.add(body.host_id)
        elif isinstance(body, HostDownSet):
            self._down_ids.discard(body.host_id)
        elif isinstance(body, HostDrainReserved):
            self._check_drain(body.host_id)

    def _check_drain(self, host_id: str) -> None:
        was_down = host_id in self._down_ids
        self._down_ids.add(host_id)
        pool = self._owner_by_host_id[host_id]
        down_ids = [
            each
            for each in self._down_ids
            if self._owner_by_host_id.get(each) == pool
        ]
        named = self.state.pools_by_name().get(pool)
        if named is not None and not was_down:
            self.findings.budget_breaches += len(down_ids) > named.pool.max_down


async def replay_log(cluster: Cluster) -> LogReplay:
    """Replays all records in the log of a cluster."""
    replay = LogReplay()
    next_offset = 0
    while True:
        path = f"/records?from={next_offset}&limit=1000&wait_ms=0"
        page = await cluster.control.get(cluster.log_address(), path, LogPage)
        if not page.entries:
            return replay
        for entry in page.entries:
            record = decode_record(entry.text)
            if not isinstance(record, Refusal):
                replay.add(entry.offset, record)
            next_offset = entry.offset + 1
