"""What entry hosts tell each other."""

import enum

import msgspec


class KeyVerdict(enum.IntEnum):
    """What an entry host knows of an idempotency key."""

    NEW = 1
    RUNNING = 2
    NOT_RUN = 3
    UNKNOWN = 4
    DONE = 5
    FULL = 6


class Header(msgspec.Struct, frozen=True):
    """One header of an answer."""

    name: str
    value: str


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of an endpoint, small enough to keep."""

    status: int
    headers: list[Header]
    body: bytes


class KeyReservation(msgspec.Struct, frozen=True):
    """The reply to a reservation.

    Attributes:
        verdict: ``NEW`` if the key is now reserved for the asking request,
            otherwise what is known of the earlier one.
        answer: The kept answer, with ``DONE``.
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
    """One record as it stands in the log."""

    offset: int
    text: str


class FetchedState(msgspec.Struct, frozen=True):
    """What a peer has folded beyond an offset.

    Attributes:
        next_offset: Offset after the last one in force at the peer.
        entries: The records asked for, if the peer still holds them.
        snapshot: The peer's encoded state otherwise.
        fresh: Whether the peer reads from the log at present.
    """

    next_offset: int
    entries: list[FetchedEntry]
    snapshot: bytes
    fresh: bool


class PeerStatus(msgspec.Struct, frozen=True):
    """What is in force at a peer.

    Attributes:
        entry_id: The peer.
        offset: Offset of the last record that it has folded.
        in_progress: Its requests in progress on the host asked about.
    """

    entry_id: str
    offset: int
    in_progress: int
