"""Reports of outcomes to the holders of keys, in batches."""

import asyncio

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import KeyCopy, PeerClients
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.timers import TimerService

_BATCH_DELAY_S = 0.05
_RETRY_DELAY_S = 0.2
_MAX_ATTEMPTS = 5


class _Batch(msgspec.Struct, eq=False):
    copies: list[KeyCopy]
    sent: "asyncio.Future[None]"


class OutcomeReporter:
    """Collects outcomes for a short time and sends them in one call.

    A caller that retries in the meantime is informed that its request is in
    progress, which is all that the holders know by then.
    """

    __slots__ = (
        "_batches_by_address",
        "_observer",
        "_peers",
        "_tasks",
        "_timers",
    )

    def __init__(
        self, peers: PeerClients, timers: TimerService, observer: Observer
    ) -> None:
        self._peers = peers
        self._timers = timers
        self._observer = observer
        self._batches_by_address: dict[str, _Batch] = {}
        self._tasks: BackgroundTasks[None] = BackgroundTasks()

    async def report(self, address: str, copy: KeyCopy) -> None:
        """Reports an outcome to a holder.

        Returns once the batch is accepted or its retries are used up.
        """
        batch = self._batches_by_address.get(address)
        if batch is None:
            batch = self._start_batch(address)
        batch.copies.append(copy)
        await asyncio.shield(batch.sent)

    def _start_batch(self, address: str) -> _Batch:
        batch = _Batch([], asyncio.get_running_loop().create_future())
        self._batches_by_address[address] = batch
        self._tasks.start(self._send(address, batch))
        return batch

    async def _send(self, address: str, batch: _Batch) -> None:
        await self._timers.sleep(_BATCH_DELAY_S)
        del self._batches_by_address[address]
        try:
            await self._send_until_accepted(address, batch.copies)
        finally:
            if not batch.sent.done():
                batch.sent.set_result(None)

    async def _send_until_accepted(
        self, address: str, copies: list[KeyCopy]
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            refusal = await self._peers.copy_keys(address, copies)
            if refusal is None:
                return
            await self._timers.sleep(_RETRY_DELAY_S)
        self._observer.count("keys.settle_failures", len(copies))
