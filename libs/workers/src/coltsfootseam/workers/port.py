"""The narrow interface through which workers are called."""

from typing import Protocol

from coltsfootseam.workers.messages import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderAnswer,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)


class WorkerCalls(Protocol):
    """Calls to one worker at a time; each has a time limit."""

    async def heartbeat(
        self, worker: WorkerEntry, order: HeartbeatRequest
    ) -> HeartbeatReply | OrderAnswer:
        """Extends a lease; anything but a report says what went wrong."""

    async def start(
        self, worker: WorkerEntry, order: StartOrder
    ) -> OrderAnswer:
        """Orders a run. Repeating the order changes nothing."""

    async def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderAnswer:
        """Ends a run. A start of it that arrives later is refused."""

    async def pace(self, worker: WorkerEntry, order: PaceOrder) -> OrderAnswer:
        """Sets the share of its speed at which a run works."""

    def forget(self, worker: WorkerEntry) -> None:
        """Closes the connections to a worker that is gone."""
