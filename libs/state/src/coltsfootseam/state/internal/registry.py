"""Registry of the handlers that fold records, filled by a decorator."""

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

    A handler gets the state, the offset, the record and its body. It either
    changes the state and returns ``OK``, or changes nothing and returns a
    refusal.
    """

    def register(handler: Handler[BodyType]) -> Handler[BodyType]:
        assert kind not in handlers_by_kind, kind
        handlers_by_kind[kind] = handler
        return handler

    return register
