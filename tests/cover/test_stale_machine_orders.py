"""Orders on machines that are sent late, or by a holder that was replaced."""

import msgspec
import pytest

from coltsfootseam.calls import EvacuationRequest
from coltsfootseam.jobs import Step
from coltsfootseam.manager import Times
from coltsfootseam.manager.pools.evacuation_requests import (
    MAX_CONFIRMED_AGE_S,
    EvacuationRequests,
)
from tests.common.fleets import POOL, Fleet, Host, running_fleet
from tests.common.machine_holders import fleet_owner
from tests.common.waves import ask_for_wave

JOB = "a" * 16
WORKERS = 6
MAY_MISS = 1
WATCHED_S = 15.0
SLOW_REPLY_S = 1.95
LASTING = Step(
    count=3 * WORKERS,
    cpu_millis=500,
    long_running=True,
    per_worker_limit=3,
    may_miss=MAY_MISS,
)
TIMES = Times()
VALID_S = TIMES.order_validity_s


def watch_interrupted(fleet: Fleet) -> list[int]:
    """Returns a list that gets the lasting runs that each order ends."""
    interrupted: list[int] = []
    take_down = fleet.machines.on_taken_down

    def count(machine_id: str) -> None:
        for worker in fleet.workers.workers_by_instance.values():
            if worker.entry.machine_id == machine_id and not worker.is_dead:
                interrupted.append(len(worker.runs_by_task))
        take_down(machine_id)

    fleet.machines.on_taken_down = count
    fleet.machines.maintenance_s = 2.0
    return interrupted


def freeze_at_first_order(fleet: Fleet, host: Host) -> None:
    """Freezes a host as its first order takes effect."""
    take_down = fleet.machines.on_taken_down

    def freeze(machine_id: str) -> None:
        take_down(machine_id)
        if len(fleet.machines.orders) == 0:
            host.timers.is_frozen = True
            fleet.peers.cut_addresses.add(host.address)

    fleet.machines.on_taken_down = freeze


# A holder that was frozen between two orders sent the second one on the pools'
# answers from before, though the machine had been given tasks meanwhile.
@pytest.mark.parametrize("frozen_s", [1.6, 2.2, 4.0])
async def test_a_thawed_holder_does_not_end_tasks_at_work(
    frozen_s: float,
) -> None:
    async with running_fleet(
        hosts=3, workers=WORKERS, duration_of=lambda task: 1e9
    ) as fleet:
        await fleet.timers.advance(4.0)
        interrupted = watch_interrupted(fleet)
        holder = fleet_owner(fleet)
        freeze_at_first_order(fleet, holder)
        # Without the reply, nothing is stored between the two orders.
        fleet.machines.replies_to_lose = 1
        ask_for_wave(fleet, "m-1", "m-2", "m-3", "m-4", limit=2)
        await fleet.wait_until(lambda: holder.timers.is_frozen)
        began_s = fleet.timers.now_s()
        other = next(host for host in fleet.hosts if host is not holder)
        await fleet.timers.advance(0.5)
        await fleet.accept(other, JOB, LASTING)
        await fleet.timers.advance(began_s + frozen_s - fleet.timers.now_s())
        fleet.peers.cut_addresses.clear()
        holder.timers.thaw()
        await fleet.timers.advance(WATCHED_S)
        assert max(interrupted) <= MAY_MISS


# Orders that waited behind slow ones were sent after the pool had begun to use
# the machines again.
async def test_orders_behind_slow_ones_do_not_end_tasks_at_work() -> None:
    async with running_fleet(
        hosts=2, workers=WORKERS, duration_of=lambda task: 1e9
    ) as fleet:
        await fleet.timers.advance(4.0)
        interrupted = watch_interrupted(fleet)
        ask_for_wave(fleet, "m-1", "m-2", "m-3", "m-4", limit=3)
        fleet.machines.reply_delay_s = SLOW_REPLY_S
        await fleet.wait_until(lambda: len(fleet.machines.orders) == 1)
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        await fleet.wait_until(lambda: fleet.started(JOB) > 0)
        await fleet.timers.advance(2 * SLOW_REPLY_S)
        fleet.machines.reply_delay_s = 0.0
        await fleet.timers.advance(WATCHED_S)
        assert max(interrupted) <= MAY_MISS


