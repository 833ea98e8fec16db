"""Workers that can't be reached for less than their lease lasts."""

import pytest

from coltsfootseam.jobs import Step
from tests.common.fleets import running_fleet

JOB = "a" * 16
LASTING = Step(count=6, cpu_millis=1000, long_running=True)
SILENCE_S = 2.2
"""A lease of 4 s, less a heartbeat's wait and an attempt that goes unanswered
as the silence ends."""


# Guards against a lease that ends after a short silence, as the first heartbeat
# that is answered again waits for the end of a run before it replies.
@pytest.mark.parametrize("phase_s", [0.1, 0.3, 0.5, 0.7, 0.9])
async def test_a_short_silence_does_not_end_a_lease(phase_s: float) -> None:
    async with running_fleet(duration_of=lambda task: 1e9) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        await fleet.timers.advance(5.0 + phase_s)
        workers = fleet.workers.workers_by_instance.values()
        for _ in range(4):
            for worker in workers:
                worker.faults.is_unresponsive = True
            await fleet.timers.advance(SILENCE_S)
            for worker in workers:
                worker.faults.is_unresponsive = False
            await fleet.timers.advance(3.0)
        assert not fleet.owner().lines("run.ended")
        assert fleet.started(JOB) == LASTING.count
