"""Rendezvous hashing, which assigns roles to members without an election.

See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
1998.
"""

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def score(member_id: str, subject: str) -> int:
    """Returns the 64-bit weight of a member for a subject."""
    text = f"{member_id}\x00{subject}".encode()
    digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank_members(member_ids: Iterable[str], subject: str) -> list[str]:
    """Returns the members by descending weight for a subject."""
    return sorted(
        member_ids,
        key=lambda member_id: (score(member_id, subject), member_id),
        reverse=True,
    )
