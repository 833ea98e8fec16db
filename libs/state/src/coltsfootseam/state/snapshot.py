"""Encodes the state, splits it into chunks and assembles them."""

import base64
import hashlib
import zlib

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state.bodies import SnapshotChunk
from coltsfootseam.state.model import FleetState

CHUNK_BYTES = 64 * 1024
_MAX_INCOMPLETE_SNAPSHOTS = 8

_DECODER = msgspec.msgpack.Decoder(FleetState)
_ENCODER = msgspec.msgpack.Encoder()


class CompleteSnapshot(msgspec.Struct, frozen=True):
    """A snapshot whose chunks have all been read.

    Attributes:
        state_offset: Offset of the last record that the state includes.
        data: The encoded state.
    """

    state_offset: int
    data: bytes


def encode_state(state: FleetState) -> bytes:
    """Returns the compressed encoding of a state."""
    return zlib.compress(_ENCODER.encode(state))


def decode_state(data: bytes) -> FleetState | Refusal:
    """Decodes a state; returns a refusal if the data is damaged."""
    try:
        return _DECODER.decode(zlib.decompress(data))
    except (zlib.error, msgspec.DecodeError) as error:
        return Refusal(ResultCode.BAD_INPUT, f"snapshot: {error}")


def digest_state(state: FleetState) -> str:
    """Returns a digest that is the same for equal states."""
    return hashlib.sha256(_ENCODER.encode(state)).hexdigest()[:16]


def split_snapshot(
    snapshot_id: str, state_offset: int, data: bytes
) -> list[SnapshotChunk]:
    """Splits an encoded state into chunks of at most ``CHUNK_BYTES``."""
    parts = [
        data[start : start + CHUNK_BYTES]
        for start in range(0, len(data), CHUNK_BYTES)
    ]
    return [
        SnapshotChunk(
            snapshot_id=snapshot_id,
            state_offset=state_offset,
            index=index,
            total=len(parts),
            data=base64.b64encode(part).decode(),
        )
        for index, part in enumerate(parts)
    ]


class SnapshotAssembler:
    """Collects chunks until a snapshot is complete.

    Chunks of several snapshots may be interleaved, duplicated or missing.
    """

    __slots__ = ("_chunks_by_id",)

    def __init__(self) -> None:
        self._chunks_by_id: dict[str, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> CompleteSnapshot | None:
        """Adds a chunk; returns the snapshot if it is now complete."""
        chunks = self._chunks_by_id.setdefault(chunk.snapshot_id, {})
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.total:
            self._drop_oldest()
            return None
        del self._chunks_by_id[chunk.snapshot_id]
        data = b"".join(
            base64.b64decode(chunks[index].data) for index in range(chunk.total)
        )
        return CompleteSnapshot(chunk.state_offset, data)

    def _drop_oldest(self) -> None:
        while len(self._chunks_by_id) > _MAX_INCOMPLETE_SNAPSHOTS:
            del self._chunks_by_id[next(iter(self._chunks_by_id))]
