"""The jobs of the pools that this host owns."""

from coltsfootseam.calls import ForwardAppendRequest
from coltsfootseam.jobs import parse_pool_key
from coltsfootseam.manager.membership.duty_manager import DutyManager


class OwnedJobs:
    """Checks requests against the jobs of the pools that this host owns.

    A request under the id of another team's job would replace that job's
    request in the inbox, and a later owner of the pool would run it instead.
    """

    __slots__ = ("_duties",)

    def __init__(self, duties: DutyManager) -> None:
        self._duties = duties

    def owns(self, pool: str) -> bool:
        """Returns whether this host owns a pool."""
        return pool in self._duties.owners_by_pool

    def is_of_other_team(self, request: ForwardAppendRequest) -> bool:
        """Returns whether a request has the id of another team's job."""
        if request.team is None:
            return False
        owner = self._duties.owners_by_pool.get(request.pool)
        key = parse_pool_key(request.pool, request.key)
        if owner is None or owner.state is None or key is None:
            return False
        job = owner.state.job_table.jobs_by_id.get(key.job_id)
        return job is not None and job.request.team not in ("", request.team)
