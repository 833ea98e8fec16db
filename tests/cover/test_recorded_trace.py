"""A log recorded from real processes folds to the expected state.

During the recording the log lost every third reply. A contract was published
and amended by two operators at the same time, then amended again. An entry
host was paused past its lease, and pool ``alpha`` lost a host. The scenario is
``bench/record.py``.
"""

import pathlib

import msgspec
import pytest

from coltsfootseam.observe import Observer
from coltsfootseam.platform import LogEntry
from coltsfootseam.replication import Replica
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state import FleetState, decode_record, digest_state
from coltsfootseam.testbed import LogReplay
from coltsfootseam.timers import VirtualTimers

TRACE = pathlib.Path(__file__).parents[1] / "traces/races.jsonl"


@pytest.fixture(scope="module")
def entries() -> list[LogEntry]:
    lines = TRACE.read_text().splitlines()
    return [msgspec.json.decode(line, type=LogEntry) for line in lines]


@pytest.fixture(scope="module")
def replay(entries: list[LogEntry]) -> LogReplay:
    replayed = LogReplay()
    for entry in entries:
        record = decode_record(entry.text)
        assert not isinstance(record, Refusal)
        replayed.add(entry.offset, record)
    return replayed


def codes_of(state: FleetState, *record_ids: str) -> list[ResultCode]:
    return [state.outcomes_by_record_id[each].code for each in record_ids]


def test_of_the_racing_amendments_one_was_accepted(replay: LogReplay) -> None:
    codes = codes_of(replay.state, "race-0", "race-1")
    assert sorted(codes) == [ResultCode.OK, ResultCode.VERSION_CONFLICT]
    assert codes_of(replay.state, "publish", "settle") == [ResultCode.OK] * 2
    history = replay.state.history_by_customer["customer"]
    assert [each.version for each in history] == [1, 2, 3]


def test_lost_replies_left_duplicate_records(
    entries: list[LogEntry],
) -> None:
    ids = [decode_record(entry.text).record_id for entry in entries]  # type: ignore[union-attr]
    assert len(ids) > len(set(ids))


def test_the_paused_entry_host_came_back_with_a_new_epoch(
    replay: LogReplay,
) -> None:
    epochs = {
        member_id: member.epoch
        for member_id, member in replay.state.members_by_id.items()
    }
    assert epochs == {"entry-0": 1, "entry-1": 1, "entry-2": 2}


def test_pools_hold_what_the_last_contract_allows(replay: LogReplay) -> None:
    sizes = {
        pool: len(replay.state.claims_of_pool(pool))
        for pool in ("alpha", "beta")
    }
    assert sizes == {"alpha": 2, "beta": 3}


def test_no_budget_was_broken_and_no_host_had_two_owners(
    replay: LogReplay,
) -> None:
    assert replay.findings.budget_breaches == 0
    assert replay.findings.host_in_two_pools == 0


def test_an_entry_host_folds_the_trace_to_the_same_state(
    entries: list[LogEntry], replay: LogReplay
) -> None:
    replica = Replica(Observer(VirtualTimers(), "entry-9", "zone-a"))
    for entry in entries:
        assert replica.apply(entry.offset, entry.text)
    assert digest_state(replica.state) == digest_state(replay.state)
