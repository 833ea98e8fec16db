"""A route is removed and added for another service; a late copy runs twice."""

import asyncio

from world import Plan, main, route

JOB = "00000000000000c1"
RUN_S = 2.0
AWAY_S = 1.0
APPLY_S = 3.0
WATCHED_S = 15.0
STEP = {"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}


async def scenario(world, has_trouble):
    await world.open(3, {"alpha": 3, "beta": 3}, CAPACITY)
    services = ["alpha", "beta"]
    kept = route("other", "/other/", "alpha")
    queue = route("q", "/q/", "alpha")
    world.configure(3, [kept, queue], services)
    await world.wait_ready("/q/")
    await world.submit("/q/", JOB, [STEP], [Plan(500, 256, RUN_S)])
    world.configure(4, [kept], services)
    await asyncio.sleep(AWAY_S)
    again = route("q", "/q/", "beta") if has_trouble else queue
    world.configure(6, [kept, again], services)
    await asyncio.sleep(APPLY_S)
    # "Occasionally, such a request also arrives seconds after the 2xx."
    body = {"spec": "work", "steps": [STEP]}
    await world.call("POST", "/q/" + JOB, body)
    until = world.now() + WATCHED_S
    while world.now() < until:
        await world.state("/q/", JOB)
        await asyncio.sleep(1.0)
    check(world)


def check(world):
    """Reports each start of a task after an end of it that was noted."""
    for began, task, number, worker in world.starts:
        for ended, other_task, other, other_worker, how in world.ends:
            if other_task != task or how != "done" or ended >= began:
                continue
            if (task, other, other_worker) in world.noted:
                world.broken(
                    "TWICE",
                    f"{task} run {number} starts on {worker} at {began:.3f}, "
                    f"though run {other} ended done on {other_worker} at "
                    f"{ended:.3f}, which was taken note of",
                )


main(__file__, scenario)
