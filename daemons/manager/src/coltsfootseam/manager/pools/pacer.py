"""Sets the pace of best-effort tasks, which run on unused capacity."""

from coltsfootseam.jobs import RunPair, RunPhase
from coltsfootseam.manager.orders.orders import Orders
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import plan_pace
from coltsfootseam.timers import Subscription

_ADJUSTMENT_PERIOD_S = 0.6


class Pacer:
    """Plans the pace of best-effort tasks per worker and sends the orders.

    The pace of a run is a percentage of its full speed.
    """

    __slots__ = ("_orders", "_state")

    def __init__(self, state: PoolState, orders: Orders) -> None:
        self._state = state
        self._orders = orders

    def subscribe(self) -> Subscription:
        """Adjusts the pace periodically until the subscription is cancelled."""
        return self._state.context.timers.subscribe(
            _ADJUSTMENT_PERIOD_S, self.adjust_all
        )

    def adjust_all(self) -> None:
        """Adjusts the pace on each worker once."""
        runs = self._state.job_table.runs
        for worker_id in runs.worker_ids():
            running = [
                pair
                for pair in runs.runs_of(worker_id)
                if pair[1].phase is RunPhase.RUNNING
            ]
            self._adjust_worker(running)

    def _adjust_worker(self, pairs: list[RunPair]) -> None:
        best_effort = [pair for pair in pairs if pair[0].step.best_effort]
        if not best_effort:
            return
        # Serving tasks are those with a target for their tail latency.
        serving = [
            pair
            for pair in pairs
            if pair[0].step.target_ms and not pair[0].step.best_effort
        ]
        for change in plan_pace(serving, best_effort):
            self._orders.send_pace(change.task, change.run, change.percent)
