"""Scenarios of random faults against managers in virtual time.

A scenario applies a list of events and then removes all faults. Whatever the
events, accepted jobs end, refused ones never start, no task runs twice at once
or again after its end, and a cancelled job starts no more tasks. No start
exceeds the capacity of its worker. A task that crashes its workers is started
within its budget, and no other task is given up unless workers crashed under it
twice.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import cast

import msgspec

from coltsfootseam.jobs import JobState, Step, TaskId
from coltsfootseam.results import OK, ResultCode
from coltsfootseam.standins.memory_worker import WorkerFaults
from tests.common.fleets import Fleet, Host, running_fleet

HOSTS = 3
WORKERS = 4
END_LIMIT_S = 60.0
CANCEL_S = 3.0
CPU_MILLIS = 1000
CORES = 4
MAX_CRASHES = 5
"""Two starts after the third crash are within the budget, a third is not."""
MIN_CRASHES_TO_GIVE_UP = 2
STEPS = (
    Step(count=3, cpu_millis=CPU_MILLIS, estimate_ms=600),
    Step(count=1, cpu_millis=CPU_MILLIS, estimate_ms=600, after=(0,)),
)


class Event(msgspec.Struct, frozen=True):
    """An event at one host or worker, and the pause after it."""

    kind: str
    number: int
    pause_s: float


class Scenario:
    """Applies events and tracks the replies that callers got."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.submitted = 0
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self.maybe_cancelled: set[str] = set()
        self.deadly: set[str] = set()
        fleet.workers.cpu_millis_of = lambda task: CPU_MILLIS

    async def apply(self, event: Event) -> None:
        """Applies one event."""
        await HANDLERS_BY_KIND[event.kind](self, event.number)
        await self.fleet.timers.advance(event.pause_s)

    def host(self, number: int) -> Host:
        """Returns a host."""
        return self.fleet.hosts[number % len(self.fleet.hosts)]

    def worker_faults(self, number: int) -> WorkerFaults:
        """Returns the faults of a worker."""
        instance_id = f"i-{number % WORKERS + 1}"
        return self.fleet.workers.workers_by_instance[instance_id].faults

    async def submit(self, number: int) -> None:
        """A caller submits a job; an unknown outcome is not tracked."""
        host = self.host(number)
        if not _can_answer(host):
            return
        self.submitted += 1
        job_id = f"{self.submitted:016x}"
        outcome = await self.fleet.submit(host, job_id, *STEPS)
        if outcome is OK:
            self.accepted.add(job_id)
        elif outcome.code is ResultCode.NOT_RUN_OVERLOADED:
            self.refused.add(job_id)

    async def submit_deadly(self, number: int) -> None:
        """A caller submits a job with a task that crashes its workers."""
        job_id = f"{self.submitted + 1:016x}"
        self.deadly.add(job_id)
        self.fleet.workers.deadly_tasks.add(TaskId(job_id, 0, 0, number % 3))
        await self.submit(number)

    async def cancel(self, number: int) -> None:
        """A caller cancels the latest job."""
        host = self.host(number)
        if not _can_answer(host) or not self.accepted:
            return
        job_id = max(self.accepted)
        outcome = await self.fleet.cancel(host, job_id)
        if outcome is OK:
            self.cancelled.add(job_id)
        elif outcome.code is ResultCode.OUTCOME_UNKNOWN:
            self.maybe_cancelled.add(job_id)

    async def kill_host(self, number: int) -> None:
        """A process is killed."""
        host = self.host(number)
        if host.manager is not None:
            host.timers.thaw()
            await host.kill()

    async def start_host(self, number: int) -> None:
        """A killed process is started again."""
        host = self.host(number)
        if host.manager is None:
            host.start()
            await self.fleet.wait_until(lambda: host.manager is not None)

    async def freeze_host(self, number: int) -> None:
        """A process pauses."""
        self.host(number).timers.is_frozen = True

    async def thaw_host(self, number: int) -> None:
        """A paused process resumes."""
        self.host(number).timers.thaw()

    async def cut_store(self, number: int) -> None:
        """One host is cut off from the store."""
        self.host(number).store.faults.is_unresponsive = True

    async def stop_store(self, number: int) -> None:
        """The store refuses all hosts."""
        del number
        for host in self.fleet.hosts:
            host.store.faults.is_down = True

    async def lose_answers(self, number: int) -> None:
        """Replies to writes are lost, and some writes are delayed."""
        for host in self.fleet.hosts:
            host.store.faults.lost_reply_share = 0.4
            host.store.faults.delay_s = 0.6 * (number % 2)

    async def heal_store(self, number: int) -> None:
        """The store and the network to it recover."""
        del number
        for host in self.fleet.hosts:
            host.store.faults.is_unresponsive = False
            host.store.faults.is_down = False
            host.store.faults.lost_reply_share = 0.0

    async def drop_history(self, number: int) -> None:
        """The store drops all but the latest records."""
        del number
        self.fleet.store.drop_history()

    async def restart_worker(self, number: int) -> None:
        """A worker is killed and starts again under the same id."""
        worker = number % WORKERS + 1
        workers = self.fleet.workers
        entry = workers.workers_by_instance[f"i-{worker}"].entry
        workers.kill(entry.instance_id)
        self.fleet.restart_worker(entry.instance_id)

    async def resize_worker(self, number: int) -> None:
        """A worker's capacity shrinks, or grows again."""
        self.fleet.resize_worker(f"i-{number % WORKERS + 1}", number % CORES)

    async def silence_worker(self, number: int) -> None:
        """A worker is cut off and keeps running."""
        self.worker_faults(number).is_unresponsive = True

    async def fail_worker(self, number: int) -> None:
        """A worker fails all tasks that it starts."""
        self.worker_faults(number).fails_all = True

    async def slow_worker(self, number: int) -> None:
        """A worker becomes slow."""
        self.worker_faults(number).slowness = 8.0

    async def delay_starts(self, number: int) -> None:
        """A worker carries out starts late and without a reply."""
        self.worker_faults(number).late_start_share = 0.5

    async def heal_workers(self, number: int) -> None:
        """All workers recover."""
        del number
        for index in range(WORKERS):
            self.fleet.resize_worker(f"i-{index + 1}", CORES)
            faults = self.worker_faults(index)
            faults.is_unresponsive = False
            faults.fails_all = False
            faults.slowness = 1.0
            faults.late_start_share = 0.0

    async def finish(self) -> None:
        """Removes all faults and checks the guarantees to callers."""
        await self.heal_workers(0)
        await self.heal_store(0)
        for number in range(len(self.fleet.hosts)):
            await self.thaw_host(number)
            await self.start_host(number)
        await self.fleet.timers.advance(CANCEL_S)
        starts = {job: self.fleet.started(job) for job in self.cancelled}
        for job_id in sorted(self.accepted):
            await self._wait_until_final(job_id)
        for job_id, count in starts.items():
            assert self.fleet.started(job_id) == count
        for job_id in self.refused:
            assert self.fleet.started(job_id) == 0
        self._check_crashes()

    def _check_crashes(self) -> None:
        workers = self.fleet.workers
        for task, crashed in workers.crashes_by_task.items():
            assert len(crashed) <= MAX_CRASHES, f"{task}: {crashed}"
        for host in self.fleet.hosts:
            for line in host.lines("crash.task_given_up"):
                occurrence, step, index = cast(list[int], line["task"])
                task = TaskId(str(line["job"]), occurrence, step, index)
                lost = workers.lost_workers_by_task.get(task, [])
                assert len(lost) >= MIN_CRASHES_TO_GIVE_UP, f"{task}: {lost}"

    async def _wait_until_final(self, job_id: str) -> None:
        await self.fleet.wait_until(lambda: self._is_final(job_id), END_LIMIT_S)

    def _is_final(self, job_id: str) -> bool:
        for host in self.fleet.hosts:
            if host.manager is None:
                continue
            for owner in host.manager.duties.owners_by_pool.values():
                job = owner.state and owner.state.job_table.jobs_by_id.get(
                    job_id
                )
                if job and job.stored_state.is_final:
                    return self._is_expected(job_id, job.stored_state)
        return False

    def _is_expected(self, job_id: str, state: JobState) -> bool:
        if job_id in self.maybe_cancelled and state is JobState.CANCELLED:
            return True
        if job_id in self.deadly and job_id in self.cancelled:
            assert state in (JobState.CANCELLED, JobState.FAILED)
        elif job_id in self.deadly:
            assert state is JobState.FAILED
        elif job_id in self.cancelled:
            assert state in (JobState.CANCELLED, JobState.COMPLETED)
        else:
            # Failing workers may use up all attempts of a task.
            assert state in (JobState.COMPLETED, JobState.FAILED)
        return True


