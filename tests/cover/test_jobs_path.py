"""Jobs from submission to their end, under failures of each component."""

from coltsfootseam.jobs import JobState, Step, job_key
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.store import Claim, claim_journal
from tests.common.fleets import POOL, running_fleet

SMALL = Step(cpu_millis=1000, estimate_ms=500)
LONG = Step(cpu_millis=1000, estimate_ms=4000)


async def test_a_job_runs_its_steps_in_order() -> None:
    async with running_fleet() as fleet:
        first = Step(count=3, cpu_millis=1000, estimate_ms=500)
        second = Step(count=2, cpu_millis=500, estimate_ms=500, after=(0,))
        await fleet.accept(fleet.hosts[0], "a" * 16, first, second)
        most_steps = 0

        def has_second_step_started() -> bool:
            nonlocal most_steps
            running = {
                task.step
                for worker in fleet.workers.workers_by_instance.values()
                for task in worker.runs_by_task
            }
            most_steps = max(most_steps, len(running))
            return 1 in running

        await fleet.wait_until(has_second_step_started)
        assert most_steps == 1
        await fleet.wait_for_state("a" * 16, JobState.COMPLETED)
        steps = [order.task.step for order in fleet.workers.starts]
        assert steps == [0, 0, 0, 1, 1]


async def test_the_same_id_through_two_hosts_is_one_job() -> None:
    async with running_fleet() as fleet:
        for host in fleet.hosts:
            await fleet.accept(host, "b" * 16, SMALL)
        await fleet.wait_for_state("b" * 16, JobState.COMPLETED)
        await fleet.timers.advance(2.0)
        assert fleet.started("b" * 16) == 1


async def test_a_job_that_was_never_submitted_is_unknown() -> None:
    async with running_fleet() as fleet:
        state = await fleet.state(fleet.hosts[0], "c" * 16)
        assert isinstance(state, Refusal)
        assert state.code is ResultCode.JOB_UNKNOWN


async def test_a_cancelled_job_is_stopped_and_stays_cancelled() -> None:
    async with running_fleet(duration_of=lambda task: 60.0) as fleet:
        await fleet.accept(fleet.hosts[0], "d" * 16, SMALL)
        await fleet.wait_until(lambda: fleet.started("d" * 16) == 1)
        assert await fleet.cancel(fleet.hosts[1], "d" * 16) is OK
        await fleet.timers.advance(1.0)
        workers = fleet.workers.workers_by_instance.values()
        assert not any(worker.runs_by_task for worker in workers)
        await fleet.wait_for_state("d" * 16, JobState.CANCELLED)


async def test_a_dead_owner_is_followed_without_a_second_run() -> None:
    async with running_fleet(duration_of=lambda task: 4.0) as fleet:
        await fleet.accept(fleet.hosts[0], "e" * 16, LONG)
        await fleet.wait_until(lambda: fleet.started("e" * 16) == 1)
        owner = fleet.owner()
        await owner.kill()
        await fleet.accept(fleet.non_owner(), "f" * 16, LONG)
        takeover_s = await fleet.wait_until(
            lambda: fleet.started("f" * 16) == 1
        )
        assert takeover_s < 2.0
        await fleet.wait_for_state("e" * 16, JobState.COMPLETED)
        assert fleet.started("e" * 16) == 1


async def test_a_frozen_owner_does_nothing_after_it_wakes() -> None:
    async with running_fleet(duration_of=lambda task: 3.0) as fleet:
        await fleet.accept(fleet.hosts[0], "1" * 16, SMALL)
        await fleet.wait_until(lambda: fleet.started("1" * 16) == 1)
        owner = fleet.owner()
        other = fleet.non_owner()
        owner.timers.is_frozen = True
        await fleet.timers.advance(4.0)
        owner.timers.thaw()
        await fleet.accept(other, "2" * 16, SMALL)
        await fleet.wait_for_state("1" * 16, JobState.COMPLETED)
        await fleet.wait_for_state("2" * 16, JobState.COMPLETED)
        assert fleet.started("1" * 16) == 1
        assert fleet.started("2" * 16) == 1


async def test_an_owner_cut_off_from_the_store_releases_its_duties() -> None:
    async with running_fleet(duration_of=lambda task: 8.0) as fleet:
        await fleet.accept(fleet.hosts[0], "3" * 16, SMALL)
        await fleet.wait_until(lambda: fleet.started("3" * 16) == 1)
        owner = fleet.owner()
        owner.store.faults.is_down = True
        await fleet.wait_until(
            lambda: any(
                host.owns() for host in fleet.hosts if host is not owner
            )
        )
        await fleet.wait_until(lambda: not owner.owns())
        await fleet.wait_for_state("3" * 16, JobState.COMPLETED)
        assert fleet.started("3" * 16) == 1


