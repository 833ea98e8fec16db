"""Request heads, headers and retry budgets."""

import msgspec
import pytest
from multidict import CIMultiDict, istr

from coltsfootseam.peers import Header
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import DeadlineLimits, parse_request_head
from coltsfootseam.routing.budget import RetryBudget
from coltsfootseam.routing.headers import end_to_end_headers, to_stored_headers

LIMITS = DeadlineLimits(default_ms=30_000, max_ms=60_000)


def test_service_key_and_deadline_are_read() -> None:
    head = parse_request_head(
        "entry-0",
        "POST",
        "/entries/shows/7?x=1",
        {"Idempotency-Key": "k", "X-Deadline-Ms": "1500"},
        100.0,
        LIMITS,
    )
    assert not isinstance(head, Refusal)
    assert head.service == "entries"
    assert head.scoped_key() == "entries/k"
    assert head.deadline_s == 101.5
    assert head.request_id.startswith("entry-0/")


@pytest.mark.parametrize(
    ("target", "headers", "named"),
    [
        ("/", {}, "'/'"),
        ("/UPPER/x", {}, "'/UPPER/x'"),
        ("/a", {"X-Deadline-Ms": "soon"}, "'soon'"),
        ("/a", {"X-Deadline-Ms": "0"}, "between 1 and 60000"),
        ("/a", {"X-Deadline-Ms": "60001"}, "between 1 and 60000"),
        ("/a", {"Idempotency-Key": "k" * 201}, "201 characters"),
    ],
)
def test_the_refusal_of_a_bad_request_names_the_fault(
    target: str, headers: dict[str, str], named: str
) -> None:
    refusal = parse_request_head(
        "entry-0", "POST", target, headers, 0.0, LIMITS
    )
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NOT_RUN_BAD_REQUEST
    assert named in refusal.reason


def test_hop_by_hop_and_listed_headers_are_removed() -> None:
    headers = CIMultiDict(
        [
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
            ("X-Pool", "forged"),
        ]
    )
    assert list(end_to_end_headers(headers).items()) == [
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
    ]


def test_retries_are_a_share_of_requests_beyond_a_reserve() -> None:
    budget = RetryBudget(0.1)
    reserve = sum(budget.try_spend() for _ in range(100))
    for _ in range(100):
        budget.record_request()
    earned = sum(budget.try_spend() for _ in range(100))
    assert reserve == 20
    assert earned in (9, 10)


def test_kept_headers_can_be_handed_over() -> None:
    # The HTTP library returns names as a subclass of str, which codecs reject.
    headers = CIMultiDict([(istr("Content-Type"), "text/plain")])
    encoded = msgspec.msgpack.encode(to_stored_headers(headers))
    decoded = msgspec.msgpack.decode(encoded, type=list[Header])
    assert decoded == [Header("Content-Type", "text/plain")]
