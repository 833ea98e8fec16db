"""Connections that stay within the limits of their port."""

import asyncio
import contextlib
import gzip
import itertools
from collections.abc import Callable

import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootseam.testbed.waiting import wait_until
from tests.common.http_port import (
    LIMIT_S,
    MAX_BODY_BYTES,
    TestPort,
    serving_port,
)

CLOSE = "Connection: close"


def request(*lines: str, body: bytes = b"", method: str = "POST") -> bytes:
    """Returns a request with a body of known size."""
    head = [f"{method} /q HTTP/1.1", "Host: h", *lines]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def chunked(*chunks: bytes, trailer: str = "", line: str = "X: y") -> bytes:
    """Returns a request with a body in chunks."""
    parts = [request("Transfer-Encoding: chunked", line)]
    parts += [f"{len(each):x}\r\n".encode() + each + b"\r\n" for each in chunks]
    return b"".join(parts) + f"0\r\n{trailer}\r\n".encode()


def bodies_of(answers: bytes) -> list[bytes]:
    """Returns the bodies of answers, all of which have a length."""
    bodies = []
    while answers:
        head, _, rest = answers.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        )
        bodies.append(rest[:length])
        answers = rest[length:]
    return bodies


async def wait_until_open(port: TestPort, count: int) -> None:
    """Waits until so many connections are open."""
    assert port.listener is not None
    table = port.listener.table
    await wait_until_true(lambda: table.open_count == count)


async def wait_until_true(is_true: Callable[[], bool]) -> None:
    """Waits until a condition holds."""

    async def check() -> bool:
        return is_true()

    await wait_until(check, "the condition holds", LIMIT_S)


BODIES = st.binary(min_size=1, max_size=300) | st.sampled_from(
    [b"\r\n\r\n", b"0\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"\n\n"]
)
REQUESTS = st.one_of(
    st.tuples(st.just("sized"), st.lists(BODIES, min_size=1, max_size=1)),
    st.tuples(st.just("chunked"), st.lists(BODIES, min_size=1, max_size=4)),
    st.tuples(st.just("trailer"), st.lists(BODIES, min_size=1, max_size=2)),
    st.tuples(st.just("none"), st.just([b""])),
)


# Guards against requests whose end is found at the wrong byte, wherever their
# bytes are split and whatever is in them.
@settings(max_examples=150, deadline=None)
@given(
    st.lists(REQUESTS, min_size=1, max_size=4),
    st.lists(st.integers(0, 2000), max_size=12),
    st.integers(0, 3),
)
def test_requests_are_served_wherever_they_are_split(
    requests: list[tuple[str, list[bytes]]], cuts: list[int], lines: int
) -> None:
    sent = b"\r\n" * lines
    for number, (kind, parts) in enumerate(requests):
        line = CLOSE if number == len(requests) - 1 else "X: y"
        if kind == "sized":
            sent += request(line, body=parts[0])
        elif kind == "none":
            sent += request(line, method="GET")
        else:
            trailer = "T: t\r\n" if kind == "trailer" else ""
            sent += chunked(*parts, trailer=trailer, line=line)
    places = sorted({min(cut, len(sent)) for cut in cuts} | {0, len(sent)})
    pieces = [sent[start:end] for start, end in itertools.pairwise(places)]

    async def run() -> bytes:
        async with serving_port() as port:
            return await port.exchange(*pieces)

    answers = asyncio.run(run())
    assert bodies_of(answers) == [b"".join(parts) for _, parts in requests]


# Guards against a client that is refused only for asking for an upgrade, as
# some do with their first request, and against bytes kept behind it.
async def test_an_upgrade_is_ignored() -> None:
    lines = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c")
    async with serving_port() as port:
        answers = await port.exchange(
            request(*lines, body=b"body"), request(CLOSE, body=b"next")
        )
    assert bodies_of(answers) == [b"body", b"next"]


async def test_a_connect_is_refused_and_what_is_behind_it_ignored() -> None:
    async with serving_port() as port:
        reader, writer = await port.open()
        writer.write(b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n" + b"a" * 5000)
        assert b" 405 " in await reader.readline()
        writer.transport.abort()


@pytest.mark.parametrize(
    "sent",
    [
        b"GET /" + b"a" * 20_000,
        b"GET / HTTP/1.1\r\nA: " + b"a" * 20_000 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"A: a\r\n" * 5000,
        b"\r\n" * 10_000,
    ],
)
async def test_a_head_that_is_too_long_is_refused(sent: bytes) -> None:
    async with serving_port() as port:
        reader, writer = await port.open()
        writer.write(sent)
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(LIMIT_S):
                answer = await reader.read()
            assert answer == b"" or b" 431 " in answer
        await wait_until_open(port, 0)


# Guards against legal heads that the HTTP library's own limit of a line would
# refuse.
async def test_a_head_of_the_longest_legal_size_is_served() -> None:
    padding = "a" * 15_000
    async with serving_port() as port:
        answers = await port.exchange(
            request(CLOSE, f"X: {padding}", body=b"body")
        )
    assert bodies_of(answers) == [b"body"]


@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\nHost: h\n\n",
        b"\x16\x03\x01\x02\x00\x01\x00",
        b"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
    ],
)
async def test_what_is_not_http_is_refused_by_the_library(sent: bytes) -> None:
    async with serving_port() as port:
        reader, writer = await port.open()
        writer.write(sent)
        async with asyncio.timeout(LIMIT_S):
            assert b" 400 " in await reader.readline()
        writer.transport.abort()


