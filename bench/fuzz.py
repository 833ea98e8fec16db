"""Runs random scenarios against managers in virtual time, with new seeds."""

import json
import random
import sys

import msgspec

from tests.common.scenarios import random_events, run_scenario


def main() -> None:
    """Runs scenarios; the exit code is 1 if one broke an invariant.

    The arguments are the first seed and the number of scenarios; each scenario
    uses the next seed.
    """
    first = int(sys.argv[1]) if len(sys.argv) > 1 else random.randrange(10**9)
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 100
    failed = 0
    for seed in range(first, first + count):
        events = random_events(random.Random(seed))
        try:
            run_scenario(events)
        except AssertionError as error:
            failed += 1
            shown = json.dumps(msgspec.to_builtins(events))
            print(f"seed {seed}: {error!r}\n    {shown}", flush=True)
    print(f"{count} scenarios from seed {first}: {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
