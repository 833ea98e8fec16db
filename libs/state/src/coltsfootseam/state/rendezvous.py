"""Rendezvous hashing: roles without election traffic.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8


def score(member_id: str, subject: str) -> int:
    """Returns the weight of a member for a subject, 64 bits."""
    text = f"{member_id}\x00{subject}".encode()
    digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank_members(member_ids: Iterable[str], subject: str) -> list[str]:
    """Returns the members in order of preference for a subject."""
    return sorted(
        member_ids,
        key=lambda member_id: (score(member_id, subject), member_id),
        reverse=True,
    )
