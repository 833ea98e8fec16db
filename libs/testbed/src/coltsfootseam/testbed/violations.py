"""Counting what must never happen, from what stand-ins and callers saw."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from coltsfootseam.standins.endpoint import EndpointTally
from coltsfootseam.testbed.load import CallerResult, ResultKind


class Violations(msgspec.Struct):
    """Counts per invariant; all must be 0.

    Attributes:
        wrong_answers: Answers given as whole that were not the right one.
        false_not_run: Tries refused as not run that an endpoint ran.
        run_twice: Operations that may not be repeated and ran more than once.
        work_after_leaving: Requests to an endpoint later than its grace.
        interrupted: Requests of callers whose connection broke.
        two_pools: Requests to a host of one pool while another's ran there.
        version_went_back: Requests under an older ownership than seen.
        budget_breaches: Times at which more hosts of a pool were down than
            its contract allows, for reasons that the system chose.
        host_in_two_pools: Offsets at which a host had two owners.
        configuration_reverted: Times at which an entry host went back.
        unanswered: Requests that ended without any answer.
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
    """Counts the violations that show at callers and endpoints."""
    violations = Violations()
    runs_by_attempt: Counter[str] = Counter()
    for tally in tallies:
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
        ran = runs_by_attempt[result.attempt_id()]
        violations.wrong_answers += result.kind is ResultKind.WRONG
        violations.interrupted += result.kind is ResultKind.BROKEN
        violations.unanswered += result.kind is ResultKind.UNSENT
        violations.false_not_run += (
            result.kind is ResultKind.NOT_RUN and ran > 0
        )
        if not result.request.repeatable:
            unrepeatable.add(result.request.operation)
    runs_by_operation: Counter[str] = Counter()
    for name, runs in runs_by_attempt.items():
        runs_by_operation[name.rpartition("#")[0]] += runs
    violations.run_twice = sum(
        1 for operation in unrepeatable if runs_by_operation[operation] > 1
    )
