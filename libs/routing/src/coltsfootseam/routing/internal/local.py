"""Dispatch strategies in which each entry host decides alone."""

import abc
import asyncio

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing.dispatch import (
    DispatchContext,
    Dispatcher,
    Grant,
    SlotUse,
    deadline_refusal,
    dispatcher,
)
from coltsfootseam.routing.endpoints import Endpoint
from coltsfootseam.routing.internal.queue import Waiter, WaitQueue
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.state import rank_members

_SAMPLED_ENDPOINTS = 2


class LocalDispatcher(Dispatcher, abc.ABC):
    """Queues requests on this entry host and picks an endpoint for each.

    By default it takes the less loaded of two random free endpoints.
    """

    __slots__ = ("_context", "_queues_by_service")

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._queues_by_service: dict[str, WaitQueue] = {}

    @abc.abstractmethod
    def limit_for(self, endpoint: Endpoint) -> int:
        """Returns how many requests this host may run on an endpoint."""

    async def acquire(self, request: RequestHead) -> Grant | Refusal:
        """Waits for a slot until the request's deadline."""
        refusal = self._refuse_immediately(request)
        if refusal is not None:
            return refusal
        queue = self._queues_by_service.setdefault(request.service, WaitQueue())
        future: asyncio.Future[Grant | Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = Waiter(request, future)
        queue.add(waiter)
        self._grant_free_slots(request.service)
        expiry = self._context.timers.call_after(
            request.deadline_s - self._context.timers.now_s(),
            lambda: self._expire(waiter),
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._release_if_granted(future)
            raise
        finally:
            expiry.cancel()
            queue.remove(waiter)

    def release(self, grant: Grant, use: SlotUse) -> None:
        """Returns a slot and grants it to the next request."""
        del use
        grant.endpoint.in_use -= 1
        assert grant.endpoint.in_use >= 0, grant
        self._grant_free_slots(grant.request.service)

    def refresh(self) -> None:
        """Grants free slots to the requests of every queue."""
        for service in self._queues_by_service:
            self._grant_free_slots(service)

    def _refuse_immediately(self, request: RequestHead) -> Refusal | None:
        if self._context.endpoints.endpoints_of(request.service) is None:
            return Refusal(
                ResultCode.NOT_RUN_UNKNOWN_SERVICE,
                f"no contract names service {request.service!r}",
            )
        queue = self._queues_by_service.get(request.service)
        if queue is not None and len(queue) >= self._context.queue_limit:
            return Refusal(
                ResultCode.NOT_RUN_OVERLOADED,
                f"{len(queue)} requests wait for {request.service!r}",
            )
        return None

    def _grant_free_slots(self, service: str) -> None:
        queue = self._queues_by_service.get(service)
        while queue is not None and len(queue):
            endpoint = self._pick_endpoint(service)
            if endpoint is None:
                return
            waiter = queue.pop()
            if waiter is None:
                return
            endpoint.in_use += 1
            waiter.future.set_result(_make_grant(waiter.request, endpoint))

    def _pick_endpoint(self, service: str) -> Endpoint | None:
        endpoints = self._context.endpoints.endpoints_of(service) or []
        free = [
            each for each in endpoints if each.in_use < self.limit_for(each)
        ]
        if not free:
            return None
        return self._choose(free)

    def _choose(self, free: list[Endpoint]) -> Endpoint:
        choices = self._context.rng.sample(
            free, min(_SAMPLED_ENDPOINTS, len(free))
        )
        return min(choices, key=lambda each: each.in_use / each.slots)

    def _expire(self, waiter: Waiter) -> None:
        if not waiter.future.done():
            refusal = deadline_refusal(waiter.request, self._context.endpoints)
            waiter.future.set_result(refusal)

    def _release_if_granted(
        self, future: "asyncio.Future[Grant | Refusal]"
    ) -> None:
        if future.done() and not future.cancelled():
            result = future.result()
            if isinstance(result, Grant):
                self.release(result, SlotUse())


@dispatcher("alone")
class AloneDispatcher(LocalDispatcher):
    """Uses all slots as if this were the only entry host."""

    __slots__ = ()

    def limit_for(self, endpoint: Endpoint) -> int:
        """Returns every slot of the endpoint."""
        return endpoint.slots


@dispatcher("round-robin")
class RoundRobinDispatcher(LocalDispatcher):
    """Sends requests to the endpoints in turn, in order of arrival.

    This is the baseline of the benchmarks. It ignores slots and limits only
    connections, so requests wait at the endpoints.
    """

    __slots__ = ("_turn",)

    def __init__(self, context: DispatchContext) -> None:
        super().__init__(context)
        self._turn = 0

    def limit_for(self, endpoint: Endpoint) -> int:
        """Returns an even share of the endpoint's connections."""
        members = max(1, len(self._context.state().members_by_id))
        return max(1, endpoint.connections // members)

    def _choose(self, free: list[Endpoint]) -> Endpoint:
        self._turn += 1
        return free[self._turn % len(free)]


@dispatcher("shares")
class SharesDispatcher(LocalDispatcher):
    """Divides the slots of each endpoint among the members."""

    __slots__ = ()

    def limit_for(self, endpoint: Endpoint) -> int:
        """Returns this host's share of the slots.

        The remainder goes to the members that rank first for the endpoint's
        host, so that it is spread over all members.
        """
        members = self._context.state().members_by_id
        own_id = self._context.own_id
        if own_id not in members:
            return 0
        share, remainder = divmod(endpoint.slots, len(members))
        if not remainder:
            return share
        rank = rank_members(members, endpoint.host_id).index(own_id)
        return share + 1 if rank < remainder else share


def _make_grant(request: RequestHead, endpoint: Endpoint) -> Grant:
    return Grant(
        request=request,
        endpoint=endpoint,
        address=endpoint.address,
        pool=endpoint.pool,
        host_version=endpoint.host_version,
    )
