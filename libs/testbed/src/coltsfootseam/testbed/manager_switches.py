"""Mechanisms of the manager that can be switched off."""

from collections.abc import Callable
from typing import Any

import msgspec

from coltsfootseam.jobs import (
    JobRequest,
    JobTable,
    Occurrence,
    Run,
    RunEnd,
    Task,
)
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.jobs import inbox_appender, job_service
from coltsfootseam.manager.machines.machine_orders import MachineOrders
from coltsfootseam.manager.machines.waves import Waves
from coltsfootseam.manager.machines.worker_incarnations import (
    WorkerIncarnations,
)
from coltsfootseam.manager.membership.duty_manager import DutyManager
from coltsfootseam.manager.membership.standby import Standby
from coltsfootseam.manager.orders import start_capacity
from coltsfootseam.manager.orders.worker_lives import WorkerLives
from coltsfootseam.manager.peer_handlers import PeerHandlers
from coltsfootseam.manager.pools import crash_evidence, pacer
from coltsfootseam.manager.pools.interruptions import Interruptions
from coltsfootseam.manager.pools.retention import Retention
from coltsfootseam.manager.quotas.team_limits import TeamLimits
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.scheduling import (
    CrashAssessment,
    WorkerCapacity,
    crashes,
    step_placement,
)
from coltsfootseam.store import (
    Journal,
    LatestRecords,
    LatestRecordsReader,
    Tail,
    journal,
)
from coltsfootseam.teams.quota import QuotaLedger, ledger
from coltsfootseam.testbed.switchboard import replace, switch
from coltsfootseam.workers import WorkerEntry, WorkerLease, WorkerLink


@switch("unique-epochs")
def _give_all_claims_one_epoch() -> None:
    replace(journal, "epoch_of_claim", lambda offset: 1)


@switch("journal-before-order")
def _order_before_commit() -> None:
    async def commit(pool_journal: Journal, records: Any) -> None:
        del records
        pool_journal.confirmed_s = float("inf")

    replace(Journal, "commit", commit)


@switch("leases-waited-for")
def _treat_unreachable_workers_as_dead() -> None:
    replace(WorkerLease, "has_ended", lambda lease: True)


@switch("lives-told-apart")
def _end_all_runs_with_their_incarnation() -> None:
    replace(WorkerLives, "may_be_redirected", lambda lives, task, run: False)


@switch("queues-admitted")
def _store_jobs_wherever_asked() -> None:
    replace(inbox_appender, "_is_met", lambda item, view: True)


@switch("machines-remembered")
def _forget_which_worker_was_on_which_machine() -> None:
    replace(WorkerIncarnations, "restore", lambda known, latest, now_s: None)


@switch("starts-shut-out")
def _drop_unanswered_starts() -> None:
    stop_run = JobTable.stop_run

    def stop(job_table: JobTable, task: Task, run: Run, reason: str) -> None:
        if reason == "start without an answer":
            job_table.end_run(task, run, RunEnd.NEVER_STARTED, "", 0)
        else:
            stop_run(job_table, task, run, reason)

    replace(JobTable, "stop_run", stop)


@switch("step-order")
def _start_steps_at_once() -> None:
    replace(Occurrence, "is_step_ready", lambda occurrence, step: True)


@switch("due-times")
def _start_occurrences_at_once() -> None:
    replace(JobRequest, "due_ms", lambda request, occurrence: 0)


@switch("labels-and-limits")
def _ignore_labels_and_limits() -> None:
    replace(WorkerCapacity, "may_run", lambda worker, step, key: True)


@switch("room-on-workers")
def _ignore_capacity() -> None:
    replace(WorkerCapacity, "fits", lambda worker, step: True)


@switch("whole-gangs")
def _start_partial_gangs() -> None:
    replace(
        step_placement, "is_partial_gang", lambda step, placed, requested: False
    )


@switch("attempts")
def _retry_forever() -> None:
    replace(ClusterState, "max_attempts_of", lambda cluster, request: 1_000_000)


@switch("cancels")
def _ignore_cancels() -> None:
    replace(JobTable, "cancel", lambda job_table, job_id, now_ms: None)


@switch("unknown-is-not-refused")
def _report_unknown_outcomes_as_not_run() -> None:
    def refuse(code: ResultCode, reason: str) -> Refusal:
        if code is ResultCode.OUTCOME_UNKNOWN:
            code = ResultCode.NOT_RUN_OVERLOADED
        return Refusal(code, reason)

    replace(job_service, "Refusal", _RefusalFactory(refuse))


@switch("newest-after-lost-history")
def _skip_records_lost_from_history() -> None:
    apply_latest = Tail._apply_latest

    def apply(tail: Tail, latest: Any) -> None:
        was_read_before = tail._next_offset > 0
        records = [] if was_read_before else latest.records
        apply_latest(tail, msgspec.structs.replace(latest, records=records))

    replace(Tail, "_apply_latest", apply)


@switch("read-back-at-start")
def _start_without_stored_records() -> None:
    apply_latest = Tail._apply_latest

    def apply(tail: Tail, latest: Any) -> None:
        apply_latest(tail, msgspec.structs.replace(latest, records=[]))

    replace(Tail, "_apply_latest", apply)


@switch("pages-kept")
def _restart_reading_at_each_failed_page() -> None:
    read = LatestRecordsReader.read

    async def read_from_start(
        reader: LatestRecordsReader,
    ) -> LatestRecords | Refusal:
        result = await read(reader)
        if isinstance(result, Refusal):
            reader._records.clear()
            reader._after_key = ""
            reader.pages = 0
        return result

    replace(LatestRecordsReader, "read", read_from_start)


