"""Addresses given to the command line."""

import pytest

from coltsfootseam.cli.client import ENTRIES_VARIABLE, split_addresses


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a:1, ,b:2", ["a:1", "b:2"]),
        (" a:1 ,b:2,", ["a:1", "b:2"]),
        (("a:1", " ", "b:2"), ["a:1", "b:2"]),
        ("", []),
        (" , ", []),
    ],
)
def test_blank_addresses_are_left_out(
    text: str | tuple[str, ...], expected: list[str]
) -> None:
    assert split_addresses(text) == expected


def test_the_environment_is_used_if_only_blank_addresses_are_given(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv(ENTRIES_VARIABLE, "c:3")
    assert split_addresses(" , ", ENTRIES_VARIABLE) == ["c:3"]
