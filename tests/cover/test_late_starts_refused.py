"""Copies of starts that arrive once the next life has replied to its owner."""

from coltsfootseam.jobs import JobState
from tests.common.fleets import running_fleet
from tests.cover.test_late_starts import (
    JOB,
    LIMIT_S,
    LONG_TASK_S,
    restart,
    start_with_late_copy,
)

WARM_UP_S = 20.0
COPY_S = 10.0
CRASH_S = 4.0


# Guards against a token that all lives of a worker have: the next life carried
# out a copy whose run its owner had ended, as that life didn't list it.
async def test_the_next_life_refuses_a_copy_once_its_owner_has_called_it() -> (
    None
):
    async with running_fleet(
        workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        # The clocks of the former lives are ahead, so no lease is over.
        await fleet.timers.advance(WARM_UP_S)
        sent_s = fleet.timers.now_s()
        worker = await start_with_late_copy(fleet, COPY_S)
        await fleet.timers.advance(sent_s + CRASH_S - fleet.timers.now_s())
        await restart(fleet, worker, down_s=0.1)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)
