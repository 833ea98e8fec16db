"""Keys of teams: how a call presents one, and which team it belongs to."""

import enum
import hashlib
from collections.abc import Mapping, Sequence

from coltsfootseam.jobs import Team

MAX_HEADER_BYTES = 512
_SCHEME = "token"
_SHOWN_DIGITS = 8


class KeyFault(enum.Enum):
    """Why a call presents no usable key; the value is a readable reason."""

    MISSING = "the call has no Authorization header"
    REPEATED = "the call has more than one Authorization header"
    OVERSIZED = f"the Authorization header is over {MAX_HEADER_BYTES} bytes"
    MALFORMED = "the Authorization header is not of the form 'Token KEY'"
    UNKNOWN = "no team has this key"


def digest_key(key: str) -> str:
    """Returns the SHA-256 digest of a key, in hexadecimal digits."""
    # A header may hold bytes that are no UTF-8, which are read as surrogates.
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()


def shorten_digest(digest: str) -> str:
    """Returns the part of a digest that may be shown, 8 digits."""
    return digest[:_SHOWN_DIGITS]


def read_key(headers: Sequence[str]) -> str | KeyFault:
    """Returns the key of a call.

    Args:
        headers: The values of all its Authorization headers.
    """
    if not headers:
        return KeyFault.MISSING
    if len(headers) > 1:
        return KeyFault.REPEATED
    header = headers[0]
    # A character takes at least one byte, so a huge header isn't encoded.
    if len(header) > MAX_HEADER_BYTES:
        return KeyFault.OVERSIZED
    if len(header.encode(errors="surrogateescape")) > MAX_HEADER_BYTES:
        return KeyFault.OVERSIZED
    scheme, _, key = header.partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        return KeyFault.MALFORMED
    return key


class KeyRing:
    """Finds the team of a key in one version of the configuration.

    A key that several teams list belongs to the first of them, in the order of
    the configuration. It contains digests only.
    """

    __slots__ = ("_teams_by_digest", "shared_digests")

    def __init__(self, teams_by_name: Mapping[str, Team]) -> None:
        self._teams_by_digest: dict[str, str] = {}
        self.shared_digests: set[str] = set()
        for team in teams_by_name.values():
            for digest in team.key_digests:
                owner = self._teams_by_digest.setdefault(digest, team.name)
                if owner != team.name:
                    self.shared_digests.add(digest)

    def find(self, key: str) -> str | None:
        """Returns the team of a key, ``None`` if no team has it."""
        return self.find_digest(digest_key(key))

    def find_digest(self, digest: str) -> str | None:
        """Returns the team of a key by its digest."""
        return self._teams_by_digest.get(digest)
