"""The decision log is bounded and never blocks on its reader."""

import json
import os

from coltsfootseam.observe import DecisionLog
from coltsfootseam.timers import VirtualTimers


async def test_lines_over_the_limit_are_dropped_and_counted() -> None:
    log = DecisionLog(VirtualTimers(), "host")
    for number in range(10_000):
        log.write("flood", number=number)
    assert log.buffered_count() <= 2000
    assert log.dropped == 10_000 - log.buffered_count()


async def test_a_stalled_reader_does_not_block_writes() -> None:
    timers = VirtualTimers()
    read_fd, write_fd = os.pipe()
    log = DecisionLog(timers, "host", write_fd)
    for _ in range(40):
        for number in range(300):
            log.write("line", number=number, text="x" * 200)
        await timers.advance(1.0)
    assert log.buffered_count() <= 2000
    assert log.dropped > 0
    os.close(read_fd)
    await timers.advance(1.0)
    os.close(write_fd)


async def test_lines_arrive_whole_and_in_order() -> None:
    timers = VirtualTimers()
    read_fd, write_fd = os.pipe()
    log = DecisionLog(timers, "host", write_fd)
    for number in range(50):
        log.write("line", number=number, job="a")
    await timers.advance(1.0)
    lines = os.read(read_fd, 1_000_000).decode().splitlines()
    assert [json.loads(line)["number"] for line in lines] == list(range(50))
    os.close(read_fd)
    os.close(write_fd)


# Loading a pool writes a line for each job. Those used up the whole limit, so
# the line that says whether an owner became active was lost.
async def test_a_flood_about_jobs_does_not_displace_a_line_about_a_pool() -> (
    None
):
    timers = VirtualTimers()
    log = DecisionLog(timers, "host")
    for second in range(10):
        for number in range(1000):
            log.write("job.learned", number=number)
        before = log.dropped
        log.write("pool.loaded", second=second)
        assert log.dropped == before
        await timers.advance(1.0)
    assert log.buffered_count() <= 2000
