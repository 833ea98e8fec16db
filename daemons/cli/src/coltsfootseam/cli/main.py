"""The tree of commands and the entry point."""

import asyncio

import fire

from coltsfootseam.cli.contract import ContractCommands
from coltsfootseam.cli.manager import ManagerCommands
from coltsfootseam.cli.output import fail, finish
from coltsfootseam.cli.status import show_status
from coltsfootseam.cli.timeline import show_timeline
from coltsfootseam.entry import run_entry
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import registered_dispatchers
from coltsfootseam.settings import EntrySettings, load_entry_settings


class SettingsCommands:
    """Commands for settings files."""

    def check(self, file: str) -> None:
        """Validates the settings file of an entry host without starting it.

        Args:
            file: Path of the YAML file.
        """
        settings = _load(file)
        print(f"{file}: settings of entry host {settings.entry_id!r} are valid")
        finish(ResultCode.OK)


class Commands:
    """Manages capacity and maintenance of a host fleet by contracts.

    Commands that call entry hosts take --entries, a comma-separated list of
    admin addresses, or read it from COLTSFOOTSEAM_ENTRIES. The exit code is
    the number of the result code.
    """

    def __init__(self) -> None:
        self.contract = ContractCommands()
        self.settings = SettingsCommands()
        self.manager = ManagerCommands()

    def entry(self, settings: str) -> None:
        """Runs an entry host until it receives SIGTERM or SIGINT.

        Args:
            settings: Path of its YAML file.
        """
        loaded = _load(settings)
        try:
            asyncio.run(run_entry(loaded))
        except OSError as error:
            fail(Refusal(ResultCode.SETTINGS_INVALID, f"{settings}: {error}"))
        finish(ResultCode.OK)

    def status(self, entries: str = "", json: bool = False) -> None:
        """Shows pools, hosts, budgets and entry hosts.

        Args:
            entries: Admin addresses of entry hosts.
            json: Print JSON instead of tables.
        """
        show_status(entries, json)

    def timeline(
        self,
        entries: str = "",
        since_ms: int = 0,
        chrome: str = "",
        json: bool = False,
    ) -> None:
        """Shows the events of all entry hosts in chronological order.

        Args:
            entries: Admin addresses of entry hosts. The first one that answers
                lists the others.
            since_ms: Only events after this time, milliseconds since the
                epoch.
            chrome: File to write the events to, in the Chrome trace-event
                format.
            json: Print JSON instead of lines.
        """
        show_timeline(entries, since_ms, chrome, json)


def main() -> None:
    """Runs the command given by the arguments."""
    fire.Fire(Commands, name="coltsfootseam")


def _load(file: str) -> EntrySettings:
    settings = load_entry_settings(str(file))
    if isinstance(settings, Refusal):
        fail(settings)
    names = registered_dispatchers()
    if settings.requests.dispatch not in names:
        fail(
            Refusal(
                ResultCode.SETTINGS_INVALID,
                f"{file}: at $.requests.dispatch: found "
                f"{settings.requests.dispatch!r}: allowed are "
                f"{', '.join(names)}",
            )
        )
    return settings
