"""Messages between entry hosts and the dispatchers of services.

The dispatcher of a service grants slots on its endpoints to the requests of
all entry hosts.
"""

import abc
import enum

import msgspec


class Term(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Numbers the successive dispatchers of a service.

    Attributes:
        members_offset: Offset of the latest change of membership.
        takeovers: How often the dispatcher was replaced since that change.
    """

    members_offset: int = -1
    takeovers: int = 0


class EndpointFinding(enum.IntEnum):
    """What an entry host observed about an endpoint."""

    NONE = 0
    FAILING = 1
    LEAVING = 2


class Acquire(msgspec.Struct, frozen=True, array_like=True):
    """Requests a slot.

    Attributes:
        service: The service.
        term: Term that the requesting entry host is in.
        request_id: The request.
        kind: Kind of request; the expected run time is learned for each kind.
        waited_s: How long the request has waited so far.
        remaining_s: How much longer its caller waits.
    """

    service: str
    term: Term
    request_id: str
    kind: str
    waited_s: float
    remaining_s: float


class Release(msgspec.Struct, frozen=True, array_like=True):
    """Releases a slot, or withdraws the request for one.

    Attributes:
        service: The service.
        request_id: The request.
        kind: Kind of request.
        host_id: The endpoint's host, empty if no slot was held.
        host_version: Version of the host's claim.
        ran_s: How long the request ran, negative if it did not run.
        finding: What was observed about the endpoint.
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
    """A message from an entry host to a dispatcher.

    Attributes:
        entry_id: The entry host.
        is_first_message: Whether this is the first message of a stream; its
            held slots and acquires then replace what the dispatcher knew.
        held_slots: Slots that the entry host holds, in the first message.
        terms: In the first message, the terms of the services that the entry
            host believes the receiver to be the dispatcher of.
        acquires: New requests for slots.
        releases: Released slots and withdrawn requests.
        ping: Whether a reply is required even if there is nothing to send.
    """

    entry_id: str
    is_first_message: bool = False
    held_slots: list[HeldSlot] = []
    terms: list["NewerTerm"] = []
    acquires: list[Acquire] = []
    releases: list[Release] = []
    ping: bool = False


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grants a slot to a request."""

    service: str
    term: Term
    request_id: str
    host_id: str
    host_version: int


class SlotRefusal(msgspec.Struct, frozen=True, array_like=True):
    """Refuses a slot to a request."""

    service: str
    request_id: str
    code: int
    reason: str


class NewerTerm(msgspec.Struct, frozen=True, array_like=True):
    """Announces a later term of a service.

    Attributes:
        service: The service.
        term: The term.
        dispatcher_id: Its dispatcher, empty if the sender doesn't know it.
    """

    service: str
    term: Term
    dispatcher_id: str = ""


class DispatchReply(msgspec.Struct, array_like=True):
    """A message from a dispatcher to an entry host."""

    grants: list[SlotGrant] = []
    refusals: list[SlotRefusal] = []
    terms: list[NewerTerm] = []


class AdoptRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a member moves to a term and reports its slots."""

    service: str
    term: Term
    dispatcher_id: str


class AdoptReply(msgspec.Struct, frozen=True, array_like=True):
    """The member's reply to a request to move to a term.

    Attributes:
        term: The term that the member is in now. If it is later than the
            requested one, the member has not moved.
        held_slots: Slots of the service that the member holds.
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
        """Announces a later term."""

    @abc.abstractmethod
    def send_pong(self) -> None:
        """Sends a reply without content."""
