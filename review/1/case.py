"""Answers to upkeep orders are lost; the machines are never used again."""

import asyncio

from world import Plan, main, route

LOST_S = 1.0
WAVE_S = 30.0
FINISH_S = 14.0
MACHINES = 3
STEP = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}


async def scenario(world, has_trouble):
    await world.open(3, {"alpha": MACHINES}, CAPACITY)
    world.configure(3, [route("q", "/q/", "alpha")], ["alpha"])
    await world.wait_ready("/q/")
    await world.submit("/q/", f"{1:016x}", [STEP], [Plan(500, 256, 0.5)])
    await world.wait_until(lambda: world.ends, "the first job ends")
    await asyncio.sleep(4.0)
    ordered = asyncio.Event()
    world.machine_api.on_order = lambda manager, machine, order: ordered.set()
    world.machine_api.loses_answers = has_trouble
    world.ask_wave(1, world.machines, WAVE_S, MACHINES)
    await world.wait_until(ordered.is_set, "an upkeep is ordered")
    await asyncio.sleep(LOST_S)
    world.machine_api.loses_answers = False
    world.note("answers are no longer lost")
    await asyncio.sleep(10.0)
    job_id = f"{2:016x}"
    await world.submit("/q/", job_id, [STEP], [Plan(500, 256, 0.5)])
    accepted = world.now()
    while world.now() < accepted + FINISH_S + 10.0:
        await asyncio.sleep(1.0)
        _, state = await world.state("/q/", job_id)
        if state == "completed":
            return
    up = [m.id for m in world.machines if m.state == "up"]
    world.broken(
        "LOST",
        f"{job_id} was accepted at {accepted:.3f} and has "
        f"{len(world.starts_of(job_id))} starts {FINISH_S + 10.0} s later; "
        f"{up} are up and run nothing",
    )


main(__file__, scenario)
