"""The store is down as a large step ends; some of its tasks run twice."""

import asyncio

from world import Plan, main, route

JOB = "00000000000000d1"
COUNT = 700
RUN_S = 12.0
DOWN_S = 4.5
LEAD_S = 1.0
WATCHED_S = 25.0
CPU = 20
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}


async def scenario(world, has_trouble):
    await world.open(3, {"alpha": 3}, CAPACITY)
    world.configure(3, [route("q", "/q/", "alpha")], ["alpha"])
    await world.wait_ready("/q/")
    step = {
        "count": COUNT,
        "cpu": CPU,
        "mem_mb": 32,
        "estimate_ms": round(RUN_S * 1000),
    }
    await world.submit("/q/", JOB, [step], [Plan(CPU, 32, RUN_S)])
    await world.wait_until(lambda: len(world.starts) == COUNT, "all start")
    first = world.starts[0][0]
    await asyncio.sleep(first + RUN_S - LEAD_S - world.now())
    if has_trouble:
        world.note("the store is down")
        for manager in world.managers:
            manager.gate.close()
    await asyncio.sleep(DOWN_S)
    for manager in world.managers:
        manager.gate.open()
    world.note("the store is up")
    until = world.now() + WATCHED_S
    while world.now() < until:
        _, state = await world.state("/q/", JOB)
        if state == "completed":
            break
        await asyncio.sleep(1.0)
    await asyncio.sleep(2.0)
    check(world)


def check(world):
    """Reports each start of a task after an end of it that was noted."""
    ends = {}
    for ended, task, number, worker, how in world.ends:
        if how == "done" and (task, number, worker) in world.noted:
            ends.setdefault(task, (ended, number, worker))
    for began, task, number, worker in world.starts:
        if task not in ends:
            continue
        ended, other, other_worker = ends[task]
        if ended < began:
            world.broken(
                "TWICE",
                f"{task} run {number} starts on {worker} at {began:.3f}, "
                f"though run {other} ended done on {other_worker} at "
                f"{ended:.3f}, which was taken note of",
            )


main(__file__, scenario)
