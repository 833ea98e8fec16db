"""Jobs of many steps keep their pool's owner from renewing leases."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3")
)

from deployment import job, route, run_case  # noqa: E402

POOL = "service-a"
LASTING = "4444444444444444"
LARGE = [f"55555555555555{number:02x}" for number in range(30)]
WORK = 500
"""Tasks of each large job: one a step, or without trouble 50 a step."""

STEPS = 500
STEPS_WITHOUT_TROUBLE = 10
TASKS = 5
MAY_MISS = 1
WATCH_S = 45.0
FINISH_S = 14.0
GAP_S = 3.0
AFTER_LAST_RUN_S = 6.0
CAPACITY = 8 * 16_000
LASTING_CPU = 500
LARGE_CPU = 200
STEP_MS = 100


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
        routes=[
            route("r-lasting", "/lasting/", POOL),
            route("r-large", "/large/", POOL),
        ],
        workers=workers,
    )
    lasting = job(
        {"count": TASKS, "cpu": LASTING_CPU, "mem_mb": 256, "long_running": True,
         "anti_affinity": 1, "may_miss": MAY_MISS}
    )
    if not await deployment.submit(f"/lasting/{LASTING}", lasting):
        return 2
    until_s = time.monotonic() + 12
    while len(running(deployment)) < TASKS and time.monotonic() < until_s:
        await asyncio.sleep(0.1)
    if len(running(deployment)) < TASKS:
        deployment.note("the lasting tasks don't all run")
        return 2
    deployment.note(f"{TASKS} lasting tasks run")
    await asyncio.sleep(8)
    began_ms = time.time() * 1000
    count = STEPS if has_trouble else STEPS_WITHOUT_TROUBLE
    large = job(
        *({"count": WORK // count, "cpu": LARGE_CPU, "mem_mb": 64,
           "estimate_ms": 900, "ms": 900} for _ in range(count))
    )
    # All tasks last as long, so the text needs to say it once only.
    large["spec"] = '{"steps": [{"ms": 900, "cpu": 200, "mem_mb": 64}]}'
    accepted = await asyncio.gather(
        *(deployment.submit(f"/large/{job_id}", large, attempts=1)
          for job_id in LARGE)
    )
    deployment.note(f"{sum(accepted)} large jobs of {count} steps, {WORK} "
                    f"tasks each, are accepted")
    if not any(accepted):
        return 2
    sent_ms = time.time() * 1000
    watched_s = time.monotonic()
    while time.monotonic() - watched_s < WATCH_S:
        await asyncio.sleep(5)
        started_s = time.monotonic()
        status, _ = await deployment.call(
            "GET", deployment.fronts[0], f"/large/{LARGE[0]}"
        )
        deployment.note(
            f"GET -> {status or 'no answer'} after "
            f"{time.monotonic() - started_s:.2f} s; "
            f"{len(running(deployment))} lasting tasks run"
        )
    report_ends(deployment, began_ms)
    return judge(deployment, sent_ms)


def running(deployment):
    tasks = set()
    for event in deployment.worker_events():
        if event["event"] in ("start", "end"):
            task = event["task"]
            if not task.startswith(LASTING):
                continue
            if event["event"] == "start":
                tasks.add(task)
            else:
                tasks.discard(task)
    return tasks


def report_ends(deployment, began_ms):
    """Writes down how lasting tasks ended, and how many others are done."""
    at_work = set()
    done = 0
    for event in deployment.worker_events():
        if "task" not in event:
            continue
        if not event["task"].startswith(LASTING):
            done += event.get("how") == "done"
        elif event["event"] == "start":
            at_work.add(event["task"])
        else:
            at_work.discard(event["task"])
            since_s = (event["wall_ms"] - began_ms) / 1000
            deployment.note(
                f"{event['task']} on {event['worker']} ends {event['how']}, "
                f"{since_s:.1f} s after the large jobs were sent, with "
                f"{TASKS - len(at_work) - 1} others away"
            )
    deployment.note(f"{done} tasks of the large jobs are done")


def judge(deployment, sent_ms):
    """Looks for a lasting task that isn't restarted though there is room."""
    events = [
        event for event in deployment.worker_events() if "task" in event
    ]
    tasks = sorted({
        event["task"] for event in events if event["task"].startswith(LASTING)
    })
    active = {}
    last_ms = dict.fromkeys(tasks, 0.0)
    gap_ms = dict.fromkeys(tasks, 0)
    longest_ms = dict.fromkeys(tasks, 0)
    now_ms = events[0]["wall_ms"]
    end_ms = time.time() * 1000
    while now_ms < end_ms:
        while events and events[0]["wall_ms"] <= now_ms:
            apply(events.pop(0), active, last_ms)
        used = sum(
            LASTING_CPU if task in last_ms else LARGE_CPU
            for task in active.values()
        )
        for task in tasks:
            is_due = now_ms >= last_ms[task] + AFTER_LAST_RUN_S * 1000
            is_lost = (
                now_ms >= sent_ms + FINISH_S * 1000
                and task not in active.values()
                and is_due
                and used * 2 < CAPACITY
            )
            gap_ms[task] = gap_ms[task] + STEP_MS if is_lost else 0
            longest_ms[task] = max(longest_ms[task], gap_ms[task])
        now_ms += STEP_MS
    lost = {
        task: gap / 1000
        for task, gap in longest_ms.items()
        if gap > GAP_S * 1000
    }
    for task, gap_s in lost.items():
        deployment.note(
            f"LOST: {task} doesn't run for {gap_s:.1f} s on end, counted from "
            f"{FINISH_S:.0f} s after the last job was sent and "
            f"{AFTER_LAST_RUN_S:.0f} s after its last run, with less than half "
            f"of the service's capacity in use"
        )
    return 1 if lost else 0


def apply(event, active, last_ms):
    key = (event["worker"], event["task"], event["run"])
    if event["event"] == "start":
        active[key] = event["task"]
        return
    active.pop(key, None)
    if event["task"] in last_ms:
        last_ms[event["task"]] = event["wall_ms"]


if __name__ == "__main__":
    run_case(case)