def _can_answer(host: Host) -> bool:
    """Returns whether a host has a configuration and isn't frozen."""
    is_ready = host.manager is not None and host.manager.is_ready()
    return is_ready and not host.timers.is_frozen


HANDLERS_BY_KIND: dict[str, Callable[[Scenario, int], Awaitable[None]]] = {
    "submit": Scenario.submit,
    "submit_deadly": Scenario.submit_deadly,
    "cancel": Scenario.cancel,
    "kill_host": Scenario.kill_host,
    "start_host": Scenario.start_host,
    "freeze_host": Scenario.freeze_host,
    "thaw_host": Scenario.thaw_host,
    "cut_store": Scenario.cut_store,
    "stop_store": Scenario.stop_store,
    "lose_answers": Scenario.lose_answers,
    "heal_store": Scenario.heal_store,
    "forget_history": Scenario.drop_history,
    "restart_worker": Scenario.restart_worker,
    "resize_worker": Scenario.resize_worker,
    "silence_worker": Scenario.silence_worker,
    "fail_worker": Scenario.fail_worker,
    "slow_worker": Scenario.slow_worker,
    "delay_starts": Scenario.delay_starts,
    "heal_workers": Scenario.heal_workers,
}

PAUSES_S = (0.02, 0.3, 1.2, 3.0)
MIN_EVENTS = 4
MAX_EVENTS = 14


def random_events(rng: random.Random) -> list[Event]:
    """Draws the events of a scenario."""
    kinds = ["submit", *HANDLERS_BY_KIND]
    return [
        Event(rng.choice(kinds), rng.randrange(12), rng.choice(PAUSES_S))
        for _ in range(rng.randint(MIN_EVENTS, MAX_EVENTS))
    ]


async def _run(events: list[Event], millicores: Sequence[int]) -> None:
    async with running_fleet(
        workers=WORKERS, duration_of=lambda task: 0.6, millicores=millicores
    ) as fleet:
        scenario = Scenario(fleet)
        await scenario.submit(0)
        for event in events:
            await scenario.apply(event)
        await scenario.finish()


def run_scenario(
    events: list[Event], millicores: Sequence[int] = (0,) * HOSTS
) -> None:
    """Applies events and checks the guarantees to callers.

    Args:
        events: The events.
        millicores: Capacity of each entry host.
    """
    asyncio.run(_run(events, millicores))
