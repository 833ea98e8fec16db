"""Headers that are forwarded and headers that are stored."""

from collections.abc import Mapping

from multidict import CIMultiDict

from coltsfootseam.peers import Header
from coltsfootseam.routing.request import (
    CODE_HEADER,
    HOST_VERSION_HEADER,
    NOT_RUN_HEADER,
    POOL_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
)

# Source: RFC 9110, section 7.6.1.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        CODE_HEADER,
        HOST_VERSION_HEADER,
        NOT_RUN_HEADER,
        POOL_HEADER,
        REASON_HEADER,
        REQUEST_ID_HEADER,
    )
)


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the end-to-end headers of a message, repeated ones included."""
    listed = _listed_in_connection(headers)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if _passes(name.lower(), listed)
    )


def to_stored_headers(headers: Mapping[str, str]) -> list[Header]:
    """Returns headers in the form in which responses are stored."""
    # The HTTP library returns subclasses of str, which codecs reject.
    return [Header(str(name), str(value)) for name, value in headers.items()]


def _passes(name: str, listed: frozenset[str]) -> bool:
    return (
        name not in _HOP_BY_HOP
        and name not in _OWN_HEADERS
        and name not in listed
    )


def _listed_in_connection(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection", "")
    return frozenset(part.strip().lower() for part in value.split(","))
