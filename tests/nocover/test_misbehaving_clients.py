"""Crowds of clients that misbehave against real processes.

A process must stay within its memory and descriptors, and ordinary callers must
get answers, on connections that they keep open and on new ones.
"""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec
import pytest

from coltsfootseam.testbed import Cluster, launching, wait_until
from tests.common.clusters import (
    SHORT_TIMERS,
    make_plan,
    publish_small_contract,
)
from tests.common.crowds import HOST, crowding
from tests.common.manager_deployment import JOB, running
from tests.common.manager_processes import ManagerProcess
from tests.common.process_samples import sampling

MEMORY_MB = 128
MAX_DESCRIPTORS = 400
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
ANSWER_LIMIT_S = 10.0
"""Longest silence towards an ordinary caller: a process that hangs."""

KEPT_CONNECTIONS = 3
BYTES_PER_MB = 1_000_000
STATUS_PAGE = "/status"

KINDS = (
    "bodies that stop short",
    "bodies in small pieces",
    "one large chunk",
    "many chunks",
    "tiny chunks",
    "endless chunk extensions",
    "endless trailers",
    "heads too long",
    "endless heads",
    "endless request lines",
    "empty lines",
    "bytes behind an upgrade",
    "bytes behind a CONNECT",
    "compressed bodies",
    "requests behind unread answers",
    "short requests behind each other",
    "jobs of many steps",
)
CROWD = 200
FULL_CROWD = 600
PORT_CROWD = 200


class OrdinaryCaller:
    """A caller that keeps its connection open and repeats broken requests."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url
        self._session = session

    async def call(self) -> int:
        """Returns the status of an answer; fails if there is none in time."""
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while True:
                try:
                    async with self._session.get(
                        self._url, headers={"Host": HOST}
                    ) as response:
                        await response.read()
                        return response.status
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def ordinary_callers(
    url: str, count: int
) -> AsyncIterator[list[OrdinaryCaller]]:
    """Yields callers with a connection of their own each."""
    async with contextlib.AsyncExitStack() as stack:
        yield [
            OrdinaryCaller(
                url,
                await stack.enter_async_context(
                    aiohttp.ClientSession(
                        connector=aiohttp.TCPConnector(
                            limit=1, keepalive_timeout=600
                        )
                    )
                ),
            )
            for _ in range(count)
        ]


class Target(msgspec.Struct):
    """A process that a crowd comes to.

    Attributes:
        pid: Its id.
        is_running: Returns whether it is still running.
        ports: The addresses that it listens on.
        address: The address that the crowd comes to.
        path: What ordinary callers ask for there.
    """

    pid: int
    is_running: Callable[[], bool]
    ports: list[str]
    address: str
    path: str


def target_of(manager: ManagerProcess, address: str, path: str) -> Target:
    """Returns a manager as the target of a crowd."""
    assert manager.process is not None
    return Target(
        manager.process.pid,
        manager.is_running,
        [manager.front, manager.readiness, manager.metrics],
        address,
        path,
    )


async def check_crowd(target: Target, kind: str, size: int) -> None:
    """Lets a crowd come, and checks the process and the ordinary callers."""
    url = f"http://{target.address}{target.path}"
    async with (
        ordinary_callers(url, KEPT_CONNECTIONS) as kept,
        sampling(target.pid, target.ports) as samples,
    ):
        for caller in kept:
            assert await caller.call() == 200
        async with crowding(target.address, kind, size) as crowd:
            await crowd.settle()
            for caller in kept:
                assert await caller.call() == 200
            async with ordinary_callers(url, 1) as (newcomer,):
                assert await newcomer.call() == 200
        async with ordinary_callers(url, 1) as (newcomer,):
            assert await newcomer.call() == 200
    assert target.is_running()
    assert samples.memory_bytes < MEMORY_MB * BYTES_PER_MB, samples.memory_bytes
    assert samples.descriptors < MAX_DESCRIPTORS


async def check_front(folder: pathlib.Path, kind: str, size: int) -> None:
    """Lets a crowd come to the port for callers of a lone manager."""
    async with running(folder, managers=1, limits=LIMITS) as deployment:
        (manager,) = deployment.managers
        await deployment.submit(manager, JOB)
        await deployment.wait_for(manager, JOB)
        target = target_of(manager, manager.front, f"/q/{JOB}")
        await check_crowd(target, kind, size)
        # The manager still accepts and runs jobs.
        await deployment.submit(manager, "a" * 16)
        await deployment.wait_for(manager, "a" * 16)


# Guards against processes that run out of memory, or answer nobody, since they
# keep whatever clients send or work on it without a limit.
@pytest.mark.parametrize("kind", KINDS)
async def test_a_crowd_stops_no_ordinary_caller(
    tmp_path: pathlib.Path, kind: str
) -> None:
    await check_front(tmp_path, kind, CROWD)


# Guards against connections that take all descriptors, so that neither callers
# nor the store and the workers get one.
@pytest.mark.parametrize("kind", ["idle connections", "slow heads"])
async def test_connections_that_send_nothing_leave_descriptors(
    tmp_path: pathlib.Path, kind: str
) -> None:
    await check_front(tmp_path, kind, FULL_CROWD)


PORTS: dict[str, Callable[[ManagerProcess], tuple[str, str]]] = {
    "readiness": lambda manager: (manager.readiness, "/api/readyz"),
    "metrics": lambda manager: (manager.metrics, STATUS_PAGE),
}


# Guards against the same on the ports for the balancer and for monitoring.
@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize(
    "kind",
    [
        "bodies that stop short",
        "tiny chunks",
        "heads too long",
        "bytes behind an upgrade",
        "requests behind unread answers",
        "idle connections",
    ],
)
async def test_a_crowd_at_another_port_stops_nobody(
    tmp_path: pathlib.Path, port: str, kind: str
) -> None:
    size = FULL_CROWD if kind == "idle connections" else PORT_CROWD
    async with running(tmp_path, managers=1, limits=LIMITS) as deployment:
        (manager,) = deployment.managers
        await deployment.submit(manager, JOB)
        await deployment.wait_for(manager, JOB)
        address, path = PORTS[port](manager)
        await check_crowd(target_of(manager, address, path), kind, size)
        await deployment.submit(manager, "a" * 16)


ENTRY_PORTS = {"callers": "/alpha/item", "admin": "/readyz"}


# Guards against the same in the entry daemon, which passes bodies on.
@pytest.mark.parametrize("port", ENTRY_PORTS)
@pytest.mark.parametrize(
    "kind",
    [
        "bodies that stop short",
        "many chunks",
        "tiny chunks",
        "heads too long",
        "endless heads",
        "bytes behind an upgrade",
        "bytes behind a CONNECT",
        "compressed bodies",
        "idle connections",
    ],
)
async def test_a_crowd_at_an_entry_host_stops_nobody(
    port: str, kind: str
) -> None:
    size = FULL_CROWD if kind == "idle connections" else CROWD
    settings = {
        **SHORT_TIMERS,
        "limits": {"memory_mb": MEMORY_MB, "descriptors": MAX_DESCRIPTORS},
    }
    plan = make_plan("crowd", entry_hosts=1, endpoints=4, settings=settings)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        process = cluster.entries_by_id["entry-0"]
        callers = cluster.callers_address("entry-0")
        admin = cluster.admin_address("entry-0")
        target = Target(
            process.pid,
            process.is_running,
            [callers, admin],
            callers if port == "callers" else admin,
            ENTRY_PORTS[port],
        )
        await check_crowd(target, kind, size)


async def upload_part(
    address: str, size: int, sent: int
) -> asyncio.StreamWriter:
    """Sends the first bytes of a body to an endpoint's service."""
    host, _, port = address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /alpha/item HTTP/1.1\r\nHost: h\r\nContent-Length: {size}"
    writer.write(f"{head}\r\n\r\n".encode() + b" " * sent)
    await writer.drain()
    return writer


