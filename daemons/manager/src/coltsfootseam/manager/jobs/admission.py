"""Records of which pool takes the new jobs of a queue.

A pool's inbox has at most one current record for each queue: the pool either
admits jobs of the queue, or another pool does. A job is stored under the offset
of the record that admits it, and only if that record is still current.
"""

import hashlib

import msgspec

from coltsfootseam.jobs import key_prefix

_KEY_BYTES = 16


class Admission(msgspec.Struct, frozen=True, array_like=True):
    """Whether a pool takes new jobs of a queue.

    Attributes:
        version: Version of the configuration that decided it.
        pool: The pool that takes them.
        earlier: Other pools that may have jobs of the queue.
    """

    version: int
    pool: str
    earlier: tuple[str, ...] = ()


class StoredAdmission(msgspec.Struct, frozen=True):
    """An admission as a pool's inbox has it.

    Attributes:
        offset: Offset of its record, which identifies it.
        admission: The admission.
        read_s: When this host read it, in monotonic seconds.
    """

    offset: int
    admission: Admission
    read_s: float


def admission_prefix(pool: str) -> str:
    """Returns the prefix of the keys of all admissions in a pool's inbox."""
    # Sorts after the ids of jobs, and can't be one.
    return key_prefix(pool) + "queue/"


def admission_key(pool: str, queue: str) -> str:
    """Returns the key of an admission; a queue's name may be too long."""
    digest = hashlib.blake2b(queue.encode(), digest_size=_KEY_BYTES)
    return admission_prefix(pool) + digest.hexdigest()


def is_admission(key: str) -> bool:
    """Returns whether a key of an inbox is that of an admission."""
    prefix = key.rpartition("/")[0] + "/"
    return prefix.endswith(admission_prefix(""))


def encode_admission(admission: Admission) -> bytes:
    """Encodes an admission for the inbox."""
    return msgspec.msgpack.encode(admission)


def decode_admission(value: bytes) -> Admission:
    """Decodes an admission.

    Raises:
        msgspec.DecodeError: If the value is none.
    """
    return msgspec.msgpack.decode(value, type=Admission)
