"""Owners of a pool that end soon after one another, as real processes."""

import asyncio
import random

import msgspec
import pytest

from tests.common.owner_plays import PlannedRound, run_play

SEED = 1
TASK_S = 12.0
"""Longer than the longest lease, so that a cut-off worker keeps its runs until
that lease ends."""

PLANNED = PlannedRound(
    nodes=[11, 13, 16],
    ends=2,
    is_planned=True,
    loses_replies=False,
    jobs_after_s=0.03,
    end_after_s=0.3,
    orders_again=True,
    cut_after_s=0.6,
    loses_data=False,
)
KILLED = msgspec.structs.replace(
    PLANNED, is_planned=False, orders_again=False, cut_after_s=0.3
)


# Issue 65: a worker that had started anew held a lease of 10 s from a call to
# its former incarnation. The second owner after that, which never reached it,
# took it as ended after 4.4 to 6.8 s and ran the tasks elsewhere as well.
async def test_owners_that_end_in_series_run_no_task_twice(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    results = await asyncio.gather(
        *(
            run_play(
                random.Random(SEED),
                tmp_path_factory.mktemp("hosts"),
                [planned],
                TASK_S,
            )
            for planned in (PLANNED, KILLED)
        )
    )
    assert [result.findings for result in results] == [[], []]
    assert all(result.starts for result in results)
