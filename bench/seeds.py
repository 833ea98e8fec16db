"""Seeds of scenarios that are run by hand."""

import random
import sys


def seeds_from_arguments(default_count: int) -> range:
    """Returns the seeds that the command line names.

    Its arguments are the first seed, a random one by default, and the number of
    seeds.
    """
    first = int(sys.argv[1]) if len(sys.argv) > 1 else random.randrange(10**9)
    count = int(sys.argv[2]) if len(sys.argv) > 2 else default_count
    return range(first, first + count)
