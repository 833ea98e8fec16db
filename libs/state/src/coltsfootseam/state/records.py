"""The envelope of a record and its codec."""

import msgspec

from coltsfootseam.observe import Stamp
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state.bodies import Body


class Record(msgspec.Struct, frozen=True):
    """A proposal in the log.

    Attributes:
        record_id: Unique id. A duplicate of a record has no effect.
        author: Entry host that appended the record.
        epoch: The author's lease epoch when it appended.
        stamp: When the author made the record.
        body: The proposal.
    """

    record_id: str
    author: str
    epoch: int
    stamp: Stamp
    body: Body


_DECODER = msgspec.json.Decoder(Record)
_ENCODER = msgspec.json.Encoder()


def encode_record(record: Record) -> str:
    """Returns the text of a record for the log."""
    return _ENCODER.encode(record).decode()


def decode_record(text: str) -> Record | Refusal:
    """Decodes a record; returns a refusal if it is malformed."""
    try:
        return _DECODER.decode(text)
    except msgspec.DecodeError as error:
        return Refusal(ResultCode.BAD_INPUT, f"record: {error}")
