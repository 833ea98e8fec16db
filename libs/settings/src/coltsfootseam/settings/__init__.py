"""Settings of a process, from a YAML file that is validated at the start."""

from coltsfootseam.settings.loading import load_entry_settings, load_yaml_as
from coltsfootseam.settings.model import (
    Addresses,
    EntrySettings,
    RequestSettings,
    StatsdSettings,
    TimerSettings,
)
from coltsfootseam.settings.watching import FileWatch, Reloader

__all__ = [
    "Addresses",
    "EntrySettings",
    "FileWatch",
    "Reloader",
    "RequestSettings",
    "StatsdSettings",
    "TimerSettings",
    "load_entry_settings",
    "load_yaml_as",
]
