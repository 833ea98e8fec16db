"""Faults of a deployment in zones, each at a host, a zone or the store."""

import asyncio
import contextlib
import functools
import random
import signal
from collections.abc import AsyncIterator, Callable

import msgspec

from coltsfootseam.testbed.links import Cut, both_ways, one_way
from tests.common.zoned_deployment import ZONES, ZonedDeployment, ZonedHost

_STOP_GRACE_S = 6.0


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault at one host or zone.

    Attributes:
        kind: Name of the handler.
        number: Selects the host or zone, and a variant.
        at_s: When it begins, from the start of the faults.
        for_s: How long it lasts at least.
    """

    kind: str
    number: int
    at_s: float
    for_s: float


Fault = Callable[[ZonedDeployment, int], AsyncIterator[None]]
"""Applies a fault until it is resumed."""

CutOf = Callable[[ZonedDeployment, int], Cut]

_handlers_by_kind: dict[
    str,
    Callable[
        [ZonedDeployment, int], contextlib.AbstractAsyncContextManager[None]
    ],
] = {}


def fault(apply: Fault) -> Fault:
    """Registers the decorated fault under its name."""
    _handlers_by_kind[apply.__name__] = contextlib.asynccontextmanager(apply)
    return apply


def cut_fault(cut_of: CutOf) -> CutOf:
    """Registers a fault that is a cut, under the function's name."""

    @functools.wraps(cut_of)
    async def cutting(
        deployment: ZonedDeployment, number: int
    ) -> AsyncIterator[None]:
        with _cutting(deployment, cut_of(deployment, number), number):
            yield

    fault(cutting)
    return cut_of


@cut_fault
def part_zone(deployment: ZonedDeployment, number: int) -> Cut:
    """Parts a zone from the store and the other zones."""
    return _cut_of_zone(deployment, ZONES[number % len(ZONES)])


@cut_fault
def part_zone_one_way(deployment: ZonedDeployment, number: int) -> Cut:
    """Drops what a zone sends to the rest, or what the rest sends to it."""
    zone = ZONES[number % len(ZONES)]
    inside, outside = deployment.nodes(zone), deployment.other_nodes(zone)
    if number % 4 < 2:
        return one_way(outside, inside)
    return one_way(inside, outside)


@cut_fault
def part_zone_from_store(deployment: ZonedDeployment, number: int) -> Cut:
    """Parts a zone from the store alone."""
    zone = ZONES[number % len(ZONES)]
    return both_ways(deployment.nodes(zone), [deployment.store_node])


@cut_fault
def part_host(deployment: ZonedDeployment, number: int) -> Cut:
    """Parts a host from one zone, its own or another."""
    host = _host(deployment, number)
    others = deployment.nodes(ZONES[number // 8 % len(ZONES)]) - {host.node}
    return both_ways([host.node], others)


@cut_fault
def silence_store(deployment: ZonedDeployment, number: int) -> Cut:
    """Parts the store from everything."""
    del number
    nodes = set().union(*(deployment.nodes(zone) for zone in ZONES))
    return both_ways(nodes, [deployment.store_node])


@fault
async def part_owners_zone(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """Parts the zone of a host that takes itself for the pool's owner."""
    owners = [
        host for host in deployment.hosts if await deployment.is_owner(host)
    ]
    zone = owners[number % len(owners)].zone if owners else ZONES[0]
    with _cutting(deployment, _cut_of_zone(deployment, zone), number):
        yield


@fault
async def stop_store(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """The store refuses every call."""
    del number
    deployment.store.is_down = True
    try:
        yield
    finally:
        deployment.store.is_down = False


@fault
async def pause_host(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """Pauses a process."""
    host = _host(deployment, number)
    async with host.lock:
        host.send(signal.SIGSTOP)
        try:
            yield
        finally:
            host.send(signal.SIGCONT)


@fault
async def restart_host(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """Kills a process or requests its stop, and starts it again."""
    host = _host(deployment, number)
    async with host.lock:
        try:
            if number // 8 % 2:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_STOP_GRACE_S):
                        await host.terminate(signal.SIGTERM)
            await host.terminate(signal.SIGKILL)
            yield
        finally:
            await host.terminate(signal.SIGKILL)
            await host.start()


def _cutting(
    deployment: ZonedDeployment, cut: Cut, number: int
) -> contextlib.AbstractContextManager[None]:
    """Applies a cut, half of the numbers with a loss of open connections."""
    return deployment.links.cutting(cut, loses_data=number % 2 == 0)


def _cut_of_zone(deployment: ZonedDeployment, zone: str) -> Cut:
    return both_ways(deployment.nodes(zone), deployment.other_nodes(zone))


def _host(deployment: ZonedDeployment, number: int) -> ZonedHost:
    return deployment.hosts[number % len(deployment.hosts)]


def plan_faults(rng: random.Random, length_s: float) -> list[PlannedFault]:
    """Draws faults, most often that the zone of an owner is parted."""
    kinds = [*_handlers_by_kind, "part_owners_zone", "part_owners_zone"]
    faults: list[PlannedFault] = []
    at_s = 1.0
    while at_s < length_s - 1.0:
        for_s = rng.choice((0.7, 3.0, 6.0, 10.0, 14.0))
        for_s = min(for_s, length_s - at_s)
        faults.append(
            PlannedFault(rng.choice(kinds), rng.randrange(96), at_s, for_s)
        )
        at_s += rng.choice((0.3, 1.5, 4.0, 8.0))
    return faults


def applying(
    planned: PlannedFault, deployment: ZonedDeployment
) -> contextlib.AbstractAsyncContextManager[None]:
    """Applies a fault while the context is open."""
    handler = _handlers_by_kind[planned.kind]
    return handler(deployment, planned.number)
