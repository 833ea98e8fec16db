"""Decides which team a call belongs to, by the key that it carries."""

from collections.abc import Sequence

from coltsfootseam.jobs import Queue
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.stored_states import KnownJob
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.teams import (
    KeyFault,
    digest_key,
    read_key,
    shorten_digest,
)

ANONYMOUS = ""
"""Team of a caller on a queue that is open to all."""


class Callers:
    """Finds the teams of calls, and logs and counts the refused ones."""

    __slots__ = ("_cluster", "_context")

    def __init__(self, context: Context, cluster: ClusterState) -> None:
        self._context = context
        self._cluster = cluster

    @property
    def are_teams_configured(self) -> bool:
        """Whether the configuration has teams or queues that need keys."""
        return self._cluster.key_ring is not None

    def authenticate(
        self, queue: Queue, job_id: str, headers: Sequence[str]
    ) -> str | Refusal | None:
        """Returns the team of a call.

        Args:
            queue: The called queue.
            job_id: Id of the job that the call is about, or empty.
            headers: The values of the call's Authorization headers.

        Returns:
            The team, ``ANONYMOUS`` if the queue is open to all, ``None`` if the
            configuration has no teams, or ``NOT_RUN_UNKNOWN_KEY``.
        """
        key_ring = self._cluster.key_ring
        if key_ring is None:
            return None
        if queue.is_open:
            return ANONYMOUS
        key = read_key(headers)
        if isinstance(key, KeyFault):
            return self._refuse_key(queue, job_id, "", key)
        digest = digest_key(key)
        team = key_ring.find_digest(digest)
        if team is None:
            return self._refuse_key(queue, job_id, digest, KeyFault.UNKNOWN)
        return team

    def check_access(
        self, job_id: str, job: KnownJob, team: str | None
    ) -> Refusal | None:
        """Returns why a team may not use a job, ``None`` if it may.

        Args:
            job_id: The caller's id of the job.
            job: The job.
            team: The caller's team, ``None`` if no team is checked.
        """
        if team is None or job.team in (ANONYMOUS, team):
            return None
        return self.refuse_other_team(job_id, team)

    def refuse_other_team(self, job_id: str, team: str | None) -> Refusal:
        """Refuses a call about another team's job."""
        refusal = Refusal(
            ResultCode.JOB_OF_OTHER_TEAM, f"job {job_id} is another team's"
        )
        self._record("other_team", refusal, job=job_id, team=team)
        return refusal

    def _refuse_key(
        self, queue: Queue, job_id: str, digest: str, fault: KeyFault
    ) -> Refusal:
        refusal = Refusal(ResultCode.NOT_RUN_UNKNOWN_KEY, fault.value)
        self._record(
            f"key_{fault.name.lower()}",
            refusal,
            job=job_id,
            queue=queue.name,
            key_digest=shorten_digest(digest),
        )
        return refusal

    def _record(self, cause: str, refusal: Refusal, **fields: object) -> None:
        configuration = self._cluster.configuration
        assert configuration is not None
        self._context.log.write(
            "call.refused",
            **fields,
            version=configuration.version,
            version_age_s=round(self._cluster.configuration_age_s(), 1),
            read_age_s=round(self._cluster.operator_records_age_s(), 1),
            outcome=refusal.code.name,
            why=refusal.reason,
        )
        self._context.counters.increment(f"call_refused.{cause}")
