"""Owners of a pool that end soon after one another, as real processes."""

import asyncio

import pytest

from tests.common.owner_plays import run_play

PLANNED_SEED = 1
KILLED_SEED = 4
TASK_S = 12.0
"""Longer than the longest lease, so that a cut-off worker keeps its runs until
that lease ends."""


# Issue 65: a worker that had started anew held a lease of 10 s from a call to
# its former incarnation. The second owner after that, which never reached it,
# took the lease as ended after 4.4 to 6.8 s and ran the tasks elsewhere as well.
async def test_owners_that_end_in_series_run_no_task_twice(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    results = await asyncio.gather(
        *(
            run_play(
                seed, tmp_path_factory.mktemp("hosts"), 1, is_planned, TASK_S
            )
            for seed, is_planned in ((PLANNED_SEED, True), (KILLED_SEED, False))
        )
    )
    assert [result.findings for result in results] == [[], []]
    assert all(result.starts for result in results)