async def test_a_slow_lone_client_is_served() -> None:
    sent = request(CLOSE, body=b"a body")
    async with serving_port(max_connections=1) as port:
        pieces = [sent[place : place + 1] for place in range(len(sent))]
        answer = await port.exchange(*pieces)
    assert bodies_of(answer) == [b"a body"]


# Guards against pipelined requests that are parsed and kept ahead.
async def test_requests_behind_one_in_progress_wait() -> None:
    started: list[str] = []
    release = asyncio.Event()

    async def handle(caller: web.BaseRequest) -> web.Response:
        started.append(caller.path)
        await release.wait()
        return web.Response()

    async with serving_port(handle) as port:
        _, writer = await port.open()
        writer.write(request(method="GET") * 1000)
        await wait_until_true(lambda: bool(started))
        await asyncio.sleep(0.05)
        assert len(started) == 1
        release.set()
        await wait_until_true(lambda: len(started) == 1000)
        writer.transport.abort()


# Guards against a handler that fails: its connection must be usable or closed.
async def test_a_handler_that_fails_is_answered() -> None:
    async def handle(caller: web.BaseRequest) -> web.Response:
        raise ValueError("a fault")

    async with serving_port(handle) as port:
        answer = await port.exchange(request(method="GET"))
    assert answer.startswith(b"HTTP/1.1 500 ")


# Guards against newcomers that are locked out by connections that send nothing.
async def test_the_longest_unfinished_connection_goes_first() -> None:
    async with serving_port(max_connections=3) as port:
        kept = await port.open()
        kept[1].write(request(body=b"a"))
        await kept[0].readuntil(b"\r\n\r\na")
        first = await port.open()
        await wait_until_open(port, 2)
        second = await port.open()
        await wait_until_open(port, 3)
        await asyncio.sleep(0.1)
        answers = await port.exchange(request(CLOSE, body=b"b"))
        assert bodies_of(answers) == [b"b"]
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(LIMIT_S):
                assert await first[0].read() == b""
        for reader, writer in (kept, second):
            writer.write(request(CLOSE, body=b"c"))
            assert bodies_of(await reader.read()) == [b"c"]
        for _, writer in (kept, first, second):
            writer.transport.abort()


# Guards against newcomers that are locked out by clients that always have a
# request in progress.
async def test_a_newcomer_gets_in_beside_busy_connections() -> None:
    async with serving_port(max_connections=3) as port:
        writers = []
        for _ in range(3):
            _, writer = await port.open()
            writer.write(request(method="GET") * 20_000)
            writers.append(writer)
        answers = await port.exchange(request(CLOSE, body=b"b"))
        assert bodies_of(answers) == [b"b"]
        for writer in writers:
            writer.transport.abort()


# Guards against large bodies that stop short and hold all the memory.
async def test_the_slowest_large_body_goes_first() -> None:
    size = MAX_BODY_BYTES
    held = 3 * size
    async with serving_port(max_bytes=held * 2) as port:
        _, stuck = await port.open()
        stuck.write(request(f"Content-Length: {size}") + b"a" * 1000)
        await asyncio.sleep(0.6)
        body = b"b" * size
        answers = await port.exchange(request(CLOSE, body=body))
        assert bodies_of(answers) == [body]
        await wait_until_open(port, 0)
        stuck.transport.abort()


async def test_memory_is_free_again_when_all_are_answered() -> None:
    async with serving_port() as port:
        body = b"b" * MAX_BODY_BYTES
        await asyncio.gather(
            *(port.exchange(request(CLOSE, body=body)) for _ in range(20))
        )
        await wait_until_open(port, 0)
        assert port.listener is not None
        assert port.listener.table.bytes_held == 0


async def test_a_compressed_body_is_not_unpacked() -> None:
    body = gzip.compress(b"a" * 1000)
    async with serving_port() as port:
        answer = await port.exchange(
            request(CLOSE, "Content-Encoding: gzip", body=body)
        )
    assert answer.startswith(b"HTTP/1.1 415 ")


async def test_a_body_that_is_too_long_is_refused_before_it_is_sent() -> None:
    async with serving_port() as port:
        reader, writer = await port.open()
        size = MAX_BODY_BYTES + 1
        writer.write(request(f"Content-Length: {size}"))
        async with asyncio.timeout(LIMIT_S):
            assert b" 413 " in await reader.readline()
        writer.transport.abort()


# Guards against a client that has others closed for room that it can't use.
async def test_a_body_that_never_fits_takes_no_room_from_others() -> None:
    async with serving_port() as port:
        reader, writer = await port.open()
        size = MAX_BODY_BYTES
        writer.write(request(f"Content-Length: {size}") + b"a" * (size - 1))
        await asyncio.sleep(0.6)
        _, greedy = await port.open()
        greedy.write(request(f"Content-Length: {10**9}") + b"a" * 10_000)
        await asyncio.sleep(0.3)
        writer.write(b"a")
        async with asyncio.timeout(LIMIT_S):
            assert b" 200 " in await reader.readline()
        greedy.transport.abort()
        writer.transport.abort()


async def test_a_body_in_chunks_that_is_too_long_is_refused() -> None:
    chunks = [b"a" * 1000] * (MAX_BODY_BYTES // 1000 + 1)
    async with serving_port() as port:
        answer = await port.exchange(chunked(*chunks, line=CLOSE))
    assert answer.startswith(b"HTTP/1.1 413 ")
