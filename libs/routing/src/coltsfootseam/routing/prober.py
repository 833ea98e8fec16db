"""Health checks of endpoints by attempts and probes."""

import asyncio
from collections.abc import Callable

from coltsfootseam.peers import PeerClients
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.routing.endpoints import (
    Endpoint,
    EndpointTable,
    QuarantineCause,
)
from coltsfootseam.routing.relay import AttemptResult, Readiness, Relay
from coltsfootseam.state import FleetState


class Prober:
    """Quarantines endpoints by attempts and probes and informs the peers."""

    __slots__ = (
        "_endpoints",
        "_own_id",
        "_peers",
        "_relay",
        "_state",
        "_tasks",
    )

    def __init__(
        self,
        own_id: str,
        endpoints: EndpointTable,
        relay: Relay,
        peers: PeerClients,
        state: Callable[[], FleetState],
    ) -> None:
        self._own_id = own_id
        self._endpoints = endpoints
        self._relay = relay
        self._peers = peers
        self._state = state
        self._tasks: BackgroundTasks[None] = BackgroundTasks()

    def handle_attempt(
        self, endpoint: Endpoint, attempt: AttemptResult
    ) -> None:
        """Quarantines the endpoint if the attempt suggests it.

        An endpoint that closes its connection may be leaving, or may close it
        after each response; a probe decides which.
        """
        if attempt.endpoint_failing:
            self._endpoints.quarantine(
                endpoint, QuarantineCause.FAILING, attempt.reason
            )
        elif attempt.closes_connection and not endpoint.closes_while_ready:
            self._endpoints.quarantine(
                endpoint, QuarantineCause.LEAVING, "closes its connection"
            )
            self._tasks.start(self._confirm_leaving(endpoint))

    def handle_not_ready(
        self, endpoint: Endpoint, readiness: Readiness
    ) -> None:
        """Quarantines an endpoint that a probe found not to be ready.

        An endpoint counts as leaving only if it answered that it is not ready.
        An unresponsive one counts as failing: it may only be slow, and a whole
        pool may be slow at once.
        """
        if readiness is Readiness.SILENT:
            self._endpoints.quarantine(
                endpoint, QuarantineCause.FAILING, "does not answer"
            )
            return
        self._endpoints.quarantine(
            endpoint, QuarantineCause.LEAVING, "is not ready"
        )
        self._tasks.start(self._report_leaving(endpoint))

    async def tick(self) -> None:
        """Probes all quarantined endpoints."""
        await asyncio.gather(
            *(
                self._probe(each)
                for each in self._endpoints.quarantined_endpoints()
            )
        )

    async def _probe(self, endpoint: Endpoint) -> None:
        if await self._relay.probe(endpoint.address) is Readiness.READY:
            self._endpoints.release_from_quarantine(endpoint)

    async def _confirm_leaving(self, endpoint: Endpoint) -> None:
        if await self._relay.probe(endpoint.address) is Readiness.READY:
            endpoint.closes_while_ready = True
            self._endpoints.release_from_quarantine(endpoint)
            return
        await self._report_leaving(endpoint)

    async def _report_leaving(self, endpoint: Endpoint) -> None:
        await asyncio.gather(
            *(
                self._peers.report_endpoint(
                    member.peers,
                    endpoint.host_id,
                    endpoint.host_version,
                    f"seen leaving by {self._own_id}",
                )
                for member in list(self._state().members_by_id.values())
                if member.member_id != self._own_id
            )
        )
