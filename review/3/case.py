"""A manager freezes between two upkeep orders; thawed, it sends the second."""

import asyncio
import signal

from world import Plan, main, route

JOB = "00000000000000f1"
FROZEN_S = 4.0
HANDED_IN_S = 1.0
MAY_MISS = 1
STARTUP_S = 0.3
WATCHED_S = 20.0
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
STEP = {
    "count": 18,
    "cpu": 500,
    "mem_mb": 256,
    "anti_affinity": 3,
    "long_running": True,
    "may_miss": MAY_MISS,
}


async def scenario(world, has_trouble):
    await world.open(3, {"alpha": 6}, CAPACITY)
    world.configure(3, [route("q", "/q/", "alpha")], ["alpha"])
    await world.wait_ready("/q/")
    await asyncio.sleep(5.0)
    first_order = asyncio.Event()
    frozen = []

    def on_order(number, machine, order):
        if not first_order.is_set():
            first_order.set()
            if has_trouble:
                manager = world.managers[number]
                frozen.append(manager)
                manager.process.send_signal(signal.SIGSTOP)
                world.note(f"{manager.name} freezes")
            return
        at_work = [
            run.task
            for run in machine.worker.runs.values()
            if run.plan.lasts_s is None
            and asyncio.get_running_loop().time() - run.started > STARTUP_S
        ]
        if len(at_work) > MAY_MISS:
            world.broken(
                "AVAIL",
                f"the {order} of {machine.id}, ordered by "
                f"{world.managers[number].name}, ends {at_work}, which are at "
                f"work; {MAY_MISS} of the step may be away",
            )

    world.machine_api.on_order = on_order
    world.ask_wave(1, world.machines[:4], 40.0, 2)
    await world.wait_until(first_order.is_set, "the first upkeep is ordered")
    began = world.now()
    await asyncio.sleep(HANDED_IN_S)
    world.jobs[JOB] = [Plan(500, 256, None)]
    body = {"spec": "work", "steps": [STEP]}
    for manager in world.managers:
        if manager not in frozen:
            status, _ = await world.call("POST", "/q/" + JOB, body, manager)
            if status == 200:
                break
    else:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(began + FROZEN_S - world.now())
    for manager in frozen:
        manager.process.send_signal(signal.SIGCONT)
        world.note(f"{manager.name} wakes")
    await asyncio.sleep(WATCHED_S)


main(__file__, scenario)
