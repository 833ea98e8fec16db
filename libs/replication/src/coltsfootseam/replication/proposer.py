"""Appends proposals to the log and waits until they are read back."""

import asyncio
import uuid

from coltsfootseam.observe import Observer
from coltsfootseam.platform import Log
from coltsfootseam.replication.replica import Replica
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state import Body, Outcome, Record, encode_record
from coltsfootseam.timers import TimerService

_RETRY_DELAY_S = 0.2


class Proposer:
    """Appends records under the lease epoch of this entry host.

    Attributes:
        epoch: Epoch under which records are appended; set by the lease
            manager.
    """

    __slots__ = (
        "_author",
        "_log",
        "_observer",
        "_replica",
        "_timeout_s",
        "_timers",
        "epoch",
    )

    def __init__(
        self,
        author: str,
        log: Log,
        replica: Replica,
        timers: TimerService,
        observer: Observer,
        timeout_s: float,
    ) -> None:
        self._author = author
        self._log = log
        self._replica = replica
        self._timers = timers
        self._observer = observer
        self._timeout_s = timeout_s
        self.epoch = 0

    def make_record(self, body: Body, record_id: str = "") -> Record:
        """Returns a record of this entry host, stamped with the time."""
        return Record(
            record_id=record_id or uuid.uuid4().hex,
            author=self._author,
            epoch=self.epoch,
            stamp=self._observer.clock.tick(),
            body=body,
        )

    async def append_once(self, record: Record) -> Refusal | None:
        """Appends a record without waiting until it is read back."""
        self._observer.count("log.appends")
        appended = await self._log.append(encode_record(record))
        return appended if isinstance(appended, Refusal) else None

    async def propose(
        self, body: Body, record_id: str = ""
    ) -> Outcome | Refusal:
        """Proposes a record and waits for its outcome.

        An append whose reply was lost is retried under the same record id; the
        fold ignores the duplicate.

        Args:
            body: What is proposed.
            record_id: Id of the record. Proposals with the same id have one
                outcome.

        Returns:
            The outcome once the record has been read back. A refusal with
            ``LOG_UNAVAILABLE`` means that nothing was accepted, one with
            ``OUTCOME_PENDING`` that the record may still be accepted.
        """
        record = self.make_record(body, record_id)
        deadline_s = self._timers.now_s() + self._timeout_s
        outcome = self._replica.expect_outcome(record.record_id)
        appending = asyncio.ensure_future(self._append(record, deadline_s))
        try:
            await self._wait_for_either(outcome, appending)
            if outcome.done():
                return outcome.result()
            failure = appending.result()
            if failure is not None:
                return failure
            return await self._wait_for_outcome(outcome, record, deadline_s)
        finally:
            appending.cancel()
            outcome.cancel()

    async def _wait_for_either(
        self,
        outcome: "asyncio.Future[Outcome]",
        appending: "asyncio.Future[Refusal | None]",
    ) -> None:
        await asyncio.wait(
            (outcome, appending), return_when=asyncio.FIRST_COMPLETED
        )

    async def _append(
        self, record: Record, deadline_s: float
    ) -> Refusal | None:
        may_be_appended = False
        while True:
            refusal = await self.append_once(record)
            if refusal is None:
                return None
            self._observer.count("log.append_failures")
            if refusal.code is ResultCode.OUTCOME_PENDING:
                may_be_appended = True
            if self._timers.now_s() >= deadline_s:
                return _append_refusal(record, refusal, may_be_appended)
            await self._timers.sleep(_RETRY_DELAY_S)

    async def _wait_for_outcome(
        self,
        outcome: "asyncio.Future[Outcome]",
        record: Record,
        deadline_s: float,
    ) -> Outcome | Refusal:
        remaining_s = deadline_s - self._timers.now_s()
        timer = asyncio.ensure_future(self._timers.sleep(remaining_s))
        try:
            await asyncio.wait(
                (outcome, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        if outcome.done():
            return outcome.result()
        return _pending_refusal(record, "it was not read back in time")


def _append_refusal(
    record: Record, refusal: Refusal, may_be_appended: bool
) -> Refusal:
    if may_be_appended:
        return _pending_refusal(record, refusal.reason)
    return Refusal(
        ResultCode.LOG_UNAVAILABLE, f"nothing was accepted: {refusal.reason}"
    )


def _pending_refusal(record: Record, cause: str) -> Refusal:
    return Refusal(
        ResultCode.OUTCOME_PENDING,
        f"record {record.record_id} may still be accepted: {cause}",
    )
