"""Logs which workers do not answer heartbeats."""

from coltsfootseam.manager.context import Context
from coltsfootseam.workers import WorkerLink

_UNREACHABLE_AFTER_S = 1.0
_MS_PER_S = 1000


class ReachabilityLog:
    """Logs when a worker becomes unreachable and when it answers again."""

    __slots__ = ("_context", "_reported_ids", "_unreachable_since_s_by_id")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._unreachable_since_s_by_id: dict[str, float] = {}
        self._reported_ids: set[str] = set()

    def check(self, link: WorkerLink) -> None:
        """Records whether a worker answered its last heartbeat."""
        now_s = self._context.timers.now_s()
        worker_id = link.worker_id
        if link.is_reachable:
            since_s = self._unreachable_since_s_by_id.get(worker_id, now_s)
            if worker_id in self._reported_ids:
                self._context.log.write(
                    "worker.reachable",
                    worker=worker_id,
                    after_ms=round((now_s - since_s) * _MS_PER_S),
                )
            self.forget(worker_id)
            return
        since_s = self._unreachable_since_s_by_id.setdefault(worker_id, now_s)
        if now_s - since_s >= _UNREACHABLE_AFTER_S:
            self._report_unreachable(link)

    def forget(self, worker_id: str) -> None:
        """Drops the record of a worker."""
        self._unreachable_since_s_by_id.pop(worker_id, None)
        self._reported_ids.discard(worker_id)

    def _report_unreachable(self, link: WorkerLink) -> None:
        if link.worker_id in self._reported_ids:
            return
        self._reported_ids.add(link.worker_id)
        self._context.log.write(
            "worker.unreachable",
            worker=link.worker_id,
            outcome=link.heartbeat_outcome.name,
        )
        self._context.counters.increment("worker.unreachable")
