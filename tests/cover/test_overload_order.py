"""The order of jobs in a pool whose demand exceeds its capacity.

The pattern is a burst of short jobs at twice what all machines together can
run, which lasts for many times the objective of a job.
"""

from coltsfootseam.scheduling import Policies, PoolRules
from coltsfootseam.testbed.model import (
    FleetModel,
    JobKind,
    ModelPlan,
    draw_arrivals,
)

POOL = "counter"
LENGTH_S = 12.0
MACHINES = 8
CORES = 16
PEAK_FACTOR = 5.0
OVERLOAD = 2.0
SHORT = JobKind(POOL, 1.0, 1.0, 6, 0.6, 1000, tail_share=0.0)


def late_share_at_overload() -> float:
    core_s_per_job = SHORT.width * SHORT.task_s * SHORT.cpu_millis / 1000
    jobs_per_s = OVERLOAD * MACHINES * CORES / core_s_per_job
    kind = JobKind(
        POOL, jobs_per_s / PEAK_FACTOR, 1.0, 6, 0.6, 1000, tail_share=0.0
    )
    model = FleetModel(
        ModelPlan((POOL,), MACHINES, standby=0, cores=CORES),
        Policies(pools=PoolRules(need="still")),
    )
    arrivals = draw_arrivals([kind], LENGTH_S, LENGTH_S, seed=1)
    return model.run(arrivals, LENGTH_S).late_share


# Guards against serving every job of a burst just after its objective.
def test_about_as_many_jobs_are_on_time_as_there_is_capacity_for() -> None:
    unavoidable = 1.0 - 1.0 / OVERLOAD
    assert late_share_at_overload() <= unavoidable
