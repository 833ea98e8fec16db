"""Operator commands that change contracts."""

import asyncio

import msgspec

from coltsfootseam.contracts import parse_contract
from coltsfootseam.entry.context import MS_PER_S
from coltsfootseam.entry.entry_host import EntryHost
from coltsfootseam.entry.messages import CommandReply, ContractCommand
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state import (
    ContractAmended,
    ContractPublished,
    Member,
    Outcome,
)

_IN_FORCE_POLL_S = 0.1


async def submit_command(
    entry_host: EntryHost, command: ContractCommand
) -> CommandReply:
    """Proposes a contract and waits until it is in force.

    Returns:
        The reply, once every live entry host has the contract in force or the
        time for that has run out.
    """
    contract = parse_contract(command.contract)
    if isinstance(contract, Refusal):
        return _refused_reply(command.record_id, contract)
    if entry_host.replication.follower.went_back:
        refusal = Refusal(
            ResultCode.LOG_WENT_BACK,
            "nothing was accepted: the log has lost records",
        )
        return _refused_reply(command.record_id, refusal)
    if not entry_host.replication.lease.is_member():
        refusal = Refusal(
            ResultCode.LOG_UNAVAILABLE,
            "nothing was accepted: this entry host is not a member",
        )
        return _refused_reply(command.record_id, refusal)
    body: ContractPublished | ContractAmended
    if command.expected_version:
        body = ContractAmended(contract, command.expected_version)
    else:
        body = ContractPublished(contract)
    outcome = await entry_host.replication.proposer.propose(
        body, command.record_id
    )
    return await reply_when_in_force(entry_host, command.record_id, outcome)


async def reply_when_in_force(
    entry_host: EntryHost, record_id: str, outcome: Outcome | Refusal
) -> CommandReply:
    """Replies to an outcome; an accepted record is first waited for."""
    if isinstance(outcome, Refusal):
        return _refused_reply(record_id, outcome)
    if outcome.code is not ResultCode.OK:
        return CommandReply(
            code=int(outcome.code),
            reason=outcome.reason,
            record_id=record_id,
            offset=outcome.offset,
        )
    count = await _wait_until_in_force(entry_host, outcome.offset)
    code = ResultCode.NOT_IN_FORCE
    if count.in_force == count.live:
        code = ResultCode.OK
    reason = (
        "" if code is ResultCode.OK else "accepted, not yet in force everywhere"
    )
    return CommandReply(
        code=int(code),
        reason=reason,
        record_id=record_id,
        offset=outcome.offset,
        in_force=count.in_force,
        live=count.live,
    )


class _InForceCount(msgspec.Struct, frozen=True):
    in_force: int
    live: int


async def _wait_until_in_force(
    entry_host: EntryHost, offset: int
) -> _InForceCount:
    timers = entry_host.context.timers
    limit_s = entry_host.context.settings.timers.in_force_ms / MS_PER_S
    deadline_s = timers.now_s() + limit_s
    while True:
        members = list(
            entry_host.replication.replica.state.members_by_id.values()
        )
        have_in_force = await asyncio.gather(
            *(_has_in_force(entry_host, member, offset) for member in members)
        )
        in_force = sum(have_in_force)
        if in_force == len(members) or timers.now_s() >= deadline_s:
            return _InForceCount(in_force, len(members))
        await timers.sleep(_IN_FORCE_POLL_S)


async def _has_in_force(
    entry_host: EntryHost, member: Member, offset: int
) -> bool:
    if member.member_id == entry_host.context.settings.entry_id:
        return entry_host.replication.replica.state.offset >= offset
    status = await entry_host.context.peers.status(member.peers)
    return not isinstance(status, Refusal) and status.offset >= offset


def _refused_reply(record_id: str, refusal: Refusal) -> CommandReply:
    return CommandReply(
        code=int(refusal.code), reason=refusal.reason, record_id=record_id
    )
