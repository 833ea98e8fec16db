"""Faults of a deployment in zones, each at a host, a zone or the store."""

import asyncio
import contextlib
import functools
import random
import signal
import time
from collections.abc import AsyncIterator, Callable, Collection, Iterable

import msgspec

from coltsfootseam.testbed.links import Cut, both_ways, one_way
from tests.common.zoned_deployment import ZONES, ZonedDeployment, ZonedHost

_STOP_GRACE_S = 6.0
_OWNER_LIMIT_S = 10.0
_OWNING_S = (0.1, 0.4, 1.0)
"""How long a host owns the pool before it ends as one of a series. Each may
have only begun to list what runs, or have confirmed all of it."""
_POLL_S = 0.02


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


_Handler = Callable[
    [ZonedDeployment, int], contextlib.AbstractAsyncContextManager[None]
]

Fault = Callable[[ZonedDeployment, int], AsyncIterator[None]]
"""Applies a fault until it is resumed."""

CutOf = Callable[[ZonedDeployment, int], Cut]

_handlers_by_kind: dict[str, _Handler] = {}

_series_handlers_by_kind: dict[str, _Handler] = {}
"""Faults that are drawn in series only."""


def fault(apply: Fault) -> Fault:
    """Registers the decorated fault under its name."""
    _handlers_by_kind[apply.__name__] = contextlib.asynccontextmanager(apply)
    return apply


def series_fault(apply: Fault) -> Fault:
    """Registers the decorated fault for series, under its name."""
    handler = contextlib.asynccontextmanager(apply)
    _series_handlers_by_kind[apply.__name__] = handler
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
            await _terminate(host, bool(number // 8 % 2))
            yield
        finally:
            await host.terminate(signal.SIGKILL)
            await host.start()


@series_fault
async def end_owners(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """Ends the pool's owner, then its successor, then often the next one."""
    ended: list[ZonedHost] = []
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(2 + number % 2):
            owner = await find_owner(deployment, ended)
            if owner is not None:
                is_planned = bool(number // 8 % 2)
                await asyncio.sleep(_OWNING_S[number // 16 % len(_OWNING_S)])
                await stack.enter_async_context(ending(owner, is_planned))
                ended.append(owner)
        yield


@series_fault
async def restart_worker(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """A worker loses power and is back, without an entry for a while."""
    nodes = sorted(deployment.workers_by_node)
    async with _restarted(deployment, nodes[number % len(nodes)]):
        yield


@series_fault
async def restart_zone(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """The workers of a zone lose power and are back, without entries."""
    zone = ZONES[number % len(ZONES)]
    async with contextlib.AsyncExitStack() as stack:
        await asyncio.gather(
            *(
                stack.enter_async_context(_restarted(deployment, node))
                for node in deployment.worker_nodes(zone)
            )
        )
        yield


@series_fault
async def cut_off_workers(
    deployment: ZonedDeployment, number: int
) -> AsyncIterator[None]:
    """The workers of a zone are out of reach of all hosts."""
    nodes = deployment.worker_nodes(ZONES[number % len(ZONES)])
    with _cutting(deployment, cut_from_hosts(deployment, nodes), number):
        yield


def cut_from_hosts(deployment: ZonedDeployment, nodes: Iterable[int]) -> Cut:
    """Returns a cut between nodes and all hosts."""
    return both_ways(nodes, {host.node for host in deployment.hosts})


async def find_owner(
    deployment: ZonedDeployment, ended: Collection[ZonedHost] = ()
) -> ZonedHost | None:
    """Waits for a host, not one of some, that says that it owns the pool."""
    until_s = time.monotonic() + _OWNER_LIMIT_S
    while time.monotonic() < until_s:
        for host in deployment.hosts:
            if host not in ended and await deployment.is_owner(host):
                return host
        await asyncio.sleep(_POLL_S)
    return None


@contextlib.asynccontextmanager
async def ending(host: ZonedHost, is_planned: bool) -> AsyncIterator[None]:
    """Has a host end, also after the context opens, and starts it again.

    Args:
        host: The host.
        is_planned: Whether it is asked to stop; otherwise it is killed.
    """
    async with host.lock:
        host.send(signal.SIGTERM if is_planned else signal.SIGKILL)
        try:
            yield
        finally:
            await _terminate(host, is_planned)
            await host.start()


async def _terminate(host: ZonedHost, is_planned: bool) -> None:
    if is_planned:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STOP_GRACE_S):
                await host.terminate(signal.SIGTERM)
    await host.terminate(signal.SIGKILL)


@contextlib.asynccontextmanager
async def _restarted(
    deployment: ZonedDeployment, node: int
) -> AsyncIterator[None]:
    worker = deployment.workers_by_node[node]
    async with worker.lock:
        await worker.restart_unlisted()
        try:
            yield
        finally:
            worker.report_again()


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


def plan_series(rng: random.Random, length_s: float) -> list[PlannedFault]:
    """Draws series of restarted workers, owners that end, and cuts."""
    faults: list[PlannedFault] = []
    at_s = rng.uniform(1.0, length_s / 2)
    while at_s < length_s - 1.0:
        number = rng.randrange(96)
        restart = rng.choice(("restart_worker", "restart_zone", "restart_zone"))
        unlisted_s = rng.choice((0.1, 0.5, 2.0, 6.0))
        ended_s = at_s + rng.uniform(0.1, 1.0)
        cut_s = ended_s + rng.uniform(0.0, 3.0)
        faults += [
            PlannedFault(restart, number, at_s, unlisted_s),
            PlannedFault("end_owners", number, ended_s, rng.uniform(0.5, 6.0)),
            PlannedFault("cut_off_workers", number, cut_s, 11.0),
        ]
        at_s += rng.uniform(12.0, 18.0)
    return faults


def applying(
    planned: PlannedFault, deployment: ZonedDeployment
) -> contextlib.AbstractAsyncContextManager[None]:
    """Applies a fault while the context is open."""
    handlers_by_kind = {**_handlers_by_kind, **_series_handlers_by_kind}
    handler = handlers_by_kind[planned.kind]
    return handler(deployment, planned.number)
