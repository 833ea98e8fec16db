"""Managers in availability zones that are parted, as real processes."""

import asyncio
import pathlib

import pytest

from coltsfootseam.testbed.links import both_ways
from coltsfootseam.testbed.waiting import wait_until
from tests.common.soak import PlannedJob, Soak, run_soak
from tests.common.zoned_deployment import (
    ZonedDeployment,
    ZonedHost,
    running_zones,
)

CUT_S = 11.0
TASKS = 40
TASK_S = 12.0
SOAK_S = 18.0
MAX_TASK_S = 8.0
JOB = PlannedJob("5c0e7a21d94b36f8", 0, 0.0, TASKS, TASK_S, None)


async def owner_of(deployment: ZonedDeployment) -> ZonedHost:
    """Returns the host that owns the pool."""
    owners = [
        host for host in deployment.hosts if await deployment.is_owner(host)
    ]
    assert len(owners) == 1
    return owners[0]


def zones_of_tasks(deployment: ZonedDeployment) -> set[str]:
    """Returns the zones of the workers that run tasks."""
    return {entry.zone for _, entry in deployment.running_tasks(JOB.job_id)}


# Incident 014: the owner and the other host of its zone lost the store and the
# other zones at once and went on granting leases to the workers of the zone,
# while a successor started the same tasks elsewhere.
async def test_a_zone_that_is_parted_with_its_owner_runs_no_task_twice(
    tmp_path: pathlib.Path,
) -> None:
    async with running_zones(tmp_path) as deployment:
        soak = Soak(deployment)

        async def is_running() -> bool:
            return len(deployment.running_tasks(JOB.job_id)) == TASKS

        async with asyncio.TaskGroup() as group:
            group.create_task(soak.run([], [JOB]))
            await wait_until(is_running, "all tasks run")
            zone = (await owner_of(deployment)).zone
            assert zone in zones_of_tasks(deployment)
            inside, outside = (
                deployment.nodes(zone),
                deployment.other_nodes(zone),
            )
            with deployment.links.cutting(both_ways(inside, outside)):
                await asyncio.sleep(CUT_S)
        assert soak.findings == []


@pytest.mark.parametrize("seed", [1])
async def test_guarantees_hold_while_zones_are_parted(
    tmp_path: pathlib.Path, seed: int
) -> None:
    result = await run_soak(seed, tmp_path, SOAK_S, MAX_TASK_S)
    assert result.findings == []
    assert result.accepted