async def in_progress(cluster: Cluster) -> int:
    """Returns how many requests an entry host has in progress."""
    return (await cluster.status("entry-0")).in_progress


# Guards against endpoints that are set aside for what a caller did.
async def test_callers_that_break_off_cost_no_endpoint() -> None:
    plan = make_plan("broken-off", entry_hosts=1, endpoints=4)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        address = cluster.callers_address("entry-0")
        for _ in range(3 * plan.endpoints):
            writer = await upload_part(address, 1_000_000, 200_000)

            async def has_begun() -> bool:
                return await in_progress(cluster) == 1

            async def has_ended() -> bool:
                return await in_progress(cluster) == 0

            await wait_until(has_begun, "the upload is in progress")
            writer.transport.abort()
            await wait_until(has_ended, "the upload has ended")
        status = await cluster.status("entry-0")
        assert "events.endpoint.set_aside" not in status.totals_by_counter
        async with ordinary_callers(f"http://{address}/alpha/item", 1) as (
            caller,
        ):
            assert await caller.call() == 200


# Guards against uploads that stop short and hold all slots of a service until
# their deadlines, while ordinary callers are refused.
async def test_uploads_that_stop_short_leave_slots_to_others() -> None:
    plan = make_plan("stalled", entry_hosts=1, endpoints=4)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        address = cluster.callers_address("entry-0")
        slots = plan.slots * plan.endpoints
        writers = [
            await upload_part(address, 1_000_000, 200_000) for _ in range(slots)
        ]

        async def are_in_progress() -> bool:
            return await in_progress(cluster) == slots

        await wait_until(are_in_progress, "the uploads are in progress")
        async with ordinary_callers(f"http://{address}/alpha/item", 1) as (
            caller,
        ):
            assert await caller.call() == 200
        for writer in writers:
            writer.transport.abort()
