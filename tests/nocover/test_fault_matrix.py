"""A few pairs of faults; ``make faults`` runs all cases of the matrix."""

import pytest

from coltsfootseam.testbed.faults import faults_by_name
from coltsfootseam.testbed.matrix import FaultCase, all_cases, run_case

CASES = [
    FaultCase(("entry-killed", "log-down"), 1),
    FaultCase(("endpoint-failing", "entry-replaced"), 2),
    FaultCase(("endpoint-leaving", "peers-silent"), 3),
    FaultCase(("entry-paused", "log-loses-answers"), 4),
    FaultCase(("endpoint-cutting", "entry-stopped"), 5),
    FaultCase(("endpoint-hanging", "peers-cut"), 6),
]


@pytest.mark.parametrize(
    "case", CASES, ids=["+".join(case.names) for case in CASES]
)
async def test_no_promise_is_broken_under_two_faults(case: FaultCase) -> None:
    result = await run_case(case)
    assert result.violations.total() == 0, result


def test_the_matrix_has_each_fault_alone_and_each_pair() -> None:
    count = len(faults_by_name)
    assert len(all_cases(0)) == count + count * (count - 1) // 2
