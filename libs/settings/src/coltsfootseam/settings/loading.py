"""Loads and validates YAML files."""

import pathlib
import re
from typing import Any, TypeVar

import msgspec
import yaml

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.settings.model import EntrySettings, TimerSettings

T = TypeVar("T")

_PATH_IN_MESSAGE = re.compile(r"^(?P<problem>.*) - at `(?P<path>\$[^`]*)`$")
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def load_yaml_as(
    path: str,
    target_type: type[T],
    code: ResultCode = ResultCode.SETTINGS_INVALID,
) -> T | Refusal:
    """Reads a YAML file and converts it to a validated type.

    Args:
        path: Path of the file.
        target_type: Type to convert the content to.
        code: Result code of the refusal if the file is not valid.

    Returns:
        The value, or a refusal that names the file, the key's path, the value
        found there and what is allowed.
    """
    try:
        raw = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return Refusal(code, f"{path}: cannot be read: {error.strerror}")
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        one_line = " ".join(str(error).split())
        return Refusal(code, f"{path}: is not YAML: {one_line}")
    try:
        return msgspec.convert(raw, target_type)
    except msgspec.ValidationError as error:
        return Refusal(code, f"{path}: {_describe_error(str(error), raw)}")


def load_entry_settings(path: str) -> EntrySettings | Refusal:
    """Loads and validates the settings of an entry host."""
    settings = load_yaml_as(path, EntrySettings)
    if isinstance(settings, Refusal):
        return settings
    problem = _find_conflict(settings)
    if problem:
        return Refusal(ResultCode.SETTINGS_INVALID, f"{path}: {problem}")
    return settings


def _describe_error(message: str, raw: Any) -> str:
    match = _PATH_IN_MESSAGE.match(message)
    if match is None:
        return f"at $: {message}"
    path = match["path"]
    value = _value_at(raw, path)
    return f"at {path}: found {value!r}: {match['problem']}"


def _value_at(raw: Any, path: str) -> Any:
    value = raw
    for name, index in _PATH_STEP.findall(path):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError, ValueError):
            return value
    return value


def _find_conflict(settings: EntrySettings) -> str:
    problem = _find_timer_conflict(settings.timers)
    if problem:
        return problem
    if settings.log_level not in _LOG_LEVELS:
        return (
            f"at $.log_level: found {settings.log_level!r}: "
            f"allowed are {', '.join(_LOG_LEVELS)}"
        )
    requests = settings.requests
    if requests.default_deadline_ms > requests.longest_deadline_ms:
        return (
            f"at $.requests.default_deadline_ms: found "
            f"{requests.default_deadline_ms!r}: must not be above "
            f"longest_deadline_ms ({requests.longest_deadline_ms})"
        )
    return ""


def _find_timer_conflict(timers: TimerSettings) -> str:
    longest_renewal_ms = 2 * timers.renew_ms + timers.drift_margin_ms
    if longest_renewal_ms > timers.lease_ms:
        return (
            f"at $.timers.renew_ms: found {timers.renew_ms!r}: two renewals "
            f"and drift_margin_ms ({timers.drift_margin_ms}) must fit into "
            f"lease_ms ({timers.lease_ms})"
        )
    if timers.log_wait_ms > timers.lease_ms // 2:
        return (
            f"at $.timers.log_wait_ms: found {timers.log_wait_ms!r}: must not "
            f"be above half of lease_ms ({timers.lease_ms})"
        )
    return ""
