"""Appends to inboxes under the condition that a queue is admitted."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from coltsfootseam.manager.jobs.admission import Admission
from coltsfootseam.manager.jobs.inbox_appender import (
    NOT_ADMITTED,
    Condition,
    InboxAppender,
)
from coltsfootseam.results import OK
from coltsfootseam.store import KeyedRecord
from tests.common.fleets import POOL, QUEUE, Fleet, running_fleet

OTHER = "other"
JOB = KeyedRecord(f"{POOL}/{'a' * 16}", b"job")


def appender_of(fleet: Fleet, number: int = 0) -> InboxAppender:
    manager = fleet.hosts[number].manager
    assert manager is not None
    return InboxAppender(manager.context)


def offsets_by_key(fleet: Fleet) -> dict[str, int]:
    manager = fleet.hosts[0].manager
    assert manager is not None
    log = fleet.store.partition_log(manager.context.inbox_of(POOL))
    return {record.key: record.offset for record in log.records}


async def admitted(fleet: Fleet, appender: InboxAppender) -> int:
    """Returns the offset of the record that admits the queue."""
    found = await fleet.run(appender.find_admission(POOL, QUEUE))
    assert found is not None
    return getattr(found, "offset", -1)


# Guards against a job that is stored behind the record that ends its admission,
# in the same append.
async def test_a_job_never_follows_the_end_of_its_admission() -> None:
    async with running_fleet(hosts=1) as fleet:
        appender = appender_of(fleet)
        offset = await admitted(fleet, appender)
        first = asyncio.ensure_future(
            appender.append(POOL, KeyedRecord(f"{POOL}/b", b""))
        )
        closing = asyncio.ensure_future(
            appender.record_admission(POOL, QUEUE, Admission(9, OTHER), offset)
        )
        job = asyncio.ensure_future(
            appender.append(POOL, JOB, Condition(QUEUE, offset))
        )
        await fleet.wait_until(
            lambda: first.done() and closing.done() and job.done()
        )
        assert closing.result() is OK
        assert job.result() is OK
        offsets = offsets_by_key(fleet)
        assert offsets[JOB.key] < max(offsets.values())


# Guards against two records for a queue that both count as the only one.
async def test_of_two_admissions_at_once_one_counts() -> None:
    async with running_fleet(hosts=1) as fleet:
        appender = appender_of(fleet)
        offset = await admitted(fleet, appender)
        outcomes = await fleet.run(
            _both(
                appender.append(POOL, KeyedRecord(f"{POOL}/b", b"")),
                appender.record_admission(
                    POOL, QUEUE, Admission(9, OTHER), offset
                ),
                appender.record_admission(
                    POOL, QUEUE, Admission(9, POOL), offset
                ),
            )
        )
        assert outcomes == [OK, OK, NOT_ADMITTED]


# Guards against a job that a host stores under an admission which another host
# has ended.
async def test_a_host_with_an_old_view_stores_no_job() -> None:
    async with running_fleet(hosts=2) as fleet:
        old, new = appender_of(fleet, 0), appender_of(fleet, 1)
        offset = await admitted(fleet, old)
        await admitted(fleet, new)
        outcome = await fleet.run(
            new.record_admission(POOL, QUEUE, Admission(9, OTHER), offset)
        )
        assert outcome is OK
        stored = await fleet.run(
            old.append(POOL, JOB, Condition(QUEUE, offset))
        )
        assert stored is NOT_ADMITTED
        assert JOB.key not in offsets_by_key(fleet)


async def _both(*calls: Coroutine[Any, Any, object]) -> list[object]:
    return list(await asyncio.gather(*calls))
