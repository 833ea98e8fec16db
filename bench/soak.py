"""Runs soaks of real processes in zones that are parted, with new seeds."""

import asyncio
import pathlib
import shutil
import signal
import sys
import tempfile
import time

from bench.seeds import seeds_from_arguments
from tests.common.soak import SoakResult, run_soak

COUNT = 10
LENGTH_S = 30.0
MAX_TASK_S = 20.0


async def _run(seed: int, folder: pathlib.Path) -> SoakResult:
    """Runs a soak, which ends its processes also when this one is stopped."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_soak(seed, folder, LENGTH_S, MAX_TASK_S)


def main() -> None:
    """Runs soaks; the exit code is 1 if one broke a guarantee.

    The arguments are the first seed and the number of soaks; each soak uses the
    next seed. The logs of the hosts are kept if it fails.
    """
    seeds = seeds_from_arguments(COUNT)
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        started_s = time.monotonic()
        result = asyncio.run(_run(seed, folder))
        took_s = time.monotonic() - started_s
        print(
            f"seed {seed}: {len(result.findings)} findings in {took_s:.0f} s, "
            f"{result.accepted} jobs, {result.starts} starts, "
            f"{len(result.faults)} faults, "
            f"stalled for up to {result.longest_stall_s:.1f} s",
            flush=True,
        )
        if result.findings:
            failed += 1
            for row in (*result.findings, *result.faults, f"logs: {folder}"):
                print(f"    {row}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(seeds)} soaks from seed {seeds.start}: {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
