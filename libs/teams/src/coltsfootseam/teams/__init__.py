"""Teams: their keys, quotas and shares, without network access."""

from coltsfootseam.teams.admission import find_excess
from coltsfootseam.teams.keys import (
    MAX_HEADER_BYTES,
    KeyFault,
    KeyRing,
    digest_key,
    read_key,
    shorten_digest,
)

__all__ = [
    "MAX_HEADER_BYTES",
    "KeyFault",
    "KeyRing",
    "digest_key",
    "find_excess",
    "read_key",
    "shorten_digest",
]
