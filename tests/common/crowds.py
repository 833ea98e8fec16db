"""Crowds of clients that misbehave, in a process of their own.

``python -m tests.common.crowds ADDRESS KIND SIZE`` connects SIZE clients of a
kind, prints ``settled`` once each of them has sent all that it has to send, has
lost its connection or gets nothing more through, and keeps the connections open
until its standard input ends.
"""

import asyncio
import contextlib
import functools
import gzip
import sys
from collections.abc import AsyncIterator, Callable, Iterator

import msgspec

HOST = "queue.example"
BODY_BYTES = 1_000_000
"""Size of the large bodies, in bytes."""

_ATTEMPTS = 3
"""How often a client connects while its connection is closed."""

_PIECE_BYTES = 64 * 1024
_SMALL_PIECE_BYTES = 1000
_CHUNK_BYTES = 1000
_STUCK_AFTER_S = 3.0
_POLL_PERIOD_S = 0.1
_CONNECT_PAUSE_S = 0.002
_GZIP_PLAIN_BYTES = 64 * 1024 * 1024

Pieces = Iterator[bytes]
"""What one client sends, in pieces."""


class Kind(msgspec.Struct, frozen=True):
    """One way to misbehave.

    Attributes:
        pieces: Returns what the client with a number sends.
        reads: Whether clients read what is sent to them.
        pause_s: Time between two pieces.
    """

    pieces: Callable[[int], Pieces]
    reads: bool = True
    pause_s: float = 0.0


KINDS_BY_NAME: dict[str, Kind] = {}


def _kind(
    name: str, reads: bool = True, pause_s: float = 0.0
) -> Callable[[Callable[[int], Pieces]], Callable[[int], Pieces]]:
    def register(pieces: Callable[[int], Pieces]) -> Callable[[int], Pieces]:
        KINDS_BY_NAME[name] = Kind(pieces, reads, pause_s)
        return pieces

    return register


def _head(number: int, *lines: str) -> bytes:
    first = f"POST /q/{number:016x} HTTP/1.1"
    return "\r\n".join([first, f"Host: {HOST}", *lines, "", ""]).encode()


def _sized_head(number: int, size: int, *lines: str) -> bytes:
    return _head(number, f"Content-Length: {size}", *lines)


def _chunked_head(number: int) -> bytes:
    return _head(number, "Transfer-Encoding: chunked")


