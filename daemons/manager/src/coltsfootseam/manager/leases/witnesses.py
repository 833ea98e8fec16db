"""The hosts that are asked whether a pool may have a new owner.

An owner stores the addresses of its witnesses in the pool's journal, so that
its successor asks the same hosts. An owner needs a majority of them, and so a
successor that hears the contrary from half of them knows that the owner can't
have a majority any more.
"""

from collections.abc import Iterable

import msgspec

WitnessSet = frozenset[str]
"""Addresses of the witnesses of one owner."""

UNKNOWN_WITNESSES: WitnessSet = frozenset({""})
"""Stands for the witnesses in a record that can't be read; none replies."""

_KEY_PREFIX = "/witnesses/"


class WitnessRecord(msgspec.Struct, frozen=True):
    """What an owner stores about witnesses.

    Attributes:
        own: Its own witnesses.
        earlier: The witnesses of earlier owners that may still grant leases.
    """

    own: list[str]
    earlier: list[list[str]] = []


def vouchers_needed(witnesses: WitnessSet) -> int:
    """Returns how many witnesses must vouch for an owner: a majority."""
    return len(witnesses) // 2 + 1


def deniers_needed(witnesses: WitnessSet) -> int:
    """Returns how many witnesses, if they don't vouch, leave no majority."""
    return len(witnesses) - vouchers_needed(witnesses) + 1


def witness_key(pool: str) -> str:
    """Returns the key of a pool's record of witnesses in its journal."""
    return _KEY_PREFIX + pool


def encode_witnesses(own: WitnessSet, earlier: Iterable[WitnessSet]) -> bytes:
    """Encodes the record of an owner."""
    record = WitnessRecord(
        sorted(own), sorted(sorted(item) for item in earlier)
    )
    return msgspec.msgpack.encode(record)


def decode_witnesses(value: bytes) -> frozenset[WitnessSet]:
    """Decodes the witnesses of all owners that a record names.

    Raises:
        msgspec.DecodeError: If the record can't be read.
    """
    record = msgspec.msgpack.decode(value, type=WitnessRecord)
    return frozenset(
        frozenset(addresses) for addresses in [record.own, *record.earlier]
    )
