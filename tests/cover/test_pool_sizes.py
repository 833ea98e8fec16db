"""Pools that are short get machines; idle machines go on standby.

The pattern is one pool whose demand rises to several times its mean within
two seconds, while the other pools are nearly idle.
"""

import msgspec

from coltsfootseam.scheduling import (
    DemandHistory,
    DueMachine,
    IdleTimes,
    MachineSupply,
    PoolDemand,
    PoolRules,
    choose_maintenance,
    plan_moves,
)

OFF = "off"


def machine(
    number: int, pool: str, is_free: bool = True, idle_s: float = 10.0
) -> MachineSupply:
    return MachineSupply(f"m-{number}", pool, 16.0, is_free, idle_s)


def test_a_short_pool_gets_machines_that_are_off_first() -> None:
    machines = [
        machine(1, "busy", is_free=False),
        machine(2, "idle"),
        machine(3, "idle"),
        machine(4, "idle"),
        machine(5, OFF),
    ]
    demands = [PoolDemand("busy", 30.0, 16.0), PoolDemand("idle", 0.0, 0.0)]
    moves = plan_moves(
        demands,
        DemandHistory(),
        machines,
        OFF,
        PoolRules(headroom_cores=0.0, least_machines=1, idle_s=2.0),
    )
    to_busy = [move.machine_id for move in moves if move.pool == "busy"]
    assert to_busy[0] == "m-5"
    assert len(to_busy) == 2


def test_an_idle_pool_keeps_its_headroom_and_least_machines() -> None:
    machines = [machine(number, "idle") for number in range(6)]
    moves = plan_moves(
        [PoolDemand("idle", 0.0, 0.0, min_workers=3)],
        DemandHistory(),
        machines,
        OFF,
        PoolRules(headroom_cores=16.0, least_machines=2, idle_s=2.0),
    )
    assert len(moves) == 3
    assert {move.pool for move in moves} == {OFF}


def test_a_machine_that_was_just_busy_stays() -> None:
    machines = [machine(number, "idle", idle_s=0.5) for number in range(6)]
    moves = plan_moves(
        [PoolDemand("idle", 0.0, 0.0)],
        DemandHistory(),
        machines,
        OFF,
        PoolRules(),
    )
    assert moves == []


def test_growing_demand_is_met_before_work_waits() -> None:
    history = DemandHistory()
    for step in range(4):
        demand = PoolDemand("busy", 0.0, 10.0 + 10.0 * step)
        history.add(demand, 0.3 * step)
    machines = [
        *(machine(number, "busy", is_free=False) for number in range(3)),
        *(machine(number, OFF) for number in range(10, 20)),
    ]
    moves = plan_moves(
        [PoolDemand("busy", 0.0, 40.0)],
        history,
        machines,
        OFF,
        PoolRules(headroom_cores=0.0),
    )
    assert len(moves) >= 3


def test_a_single_large_job_is_not_taken_for_growth() -> None:
    history = DemandHistory()
    for step, cores in enumerate((10.0, 10.0, 40.0, 40.0)):
        history.add(PoolDemand("busy", 0.0, cores), 0.4 * step)
    assert history.growth_cores("busy") == 0.0


def test_a_pool_whose_owner_does_not_reply_is_left_unchanged() -> None:
    machines = [machine(number, "silent") for number in range(6)]
    demands = [PoolDemand("busy", 100.0, 0.0)]
    moves = plan_moves(demands, DemandHistory(), machines, OFF, PoolRules())
    assert moves == []


def test_maintenance_starts_with_idle_machines_and_spares_busy_pools() -> None:
    due = [
        DueMachine("m-1", "busy", False, False, has_waiting_work=True),
        DueMachine("m-2", "idle", False, True, has_waiting_work=False),
        DueMachine("m-3", OFF, True, True, has_waiting_work=False),
    ]
    assert choose_maintenance(due, 3, 60.0, 3, {}) == ["m-3", "m-2"]
    assert choose_maintenance(due, 3, 5.0, 3, {})[-1] == "m-1"


def test_a_machine_that_is_being_evacuated_stays_selected() -> None:
    due = [
        DueMachine("m-1", "busy", False, False, True, is_selected=True),
        DueMachine("m-2", "idle", False, True, has_waiting_work=False),
    ]
    assert choose_maintenance(due, 1, 60.0, 1, {}) == ["m-1"]


def test_a_pool_gets_a_replacement_for_an_evacuating_machine() -> None:
    machines = [
        MachineSupply("m-1", "busy", 16.0, False, 0.0, is_evacuating=True),
        machine(2, "busy", is_free=False),
        machine(3, OFF),
    ]
    demand = PoolDemand("busy", 0.0, 4.0, min_workers=2)
    moves = plan_moves([demand], DemandHistory(), machines, OFF, PoolRules())
    assert [move.machine_id for move in moves] == ["m-3"]


# Guards against waves that can't go on beside a burst: tasks that have to run
# apart wait for a machine in place of the evacuated one.
def test_a_machine_to_keep_tasks_apart_goes_before_a_burst() -> None:
    machines = [
        *(machine(number, "apart", is_free=False) for number in range(4)),
        *(machine(number, "burst", is_free=False) for number in range(10, 14)),
        *(machine(number, OFF) for number in range(20, 23)),
    ]
    machines[0] = msgspec.structs.replace(machines[0], is_evacuating=True)
    demands = [
        PoolDemand("burst", 4000.0, 64.0),
        PoolDemand("apart", 1.0, 3.0, min_workers=4),
    ]
    rules = PoolRules(headroom_cores=0.0)
    moves = plan_moves(demands, DemandHistory(), machines, OFF, rules)
    assert sorted(move.pool for move in moves) == ["apart", "burst", "burst"]


def test_a_machine_with_a_required_label_comes_first() -> None:
    machines = [
        machine(1, OFF),
        MachineSupply(
            "m-2", OFF, 16.0, True, 10.0, labels=frozenset({"large", "r2"})
        ),
    ]
    demand = PoolDemand("busy", 8.0, 0.0, labels=frozenset({"large"}))
    rules = PoolRules(headroom_cores=0.0, least_machines=0)
    moves = plan_moves([demand], DemandHistory(), machines, OFF, rules)
    assert [move.machine_id for move in moves] == ["m-2"]


def test_a_machine_is_idle_from_when_it_was_first_seen_idle() -> None:
    idle_times = IdleTimes()
    idle_times.record_idle({"m-1"}, 1.0)
    idle_times.record_idle({"m-1", "m-2"}, 1.4)
    assert idle_times.idle_s("m-1", 2.0) == 1.0
    assert idle_times.is_idle("m-2")
    assert not idle_times.is_idle("m-3")
    assert idle_times.idle_s("m-3", 2.0) == 0.0


def test_a_machine_that_was_not_listed_for_a_while_was_not_idle_then() -> None:
    idle_times = IdleTimes()
    idle_times.record_idle({"m-1"}, 1.0)
    idle_times.record_idle(set(), 1.4)
    assert not idle_times.is_idle("m-1")
    idle_times.record_idle({"m-1"}, 9.0)
    assert idle_times.idle_s("m-1", 9.4) == 9.4 - 9.0