# A new owner of the pool doesn't know what the one before has answered.
@pytest.mark.parametrize("is_planned", [False, True])
async def test_a_new_pool_owner_keeps_machines_free_that_may_be_ordered(
    is_planned: bool,
) -> None:
    async with running_fleet(
        hosts=4, workers=WORKERS, duration_of=lambda task: 1e9
    ) as fleet:
        holder, owner = await separate_owners(fleet)
        await fleet.timers.advance(4.0)
        interrupted = watch_interrupted(fleet)
        # The record that precedes an order takes long.
        holder.store.faults.latency_s = 0.5
        ask_for_wave(fleet, "m-1", "m-2", "m-3", limit=3)
        await fleet.wait_until(lambda: bool(evacuating_ids(owner)))
        if is_planned:
            assert owner.manager is not None
            await fleet.run(owner.manager.leave())
        await owner.kill()
        await fleet.wait_until(
            lambda: any(host.owns() for host in fleet.hosts if host.manager)
        )
        other = fleet.non_owner()
        await fleet.accept(other, JOB, LASTING)
        await fleet.timers.advance(1.0)
        holder.store.faults.latency_s = 0.0
        await fleet.timers.advance(WATCHED_S)
        assert max(interrupted) <= MAY_MISS


def evacuating_ids(owner: Host) -> set[str]:
    assert owner.manager is not None
    state = owner.manager.duties.owners_by_pool[POOL].state
    return set() if state is None else state.evacuating_worker_ids


async def separate_owners(fleet: Fleet) -> tuple[Host, Host]:
    """Returns the holder of the machines and the pool's owner, made two."""
    while fleet_owner(fleet) is fleet.owner():
        host = fleet.owner()
        await host.kill()
        await fleet.wait_until(
            lambda: (
                any(other.owns() for other in fleet.hosts if other.manager)
                and any(
                    "fleet" in other.manager.duties.held()
                    for other in fleet.hosts
                    if other.manager
                )
            )
        )
        host.start()
        await fleet.timers.advance(2.0)
    return fleet_owner(fleet), fleet.owner()


def request(token: int, held_s: float, *ids: str) -> EvacuationRequest:
    return EvacuationRequest(POOL, list(ids), [], token=token, held_s=held_s)


def test_a_new_holder_does_not_cancel_what_the_one_before_may_order() -> None:
    requests = EvacuationRequests(TIMES, claimed_s=0.0)
    assert requests.apply(request(1, 50.0, "a@1"), 10.0)
    assert requests.apply(request(2, 0.1, "b@1"), 11.0)
    assert requests.ids(11.0) == {"a@1", "b@1"}
    assert not requests.apply(request(1, 51.0, "c@1"), 11.1)
    assert requests.apply(request(2, VALID_S, "b@1"), 11.4 + VALID_S)
    assert requests.ids(11.4 + VALID_S) == {"b@1"}


def test_the_requests_of_a_lost_holder_expire() -> None:
    requests = EvacuationRequests(TIMES, claimed_s=0.0)
    requests.apply(request(1, 50.0, "a@1"), 10.0)
    requests.apply(request(2, 0.1), 11.0)
    assert requests.ids(10.0 + TIMES.machine_lease_s - 0.1) == {"a@1"}
    assert requests.ids(10.0 + TIMES.machine_lease_s) == set()


def test_a_new_pool_owner_waits_for_a_holder_or_for_all_orders() -> None:
    requests = EvacuationRequests(TIMES, claimed_s=5.0)
    requests.apply(request(1, 0.1), 5.1)
    assert not requests.is_settled(5.1)
    assert requests.is_settled(5.0 + MAX_CONFIRMED_AGE_S + VALID_S)
    requests.apply(request(1, VALID_S), 5.0 + VALID_S)
    assert requests.is_settled(5.0 + VALID_S)


# A worker that is back after a crash is taken away with its machine as well.
async def test_a_restarted_worker_on_a_requested_machine_gets_no_tasks() -> (
    None
):
    async with running_fleet(hosts=1, workers=2) as fleet:
        await fleet.timers.advance(4.0)
        fleet.machines.is_down = True
        host = fleet.hosts[0]
        assert host.manager is not None
        evacuation = host.manager.duties.owners_by_pool[POOL].evacuation
        assert evacuation is not None
        token = 2**40
        order = msgspec.structs.replace(
            request(token, 50.0, "i-1@1"), machine_ids=["m-1"]
        )
        evacuation.handle_request(order)
        fleet.workers.kill("i-1")
        fleet.restart_worker("i-1", started_ms=2)
        await fleet.timers.advance(1.5)
        evacuation.handle_request(order)
        assert evacuating_ids(host) >= {"i-1@1", "i-1@2"}
