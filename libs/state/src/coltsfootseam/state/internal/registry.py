"""Registry of the fold's handlers, filled by a decorator."""

from collections.abc import Callable
from typing import Any, TypeVar

from coltsfootseam.results import Refusal
from coltsfootseam.state.model import FleetState
from coltsfootseam.state.records import Record

BodyType = TypeVar("BodyType")
Handler = Callable[[FleetState, int, Record, BodyType], Refusal]

handlers_by_kind: dict[type, Handler[Any]] = {}


def handles(
    kind: type[BodyType],
) -> Callable[[Handler[BodyType]], Handler[BodyType]]:
    """Registers the handler of one kind of record.

    A handler gets the state, the offset, the record and its body. It changes
    the state and returns ``OK``, or returns a refusal and changes nothing.
    """

    def register(handler: Handler[BodyType]) -> Handler[BodyType]:
        assert kind not in handlers_by_kind, kind
        handlers_by_kind[kind] = handler
        return handler

    return register
