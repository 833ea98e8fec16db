"""Later lives of workers of which an owner knows too little."""

import pytest

from coltsfootseam.jobs import JobState, Step
from tests.common.fleets import WORKERS, Fleet, Host, running_fleet
from tests.cover.test_restarted_workers import (
    JOB,
    LATER_JOB,
    LONG_TASK_S,
    VICTIMS,
    restart_in_the_dark,
)

SHORT_TASK_S = 0.2
SHORT = Step(count=16, cpu_millis=1000, estimate_ms=200)
SPREAD = Step(count=4, cpu_millis=1000, estimate_ms=20_000, per_worker_limit=1)
DOWN_S = 0.02
LISTED_S = 4.0
LIMIT_S = 150.0


async def leave(fleet: Fleet, owner: Host) -> None:
    """Has the pool's owner leave in peace."""
    assert owner.manager is not None
    await fleet.run(owner.manager.leave())
    await owner.kill()


def begin_behind_a_cut(fleet: Fleet, instance_id: str, late_s: float) -> None:
    """Has a worker lose power and be back without ever having an entry.

    Args:
        fleet: The deployment.
        instance_id: The worker. The entry of its former life lapses.
        late_s: How long after they were sent its next life carries starts out.
    """
    former = fleet.workers.workers_by_instance[instance_id]
    former.faults.resets_connections = False
    fleet.workers.kill(instance_id)

    def come_back() -> None:
        fleet.restart_worker(instance_id, fleet.wall_ms())
        fleet.put_entry(former.entry)
        faults = fleet.workers.workers_by_instance[instance_id].faults
        faults.late_start_share = 1.0
        faults.delay_s = late_s

    def lapse() -> None:
        fleet.store.put(WORKERS, instance_id, b"")

    fleet.timers.schedule(DOWN_S, come_back)
    fleet.timers.schedule(LISTED_S, lapse)


# Guards against work done twice: a heartbeat that named the ends of a life as
# stored was repeated to the next one, which forgot an end that nobody had read.
@pytest.mark.parametrize("phase_s", [0.2, 0.4, 0.6, 0.8, 1.0])
async def test_ends_of_a_life_are_not_named_to_the_next_one(
    phase_s: float,
) -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: SHORT_TASK_S
    ) as fleet:
        await fleet.timers.advance(20.0)
        await fleet.accept(fleet.hosts[0], JOB, SHORT)
        await fleet.wait_until(lambda: fleet.started(JOB) == SHORT.count, 2.0)
        await fleet.timers.advance(0.1 + phase_s)
        for instance_id in VICTIMS:
            restart_in_the_dark(fleet, instance_id, unlisted_s=2.0)
        await fleet.timers.advance(2 * DOWN_S)
        await fleet.accept(fleet.hosts[0], LATER_JOB, SHORT)
        await fleet.wait_for_state(LATER_JOB, JobState.COMPLETED)


# Guards against runs given up at once on a life that is later than the one in
# the successor's outdated entries: it took that one for the later one.
@pytest.mark.parametrize("is_planned", [False, True])
@pytest.mark.parametrize("outdated_s", [1.0, 2.0, 4.0])
async def test_a_successor_with_outdated_entries_keeps_the_runs_of_later_lives(
    outdated_s: float, is_planned: bool
) -> None:
    async with running_fleet(
        workers=5, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        fleet.do_workers_guard = True
        fleet.configure(2)
        await fleet.timers.advance(40.0)
        owner, other = fleet.owner(), fleet.non_owner()
        fleet.workers.kill("i-1")
        await fleet.timers.advance(0.3)
        other.store.faults.failing_page_topics = {"workers"}
        fleet.restart_worker("i-1", fleet.wall_ms())
        fleet.store.drop_history()
        await fleet.timers.advance(0.8)
        await fleet.accept(owner, JOB, SPREAD)
        await fleet.wait_until(lambda: fleet.started(JOB) == SPREAD.count, 2.0)
        await fleet.timers.advance(1.5)
        fleet.timers.schedule(
            outdated_s, other.store.faults.failing_page_topics.clear
        )
        if is_planned:
            await leave(fleet, owner)
        else:
            await owner.kill()
        await fleet.wait_until(other.owns)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a next life that is taken for absent as it has no entry, though
# it has replied once: a start that it carries out late runs on beside another.
@pytest.mark.parametrize("late_s", [2.0, 4.0, 8.0, 11.9])
async def test_a_life_that_has_replied_once_is_not_taken_for_absent(
    late_s: float,
) -> None:
    async with running_fleet(
        workers=8, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(40.0)
        instance_ids = [f"i-{number}" for number in range(1, 6)]
        workers = fleet.workers.workers_by_instance
        for key in instance_ids:
            begin_behind_a_cut(fleet, key, late_s)
        await fleet.timers.advance(2 * DOWN_S)
        await fleet.accept(fleet.hosts[0], JOB, SPREAD)
        owner = fleet.owner()
        await fleet.wait_until(lambda: len(owner.lines("worker.dropped")) > 0)
        for key in instance_ids:
            workers[key].faults.is_unresponsive = True
        for number in (11, 12, 13):
            fleet.add_worker(number)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a third owner that takes a life for absent which began behind a
# cut and never had an entry: it carries out a start that was under way to it.
@pytest.mark.parametrize("second_end_s", [5.0, 7.0])
async def test_a_third_owner_waits_for_a_life_that_it_reads_nothing_of(
    second_end_s: float,
) -> None:
    async with running_fleet(
        hosts=4, workers=8, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(40.0)
        workers = fleet.workers.workers_by_instance
        instance_ids = [f"i-{number}" for number in range(1, 6)]
        for key in instance_ids:
            begin_behind_a_cut(fleet, key, late_s=11.9)
        await fleet.timers.advance(2 * DOWN_S)
        await fleet.accept(fleet.hosts[0], JOB, SPREAD)
        await fleet.timers.advance(0.1)
        for key in instance_ids:
            workers[key].faults.is_unresponsive = True
        await leave(fleet, fleet.owner())
        for number in (11, 12, 13):
            fleet.add_worker(number)
        await fleet.timers.advance(second_end_s)
        await leave(fleet, fleet.owner())
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)
