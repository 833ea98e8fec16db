"""The endpoints of each service as this entry host sees them."""

import enum

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.state import FleetState, HostClaim


class QuarantineCause(enum.Enum):
    """Why an endpoint is quarantined, that is, gets no new work for now."""

    LEAVING = "leaving"
    FAILING = "failing"


class Endpoint(msgspec.Struct):
    """An endpoint of a pool and how this entry host uses it.

    Attributes:
        host_id: Host that runs the endpoint.
        pool: The pool that the host belongs to.
        host_version: Version of the host's claim.
        address: IP and port.
        slots: Requests that it runs concurrently, for all entry hosts.
        connections: Connections that it accepts, from all entry hosts.
        in_use: Requests of this entry host in progress on it.
        quarantine_cause: Why it is quarantined, ``None`` if it is not.
        closes_while_ready: Whether it closed a connection while it was ready.
        ready_s: When it last answered or was found ready, monotonic seconds.
    """

    host_id: str
    pool: str
    host_version: int
    address: str
    slots: int
    connections: int
    in_use: int = 0
    quarantine_cause: QuarantineCause | None = None
    closes_while_ready: bool = False
    ready_s: float = 0.0


class EndpointTable:
    """Endpoints by service, rebuilt when the replicated state changes."""

    __slots__ = ("_endpoints_by_host_id", "_endpoints_by_service", "_observer")

    def __init__(self, observer: Observer) -> None:
        self._observer = observer
        self._endpoints_by_host_id: dict[str, Endpoint] = {}
        self._endpoints_by_service: dict[str, list[Endpoint]] = {}

    def rebuild(self, state: FleetState) -> None:
        """Applies the current claims and contracts."""
        by_service: dict[str, list[Endpoint]] = {}
        claims_by_pool = state.claims_by_pool()
        for named in state.pools_by_name().values():
            by_service[named.pool.service] = [
                self._refresh(claim)
                for claim in claims_by_pool.get(named.pool.name, [])
                if claim.is_available()
            ]
        self._endpoints_by_service = by_service
        self._remove_unclaimed(state)

    def services(self) -> list[str]:
        """Returns the services that contracts name."""
        return list(self._endpoints_by_service)

    def endpoints_of(self, service: str) -> list[Endpoint] | None:
        """Returns the usable endpoints, ``None`` if the service is unknown.

        Endpoints quarantined as failing are left out unless no others are
        left, so that a whole pool is never quarantined. Leaving endpoints are
        always left out.
        """
        endpoints = self._endpoints_by_service.get(service)
        if endpoints is None:
            return None
        usable = [each for each in endpoints if each.quarantine_cause is None]
        if usable:
            return usable
        return [
            each
            for each in endpoints
            if each.quarantine_cause is QuarantineCause.FAILING
        ]

    def find(self, host_id: str) -> Endpoint | None:
        """Returns the endpoint on a host, if the host is known."""
        return self._endpoints_by_host_id.get(host_id)

    def quarantined_endpoints(self) -> list[Endpoint]:
        """Returns the endpoints that are quarantined now."""
        return [
            endpoint
            for endpoint in self._endpoints_by_host_id.values()
            if endpoint.quarantine_cause is not None
        ]

    def in_progress_on(self, host_id: str) -> int:
        """Returns how many requests of this entry host run on a host."""
        endpoint = self._endpoints_by_host_id.get(host_id)
        return 0 if endpoint is None else endpoint.in_use

    def quarantine(
        self, endpoint: Endpoint, cause: QuarantineCause, detail: str
    ) -> None:
        """Withholds new work from an endpoint until a probe finds it ready."""
        if endpoint.quarantine_cause is cause:
            return
        endpoint.quarantine_cause = cause
        self._observer.record_change(
            "endpoint.set_aside", endpoint.host_id, f"{cause.value}: {detail}"
        )

    def apply_leaving_report(
        self, host_id: str, version: int, cause: str
    ) -> None:
        """Quarantines an endpoint that a peer reports as leaving."""
        endpoint = self._endpoints_by_host_id.get(host_id)
        if endpoint is None or endpoint.host_version != version:
            return
        if endpoint.quarantine_cause is None:
            endpoint.quarantine_cause = QuarantineCause.LEAVING
            self._observer.record_change(
                "endpoint.set_aside", host_id, f"reported by a peer: {cause}"
            )

    def release_from_quarantine(self, endpoint: Endpoint) -> None:
        """Lets a quarantined endpoint get new work again."""
        if endpoint.quarantine_cause is None:
            return
        endpoint.quarantine_cause = None
        self._observer.record_change("endpoint.taken_back", endpoint.host_id)

    def _refresh(self, claim: HostClaim) -> Endpoint:
        endpoint = self._endpoints_by_host_id.get(claim.host_id)
        if endpoint is None:
            endpoint = Endpoint(
                host_id=claim.host_id,
                pool=claim.pool,
                host_version=claim.version,
                address=claim.address,
                slots=claim.slots,
                connections=claim.connections,
            )
            self._endpoints_by_host_id[claim.host_id] = endpoint
            return endpoint
        if endpoint.host_version != claim.version:
            endpoint.quarantine_cause = None
            endpoint.closes_while_ready = False
            endpoint.ready_s = 0.0
        endpoint.pool = claim.pool
        endpoint.host_version = claim.version
        endpoint.address = claim.address
        endpoint.slots = claim.slots
        endpoint.connections = claim.connections
        return endpoint

    def _remove_unclaimed(self, state: FleetState) -> None:
        for host_id in list(self._endpoints_by_host_id):
            endpoint = self._endpoints_by_host_id[host_id]
            if host_id not in state.claims_by_host_id and not endpoint.in_use:
                del self._endpoints_by_host_id[host_id]
