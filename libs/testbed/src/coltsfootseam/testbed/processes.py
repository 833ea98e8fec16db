"""Processes that the launcher starts and signals by their own ids."""

import os
import pathlib
import signal
import subprocess
import sys

import msgspec

from coltsfootseam.testbed.waiting import wait_until

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_STOP_TIMEOUT_S = 90.0


class Usage(msgspec.Struct, frozen=True):
    """Processor time and memory of a process so far."""

    cpu_s: float
    rss_bytes: int


class Process:
    """One process of a cluster."""

    __slots__ = ("_popen", "name")

    def __init__(
        self, name: str, arguments: list[str], log_path: pathlib.Path
    ) -> None:
        self.name = name
        with log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self._popen.pid

    def is_running(self) -> bool:
        """Returns whether the process is still running."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self._send(signal.SIGKILL)
        self._popen.wait()

    def pause(self) -> None:
        """Pauses the process."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the paused process."""
        self._send(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful stop of the process."""
        self._send(signal.SIGTERM)

    async def wait(self) -> int:
        """Waits until the process has ended and returns its exit code."""

        async def has_ended() -> bool:
            return not self.is_running()

        await wait_until(has_ended, f"{self.name} ends", _STOP_TIMEOUT_S)
        return self._popen.returncode

    def usage(self) -> Usage:
        """Returns the processor time and memory used so far."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return Usage(ticks / _TICKS_PER_S, int(fields[21]) * _PAGE_BYTES)

    def _send(self, number: signal.Signals) -> None:
        if self.is_running():
            self._popen.send_signal(number)