def _repeated(piece: bytes, total: int) -> Pieces:
    """Yields copies of a piece, together about so many bytes."""
    copies = max(1, _PIECE_BYTES // len(piece))
    block = piece * copies
    for _ in range(total // len(block)):
        yield block


@_kind("bodies that stop short")
def _bodies(number: int) -> Pieces:
    yield _sized_head(number, BODY_BYTES)
    yield b" " * (BODY_BYTES - 1)


@_kind("bodies in small pieces")
def _small_pieces(number: int) -> Pieces:
    yield _sized_head(number, BODY_BYTES)
    for _ in range(BODY_BYTES // _SMALL_PIECE_BYTES - 1):
        yield b" " * _SMALL_PIECE_BYTES


@_kind("one large chunk")
def _one_chunk(number: int) -> Pieces:
    yield _chunked_head(number)
    yield f"{BODY_BYTES:x}\r\n".encode() + b" " * (BODY_BYTES - 1)


@_kind("many chunks")
def _many_chunks(number: int) -> Pieces:
    yield _chunked_head(number)
    chunk = f"{_CHUNK_BYTES:x}\r\n".encode() + b" " * _CHUNK_BYTES + b"\r\n"
    yield from _repeated(chunk, BODY_BYTES)


@_kind("tiny chunks")
def _tiny_chunks(number: int) -> Pieces:
    yield _chunked_head(number)
    yield from _repeated(b"1\r\n \r\n", 6 * BODY_BYTES)


@_kind("endless chunk extensions")
def _chunk_extensions(number: int) -> Pieces:
    yield _chunked_head(number) + b"1;"
    yield from _repeated(b"a", 2 * BODY_BYTES)


@_kind("endless trailers")
def _trailers(number: int) -> Pieces:
    yield _chunked_head(number) + b"0\r\n"
    yield from _repeated(b"a: b\r\n", 2 * BODY_BYTES)


@_kind("heads too long")
def _long_heads(number: int) -> Pieces:
    yield f"GET /q/{number:016x} HTTP/1.1\r\nA: ".encode()
    yield from _repeated(b"a", 2 * BODY_BYTES)


@_kind("endless heads")
def _endless_heads(number: int) -> Pieces:
    yield f"GET /q/{number:016x} HTTP/1.1\r\n".encode()
    name = f"h{number}: ".encode()
    yield from _repeated(name + b"a" * 4000 + b"\r\n", 2 * BODY_BYTES)


@_kind("endless request lines")
def _request_lines(number: int) -> Pieces:
    del number
    yield b"GET /"
    yield from _repeated(b"a", 2 * BODY_BYTES)


@_kind("empty lines")
def _empty_lines(number: int) -> Pieces:
    del number
    yield from _repeated(b"\r\n", 4 * BODY_BYTES)


@_kind("bytes behind an upgrade")
def _upgrades(number: int) -> Pieces:
    yield _head(number, "Connection: Upgrade", "Upgrade: websocket")
    yield from _repeated(b"a", 4 * BODY_BYTES)


@_kind("bytes behind a CONNECT")
def _connects(number: int) -> Pieces:
    del number
    yield f"CONNECT {HOST}:80 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    yield from _repeated(b"a", 4 * BODY_BYTES)


@functools.cache
def _compressed_body() -> bytes:
    return gzip.compress(b" " * _GZIP_PLAIN_BYTES)


@_kind("compressed bodies")
def _compressed(number: int) -> Pieces:
    body = _compressed_body()
    yield _sized_head(number, len(body), "Content-Encoding: gzip")
    yield body


@_kind("requests behind unread answers", reads=False)
def _pipelined(number: int) -> Pieces:
    request = f"GET /q/{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    yield from _repeated(request.encode(), 2 * BODY_BYTES)


@_kind("short requests behind each other")
def _short_requests(number: int) -> Pieces:
    del number
    yield from _repeated(b"GET / HTTP/1.1\r\n\r\n", BODY_BYTES)


@_kind("jobs of many steps")
def _jobs(number: int) -> Pieces:
    step = b'{"count":1,"cpu":500},'
    count = BODY_BYTES // len(step)
    body = b'{"spec":"x","steps":[' + step * (count - 1) + step[:-1] + b"]}"
    yield _sized_head(number, len(body)) + body


@_kind("idle connections")
def _idle(number: int) -> Pieces:
    del number
    yield from ()


@_kind("slow heads", pause_s=0.2)
def _slow_heads(number: int) -> Pieces:
    head = _head(number, "X: " + "a" * 100)
    for position in range(20):
        yield head[position : position + 1]


class _Client:
    """One client of a crowd.

    Attributes:
        sent: How many pieces the kernel has taken.
        is_done: Whether it will send nothing more.
    """

    def __init__(self, address: str, kind: Kind, number: int) -> None:
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self._kind = kind
        self._number = number
        self.sent = 0
        self.is_done = False

    async def run(self) -> None:
        for _ in range(_ATTEMPTS):
            with contextlib.suppress(OSError):
                await self._connect_and_send()
        self.is_done = True

    async def _connect_and_send(self) -> None:
        """Returns when the connection is closed."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            reading = asyncio.ensure_future(self._read(reader))
            await self._send(writer)
            self.is_done = True
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        for piece in self._kind.pieces(self._number):
            writer.write(piece)
            await writer.drain()
            self.sent += 1
            if self._kind.pause_s:
                await asyncio.sleep(self._kind.pause_s)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        if not self._kind.reads:
            await asyncio.Event().wait()
        while await reader.read(_PIECE_BYTES):
            pass


async def _wait_until_settled(clients: list[_Client]) -> None:
    """Waits until no client gets anything more through."""
    loop = asyncio.get_running_loop()
    last_total = -1
    changed_s = loop.time()
    while not all(client.is_done for client in clients):
        total = sum(client.sent for client in clients)
        if total != last_total:
            last_total = total
            changed_s = loop.time()
        if loop.time() - changed_s > _STUCK_AFTER_S:
            return
        await asyncio.sleep(_POLL_PERIOD_S)


async def _run(address: str, kind: Kind, size: int) -> None:
    clients = [_Client(address, kind, number) for number in range(size)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.ensure_future(client.run()))
        await asyncio.sleep(_CONNECT_PAUSE_S)
    await _wait_until_settled(clients)
    print("settled", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class CrowdProcess:
    """The process of a crowd."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def settle(self) -> None:
        """Waits until the crowd has sent what it can."""
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        assert line == b"settled\n", line

    async def leave(self) -> None:
        """Closes the connections of the crowd."""
        if self._process.returncode is None:
            assert self._process.stdin is not None
            self._process.stdin.close()
            await self._process.wait()


@contextlib.asynccontextmanager
async def crowding(
    address: str, kind: str, size: int
) -> AsyncIterator[CrowdProcess]:
    """Runs a crowd while the context is open."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        __name__,
        address,
        kind,
        str(size),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    crowd = CrowdProcess(process)
    try:
        yield crowd
    finally:
        await crowd.leave()


def main() -> None:
    """Runs the crowd that the arguments describe."""
    address, kind, size = sys.argv[1:]
    asyncio.run(_run(address, KINDS_BY_NAME[kind], int(size)))


if __name__ == "__main__":
    main()
