"""The hosts that are asked whether a pool may have a new owner.

An owner stores the addresses of its witnesses in the pool's journal, so that
its successor asks the same hosts. An owner needs a majority of them, and so a
successor that hears the contrary from half of them knows that the owner can't
have a majority any more.
"""

import msgspec

WitnessSet = frozenset[str]
"""Addresses of the witnesses of one owner."""

UNKNOWN_WITNESSES: WitnessSet = frozenset({""})
"""Stands for the witnesses in a record that can't be read; none replies."""

_KEY_PREFIX = "/witnesses/"


class Witnesses(msgspec.Struct, frozen=True):
    """The witnesses that a successor of an owner must ask, as stored.

    Attributes:
        own: Those of the owner itself.
        earlier: Those of owners before it that may still grant leases.
    """

    own: WitnessSet
    earlier: frozenset[WitnessSet] = frozenset()


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


def decode_witnesses(value: bytes) -> frozenset[WitnessSet]:
    """Decodes the witnesses of all owners that a record names.

    Raises:
        msgspec.DecodeError: If the record can't be read.
    """
    witnesses = msgspec.msgpack.decode(value, type=Witnesses)
    return witnesses.earlier | {witnesses.own}
