"""Converts between the generated messages and those of this library."""

from typing import Any

from coltsfootseam.observe import Stamp
from coltsfootseam.peers.internal import peer_pb2 as pb
from coltsfootseam.peers.messages import Answer, Header


def stamp_to_wire(stamp: Stamp) -> Any:
    """Returns the message for a stamp."""
    return pb.Stamp(wall_ms=stamp.wall_ms, count=stamp.count)


def stamp_from_wire(message: Any) -> Stamp:
    """Returns the stamp of a message."""
    return Stamp(message.wall_ms, message.count)


def answer_to_wire(answer: Answer | None) -> Any:
    """Returns the message for an answer, ``None`` if there is none."""
    if answer is None:
        return None
    return pb.Answer(
        status=answer.status,
        headers=[
            pb.Header(name=header.name, value=header.value)
            for header in answer.headers
        ],
        body=answer.body,
    )


def answer_from_wire(reply: Any) -> Answer | None:
    """Returns the answer in a reply, ``None`` if it has none."""
    if not reply.HasField("answer"):
        return None
    message = reply.answer
    headers = [Header(item.name, item.value) for item in message.headers]
    return Answer(message.status, headers, message.body)
