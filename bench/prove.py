"""Checks that each test fails without the mechanism that it is to prove."""

import os
import pathlib
import subprocess
import sys

import msgspec

from coltsfootseam.testbed.switches import VARIABLE, registered_switches

RESULT_PATH = pathlib.Path("bench/results/proofs.json")


class Proof(msgspec.Struct, frozen=True):
    """A test and the switch of the mechanism without which it must fail."""

    switch: str
    test: str


class Verdict(msgspec.Struct, frozen=True):
    """Results of a test without and with its mechanism."""

    switch: str
    test: str
    without: str
    with_it: str

    def is_proven(self) -> bool:
        """Returns whether the test fails only without the mechanism."""
        return (self.without, self.with_it) == ("failed", "passed")


PROOFS = [
    Proof(
        "availability-budget",
        "tests/cover/test_fold.py::"
        "test_a_drain_beyond_the_availability_budget_is_refused",
    ),
    Proof("availability-budget", "tests/cover/test_fold_machine.py::TestFold"),
    Proof(
        "one-owner",
        "tests/cover/test_fold.py::"
        "test_a_host_belongs_to_one_pool_whoever_races",
    ),
    Proof("one-owner", "tests/cover/test_fold_machine.py::TestFold"),
    Proof(
        "cut-answers",
        "tests/nocover/test_endpoint_faults.py::"
        "test_a_cut_answer_is_never_taken_for_the_whole",
    ),
    Proof(
        "true-not-run",
        "tests/nocover/test_endpoint_faults.py::"
        "test_not_run_is_true_after_an_attempt_that_may_have_run",
    ),
    Proof(
        "idempotency-keys",
        "tests/nocover/test_endpoint_faults.py::"
        "test_what_may_not_be_repeated_runs_once_though_callers_retry",
    ),
    Proof(
        "leaving-endpoints",
        "tests/nocover/test_whole_path.py::"
        "test_a_leaving_endpoint_gets_no_new_work_though_the_list_lags",
    ),
    Proof(
        "graceful-stop",
        "tests/nocover/test_whole_path.py::"
        "test_a_planned_stop_of_every_entry_host_interrupts_nothing",
    ),
    Proof(
        "never-back",
        "tests/cover/test_replication.py::"
        "test_state_from_a_peer_never_goes_back",
    ),
    Proof(
        "silent-members",
        "tests/cover/test_granted.py::"
        "test_a_dispatcher_paused_for_ten_seconds_over_grants_nothing",
    ),
    Proof(
        "stale-grants",
        "tests/cover/test_granted.py::"
        "test_a_grant_of_an_earlier_term_is_not_taken",
    ),
    Proof(
        "unique-epochs",
        "tests/cover/test_journals.py::test_two_claims_never_share_an_epoch",
    ),
    Proof(
        "unique-epochs",
        "tests/cover/test_ownership_machine.py::TestOwnershipMachine",
    ),
    Proof(
        "journal-before-order",
        "tests/cover/test_jobs_path.py::"
        "test_a_dead_owner_is_followed_without_a_second_run",
    ),
    Proof(
        "leases-waited-for",
        "tests/cover/test_bad_workers.py::"
        "test_a_worker_cut_from_the_new_owner_runs_no_task_twice",
    ),
    Proof(
        "starts-shut-out",
        "tests/cover/test_bad_workers.py::"
        "test_a_start_that_arrives_late_never_makes_a_second_run",
    ),
    Proof(
        "step-order",
        "tests/cover/test_jobs_path.py::test_a_job_runs_its_steps_in_order",
    ),
    Proof(
        "due-times",
        "tests/cover/test_kinds_of_steps.py::"
        "test_occurrences_start_when_they_are_due",
    ),
    Proof(
        "labels-and-limits",
        "tests/cover/test_placement.py::"
        "test_no_plan_goes_beyond_a_worker_or_a_step",
    ),
    Proof(
        "labels-and-limits",
        "tests/cover/test_kinds_of_steps.py::"
        "test_a_label_that_no_worker_has_is_waited_for",
    ),
    Proof(
        "room-on-workers",
        "tests/cover/test_placement.py::"
        "test_no_plan_goes_beyond_a_worker_or_a_step",
    ),
    Proof(
        "whole-gangs",
        "tests/cover/test_kinds_of_steps.py::"
        "test_a_gang_starts_whole_or_not_at_all",
    ),
    Proof(
        "attempts",
        "tests/cover/test_kinds_of_steps.py::"
        "test_a_task_that_fails_everywhere_fails_its_job",
    ),
    Proof(
        "cancels",
        "tests/cover/test_jobs_path.py::"
        "test_a_cancelled_job_is_stopped_and_stays_cancelled",
    ),
    Proof(
        "unknown-is-not-refused",
        "tests/cover/test_jobs_path.py::"
        "test_what_may_yet_be_stored_is_not_called_not_run",
    ),
    Proof(
        "newest-after-lost-history",
        "tests/cover/test_jobs_path.py::test_history_forgotten_behind_an_owner_s_back_loses_no_job",
    ),
    Proof(
        "stored-before-shown",
        "tests/cover/test_jobs_path.py::"
        "test_a_job_is_not_shown_as_completed_before_that_is_stored",
    ),
    Proof(
        "newer-configurations-only",
        "tests/cover/test_jobs_path.py::"
        "test_a_configuration_never_goes_back_to_an_older_one",
    ),
    Proof(
        "draining-workers",
        "tests/cover/test_kinds_of_steps.py::"
        "test_a_draining_worker_gets_nothing_and_gives_up_what_lasts",
    ),
    Proof(
        "may-miss",
        "tests/cover/test_machines.py::"
        "test_a_wave_stops_no_more_long_running_tasks_than_allowed",
    ),
    Proof(
        "orders-of-earlier-owners",
        "tests/cover/test_machines.py::"
        "test_a_late_order_of_a_killed_owner_counts_toward_the_limit",
    ),
    Proof(
        "pace",
        "tests/cover/test_pace.py::"
        "test_filling_tasks_slow_down_before_a_tail_reaches_its_target",
    ),
    Proof(
        "read-back-at-start",
        "tests/cover/test_jobs_path.py::"
        "test_loss_of_all_hosts_loses_no_accepted_job",
    ),
    Proof(
        "waves-seen-through",
        "tests/cover/test_machines.py::"
        "test_a_wave_maintains_every_machine_and_reports_it",
    ),
    Proof(
        "pages-kept",
        "tests/cover/test_loading.py::"
        "test_a_pool_is_owned_though_pages_fail_now_and_then",
    ),
    Proof(
        "stalled-duties-given-up",
        "tests/cover/test_loading.py::"
        "test_a_host_that_can_t_read_a_pool_gives_it_up_to_another",
    ),
    Proof(
        "requests-deleted",
        "tests/cover/test_retention.py::"
        "test_the_request_of_an_ended_job_leaves_the_store",
    ),
    Proof(
        "duties-to-larger-hosts",
        "tests/cover/test_standby.py::"
        "test_rebalancing_leaves_pools_with_the_capable_hosts",
    ),
    Proof(
        "ends-acknowledged",
        "tests/cover/test_jobs_path.py::"
        "test_ends_are_acknowledged_soon_and_forgotten_by_workers",
    ),
    Proof(
        "crashes-assessed",
        "tests/cover/test_deadly_tasks.py::"
        "test_a_task_that_crashes_its_workers_is_given_up",
    ),
    Proof(
        "confirmed-runs-only",
        "tests/cover/test_deadly_tasks.py::"
        "test_an_order_to_a_worker_that_is_gone_proves_nothing",
    ),
    Proof(
        "starts-fit-when-sent",
        "tests/cover/test_capacity_changes.py::"
        "test_starts_that_wait_to_be_sent_see_that_a_worker_shrank",
    ),
    Proof(
        "starts-within-quota",
        "tests/cover/test_team_quotas.py::"
        "test_two_pools_share_the_limit_of_a_team",
    ),
    Proof(
        "coordinators-fenced",
        "tests/cover/test_quota_faults.py::test_the_coordinator_is_lost",
    ),
    Proof(
        "lives-told-apart",
        "tests/cover/test_restarted_workers.py::"
        "test_a_start_that_reaches_the_next_life_is_not_repeated_elsewhere",
    ),
    Proof(
        "token-for-each-life",
        "tests/cover/test_late_starts_refused.py::"
        "test_the_next_life_refuses_a_copy_once_its_owner_has_called_it",
    ),
    Proof(
        "copies-arrived-before-confirmed",
        "tests/cover/test_late_starts.py::"
        "test_a_copy_that_arrives_in_the_next_life_runs_beside_no_other",
    ),
    Proof(
        "inherited-leases-of-young-lives",
        "tests/cover/test_leases_over_owners.py::"
        "test_a_later_owner_waits_for_a_lease_of_the_life_before",
    ),
    Proof(
        "inherited-leases-of-links",
        "tests/cover/test_restarted_workers.py::"
        "test_a_restarted_worker_that_is_cut_off_keeps_its_runs",
    ),
    Proof(
        "queues-admitted",
        "tests/cover/test_inbox_appender.py::"
        "test_a_host_with_an_old_view_stores_no_job",
    ),
    Proof(
        "machines-remembered",
        "tests/cover/test_power_failures.py::"
        "test_lasting_tasks_of_a_lost_machine_run_again_in_time",
    ),
]


def _run(test: str, switched_off: str) -> str:
    environment = {**os.environ, VARIABLE: switched_off}
    finished = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-x", test],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    names = {0: "passed", 1: "failed"}
    return names.get(finished.returncode, f"error {finished.returncode}")


def main() -> None:
    """Runs every proof; the exit code is 1 if one of them proves nothing."""
    assert {proof.switch for proof in PROOFS} == set(registered_switches())
    verdicts: list[Verdict] = []
    for proof in PROOFS:
        without = _run(proof.test, proof.switch)
        with_it = _run(proof.test, "")
        verdicts.append(Verdict(proof.switch, proof.test, without, with_it))
        print(f"without {proof.switch}: {without}, with it: {with_it}")
        print(f"    {proof.test}", flush=True)
    RESULT_PATH.parent.mkdir(parents=True, exist_ok=True)
    RESULT_PATH.write_bytes(
        msgspec.json.format(msgspec.json.encode(verdicts)) + b"\n"
    )
    sys.exit(0 if all(verdict.is_proven() for verdict in verdicts) else 1)


if __name__ == "__main__":
    main()
