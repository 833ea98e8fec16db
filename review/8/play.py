"""Power fails: a worker and two of three managers are lost for good."""

import asyncio
import time

from deployment import run_case

DOWN_S = 6.0
WATCHED_S = 45.0
# Power is back, machines are in touch, and the 4 s and the 3 s of the rule.
LIMIT_S = DOWN_S + 3.0 + 4.0 + 3.0 + 2.0
TASKS = 5
STEPS = [{"count": TASKS, "cpu": 2700, "mem_mb": 6300, "long_running": True,
          "anti_affinity": 1, "image": "ledger"}]
JOB = "b" + "0" * 15


async def play(deployment, trouble):
    deployment.runs_s = lambda task: 1e9
    await deployment.begin(
        managers=3, workers_by_service={"one": 8}, route_service="one"
    )
    while await deployment.hand_in(deployment.managers[0], JOB, STEPS) != 200:
        await asyncio.sleep(0.2)
    await asyncio.sleep(5.0)
    owner = None
    for manager in deployment.managers:
        duties = await deployment.duties_of(manager)
        deployment.record("duties", manager=manager.name, duties=duties)
        if "pool/one" in duties:
            owner = manager
    lost = [owner, *[item for item in deployment.managers if item is not owner]][:2]
    worker = next(item for item in deployment.workers if item.intervals)
    began_s = time.monotonic()
    if trouble:
        deployment.record("power fails", worker=worker.id)
        await asyncio.gather(
            worker.crash(), *(item.end() for item in deployment.managers)
        )
        await asyncio.sleep(DOWN_S)
        (back,) = [item for item in deployment.managers if item not in lost]
        # Two others come at other addresses; the worker doesn't come back.
        for manager in (back, deployment.add_manager(), deployment.add_manager()):
            await manager.start()
            deployment.record("a manager starts", manager=manager.name)
    absent_s = {}
    while time.monotonic() < began_s + WATCHED_S:
        running = {item["task"] for item in deployment.intervals()
                   if item["end_s"] is None}
        for index in range(TASKS):
            task = f"{JOB}.0.0.{index}"
            if task not in running:
                absent_s[task] = time.monotonic() - began_s
        await asyncio.sleep(0.1)
    deployment.record("absent until", seconds=absent_s)
    return [
        f"LOST: task {task}, which lasts, has no run until {lost_s:.1f} s after "
        "its worker was lost" for task, lost_s in absent_s.items()
        if lost_s > LIMIT_S
    ]


run_case(play)
