"""The hosts that are asked whether a pool may have a new owner.

An owner stores the addresses of its witnesses in the pool's journal, so that
its successor asks the same hosts. An owner needs a majority of them, and so a
successor that hears the contrary from half of them knows that the owner can't
have a majority any more.
"""

import msgspec

WitnessSet = frozenset[str]
"""Addresses of the witnesses of one owner."""

MAX_VOUCHED_S = 25.0
"""Longest time for which witnesses can extend a confirmation; it covers an
outage of 20 s. A successor that can't ask half of the witnesses waits for it.
"""

NO_WITNESSES: WitnessSet = frozenset()
"""The witnesses of an owner that nobody can vouch for."""

UNKNOWN_WITNESSES: WitnessSet = frozenset({""})
"""Stands for the witnesses in a record that can't be read; none replies."""

_KEY_PREFIX = "/witnesses/"


class Witnesses(msgspec.Struct, frozen=True):
    """The witnesses that a successor of an owner must ask, as stored.

    Attributes:
        own: Those of the owner itself, none if it knows no members.
        earlier: Those of owners before it that may still grant leases.
        earlier_limit_s: How long those owners may do so at most, from when the
            record was appended.
        has_stopped: Whether the owner itself has stopped granting leases.
        uncalled_s: Workers without a link on which runs may still begin, by
            instance id: for how long no owner can have called each of them,
            when the record was appended. Only in the record of an owner that
            has stopped.
    """

    own: WitnessSet
    earlier: frozenset[WitnessSet] = frozenset()
    earlier_limit_s: float = MAX_VOUCHED_S
    has_stopped: bool = False
    uncalled_s: dict[str, float] = {}


class FormerOwners(msgspec.Struct, frozen=True):
    """What an owner that claims a pool knows of those before it.

    Attributes:
        limits_by_witnesses: The witnesses of each of them that may still grant
            leases, with how long it may do so at most, in seconds from the
            claim.
        has_last_stopped: Whether the last one has recorded that it stopped.
        uncalled_s: For how long, at the claim, no owner can have called these
            workers, by instance id. Nothing is known of others.
    """

    limits_by_witnesses: dict[WitnessSet, float] = {}
    has_last_stopped: bool = False
    uncalled_s: dict[str, float] = {}


def vouchers_needed(witnesses: WitnessSet) -> int:
    """Returns how many witnesses must vouch for an owner: a majority."""
    return len(witnesses) // 2 + 1


def deniers_needed(witnesses: WitnessSet) -> int:
    """Returns how many witnesses, if they don't vouch, leave no majority."""
    return len(witnesses) - vouchers_needed(witnesses) + 1


def witness_key(pool: str) -> str:
    """Returns the key of a pool's record of witnesses in its journal."""
    return _KEY_PREFIX + pool


def encode_witnesses(witnesses: Witnesses) -> bytes:
    """Encodes the record of an owner."""
    return msgspec.msgpack.encode(witnesses)


def decode_witnesses(value: bytes) -> FormerOwners:
    """Decodes what a record says to the next owner, which claims afterwards.

    Raises:
        msgspec.DecodeError: If the record can't be read.
    """
    stored = msgspec.msgpack.decode(value, type=Witnesses)
    limits = dict.fromkeys(stored.earlier, stored.earlier_limit_s)
    if stored.own:
        limits[stored.own] = MAX_VOUCHED_S
    if not stored.has_stopped:
        return FormerOwners(limits)
    return FormerOwners(limits, stored.has_stopped, stored.uncalled_s)
