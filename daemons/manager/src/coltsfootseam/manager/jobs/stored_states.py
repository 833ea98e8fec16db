"""Reads the state of a job from the store, used if no owner answers."""

from collections.abc import Sequence

import msgspec

from coltsfootseam.jobs import (
    JobState,
    cancel_key,
    decode_progress,
    decode_request,
    job_key,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store import StoredRecord


class KnownJob(msgspec.Struct, frozen=True):
    """What is known of a job.

    Attributes:
        state: Its state.
        team: Team that submitted it, empty if none did.
        pool: The pool that has it, empty if unknown.
    """

    state: JobState
    team: str
    pool: str = ""


class StoredStates:
    """Reads the states of jobs from the journals and inboxes of pools."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    async def read(
        self, pools: Sequence[str], job_id: str
    ) -> KnownJob | Refusal | None:
        """Returns a job's state, ``JOB_UNKNOWN``, or ``None`` if unreadable.

        The journal is read first: its pages are small and hold the state of
        each job that has started.
        """
        queued: KnownJob | None = None
        for pool in pools:
            job = await self._read_journal(pool, job_id)
            if job is None:
                job = await self._read_inbox(pool, job_id)
            if job is None:
                # The job may have started, ended and left the inbox since.
                job = await self._read_journal(pool, job_id)
            if isinstance(job, Refusal):
                return None
            if job is None:
                continue
            job = msgspec.structs.replace(job, pool=pool)
            if job.state is not JobState.QUEUED:
                return job
            queued = queued or job
        if queued is not None:
            return queued
        return Refusal(ResultCode.JOB_UNKNOWN, f"no job {job_id}")

    async def _read_journal(
        self, pool: str, job_id: str
    ) -> KnownJob | Refusal | None:
        """Returns the state of a job in the journal, ``None`` if absent."""
        key = job_key(pool, job_id)
        page = await self._context.ports.store.latest_page(
            self._context.journal_of(pool), _key_before(key)
        )
        if isinstance(page, Refusal):
            return page
        for record in page.records:
            job = self._decode_progress(key, record)
            if job is not None:
                return job
        return None

    async def _read_inbox(
        self, pool: str, job_id: str
    ) -> KnownJob | Refusal | None:
        """Returns the state of a job in the inbox, ``None`` if absent."""
        key = job_key(pool, job_id)
        page = await self._context.ports.store.latest_page(
            self._context.inbox_of(pool), _key_before(key)
        )
        if isinstance(page, Refusal):
            return page
        values_by_key = {
            record.key: record.value for record in page.records if record.value
        }
        if key not in values_by_key:
            return None
        is_cancelled = cancel_key(pool, job_id) in values_by_key
        state = JobState.CANCELLED if is_cancelled else JobState.QUEUED
        return KnownJob(state, self._decode_team(key, values_by_key[key]))

    def _decode_progress(
        self, key: str, record: StoredRecord
    ) -> KnownJob | None:
        if record.key != key or not record.value:
            return None
        try:
            progress = decode_progress(record.value)
        except msgspec.DecodeError as error:
            # An owner restarts such a job, so it counts as not started.
            self._log_unreadable(key, error)
            return None
        return KnownJob(progress.state, progress.team)

    def _decode_team(self, key: str, value: bytes) -> str:
        try:
            return decode_request(value).team
        except msgspec.DecodeError as error:
            # No owner runs such a job, so there is nothing to protect.
            self._log_unreadable(key, error)
            return ""

    def _log_unreadable(self, key: str, error: msgspec.DecodeError) -> None:
        self._context.log.write("record.unreadable", key=key, why=str(error))


def _key_before(key: str) -> str:
    """Returns a key that sorts right before another."""
    return key[:-1] + chr(ord(key[-1]) - 1) + "\x7f"
