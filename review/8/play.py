"""A job's append is carried out late, and its queue has moved meanwhile."""

import asyncio

from deployment import overlaps, run_case

OUTAGE_S = 3.0
LATE_S = 6.0
OUTAGES = 4
PAUSE_S = 9.0
RETRY_S = 2.0
JOBS_PER_S = 8
STEPS = [{"count": 2, "cpu": 2300, "mem_mb": 3300, "estimate_ms": 1000}]


async def play(deployment, trouble):
    deployment.runs_s = lambda task: 1.0
    await deployment.begin(
        managers=3, workers_by_service={"one": 4, "two": 4}, route_service="one"
    )
    clients = asyncio.ensure_future(hand_in_jobs(deployment))
    store = deployment.store
    for outage in range(OUTAGES):
        await asyncio.sleep(PAUSE_S)
        if trouble:
            deployment.record("the store goes down, silently")
            store.is_silent = True
            store.lose = lambda *args: LATE_S
        await asyncio.sleep(OUTAGE_S)
        store.is_silent = False
        store.lose = lambda *args: None
        deployment.record("the store is up")
        service = "two" if outage % 2 == 0 else "one"
        await deployment.send_elsewhere(2 * outage + 2, service)
    await asyncio.sleep(PAUSE_S)
    clients.cancel()
    await asyncio.sleep(6.0)
    return violations(deployment.intervals())


async def hand_in_jobs(deployment):
    """Has clients hand jobs in, a few each second."""
    number = 0
    tasks = set()
    while True:
        task = asyncio.ensure_future(hand_in_until_told(deployment, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1 / JOBS_PER_S)


async def hand_in_until_told(deployment, number):
    """Hands a job in, and sends it again until it is accepted."""
    for attempt in range(10):
        manager = deployment.managers[(number + attempt) % 3]
        status = await deployment.hand_in(manager, f"{number:016x}", STEPS)
        if status in (200, 429):
            return
        await asyncio.sleep(RETRY_S)


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
