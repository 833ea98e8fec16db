"""What the holders of the machines have asked a pool's owner to evacuate.

While a worker is to be evacuated, its pool places no tasks on it, and the
holder of the machines may order its machine as soon as it is empty. An answer
allows orders for a limited time (``Times.order_validity_s``). A request lasts
longer than that, so that each order allowed by an answer is sent before the
pool uses the worker again. That must also hold when the holder or the pool's
owner has been replaced in between.
"""

from coltsfootseam.calls import EvacuationRequest
from coltsfootseam.manager.context import Times

MAX_CONFIRMED_AGE_S = 2.0
"""How long after the store confirmed its epoch a pool's owner still answers
that a worker is empty. Afterwards it may have been replaced."""


class EvacuationRequests:
    """The requests that a pool's owner has to respect.

    Attributes:
        token: Fencing token of the latest holder of the machines, 0 if none
            has sent a request yet.
    """

    __slots__ = (
        "_ids",
        "_inherited_until_s_by_id",
        "_requested_s",
        "_settled_s",
        "_times",
        "token",
    )

    def __init__(self, times: Times, claimed_s: float) -> None:
        """Makes an owner's view, which knows of no request yet.

        Args:
            times: Durations.
            claimed_s: When the pool was claimed, in monotonic seconds. Requests
                that the previous owner has answered are unknown here.
        """
        self._times = times
        self._settled_s = (
            claimed_s + MAX_CONFIRMED_AGE_S + times.order_validity_s
        )
        self._requested_s = float("-inf")
        self._ids: set[str] = set()
        self._inherited_until_s_by_id: dict[str, float] = {}
        self.token = 0

    def apply(self, request: EvacuationRequest, now_s: float) -> bool:
        """Applies a request; returns whether it is of the latest holder.

        A holder's request replaces its earlier one. Those of an earlier holder
        last until its orders can't be under way any more.
        """
        if request.token < self.token:
            return False
        if request.token > self.token:
            self._inherit(now_s)
        self.token = request.token
        self._ids = {*request.worker_ids, *request.machine_ids}
        self._requested_s = now_s
        if request.held_s >= self._times.order_validity_s:
            # The holders before it have no more orders under way. What it is
            # allowed by a previous owner of the pool is in its request, too.
            self._inherited_until_s_by_id.clear()
            self._settled_s = min(self._settled_s, now_s)
        return True

    def ids(self, now_s: float) -> set[str]:
        """Returns the workers to evacuate, and the machines that they are on.

        A worker that has started since on such a machine is to be evacuated as
        well, as the orders are for the machine.
        """
        inherited = {
            item
            for item, until_s in self._inherited_until_s_by_id.items()
            if now_s < until_s
        }
        return self._ids | inherited if self.is_current(now_s) else inherited

    def is_current(self, now_s: float) -> bool:
        """Returns whether the latest holder's request is still in force."""
        return now_s <= self._requested_s + self._times.machine_lease_s

    def is_settled(self, now_s: float) -> bool:
        """Returns whether all orders that may be under way are known.

        Until then a machine that seems to be in use by nobody may be about to
        be taken away.
        """
        return now_s >= self._settled_s

    def _inherit(self, now_s: float) -> None:
        until_s = self._requested_s + self._times.machine_lease_s
        if until_s <= now_s:
            return
        for item in self._ids:
            self._inherited_until_s_by_id[item] = until_s