@switch("stalled-duties-given-up")
def _never_abandon_stalled_duties() -> None:
    replace(DutyManager, "_check_progress", lambda manager: None)


@switch("requests-deleted")
def _keep_every_request() -> None:
    async def keep(retention: Retention) -> None:
        del retention

    replace(Retention, "delete_requests", keep)


@switch("duties-to-larger-hosts")
def _keep_every_host_in_the_group() -> None:
    replace(Standby, "is_surplus", lambda standby, duties: False)


@switch("waves-seen-through")
def _treat_every_wave_as_complete() -> None:
    replace(Waves, "_is_complete", lambda waves, wave, progress, view: True)


@switch("ends-acknowledged")
def _acknowledge_no_end() -> None:
    replace(WorkerLink, "acknowledge", lambda link, sequence: None)


@switch("stored-before-shown")
def _show_unstored_state() -> None:
    async def handle(handlers: PeerHandlers, request: Any) -> Any:
        reply = await handle_job_status(handlers, request)
        owner = handlers._owner(request.pool)
        if owner is None or owner.state is None:
            return reply
        job = owner.state.job_table.jobs_by_id.get(request.job_id)
        state = None if job is None else job.state
        return msgspec.structs.replace(reply, state=state)

    handle_job_status = PeerHandlers.handle_job_status
    replace(PeerHandlers, "handle_job_status", handle)


@switch("newer-configurations-only")
def _apply_any_configuration() -> None:
    apply_configuration = ClusterState._apply_configuration

    def apply(cluster: ClusterState, new: Any) -> None:
        cluster.configuration = None
        apply_configuration(cluster, new)

    replace(ClusterState, "_apply_configuration", apply)


@switch("draining-workers")
def _ignore_draining_of_workers() -> None:
    apply_worker_entry = ClusterState._apply_worker_entry

    def apply(cluster: ClusterState, record: Any) -> None:
        apply_worker_entry(cluster, record)
        entry = cluster.workers_by_instance.get(record.key)
        if entry is not None:
            cluster.workers_by_instance[record.key] = msgspec.structs.replace(
                entry, is_draining=False
            )

    replace(ClusterState, "_apply_worker_entry", apply)


@switch("may-miss")
def _ignore_may_miss_limits() -> None:
    replace(Interruptions, "_may_interrupt", lambda interruptions, task: True)


@switch("orders-of-earlier-owners")
def _forget_orders_of_earlier_owners() -> None:
    replace(MachineOrders, "restore", lambda orders, latest: None)
    replace(Waves, "restore", lambda waves, latest: None)


@switch("pace")
def _never_slow_down() -> None:
    replace(pacer, "plan_pace", lambda serving, best_effort: [])


class _RefusalFactory:
    """Replaces the class `Refusal`, also in ``isinstance``."""

    def __init__(self, make: Callable[[ResultCode, str], Refusal]) -> None:
        self._make = make

    def __call__(self, code: ResultCode, reason: str) -> Refusal:
        """Returns a refusal, possibly with another code."""
        return self._make(code, reason)

    def __instancecheck__(self, value: Any) -> bool:
        """Returns whether a value is a refusal."""
        return isinstance(value, Refusal)


@switch("crashes-assessed")
def _ignore_crashes() -> None:
    replace(
        crash_evidence,
        "assess_crash",
        lambda pairs, rate: CrashAssessment([], []),
    )


@switch("confirmed-runs-only")
def _count_unconfirmed_runs() -> None:
    replace(crashes, "is_confirmed", lambda run: True)
    replace(crash_evidence, "is_confirmed", lambda run: True)


@switch("starts-fit-when-sent")
def _send_starts_that_no_longer_fit() -> None:
    replace(start_capacity, "fits_beside", lambda task, occupied, entry: True)


@switch("starts-within-quota")
def _start_beyond_the_quota() -> None:
    replace(TeamLimits, "allowed", lambda limits, ready, count: count)


@switch("coordinators-fenced")
def _grant_at_once_after_the_claim() -> None:
    def may_change(quotas: QuotaLedger, *ages_s: float) -> bool:
        del quotas, ages_s
        return True

    replace(ledger, "SUCCESSOR_SILENT_S", 0.0)
    replace(QuotaLedger, "_may_change", may_change)


@switch("token-for-each-life")
def _give_all_lives_the_token_of_the_claim() -> None:
    take_token = WorkerLives.take_token

    def take(lives: WorkerLives, entry: WorkerEntry) -> int | None:
        token = take_token(lives, entry)
        return None if token is None else lives._journal.epoch

    replace(WorkerLives, "take_token", take)


@switch("copies-arrived-before-confirmed")
def _confirm_runs_while_copies_are_under_way() -> None:
    replace(
        WorkerLives, "have_copies_arrived", lambda lives, run, listed_s: True
    )


@switch("inherited-leases-of-young-lives")
def _count_granted_leases_only_after_a_takeover() -> None:
    replace(
        WorkerLives, "may_hold_inherited", lambda lives, worker_id, pairs: False
    )


@switch("inherited-leases-of-links")
def _count_granted_leases_only_on_next_lives() -> None:
    def inherited_lease_s(lives: WorkerLives, entry: WorkerEntry) -> float:
        del entry
        return lives._context.times.lease_s

    replace(WorkerLives, "inherited_lease_s", inherited_lease_s)
