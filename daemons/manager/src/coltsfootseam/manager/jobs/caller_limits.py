"""Limits of callers' requests, from the operator and from the store."""

import math

from coltsfootseam.connections import RequestLimits
from coltsfootseam.jobs import (
    JobRequest,
    find_unstorable,
    job_key,
    max_submitted_bytes,
    max_tasks,
)
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.results import Refusal, ResultCode

_DEFAULT_TIME_LEFT_S = 3.0
_MAX_TIME_LEFT_S = 60.0
"""A request is not held for longer, however long its caller waits."""


class CallerLimits:
    """What callers may send, and for how long a request is held."""

    __slots__ = ("_cluster", "_context")

    def __init__(self, context: Context, cluster: ClusterState) -> None:
        self._context = context
        self._cluster = cluster

    def of_requests(self) -> RequestLimits:
        """Returns what a request may be.

        The store can't hold a job that is longer, whatever is in it.
        """
        most = max_submitted_bytes(self._context.max_record_bytes)
        limits = RequestLimits(max_body_bytes=most)
        configuration = self._cluster.configuration
        if configuration is None:
            return limits
        return RequestLimits(
            configuration.max_head_bytes or limits.max_head_bytes,
            min(most, configuration.max_body_bytes or most),
        )

    def max_steps(self) -> int:
        """Returns how many steps a job may have."""
        return max_tasks(self._context.max_record_bytes)

    def refuse_unstorable(
        self, pool: str, job_id: str, request: JobRequest, record: bytes
    ) -> Refusal | None:
        """Returns the refusal of a job that the store can't hold, if so."""
        reason = find_unstorable(
            request,
            job_key(pool, job_id),
            record,
            self._context.max_record_bytes,
        )
        if reason is None:
            return None
        return Refusal(ResultCode.NOT_RUN_TOO_LARGE, reason)

    def deadline_s(self, time_left_s: float | None) -> float:
        """Returns until when a caller's request is worked on, monotonic.

        Args:
            time_left_s: How long the caller says that it waits, if it does.
        """
        if time_left_s is None or math.isnan(time_left_s):
            time_left_s = _DEFAULT_TIME_LEFT_S
        time_left_s = min(max(time_left_s, 0.0), _MAX_TIME_LEFT_S)
        return self._context.timers.now_s() + time_left_s
