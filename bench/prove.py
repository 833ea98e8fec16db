"""Shows that each proof fails without its mechanism and passes with it."""

import os
import pathlib
import subprocess
import sys

import msgspec

from coltsfootseam.testbed.switches import VARIABLE, registered_switches

RESULT_PATH = pathlib.Path("bench/results/proofs.json")


class Proof(msgspec.Struct, frozen=True):
    """A test and the mechanism without which it must fail."""

    switch: str
    test: str


class Verdict(msgspec.Struct, frozen=True):
    """How a proof's test ended without and with its mechanism."""

    switch: str
    test: str
    without: str
    with_it: str

    def holds(self) -> bool:
        """Tells whether the proof is one."""
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
    """Runs every proof; the exit code is 1 if one does not hold."""
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
    sys.exit(0 if all(verdict.holds() for verdict in verdicts) else 1)


if __name__ == "__main__":
    main()
