"""A worker crashes with a start in hand and starts again under its id."""

import asyncio
import random
import time

from deployment import overlaps, run_case

DOWN_S = (0.1, 0.3)
CRASHES = 25
STEPS = [{"count": 16, "cpu": 1900, "mem_mb": 3300, "estimate_ms": 1200}]


async def play(deployment, trouble):
    deployment.runs_s = lambda task: 1.2
    await deployment.begin(managers=3, workers_by_service={"pool": 8},
                           route_service="pool")
    end_s = time.monotonic() + 80.0
    crashing = asyncio.ensure_future(crash_now_and_then(deployment, trouble))
    number = 0
    while time.monotonic() < end_s:
        manager = deployment.managers[number % len(deployment.managers)]
        await deployment.hand_in(manager, f"{number:016x}", STEPS)
        number += 1
        await asyncio.sleep(0.6)
    crashing.cancel()
    for worker in deployment.workers:
        worker.on_start = lambda body: False
    await asyncio.sleep(4.0)
    broken = []
    for first, second, both_s in overlaps(deployment.intervals()):
        broken.append(
            f"TWICE: task {first['task']}: run {first['run']} on "
            f"{first['worker']} (born {first['born']}) and run {second['run']} "
            f"on {second['worker']} (born {second['born']}) at the same time, "
            f"for {both_s:.3f} s"
        )
    return broken


async def crash_now_and_then(deployment, trouble):
    """Has a worker crash now and then, as a start arrives; it comes back."""
    if not trouble:
        return
    chance = random.Random(47)
    for _ in range(CRASHES):
        await asyncio.sleep(3.0)
        hit = asyncio.get_running_loop().create_future()

        for worker in deployment.workers:
            worker.on_start = lambda body, worker=worker: crash(worker, body, hit)
        worker = await hit
        await asyncio.sleep(chance.uniform(*DOWN_S))
        await asyncio.shield(worker.begin())


def crash(worker, body, hit):
    """Has the first worker that gets a start crash, once."""
    if hit.done():
        return False
    hit.set_result(worker)
    return True


run_case(play)
