"""Runs random scenarios against managers in virtual time, with new seeds."""

import json
import random
import sys

import msgspec

from bench.seeds import seeds_from_arguments
from tests.common.scenarios import random_events, run_scenario


def main() -> None:
    """Runs scenarios; the exit code is 1 if one broke an invariant.

    The arguments are the first seed and the number of scenarios; each scenario
    uses the next seed.
    """
    seeds = seeds_from_arguments(100)
    failed = 0
    for seed in seeds:
        events = random_events(random.Random(seed))
        try:
            run_scenario(events)
        except AssertionError as error:
            failed += 1
            shown = json.dumps(msgspec.to_builtins(events))
            print(f"seed {seed}: {error!r}\n    {shown}", flush=True)
    print(f"{len(seeds)} scenarios from seed {seeds.start}: {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
