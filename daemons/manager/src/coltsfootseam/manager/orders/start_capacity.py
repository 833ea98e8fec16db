"""Whether a start still fits its worker when it is sent.

A start is decided some time before it is sent: its record is stored first, and
it may wait for a slow link. The worker may report less capacity meanwhile.
"""

from coltsfootseam.jobs import Run, RunIndex, Task, occupied_by
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import fits_beside
from coltsfootseam.workers import WorkerEntry, WorkerLink

_MAX_ENTRIES_AGE_S = 2.0


class StartCapacity:
    """Checks starts against the latest reports of the workers."""

    __slots__ = ("_state",)

    def __init__(self, state: PoolState) -> None:
        self._state = state

    def is_known(self) -> bool:
        """Returns whether workers can't have shrunk unnoticed for long.

        Their reports can't be read during an outage of the store. Workers that
        guard their capacity refuse what doesn't fit.
        """
        cluster = self._state.cluster
        if cluster.do_workers_guard(self._state.pool):
            return True
        return cluster.worker_entries_age_s() < _MAX_ENTRIES_AGE_S

    def has_room(
        self, link: WorkerLink, task: Task, run: Run, unsent: RunIndex
    ) -> bool:
        """Returns whether a start fits beside what was sent to its worker.

        Args:
            link: The link to the worker.
            task: The task to start.
            run: Its run.
            unsent: Starts that are not sent yet. They don't count, as each of
                them is checked too.
        """
        occupied = self._state.job_table.runs.occupied_on(run.worker_id)
        for other, other_run in unsent.runs_of(run.worker_id):
            # A run that has ended meanwhile occupies nothing.
            if other_run in other.runs and other_run is not run:
                occupied = occupied.minus(occupied_by(other.step))
        if run in task.runs:
            occupied = occupied.minus(occupied_by(task.step))
        for other, _ in self._state.lives.pending_runs(link.entry.instance_id):
            occupied = occupied.plus(occupied_by(other.step))
        return fits_beside(task, occupied, self._latest_entry(link))

    def _latest_entry(self, link: WorkerLink) -> WorkerEntry:
        """Returns what a worker reported last.

        The link has what was read before the planning round, whose commit may
        have waited for the store.
        """
        latest = self._state.cluster.workers_by_instance.get(
            link.entry.instance_id
        )
        if latest is None or latest.worker_id != link.worker_id:
            return link.entry
        return latest
