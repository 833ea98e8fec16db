"""Model of the fleet: arrivals, figures and faulty machines."""

import math

from coltsfootseam.jobs import Step
from coltsfootseam.scheduling import Policies, PoolRules
from coltsfootseam.testbed.model import (
    FleetModel,
    JobKind,
    ModelPlan,
    Report,
    draw_arrivals,
)

KIND = JobKind("a", 2.0, 1.6, 6, 0.85, 880)
LONG_RUNNING_STEP = Step(
    count=3,
    cpu_millis=1000,
    estimate_ms=900,
    long_running=True,
    per_worker_limit=1,
)
LENGTH_S = 10.0
FIXED_POOLS = Policies(pools=PoolRules(need="still"))


def run_model(plan: ModelPlan, policies: Policies = FIXED_POOLS) -> Report:
    model = FleetModel(plan, policies)
    model.add_long_running("a", LONG_RUNNING_STEP)
    arrivals = draw_arrivals([KIND], LENGTH_S, 4.0, seed=1)
    return model.run(arrivals, LENGTH_S)


def test_arrivals_repeat_with_their_seed() -> None:
    first = draw_arrivals([KIND], LENGTH_S, 4.0, seed=3)
    again = draw_arrivals([KIND], LENGTH_S, 4.0, seed=3)
    other = draw_arrivals([KIND], LENGTH_S, 4.0, seed=4)
    assert first == again
    assert first != other
    assert [one.at_s for one in first] == sorted(one.at_s for one in first)


def test_each_kind_peaks_in_its_own_interval() -> None:
    second = JobKind("b", 2.0, 1.6, 6, 0.85, 880)
    arrivals = draw_arrivals([KIND, second], 40.0, 10.0, seed=1)
    in_peak = [
        one
        for one in arrivals
        if one.kind.pool == ("a", "b")[int(one.at_s / 10) % 2]
    ]
    assert len(in_peak) > 0.9 * len(arrivals)


def test_healthy_machines_serve_everything_in_time() -> None:
    report = run_model(ModelPlan(("a",), machines=20, standby=0))
    assert report.credit > 0.99
    assert report.moves == 0
    assert math.isfinite(report.wasted_core_s)


def test_bad_machines_cost_waiting_but_lose_nothing() -> None:
    healthy = run_model(ModelPlan(("a",), machines=20, standby=0))
    bad = run_model(
        ModelPlan(
            ("a",),
            machines=20,
            standby=0,
            slow_share=0.2,
            failing_share=0.1,
            hanging_share=0.1,
        )
    )
    assert bad.mean_wait_s > healthy.mean_wait_s
    assert bad.credit > 0.5
    assert math.isfinite(bad.wasted_core_s)


def test_machines_that_move_cost_fewer_seconds() -> None:
    plan = ModelPlan(("a",), machines=20, standby=0)
    fixed = run_model(plan)
    moving = run_model(plan, Policies())
    assert moving.machine_s < fixed.machine_s
    assert moving.moves > 0
