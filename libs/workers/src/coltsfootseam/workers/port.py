"""Interface of the calls to workers."""

from typing import Protocol

from coltsfootseam.workers.messages import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)


class WorkerCalls(Protocol):
    """Calls to single workers; each call has a timeout."""

    async def heartbeat(
        self, worker: WorkerEntry, order: HeartbeatRequest
    ) -> HeartbeatReply | OrderReply:
        """Extends a lease and returns what runs, or why the call failed."""

    async def start(self, worker: WorkerEntry, order: StartOrder) -> OrderReply:
        """Orders a run. The order is idempotent."""

    async def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderReply:
        """Stops a run. A start order for it that arrives later is refused."""

    async def pace(self, worker: WorkerEntry, order: PaceOrder) -> OrderReply:
        """Sets the pace of a run, in percent of its full speed."""

    def forget(self, worker: WorkerEntry) -> None:
        """Closes the connections to a worker that is gone."""
