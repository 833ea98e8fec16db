"""Snapshots of the state: encoding, chunks and their assembly."""

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
    """A snapshot of which every chunk has been read.

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
    """Reads an encoded state; damaged data gives a refusal."""
    try:
        return _DECODER.decode(zlib.decompress(data))
    except (zlib.error, msgspec.DecodeError) as error:
        return Refusal(ResultCode.BAD_INPUT, f"snapshot: {error}")


def digest_state(state: FleetState) -> str:
    """Returns a digest that is equal where two states are equal."""
    return hashlib.sha256(_ENCODER.encode(state)).hexdigest()[:16]


def split_snapshot(
    snapshot_id: str, state_offset: int, data: bytes
) -> list[SnapshotChunk]:
    """Splits an encoded state into records of bounded size."""
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
    """Collects chunks until a snapshot is whole.

    Chunks of several snapshots may be mixed, doubled or never completed.
    """

    __slots__ = ("_chunks_by_id",)

    def __init__(self) -> None:
        self._chunks_by_id: dict[str, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> CompleteSnapshot | None:
        """Takes a chunk; returns the snapshot if that made it whole."""
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
