"""Runs every specified fault alone and in pairs against real processes.

The first argument is a seed; the same seed repeats a run.
"""

import asyncio
import sys

from bench.results import make_row, write_rows
from coltsfootseam.testbed.matrix import (
    CaseResult,
    FaultCase,
    all_cases,
    run_case,
)

RESULT_PATH = "bench/results/faults.json"
SEED = 1000
MAX_CONCURRENT_CASES = 3


async def run_matrix(cases: list[FaultCase]) -> list[CaseResult]:
    """Runs all cases, up to ``MAX_CONCURRENT_CASES`` at once."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CASES)
    results: list[CaseResult] = []

    async def run_one(case: FaultCase) -> None:
        async with semaphore:
            result = await run_case(case)
        results.append(result)
        total = result.violations.total()
        names = " + ".join(case.names)
        print(f"{total} violations: {names}, seed {case.seed}", flush=True)
        if total:
            print(f"    {result.violations}", flush=True)

    await asyncio.gather(*(run_one(case) for case in cases))
    return results


def main() -> None:
    """Runs the matrix; the exit code is 1 if there were violations."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    print(f"seed {seed}")
    results = asyncio.run(run_matrix(all_cases(seed)))
    rows = [
        make_row(
            " + ".join(result.case.names),
            f"violations, seed {result.case.seed}",
            "count",
            result.violations.total(),
        )
        for result in results
    ]
    write_rows(RESULT_PATH, sorted(rows, key=lambda row: row.case))
    total = sum(result.violations.total() for result in results)
    print(f"{len(results)} cases, {total} violations")
    sys.exit(1 if total else 0)


if __name__ == "__main__":
    main()
