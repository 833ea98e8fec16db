"""Counts violations that stand-ins and callers observed."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from coltsfootseam.standins.endpoint import EndpointTally
from coltsfootseam.testbed.load import CallerResult, ResultKind


class Violations(msgspec.Struct):
    """Counts of violated invariants; all must be 0.

    Attributes:
        wrong_answers: Complete responses whose content was not correct.
        false_not_run: Attempts reported as not run although an endpoint ran
            them.
        run_twice: Operations that must not be repeated and ran more than once.
        work_after_leaving: Requests that an endpoint received although it had
            been leaving for longer than the grace period.
        interrupted: Attempts of callers whose connection broke.
        two_pools: Requests that a host got while it ran those of another
            pool.
        version_went_back: Requests with an older ownership version than an
            earlier request to the same endpoint.
        budget_breaches: Accepted drains after which more hosts of a pool were
            down than its contract allows.
        host_in_two_pools: Claims accepted for a host that had an owner.
        configuration_reverted: Times at which an entry host returned to an
            older configuration.
        unanswered: Attempts that no entry host accepted.
    """

    wrong_answers: int = 0
    false_not_run: int = 0
    run_twice: int = 0
    work_after_leaving: int = 0
    interrupted: int = 0
    two_pools: int = 0
    version_went_back: int = 0
    budget_breaches: int = 0
    host_in_two_pools: int = 0
    configuration_reverted: int = 0
    unanswered: int = 0

    def total(self) -> int:
        """Returns the sum of all counts."""
        return sum(msgspec.structs.astuple(self))


def count_violations(
    results: Iterable[CallerResult], tallies: Iterable[EndpointTally]
) -> Violations:
    """Returns the violations that callers and endpoints observed.

    Counts that neither callers nor endpoints can observe are left at 0.
    """
    violations = Violations()
    runs_by_attempt: Counter[str] = Counter()
    for tally in tallies:
        # Callers send the id of the attempt as the operation.
        runs_by_attempt.update(tally.runs_by_operation)
        violations.work_after_leaving += tally.work_after_leaving
        violations.two_pools += tally.two_pools
        violations.version_went_back += tally.version_went_back
    _count_results(violations, results, runs_by_attempt)
    return violations


def _count_results(
    violations: Violations,
    results: Iterable[CallerResult],
    runs_by_attempt: Counter[str],
) -> None:
    unrepeatable: set[str] = set()
    for result in results:
        runs = runs_by_attempt[result.attempt_id()]
        violations.wrong_answers += result.kind is ResultKind.WRONG
        violations.interrupted += result.kind is ResultKind.BROKEN
        violations.unanswered += result.kind is ResultKind.UNSENT
        violations.false_not_run += (
            result.kind is ResultKind.NOT_RUN and runs > 0
        )
        if not result.request.repeatable:
            unrepeatable.add(result.request.operation)
    runs_by_operation: Counter[str] = Counter()
    for attempt_id, runs in runs_by_attempt.items():
        # Removes the number of the attempt.
        runs_by_operation[attempt_id.rpartition("#")[0]] += runs
    violations.run_twice = sum(
        1 for operation in unrepeatable if runs_by_operation[operation] > 1
    )
