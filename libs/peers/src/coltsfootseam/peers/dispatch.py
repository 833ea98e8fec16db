"""Messages between entry hosts and the dispatchers of services."""

import abc
import enum

import msgspec


class Term(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Numbers the dispatchers of a service, one after the other.

    Attributes:
        members_offset: Offset of the newest change of membership.
        takeovers: How often a dispatcher was replaced since.
    """

    members_offset: int = -1
    takeovers: int = 0


class EndpointFinding(enum.IntEnum):
    """What an entry host found out about an endpoint."""

    NONE = 0
    FAILING = 1
    LEAVING = 2


class Acquire(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a slot.

    Attributes:
        service: The service.
        term: Term that the asking entry host is in.
        request_id: The request.
        kind: Kind of request, whose run times are learned.
        waited_s: How long it has waited already.
        remaining_s: How long its caller still waits.
    """

    service: str
    term: Term
    request_id: str
    kind: str
    waited_s: float
    remaining_s: float


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Gives a slot back, or gives up waiting for one.

    Attributes:
        service: The service.
        request_id: The request.
        kind: Kind of request.
        host_id: The endpoint's host, empty if no slot was held.
        host_version: Version of the host's claim.
        ran_s: How long the request ran, below 0 if it did not run.
        finding: What was found out about the endpoint.
    """

    service: str
    request_id: str
    kind: str = ""
    host_id: str = ""
    host_version: int = 0
    ran_s: float = -1.0
    finding: EndpointFinding = EndpointFinding.NONE


class HeldSlot(msgspec.Struct, frozen=True, array_like=True):
    """A slot that an entry host holds."""

    service: str
    request_id: str
    host_id: str


class DispatchUpdate(msgspec.Struct, array_like=True):
    """What an entry host tells a dispatcher.

    Attributes:
        entry_id: The entry host.
        is_first_message: Whether this is the first message of a stream; its holdings
            and acquires then replace what the dispatcher knew.
        held_slots: Slots held, in the first message.
        terms: Terms of the services that the dispatcher has, as far as the
            entry host knows, in the first message.
        acquires: New requests for slots.
        releases: Slots given back.
        ping: Whether a reply is wanted in any case.
    """

    entry_id: str
    is_first_message: bool = False
    held_slots: list[HeldSlot] = []
    terms: list["NewerTerm"] = []
    acquires: list[Acquire] = []
    releases: list[Release] = []
    ping: bool = False


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """Gives a slot to a request."""

    service: str
    term: Term
    request_id: str
    host_id: str
    host_version: int


class SlotRefusal(msgspec.Struct, frozen=True, array_like=True):
    """Tells that a request gets no slot."""

    service: str
    request_id: str
    code: int
    reason: str


class NewerTerm(msgspec.Struct, frozen=True, array_like=True):
    """Tells that a service is in a later term.

    Attributes:
        service: The service.
        term: The term.
        dispatcher_id: Its dispatcher, empty if the sender does not know.
    """

    service: str
    term: Term
    dispatcher_id: str = ""


class DispatchReply(msgspec.Struct, array_like=True):
    """What a dispatcher tells an entry host."""

    grants: list[SlotGrant] = []
    refusals: list[SlotRefusal] = []
    terms: list[NewerTerm] = []


class AdoptRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a member to move to a term and tell what it holds."""

    service: str
    term: Term
    dispatcher_id: str


class AdoptReply(msgspec.Struct, frozen=True, array_like=True):
    """The member's answer.

    Attributes:
        term: The term that it is in now; a later one than asked for means
            that it did not move.
        held_slots: Slots of the service that it holds.
    """

    term: Term
    held_slots: list[HeldSlot]


class DispatchSession(abc.ABC):
    """The dispatcher's end of a stream."""

    __slots__ = ()

    @abc.abstractmethod
    def send_grant(self, grant: SlotGrant) -> None:
        """Sends a grant."""

    @abc.abstractmethod
    def send_refusal(self, refusal: SlotRefusal) -> None:
        """Sends a refusal."""

    @abc.abstractmethod
    def send_term(self, newer: NewerTerm) -> None:
        """Sends a later term."""

    @abc.abstractmethod
    def send_pong(self) -> None:
        """Sends a reply without content."""
