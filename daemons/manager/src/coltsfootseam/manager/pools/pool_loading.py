"""Reads what the store has of a pool, at the start of its ownership."""

import msgspec

from coltsfootseam.jobs import (
    PartId,
    Progress,
    StoredTask,
    decode_part,
    decode_progress,
    parse_part_key,
    parse_pool_key,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.witnesses import (
    MAX_VOUCHED_S,
    UNKNOWN_WITNESSES,
    FormerOwners,
    decode_witnesses,
    witness_key,
)
from coltsfootseam.manager.membership.duty_progress import DutyProgress
from coltsfootseam.results import Refusal
from coltsfootseam.store import LatestRecordsReader, StoredRecord, Tail

_RETRY_DELAY_S = 0.15
_MS_PER_S = 1000


_PartsByJob = dict[str, dict[PartId, list[StoredTask]]]


class PoolLoader:
    """Reads a pool's journal and inbox, and retries until that succeeds.

    Attributes:
        former_owners: What is stored of them, once the journal is loaded.
    """

    __slots__ = (
        "_context",
        "_pool",
        "_progress",
        "_started_s",
        "former_owners",
    )

    def __init__(
        self, pool: str, context: Context, progress: DutyProgress
    ) -> None:
        self._pool = pool
        self._context = context
        self._progress = progress
        self._started_s = context.timers.now_s()
        self.former_owners = FormerOwners()

    async def load_journal(self) -> dict[str, Progress]:
        """Returns the progress of each job, by the job's id.

        The claim fences all earlier owners, so the journal no longer changes.
        """
        self._started_s = self._context.timers.now_s()
        reader = LatestRecordsReader(
            self._context.ports.store,
            self._context.journal_of(self._pool),
            self._progress.record_progress,
        )
        while True:
            latest = await reader.read()
            if not isinstance(latest, Refusal):
                return self._decode(latest.records)
            await self._retry_later("journal", latest)

    async def load_inbox(self, inbox: Tail) -> None:
        """Loads all requests and cancellations."""
        self._started_s = self._context.timers.now_s()
        while (refusal := await inbox.load()) is not None:
            await self._retry_later("inbox", refusal)

    def _decode(self, records: list[StoredRecord]) -> dict[str, Progress]:
        progress_by_id: dict[str, Progress] = {}
        parts_by_job: _PartsByJob = {}
        key_of_witnesses = witness_key(self._pool)
        for record in records:
            if record.key == key_of_witnesses:
                self.former_owners = self._decode_witnesses(record)
                continue
            part_key = parse_part_key(self._pool, record.key)
            if part_key is not None and record.value:
                self._add_part(parts_by_job, *part_key, record)
                continue
            key = parse_pool_key(self._pool, record.key)
            if key is None or not record.value:
                continue
            try:
                progress = decode_progress(record.value)
            except msgspec.DecodeError as error:
                self._log_unreadable(record, error)
                continue
            progress_by_id[key.job_id] = progress
        for job_id, parts in parts_by_job.items():
            if job_id in progress_by_id:
                _add_parts(progress_by_id[job_id], parts)
        return progress_by_id

    def _add_part(
        self,
        parts_by_job: _PartsByJob,
        job_id: str,
        part: PartId,
        record: StoredRecord,
    ) -> None:
        try:
            tasks = decode_part(record.value)
        except msgspec.DecodeError as error:
            self._log_unreadable(record, error)
            return
        parts_by_job.setdefault(job_id, {})[part] = tasks

    def _decode_witnesses(self, record: StoredRecord) -> FormerOwners:
        try:
            return decode_witnesses(record.value)
        except msgspec.DecodeError as error:
            self._log_unreadable(record, error)
            return FormerOwners({UNKNOWN_WITNESSES: MAX_VOUCHED_S})

    def _log_unreadable(
        self, record: StoredRecord, error: msgspec.DecodeError
    ) -> None:
        self._context.log.write(
            "record.unreadable", key=record.key, why=str(error)
        )

    async def _retry_later(self, part: str, refusal: Refusal) -> None:
        since_s = self._context.timers.now_s() - self._started_s
        self._context.log.write(
            "pool.load_failed",
            pool=self._pool,
            part=part,
            code=refusal.code.name,
            why=refusal.reason,
            since_ms=round(since_s * _MS_PER_S),
        )
        self._context.counters.increment("pool.load_failed")
        self._progress.record_failure()
        await self._context.timers.sleep(_RETRY_DELAY_S)


def _add_parts(
    progress: Progress, parts: dict[PartId, list[StoredTask]]
) -> None:
    """Adds the parts of a job's progress to its document."""
    progress.parts = sorted(parts)
    progress.tasks = [task for part in progress.parts for task in parts[part]]