async def test_a_host_cut_off_from_the_store_forwards_jobs_to_a_peer() -> None:
    async with running_fleet() as fleet:
        cut = fleet.non_owner()
        cut.store.faults.is_down = True
        await fleet.accept(cut, "4" * 16, SMALL)
        await fleet.wait_for_state("4" * 16, JobState.COMPLETED)


async def test_jobs_are_refused_and_leases_go_on_while_the_store_is_down() -> (
    None
):
    async with running_fleet(duration_of=lambda task: 9.0) as fleet:
        await fleet.accept(fleet.hosts[0], "5" * 16, SMALL)
        await fleet.wait_until(lambda: fleet.started("5" * 16) == 1)
        for host in fleet.hosts:
            host.store.faults.is_down = True
        refusal = await fleet.submit(fleet.hosts[1], "6" * 16, SMALL)
        assert refusal.code is ResultCode.NOT_RUN_OVERLOADED
        await fleet.timers.advance(11.0)
        for host in fleet.hosts:
            host.store.faults.is_down = False
        await fleet.wait_for_state("5" * 16, JobState.COMPLETED)
        assert fleet.started("5" * 16) == 1
        assert fleet.started("6" * 16) == 0


async def test_lost_and_late_replies_of_the_store_have_no_effect() -> None:
    async with running_fleet() as fleet:
        for host in fleet.hosts:
            host.store.faults.lost_reply_share = 0.4
            host.store.faults.delay_s = 0.7
        ids = [f"{number:016x}" for number in range(8)]
        for job_id in ids:
            outcome = await fleet.submit(fleet.hosts[0], job_id, SMALL)
            while outcome is not OK:
                outcome = await fleet.submit(fleet.hosts[1], job_id, SMALL)
        for job_id in ids:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)
            assert fleet.started(job_id) == 1


async def test_forgotten_history_loses_no_job() -> None:
    async with running_fleet(duration_of=lambda task: 2.0) as fleet:
        await fleet.accept(fleet.hosts[0], "7" * 16, SMALL)
        await fleet.timers.advance(0.5)
        fleet.store.drop_history()
        await fleet.accept(fleet.hosts[1], "8" * 16, SMALL)
        await fleet.owner().kill()
        fleet.store.drop_history()
        await fleet.wait_for_state("7" * 16, JobState.COMPLETED)
        await fleet.wait_for_state("8" * 16, JobState.COMPLETED)


async def test_history_forgotten_behind_an_owner_s_back_loses_no_job() -> None:
    async with running_fleet() as fleet:
        owner = fleet.owner()
        await fleet.accept(owner, "7" * 16, SMALL)
        await fleet.wait_for_state("7" * 16, JobState.COMPLETED)
        owner.store.faults.is_down = True
        await fleet.accept(fleet.non_owner(), "8" * 16, SMALL)
        fleet.store.drop_history()
        await fleet.timers.advance(0.3)
        owner.store.faults.is_down = False
        await fleet.wait_for_state("8" * 16, JobState.COMPLETED)


async def test_loss_of_all_hosts_loses_no_accepted_job() -> None:
    async with running_fleet(duration_of=lambda task: 2.0) as fleet:
        await fleet.accept(fleet.hosts[0], "9" * 16, SMALL)
        for host in fleet.hosts:
            await host.kill()
        await fleet.timers.advance(9.5)
        for host in fleet.hosts:
            host.start()
        await fleet.wait_until(lambda: any(h.owns() for h in fleet.hosts))
        await fleet.wait_for_state("9" * 16, JobState.COMPLETED)


async def test_an_unresponsive_store_is_reported_to_callers_at_once() -> None:
    async with running_fleet() as fleet:
        for host in fleet.hosts:
            host.store.faults.is_unresponsive = True
        await fleet.timers.advance(2.5)
        started_s = fleet.timers.now_s()
        refusal = await fleet.submit(fleet.hosts[0], "a" * 16, SMALL)
        assert refusal.code is ResultCode.NOT_RUN_OVERLOADED
        assert fleet.timers.now_s() - started_s < 0.5
        for host in fleet.hosts:
            host.store.faults.is_unresponsive = False
        await fleet.timers.advance(3.0)
        assert fleet.started("a" * 16) == 0


