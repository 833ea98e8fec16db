"""Seeded walks over owners of a pool, lives of its workers and calls."""

import pytest

from tests.common.owner_walk_plans import EVENTS_BY_NAME, draw_plan
from tests.common.owner_walks import HANDLERS_BY_EVENT, run_walk

SEEDS = range(20)
"""Seed 4 was broken on 0.7.5: a new owner counted a granted lease for a run on
a life whose lease came from a call to the former one. Seed 16 was broken on
0.7.5 and 0.7.6: the owner that ordered such a run took that life for the first
one, as an owner before had made the call, and its successor waited too short.
"""

KEPT_SEEDS = (59, 83, 116)
"""Seed 59 was broken on 0.7.6 as seed 16. Seed 83 is broken if runs are
confirmed while copies of their starts are under way. Seed 116 is broken (issue
62): a copy of a run that had ended, as its worker didn't list it, reached a
later life that the owner hadn't called."""


# Guards against tasks that run twice, starts beyond the capacity of workers and
# jobs that never end, as owners, lives and calls fail together (issue 65).
@pytest.mark.parametrize("seed", [*SEEDS, *KEPT_SEEDS])
def test_no_rule_is_broken_on_a_walk_of_owners(seed: int) -> None:
    assert list(map(str, run_walk(seed))) == []


# Guards against events that plans can have and walks pass over.
def test_each_event_of_plans_has_a_handler() -> None:
    assert set(HANDLERS_BY_EVENT) == set(EVENTS_BY_NAME.values())


# Guards against walks that test less than they seem to: each event is drawn.
def test_plans_draw_each_event() -> None:
    drawn = {
        type(item) for seed in range(200) for item in draw_plan(seed).events
    }
    assert drawn == set(EVENTS_BY_NAME.values())
