"""Guarantees to callers under random faults, in virtual time."""

import random

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from tests.common.scenarios import (
    HANDLERS_BY_KIND,
    MAX_EVENTS,
    MIN_EVENTS,
    PAUSES_S,
    Event,
    random_events,
    run_scenario,
)

EVENTS = st.lists(
    st.builds(
        Event,
        kind=st.sampled_from(["submit", *HANDLERS_BY_KIND]),
        number=st.integers(0, 11),
        pause_s=st.sampled_from(PAUSES_S),
    ),
    min_size=MIN_EVENTS,
    max_size=MAX_EVENTS,
)


# A caller reaches a host that hasn't read a configuration yet.
NOT_READY = [
    Event("kill_host", 1, 0.3),
    Event("stop_store", 0, 0.02),
    Event("start_host", 1, 0.02),
    Event("cancel", 1, 0.02),
    Event("heal_store", 0, 0.3),
]


@settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    suppress_health_check=[HealthCheck.too_slow],
)
@example(events=NOT_READY)
@given(events=EVENTS)
def test_promises_to_callers_hold_under_random_faults(
    events: list[Event],
) -> None:
    run_scenario(events)


# Hosts that join the group or become standbys must not leave a duty without
# an owner, or with two.
@settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(events=EVENTS)
def test_promises_hold_where_small_hosts_stand_by(events: list[Event]) -> None:
    run_scenario(events, millicores=(2000, 2000, 500, 500))


# 10215: a cancellation of unknown outcome was taken for one without effect.
# 20224: an end that was acknowledged after the worker's lease had ended was
# taken for one that rules out another run.
# 40130: starts went by a report from before an outage of the store.
@pytest.mark.parametrize("seed", [10215, 20224, 40130])
def test_promises_hold_on_seeds_that_failed_once(seed: int) -> None:
    run_scenario(random_events(random.Random(seed)))