async def test_a_planned_stop_hands_its_pools_over() -> None:
    async with running_fleet(hosts=3, duration_of=lambda task: 3.0) as fleet:
        await fleet.accept(fleet.hosts[0], "a" * 16, LONG)
        await fleet.wait_until(lambda: fleet.started("a" * 16) == 1)
        owner = fleet.owner()
        assert owner.manager is not None
        await fleet.run(owner.manager.leave())
        await fleet.accept(fleet.non_owner(), "b" * 16, LONG)
        handover_s = await fleet.wait_until(
            lambda: fleet.started("b" * 16) == 1
        )
        assert handover_s < 1.0
        await fleet.wait_for_state("a" * 16, JobState.COMPLETED)
        assert fleet.started("a" * 16) == 1


async def test_a_pool_keeps_its_owner_when_hosts_come_and_go() -> None:
    async with running_fleet(hosts=2) as fleet:
        owner = fleet.owner()
        third = fleet.add_host()
        await fleet.timers.advance(3.0)
        assert owner.owns()
        await third.kill()
        await fleet.timers.advance(3.0)
        assert owner.owns()


async def test_an_owner_with_nothing_to_store_notices_its_successor() -> None:
    async with running_fleet(hosts=2, duration_of=lambda task: 1e9) as fleet:
        await fleet.accept(fleet.hosts[0], "a" * 16, SMALL)
        await fleet.wait_until(lambda: fleet.started("a" * 16) == 1)
        owner = fleet.owner()
        fleet.peers.cut_addresses = {owner.address}
        claim = Claim("somebody", "10.0.0.9:1")
        assert owner.manager is not None
        await fleet.run(
            claim_journal(
                fleet.store.client(),
                fleet.timers,
                owner.manager.context.journal_of(POOL),
                f"pool.{POOL}",
                claim,
            )
        )
        await fleet.timers.advance(1.5)
        state = owner.manager.duties.owners_by_pool.get(POOL)
        assert (
            state is None
            or state.state is None
            or (state.state.journal.epoch > 1)
        )


async def test_a_store_outage_does_not_change_the_owners() -> None:
    async with running_fleet(hosts=3) as fleet:
        owner = fleet.owner()
        for host in fleet.hosts:
            host.store.faults.is_unresponsive = True
        await fleet.timers.advance(4.0)
        for host in fleet.hosts:
            host.store.faults.is_unresponsive = False
            await fleet.timers.advance(0.3)
        await fleet.timers.advance(2.0)
        assert owner.owns()


async def test_an_unreadable_progress_document_still_gets_an_answer() -> None:
    async with running_fleet(workers=0) as fleet:
        owner = fleet.owner()
        other = fleet.non_owner()
        await fleet.accept(owner, "a" * 16)
        assert owner.manager is not None
        journal = owner.manager.context.journal_of(POOL)
        fleet.store.put(journal, job_key(POOL, "a" * 16), b"\xc1")
        await owner.kill()
        assert await fleet.state(other, "a" * 16) is JobState.QUEUED


async def test_what_may_yet_be_stored_is_not_called_not_run() -> None:
    async with running_fleet() as fleet:
        for host in fleet.hosts:
            host.store.faults.lost_reply_share = 1.0
            host.store.faults.delay_s = 0.7
        outcome = await fleet.submit(fleet.hosts[0], "a" * 16, SMALL)
        assert outcome.code is not ResultCode.NOT_RUN_OVERLOADED
        for host in fleet.hosts:
            host.store.faults.lost_reply_share = 0.0
        await fleet.wait_for_state("a" * 16, JobState.COMPLETED)


async def test_a_job_is_not_shown_as_completed_before_that_is_stored() -> None:
    async with running_fleet() as fleet:
        await fleet.accept(fleet.hosts[0], "a" * 16, SMALL)
        await fleet.wait_until(lambda: fleet.started("a" * 16) == 1)
        owner = fleet.owner()
        owner.store.faults.is_down = True
        await fleet.timers.advance(1.0)
        assert await fleet.state(owner, "a" * 16) is JobState.RUNNING
        owner.store.faults.is_down = False
        await fleet.wait_for_state("a" * 16, JobState.COMPLETED)


async def test_a_configuration_never_goes_back_to_an_older_one() -> None:
    async with running_fleet() as fleet:
        fleet.configure(7)
        await fleet.timers.advance(1.0)
        fleet.configure(3)
        await fleet.timers.advance(1.0)
        for host in fleet.hosts:
            assert host.manager is not None
            configuration = host.manager.cluster.configuration
            assert configuration is not None
            assert configuration.version == 7


async def test_ends_are_acknowledged_soon_and_forgotten_by_workers() -> None:
    async with running_fleet() as fleet:
        await fleet.accept(fleet.owner(), "a" * 16, SMALL)
        await fleet.wait_for_state("a" * 16, JobState.COMPLETED)
        await fleet.timers.advance(1.0)
        for worker in fleet.workers.workers_by_instance.values():
            assert worker.ended_runs == []
