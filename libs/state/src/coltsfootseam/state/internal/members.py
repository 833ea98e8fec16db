"""Folds records of the membership of entry hosts.

A lease has an epoch. Once an epoch has ended, no record made under it is
accepted, so a process that was paused past the end of its lease is fenced.
"""

from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.state.bodies import (
    LeaseRenewed,
    MemberExpired,
    MemberJoined,
    MemberLeft,
)
from coltsfootseam.state.internal.registry import handles
from coltsfootseam.state.model import FleetState, Member, MemberLoss
from coltsfootseam.state.records import Record

_MAX_LOSSES = 64


@handles(MemberJoined)
def fold_member_joined(
    state: FleetState, offset: int, record: Record, body: MemberJoined
) -> Refusal:
    """Starts a membership with a new epoch, or renews the current one."""
    member_id = record.author
    ended = state.ended_epochs_by_member_id.get(member_id, 0)
    current = state.members_by_id.get(member_id)
    if record.epoch <= ended:
        return _stale_epoch(record, ended + 1)
    if current is not None and record.epoch < current.epoch:
        return _stale_epoch(record, current.epoch)
    if current is not None and record.epoch == current.epoch:
        if current.incarnation != body.incarnation:
            return _stale_epoch(record, current.epoch + 1)
        current.renewed_offset = offset
        return OK
    if current is not None:
        _record_loss(state, record, member_id)
    state.members_offset = offset
    state.members_by_id[member_id] = Member(
        member_id=member_id,
        epoch=record.epoch,
        incarnation=body.incarnation,
        region=body.region,
        zone=body.zone,
        callers=body.callers,
        admin=body.admin,
        peers=body.peers,
        lease_ms=body.lease_ms,
        renewed_offset=offset,
    )
    return OK


@handles(LeaseRenewed)
def fold_lease_renewed(
    state: FleetState, offset: int, record: Record, body: LeaseRenewed
) -> Refusal:
    """Renews the lease of a member with the current epoch."""
    del body
    state.members_by_id[record.author].renewed_offset = offset
    return OK


@handles(MemberLeft)
def fold_member_left(
    state: FleetState, offset: int, record: Record, body: MemberLeft
) -> Refusal:
    """Ends the membership of an entry host after a planned stop."""
    del body
    _end_membership(state, offset, record.author)
    return OK


@handles(MemberExpired)
def fold_member_expired(
    state: FleetState, offset: int, record: Record, body: MemberExpired
) -> Refusal:
    """Ends a membership unless it was renewed after the author's last read."""
    member = state.members_by_id.get(body.member_id)
    if member is None or member.epoch != body.member_epoch:
        return Refusal(
            ResultCode.STALE_EPOCH,
            f"{body.member_id!r} has no lease with epoch {body.member_epoch}",
        )
    if member.renewed_offset != body.renewed_offset:
        return Refusal(
            ResultCode.MEMBER_RENEWED,
            f"{body.member_id!r} renewed its lease at offset "
            f"{member.renewed_offset}",
        )
    _record_loss(state, record, body.member_id)
    _end_membership(state, offset, body.member_id)
    return OK


def _record_loss(state: FleetState, record: Record, member_id: str) -> None:
    loss = MemberLoss(
        member_id, record.stamp.wall_ms, sorted(state.members_by_id)
    )
    state.losses.append(loss)
    del state.losses[:-_MAX_LOSSES]


def _end_membership(state: FleetState, offset: int, member_id: str) -> None:
    state.members_offset = offset
    member = state.members_by_id.pop(member_id)
    state.ended_epochs_by_member_id[member_id] = member.epoch


def _stale_epoch(record: Record, min_epoch: int) -> Refusal:
    return Refusal(
        ResultCode.STALE_EPOCH,
        f"{record.author!r} needs an epoch of at least {min_epoch}, "
        f"not {record.epoch}",
    )
