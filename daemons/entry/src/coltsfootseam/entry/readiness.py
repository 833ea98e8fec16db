"""Decides whether an entry host may run requests."""

from coltsfootseam.replication import Connectivity, LeaseManager, Replica
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.settings import EntrySettings

_MS_PER_S = 1000


class Readiness:
    """Decides readiness for the balancer and for each request.

    Attributes:
        stopping: Whether a planned stop has started. The balancer sees the
            host as not ready, but requests still run.
        stopped: Whether all requests have been answered and the balancer sends
            no more.
    """

    __slots__ = (
        "_connectivity",
        "_isolation_limit_s",
        "_lease",
        "_own_id",
        "_replica",
        "stopped",
        "stopping",
    )

    def __init__(
        self,
        settings: EntrySettings,
        replica: Replica,
        connectivity: Connectivity,
        lease: LeaseManager,
    ) -> None:
        times = settings.timers
        self._own_id = settings.entry_id
        self._isolation_limit_s = (
            times.lease_ms - times.drift_margin_ms
        ) / _MS_PER_S
        self._replica = replica
        self._connectivity = connectivity
        self._lease = lease
        self.stopping = False
        self.stopped = False

    def find_reason_not_to_run(self) -> Refusal | None:
        """Returns why requests may not run here, ``None`` if they may."""
        if self.stopped:
            return Refusal(
                ResultCode.NOT_RUN_STOPPING, "the entry host has stopped"
            )
        if not self._lease.is_member():
            return _not_ready("the entry host is not a member yet")
        if self.is_isolated():
            return _not_ready(
                "neither the log nor most entry hosts can be reached"
            )
        return None

    def find_reason_not_to_send(self) -> Refusal | None:
        """Returns why nothing may be sent to endpoints, ``None`` if it may.

        While a process was paused, its slots may have been granted to other
        entry hosts.
        """
        if self.is_isolated():
            return _not_ready("the entry host was cut off or paused")
        return None

    def find_reason_not_ready(self) -> Refusal | None:
        """Returns why the balancer should avoid this host, ``None`` if not."""
        if self.stopping:
            return Refusal(
                ResultCode.NOT_RUN_STOPPING, "the entry host is stopping"
            )
        return self.find_reason_not_to_run()

    def is_isolated(self) -> bool:
        """Returns whether others may have decided without this entry host."""
        return self._connectivity.is_isolated(
            self._replica.state, self._own_id, self._isolation_limit_s
        )


def _not_ready(reason: str) -> Refusal:
    return Refusal(ResultCode.NOT_RUN_NOT_READY, reason)
