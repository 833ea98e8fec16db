"""HTTP workers that lose power and start again at their address."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest

from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.standins.serving import serving
from coltsfootseam.timers import LoopTimers
from tests.common.platform_servers import WorkerServer, worker_entry
from tests.common.ports import reserved_ports

TASK = "a" * 16 + ".0.0.0"
TASK_S = 60.0
AGED_S = 0.3
SHUTDOWN_S = 0.1
HEARTBEAT = {"fencing_token": 1, "last_seen": 0, "wait_ms": 5000}
START = {
    "task": TASK,
    "run": 1,
    "spec": "x",
    "fencing_token": 1,
    "deadline_ms": 60_000,
}


class Served(msgspec.Struct):
    """A worker that is served, and a caller of it."""

    server: WorkerServer
    workers: MemoryWorkers
    session: aiohttp.ClientSession
    address: str

    async def post(self, path: str, body: object) -> dict[str, object]:
        """Returns the reply to a call."""
        url = f"http://{self.address}{path}"
        async with self.session.post(url, json=body) as response:
            reply: dict[str, object] = await response.json()
            return reply

    def restart(self) -> None:
        """Has the worker lose power and start again."""
        self.server.lose_power()
        entry = worker_entry("i-1", self.address, "a")
        self.server.restore_power(
            msgspec.structs.replace(entry, started_ms=8, worker_id="i-1@8")
        )


@pytest.fixture
async def served() -> AsyncIterator[Served]:
    workers = MemoryWorkers(LoopTimers(), lambda task: TASK_S)
    with reserved_ports(1) as [port]:
        address = f"127.0.0.1:{port}"
        server = WorkerServer(workers, worker_entry("i-1", address, "a"))
        async with (
            serving(server.application(), address, SHUTDOWN_S),
            aiohttp.ClientSession() as session,
        ):
            yield Served(server, workers, session, address)


# A caller that were told of the loss of power would know of the next
# incarnation at once, and no start of it would be out of its sight.
async def test_a_call_under_way_as_power_is_lost_is_not_answered(
    served: Served,
) -> None:
    call = asyncio.ensure_future(served.post("/api/hold", HEARTBEAT))
    await asyncio.sleep(AGED_S)
    served.restart()
    await asyncio.sleep(AGED_S)
    assert not call.done()
    call.cancel()


# An incarnation that kept the former clock or runs would hide long leases.
async def test_the_next_incarnation_has_a_new_clock_and_no_runs(
    served: Served,
) -> None:
    await asyncio.sleep(AGED_S)
    await served.post("/api/run-start", START)
    served.restart()
    # The machine doesn't know a connection that is older than its start.
    with pytest.raises(aiohttp.ClientError):
        await served.post("/api/run-start", START)
    reply = await served.post("/api/hold", {**HEARTBEAT, "wait_ms": 0})
    assert reply["born"] == 8
    assert reply["running"] == []
    assert isinstance(reply["clock_ms"], int)
    assert reply["clock_ms"] < AGED_S * 1000


# The next incarnation can't tell that a start was meant for the former one.
async def test_the_next_incarnation_carries_out_a_start_without_a_reply(
    served: Served,
) -> None:
    served.restart()
    worker = served.workers.workers_by_instance["i-1"]
    worker.faults.loses_start_replies = True
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(AGED_S):
            await served.post("/api/run-start", START)
    assert len(worker.runs_by_task) == 1
