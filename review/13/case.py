"""A job with overlapping occurrences stops all jobs of its pool."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3")
)

from deployment import job, route, run_case  # noqa: E402

POOL = "service-a"
RECURRING = "1111111111111111"
TASKS = 250
PERIOD_MS = 1000
TASK_MS = 110_000
OCCURRENCES = 40
OCCURRENCES_WITHOUT_TROUBLE = 8
ORDINARY_AT_S = 50.0
FINISH_S = 14.0
GAP_S = 3.0
ORDINARY = [f"22222222222222{number:02x}" for number in range(5)]


async def case(deployment, has_trouble):
    workers = [
        {
            "id": f"i-7f3a91c{number}",
            "service": POOL,
            "machine": f"m-0a3f{number}",
            "zone": "a",
            "labels": ["a", f"r1-{number // 4}"],
            "cpu": 16_000,
            "mem_mb": 65_536,
        }
        for number in range(8)
    ]
    await deployment.open(
        managers=3,
        services=[{"name": POOL, "admission_control": True}],
        routes=[route("r-a", "/a/", POOL)],
        workers=workers,
    )
    ready_s = time.monotonic()
    count = OCCURRENCES if has_trouble else OCCURRENCES_WITHOUT_TROUBLE
    recurring = job(
        {
            "count": TASKS,
            "cpu": 5,
            "mem_mb": 4,
            "estimate_ms": TASK_MS,
            "ms": TASK_MS,
        },
        first_ms=round(time.time() * 1000) + 1000,
        interval_ms=PERIOD_MS,
        repeat_count=count,
    )
    if not await deployment.submit(f"/a/{RECURRING}", recurring):
        deployment.note("the recurring job was not accepted")
        return 2
    deployment.note(f"it has {TASKS} tasks each {PERIOD_MS} ms, {count} times")
    while time.monotonic() - ready_s < ORDINARY_AT_S:
        await asyncio.sleep(5)
        starts = sum(
            event["event"] == "start" for event in deployment.worker_events()
        )
        usage = await deployment.usage()
        deployment.note(f"{starts} starts so far; the store: {usage}")
    accepted = []
    for job_id in ORDINARY:
        body = job({"count": 1, "cpu": 500, "mem_mb": 256,
                    "estimate_ms": 900, "ms": 900})
        if await deployment.submit(f"/a/{job_id}", body, attempts=4):
            accepted.append(job_id)
    if not accepted:
        deployment.note("no ordinary job was accepted")
        return 2
    await asyncio.sleep(FINISH_S + GAP_S)
    return await judge(deployment, accepted)


async def judge(deployment, accepted):
    events = deployment.worker_events()
    started = {
        event["task"].partition(".")[0]
        for event in events
        if event["event"] == "start"
    }
    tasks = set()
    for event in events:
        if event["event"] == "start":
            tasks.add(event["task"])
        elif event["event"] == "end":
            tasks.discard(event["task"])
    used = 5 * len(tasks)
    deployment.note(f"{len(tasks)} tasks run, on {used} of 128000 thousandths")
    deployment.note(f"the store: {await deployment.usage()}")
    lost = [job_id for job_id in accepted if job_id not in started]
    for job_id in accepted:
        state = await deployment.state(f"/a/{job_id}")
        deployment.note(
            f"GET /a/{job_id} -> {state}; "
            f"{'never started' if job_id in lost else 'has run'}"
        )
    if lost and used * 2 < 128_000:
        deployment.note(f"LOST: {len(lost)} of {len(accepted)} accepted jobs "
                        f"have not begun {FINISH_S + GAP_S} s later")
        return 1
    return 0


if __name__ == "__main__":
    run_case(case)
