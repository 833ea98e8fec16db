"""Runs plays of real processes in which a pool's owners end in series."""

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile

from bench.seeds import seeds_from_arguments
from tests.common.owner_plays import PlayResult, plan_rounds, run_play

COUNT = 6
ROUNDS = 4
TASK_S = 20.0


def _run(seed: int, folder: pathlib.Path) -> PlayResult:
    rng = random.Random(seed)
    rounds = plan_rounds(rng, ROUNDS, is_planned=seed % 2 == 1)
    return asyncio.run(run_play(rng, folder, rounds, TASK_S))


def main() -> None:
    """Runs plays; the exit code is 1 if one broke a guarantee.

    The arguments are the first seed and the number of plays; each play uses the
    next seed. With an odd seed owners leave in peace, with an even one they are
    killed. The logs of the hosts are kept if it fails.
    """
    seeds = seeds_from_arguments(COUNT)
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"owners-{seed}-"))
        result = _run(seed, folder)
        print(
            f"seed {seed}: {len(result.findings)} findings, "
            f"{result.starts} starts",
            flush=True,
        )
        if result.findings:
            failed += 1
            for row in (*result.findings, *result.rounds, f"logs: {folder}"):
                print(f"    {row}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(seeds)} plays from seed {seeds.start}: {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
