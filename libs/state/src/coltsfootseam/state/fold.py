"""The fold, which applies a record to the state.

Every entry host folds the same records in the same order. The result depends
on nothing but the arguments, not even a clock, so all entry hosts get the same
state without further communication. The reasons of refusals are part of the
state, so they must not differ between entry hosts either.
"""

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state.bodies import LeaseRenewed, MemberJoined, SnapshotChunk
from coltsfootseam.state.internal import contracts, hosts, members
from coltsfootseam.state.internal.registry import handlers_by_kind
from coltsfootseam.state.model import FleetState, Outcome
from coltsfootseam.state.records import Record

# Importing a module registers its handlers.
HANDLER_MODULES = (contracts, hosts, members)

_MAX_OUTCOMES = 4096


def fold_record(state: FleetState, offset: int, record: Record) -> Outcome:
    """Applies one record to the state.

    Args:
        state: Changed in place.
        offset: Offset of the record, above ``state.offset``.
        record: The record.

    Returns:
        The outcome. A duplicate of a command has the outcome of the first one.
    """
    assert offset > state.offset, (offset, state.offset)
    state.offset = offset
    if isinstance(record.body, SnapshotChunk):
        return Outcome(ResultCode.OK, "", offset)
    if isinstance(record.body, MemberJoined | LeaseRenewed):
        return _fold_body(state, offset, record)
    earlier = state.outcomes_by_record_id.get(record.record_id)
    if earlier is not None:
        return earlier
    outcome = _fold_body(state, offset, record)
    _record_outcome(state, record.record_id, outcome)
    return outcome


def _fold_body(state: FleetState, offset: int, record: Record) -> Outcome:
    refusal = _refuse_stale_epoch(state, record)
    if refusal is None:
        handler = handlers_by_kind[type(record.body)]
        refusal = handler(state, offset, record, record.body)
    return Outcome(refusal.code, refusal.reason, offset)


def _refuse_stale_epoch(state: FleetState, record: Record) -> Refusal | None:
    if isinstance(record.body, MemberJoined):
        return None
    member = state.members_by_id.get(record.author)
    if member is not None and member.epoch == record.epoch:
        return None
    return Refusal(
        ResultCode.STALE_EPOCH,
        f"{record.author!r} does not hold a lease with epoch {record.epoch}",
    )


def _record_outcome(
    state: FleetState, record_id: str, outcome: Outcome
) -> None:
    outcomes = state.outcomes_by_record_id
    outcomes[record_id] = outcome
    while len(outcomes) > _MAX_OUTCOMES:
        del outcomes[next(iter(outcomes))]
