"""A manager freezes with a job in hand, and the queue is sent to other workers."""

import asyncio
import signal

import aiohttp

from deployment import ABSENT_S, HOST, overlaps, run_case

FREEZE_S = 4.0
MOVE_AFTER_S = 1.2
DEADLINE_S = 3.0
JOBS = 4
PAUSE_S = 10.0
STEPS = [{"count": 2, "cpu": 2300, "mem_mb": 3300, "estimate_ms": 500}]


async def play(deployment, trouble):
    deployment.runs_s = lambda task: 0.5
    await deployment.begin(
        managers=3, workers_by_service={"one": 4, "two": 4}, route_service="one"
    )
    for number, manager in enumerate(deployment.managers):
        clients = [Client(deployment) for _ in range(JOBS)]
        other = deployment.managers[(number + 1) % 3]
        # Each client has handed a job in before, over the same connection.
        for position, client in enumerate(clients):
            await client.hand_in(manager, f"a{number:07x}{position:08x}")
        await asyncio.sleep(2.0)
        if trouble:
            manager.process.send_signal(signal.SIGSTOP)
            deployment.record("a manager freezes", manager=manager.name)
        sent = [
            asyncio.ensure_future(
                client.hand_in_until_told(
                    f"b{number:07x}{position:08x}", manager, other
                )
            )
            for position, client in enumerate(clients)
        ]
        await asyncio.sleep(MOVE_AFTER_S)
        service = "two" if number % 2 == 0 else "one"
        await deployment.send_elsewhere(2 * number + 2, service)
        await asyncio.sleep(FREEZE_S - MOVE_AFTER_S - ABSENT_S)
        if trouble:
            manager.process.send_signal(signal.SIGCONT)
            deployment.record("the manager wakes", manager=manager.name)
        await asyncio.gather(*sent)
        await asyncio.sleep(PAUSE_S)
        for client in clients:
            await client.close()
    return violations(deployment.intervals())


class Client:
    """A client, which keeps its connection open."""

    def __init__(self, deployment):
        self._record = deployment.record
        self._session = aiohttp.ClientSession()

    async def close(self):
        """Closes the connection."""
        await self._session.close()

    async def hand_in_until_told(self, job, manager, other):
        """Hands a job in; after no answer, sends the request again elsewhere."""
        for target in (manager, other, other, other, other):
            if await self.hand_in(target, job) == 200:
                return
            await asyncio.sleep(0.2)

    async def hand_in(self, manager, job):
        """Sends a job once and returns the status, 0 for no answer."""
        try:
            async with self._session.post(
                f"http://{manager.front}/q/{job}",
                json={"spec": f"spec of {job}", "steps": STEPS},
                headers={
                    "Host": HOST,
                    "Coltsfootseam-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                },
                timeout=aiohttp.ClientTimeout(total=DEADLINE_S),
            ) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            status = 0
        self._record("client hands a job in", job=job, to=manager.name,
                     status=status)
        return status


def violations(intervals):
    """Returns how TWICE was broken."""
    broken = [
        f"TWICE: task {first['task']}: run {first['run']} on {first['worker']} "
        f"and run {second['run']} on {second['worker']} at the same time, "
        f"for {both_s:.3f} s"
        for first, second, both_s in overlaps(intervals)
    ]
    done = {}
    for item in intervals:
        earlier = done.get(item["task"])
        if earlier is not None and earlier["end_s"] < item["start_s"]:
            broken.append(
                f"TWICE: task {item['task']}: run {item['run']} on "
                f"{item['worker']} ({item['service']}) starts "
                f"{item['start_s'] - earlier['end_s']:.3f} s after run "
                f"{earlier['run']} on {earlier['worker']} "
                f"({earlier['service']}) has ended done"
            )
        if item["how"] == "done":
            done.setdefault(item["task"], item)
    return broken


run_case(play)
