"""Messages between entry hosts."""

import enum

import msgspec


class KeyVerdict(enum.IntEnum):
    """What an entry host knows about an idempotency key."""

    NEW = 1
    RUNNING = 2
    NOT_RUN = 3
    UNKNOWN = 4
    DONE = 5
    FULL = 6


class Header(msgspec.Struct, frozen=True):
    """A header of an answer."""

    name: str
    value: str


class Answer(msgspec.Struct, frozen=True):
    """The complete answer of an endpoint, small enough to be kept."""

    status: int
    headers: list[Header]
    body: bytes


class KeyReservation(msgspec.Struct, frozen=True):
    """The reply to the reservation of a key.

    Attributes:
        verdict: ``NEW`` if the key is now reserved for the given request,
            otherwise what is known about the earlier request.
        answer: The kept answer, if the verdict is ``DONE``.
    """

    verdict: KeyVerdict
    answer: Answer | None = None


class KeyCopy(msgspec.Struct, frozen=True, array_like=True):
    """The record of a key, handed over to a new holder."""

    key: str
    request_id: str
    verdict: KeyVerdict
    answer: Answer | None


class FetchedEntry(msgspec.Struct, frozen=True):
    """A record of the log, not decoded."""

    offset: int
    text: str


class FetchedState(msgspec.Struct, frozen=True):
    """What a peer has folded from an offset on.

    Attributes:
        next_offset: Offset of the next record that the peer will fold.
        entries: The requested records, if the peer still has them.
        snapshot: The peer's encoded state if it no longer has them.
        fresh: Whether the peer reads from the log at present.
    """

    next_offset: int
    entries: list[FetchedEntry]
    snapshot: bytes
    fresh: bool


class PeerStatus(msgspec.Struct, frozen=True):
    """The status of a peer.

    Attributes:
        entry_id: The peer.
        offset: Offset of the last record that it has folded.
        in_progress: Number of its requests in progress on the given host.
    """

    entry_id: str
    offset: int
    in_progress: int
