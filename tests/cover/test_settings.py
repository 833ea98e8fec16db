"""A refusal of settings names the file, key, value and what is allowed."""

import pathlib
from typing import Any

import pytest
import yaml

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.settings import EntrySettings, load_entry_settings


def raw_settings(**changes: Any) -> dict[str, Any]:
    raw: dict[str, Any] = {
        "entry_id": "entry-0",
        "region": "region-1",
        "zone": "zone-a",
        "listen": {
            "callers": "127.0.0.1:8000",
            "admin": "127.0.0.1:8001",
            "peers": "127.0.0.1:8002",
        },
        "log": "http://127.0.0.1:9000",
        "host_list": "http://127.0.0.1:9001",
    }
    raw.update(changes)
    return raw


def load(path: pathlib.Path, raw: Any) -> EntrySettings | Refusal:
    path.write_text(yaml.safe_dump(raw))
    return load_entry_settings(str(path))


def test_settings_with_defaults_are_loaded(tmp_path: pathlib.Path) -> None:
    settings = load(tmp_path / "entry.yaml", raw_settings())
    assert isinstance(settings, EntrySettings)
    assert settings.timers.lease_ms == 6000
    assert settings.advertised_addresses() == settings.listen


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"zone": 7}, ("at $.zone", "found 7", "Expected `str`")),
        ({"typo": 1}, ("unknown field `typo`",)),
        (
            {"timers": {"lease_ms": 0}},
            ("at $.timers.lease_ms", "found 0", ">= 1"),
        ),
        (
            {"timers": {"lease_ms": 3000, "renew_ms": 2000}},
            ("at $.timers.renew_ms", "found 2000", "lease_ms (3000)"),
        ),
        ({"log": "ftp://x"}, ("at $.log", "'ftp://x'", "matching regex")),
        ({"peers": ["nowhere"]}, ("at $.peers", "'nowhere'")),
        ({"log_level": "LOUD"}, ("at $.log_level", "'LOUD'", "WARNING")),
        (
            {"requests": {"default_deadline_ms": 4_000_000}},
            ("at $.requests.default_deadline_ms", "longest_deadline_ms"),
        ),
    ],
)
def test_a_bad_value_is_named_with_its_path(
    tmp_path: pathlib.Path, changes: dict[str, Any], named: tuple[str, ...]
) -> None:
    path = tmp_path / "entry.yaml"
    refusal = load(path, raw_settings(**changes))
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.SETTINGS_INVALID
    assert refusal.reason.startswith(str(path))
    for text in named:
        assert text in refusal.reason


def test_a_missing_key_is_named(tmp_path: pathlib.Path) -> None:
    raw = raw_settings()
    del raw["zone"]
    refusal = load(tmp_path / "entry.yaml", raw)
    assert isinstance(refusal, Refusal)
    assert "missing required field `zone`" in refusal.reason


def test_a_missing_file_is_named(tmp_path: pathlib.Path) -> None:
    refusal = load_entry_settings(str(tmp_path / "none.yaml"))
    assert isinstance(refusal, Refusal)
    assert "cannot be read" in refusal.reason


def test_a_file_that_is_not_yaml_is_refused(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text("entry_id: [")
    refusal = load_entry_settings(str(path))
    assert isinstance(refusal, Refusal)
    assert "is not YAML" in refusal.reason
