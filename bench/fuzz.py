"""Runs random scenarios and walks against managers, with new seeds."""

import json
import random
import sys

import msgspec

from bench.seeds import seeds_from_arguments
from tests.common.owner_walk_plans import draw_plan
from tests.common.owner_walks import run_plan
from tests.common.scenarios import random_events, run_scenario


def _is_scenario_passed(seed: int) -> bool:
    """Runs a scenario; shows its events if it broke an invariant."""
    events = random_events(random.Random(seed))
    try:
        run_scenario(events)
    except AssertionError as error:
        shown = json.dumps(msgspec.to_builtins(events))
        print(f"seed {seed}: {error!r}\n    {shown}", flush=True)
        return False
    return True


def _is_walk_passed(seed: int) -> bool:
    """Runs a walk of owners; shows its plan if it broke a rule."""
    plan = draw_plan(seed)
    findings = run_plan(plan)
    if findings:
        shown = json.dumps(msgspec.to_builtins(plan))
        print(f"walk of owners, seed {seed}:\n    {shown}")
        for finding in findings:
            print(f"    {finding}", flush=True)
    return not findings


def main() -> None:
    """Runs scenarios and walks; the exit code is 1 if one broke an invariant.

    The arguments are the first seed and the number of scenarios and of walks;
    each one uses the next seed.
    """
    seeds = seeds_from_arguments(100)
    scenarios = sum(not _is_scenario_passed(seed) for seed in seeds)
    walks = sum(not _is_walk_passed(seed) for seed in seeds)
    print(f"{len(seeds)} scenarios from seed {seeds.start}: {scenarios} failed")
    print(
        f"{len(seeds)} walks of owners from seed {seeds.start}: {walks} failed"
    )
    sys.exit(1 if scenarios or walks else 0)


if __name__ == "__main__":
    main()
