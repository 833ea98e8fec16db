"""The progress of large jobs, which is stored in parts."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootseam.jobs import (
    TASKS_PER_PART,
    Job,
    JobRequest,
    JobState,
    JobTable,
    Progress,
    Run,
    RunEnd,
    Step,
    Task,
    cancel_key,
    decode_part,
    decode_progress,
    encode_progress,
    job_key,
    parse_part_key,
    parse_pool_key,
)
from coltsfootseam.jobs.number_ranges import NumberRanges
from tests.common.fleets import POOL, running_fleet

JOB = "a" * 16
OTHER_JOB = "b" * 16
RECORD_BYTES = 262_144
WORKER_ID = "i-0123456789abcdef@1796356800000"
CHECKPOINT = "0123456789abcdef"


def make_table() -> JobTable:
    return JobTable(lambda request: 3)


def request_of(*steps: Step, occurrences: int = 0) -> JobRequest:
    return JobRequest("queue", "", steps, 0, 1, 1, occurrences)


def store_changes(table: JobTable, records: dict[str, bytes]) -> int:
    """Applies what a table stores to a store; returns the bytes stored."""
    size = 0
    for job_id, changes in table.drain_changes().items():
        for change in changes:
            key = job_key(POOL, job_id) + change.suffix
            size += len(change.value)
            if change.value:
                records[key] = change.value
            else:
                records.pop(key, None)
    return size


def load(
    records: dict[str, bytes], request: JobRequest
) -> tuple[JobTable, Job]:
    """Returns the table of a successor, and its job."""
    progress = decode_progress(records[job_key(POOL, JOB)])
    for key in sorted(records):
        part = parse_part_key(POOL, key)
        if part is not None:
            progress.parts.append(part[1])
            progress.tasks.extend(decode_part(records[key]))
    table = make_table()
    return table, table.add(JOB, request, 0.0, progress)


def start(table: JobTable, task: Task) -> Run:
    run = table.add_run(task, WORKER_ID, 0.0)
    task.checkpoint = CHECKPOINT
    return run


# Guards against a record that no store takes: a job's overlapping occurrences
# outgrew one, and nothing of the pool went on, whoever owned it (review/13).
def test_no_record_grows_with_the_occurrences_of_a_job() -> None:
    table = make_table()
    request = request_of(Step(count=250), occurrences=110)
    job = table.add(JOB, request, 0.0)
    records: dict[str, bytes] = {}
    for number in range(110):
        for task in job.occurrence(number).tasks_by_step[0]:
            start(table, task)
        store_changes(table, records)
    assert sum(map(len, records.values())) > RECORD_BYTES
    assert max(map(len, records.values())) < RECORD_BYTES / 8
    _, restored = load(records, request)
    assert len(restored.tasks()) == 110 * 250
    assert all(task.runs for task in restored.tasks())


# Guards against journals that fill the store: each change of a task wrote the
# whole progress of its job again.
def test_a_change_of_one_task_stores_its_part_only() -> None:
    table = make_table()
    job = table.add(JOB, request_of(Step(count=3_000)), 0.0)
    tasks = job.occurrence(0).tasks_by_step[0]
    runs = [start(table, task) for task in tasks]
    records: dict[str, bytes] = {}
    whole = store_changes(table, records)
    table.end_run(tasks[100], runs[100], RunEnd.DONE, "", 1)
    assert store_changes(table, records) < whole / 30
    assert store_changes(table, records) == 0


def test_finished_occurrences_and_ended_jobs_leave_no_parts() -> None:
    table = make_table()
    request = request_of(Step(count=100), occurrences=3)
    job = table.add(JOB, request, 0.0)
    records: dict[str, bytes] = {}
    for number in range(3):
        tasks = job.occurrence(number).tasks_by_step[0]
        runs = [start(table, task) for task in tasks]
        store_changes(table, records)
        assert len(records) == 3
        for task, run in zip(tasks, runs, strict=True):
            table.end_run(task, run, RunEnd.DONE, "", 1)
        store_changes(table, records)
        assert list(records) == [job_key(POOL, JOB)]
    assert decode_progress(records[job_key(POOL, JOB)]).state == (
        JobState.COMPLETED
    )


# Guards against parts that stay for good, as an owner was lost between the
# record of an end and the deletion of the parts.
def test_a_successor_deletes_parts_that_were_left_over() -> None:
    table = make_table()
    request = request_of(Step(count=100), occurrences=2)
    job = table.add(JOB, request, 0.0)
    records: dict[str, bytes] = {}
    tasks = job.occurrence(0).tasks_by_step[0]
    runs = [start(table, task) for task in tasks]
    store_changes(table, records)
    left_over = dict(records)
    for task, run in zip(tasks, runs, strict=True):
        table.end_run(task, run, RunEnd.DONE, "", 1)
    store_changes(table, records)
    stored = {**left_over, **records}
    successor, restored = load(stored, request)
    assert 0 in restored.finished_occurrences
    for task, run in successor.runs.all_runs():
        successor.end_run(task, run, RunEnd.NEVER_STARTED, "", 2)
    assert not restored.occurrences_by_number
    store_changes(successor, stored)
    assert list(stored) == [job_key(POOL, JOB)]


# Guards against tasks that run again after an upgrade: hosts of earlier
# versions have stored large jobs in one document.
def test_a_document_of_an_earlier_version_moves_into_parts() -> None:
    table = make_table()
    request = request_of(Step(count=200))
    job = table.add(JOB, request, 0.0)
    tasks = job.occurrence(0).tasks_by_step[0]
    run = start(table, tasks[0])
    start(table, tasks[150])
    table.end_run(tasks[0], run, RunEnd.DONE, "", 1)
    records = {job_key(POOL, JOB): encode_progress(job)}
    successor, restored = load(records, request)
    assert restored.tasks()[0].is_done
    store_changes(successor, records)
    assert len(records) == 3
    _, again = load(records, request)
    assert encode_progress(again) == encode_progress(job)


# Guards against runs that a takeover forgets: their occurrence is finished, and
# they are still being stopped (review/15).
@pytest.mark.parametrize("count", [2, 100])
def test_a_run_that_is_stopped_after_its_job_is_done_is_kept(
    count: int,
) -> None:
    table = make_table()
    request = request_of(Step(count=count, duplicable=True))
    job = table.add(JOB, request, 0.0)
    records: dict[str, bytes] = {}
    for task in job.occurrence(0).tasks_by_step[0]:
        first = start(table, task)
        start(table, task)
        table.end_run(task, first, RunEnd.DONE, "", 1)
    assert job.state is JobState.COMPLETED
    store_changes(table, records)
    successor, restored = load(records, request)
    assert sum(len(task.runs) for task in restored.tasks()) == count
    assert len(successor.runs) == count
    for task, run in successor.runs.all_runs():
        successor.end_run(task, run, RunEnd.STOPPED, "", 2)
    store_changes(successor, records)
    assert list(records) == [job_key(POOL, JOB)]


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_a_successor_knows_what_was_stored(data: st.DataObject) -> None:
    request = request_of(
        Step(count=50), Step(count=40, after=(0,)), occurrences=3
    )
    table = make_table()
    job = table.add(JOB, request, 0.0)
    for number in range(3):
        job.occurrence(number)
    records: dict[str, bytes] = {}
    for _ in range(data.draw(st.integers(1, 12))):
        tasks = [task for task in job.tasks() if task.is_pending()]
        for task in tasks[: data.draw(st.integers(0, 60))]:
            table.add_run(task, WORKER_ID, 0.0)
        pairs = table.runs.all_runs()
        ends = [RunEnd.DONE, RunEnd.LAPSED, RunEnd.STOPPED]
        for task, run in pairs[: data.draw(st.integers(0, 60))]:
            end = data.draw(st.sampled_from(ends))
            table.end_run(task, run, end, "", 1)
        store_changes(table, records)
        if job.state.is_final:
            break
        if not records:
            continue
        successor, restored = load(records, request)
        assert encode_progress(restored) == encode_progress(job)
        if data.draw(st.booleans()):
            table, job = successor, restored
            for number in range(3):
                if number not in job.finished_occurrences:
                    job.occurrence(number)


@given(st.lists(st.integers(0, 30)))
def test_ranges_have_the_numbers_that_were_added(numbers: list[int]) -> None:
    ranges = NumberRanges()
    for number in numbers:
        ranges.add(number)
    assert len(ranges) == len(set(numbers))
    assert [n for n in range(32) if n in ranges] == sorted(set(numbers))
    for number in range(32):
        missing = ranges.first_missing(number)
        assert missing not in ranges
        assert all(n in ranges for n in range(number, missing))
    again = NumberRanges(ranges.ranges())
    assert again.ranges() == ranges.ranges()
    assert len(again) == len(ranges)


def test_keys_of_parts_are_told_from_others() -> None:
    key = job_key(POOL, JOB) + "/part/7/0"
    assert parse_part_key(POOL, key) == (JOB, (7, 0))
    assert parse_pool_key(POOL, key) is None
    for other in (
        job_key(POOL, JOB),
        cancel_key(POOL, JOB),
        job_key("other", JOB) + "/part/7/0",
        job_key(POOL, JOB) + "/part/7/x",
    ):
        assert parse_part_key(POOL, other) is None


# Guards against an append that is repeated without end, as the store will never
# take it, while the other jobs of the pool wait behind it.
async def test_a_record_that_the_store_refuses_holds_up_no_other_job() -> None:
    async with running_fleet(hosts=2, workers=4) as fleet:
        fleet.store.max_record_bytes = 400
        await fleet.accept(fleet.hosts[0], JOB, Step(count=30, cpu_millis=100))
        await fleet.accept(fleet.hosts[0], OTHER_JOB, Step(cpu_millis=100))
        await fleet.wait_for_state(OTHER_JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == 0
        assert fleet.owner().lines("job.unstorable")
        await fleet.wait_for_state(JOB, JobState.FAILED)


async def test_a_successor_goes_on_with_a_job_in_parts() -> None:
    count = 3 * TASKS_PER_PART
    async with running_fleet(
        hosts=3, workers=4, duration_of=lambda task: 2.0
    ) as fleet:
        await fleet.accept(
            fleet.hosts[0], JOB, Step(count=count, cpu_millis=100)
        )
        await fleet.wait_until(lambda: fleet.started(JOB) > count / 2)
        await fleet.owner().kill()
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 90.0)


def test_a_progress_document_keeps_the_form_of_small_jobs() -> None:
    table = make_table()
    request = request_of(Step(), occurrences=4)
    job = table.add(JOB, request, 0.0)
    for number in (0, 2):
        task = job.occurrence(number).tasks_by_step[0][0]
        run = table.add_run(task, WORKER_ID, 0.0)
        table.end_run(task, run, RunEnd.DONE, "", 1)
    progress = msgspec.msgpack.decode(encode_progress(job), type=Progress)
    assert progress.finished_occurrences == [0, 2]
    assert progress.finished_ranges == []
