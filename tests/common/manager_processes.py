"""Managers as processes of their own."""

import asyncio
import os
import pathlib
import signal
import sys

import yaml

ROOT = pathlib.Path(__file__).parents[2]
START = (str(ROOT / "deploy/start.py"),)


class ManagerProcess:
    """A manager in its own process, on ports that its maker has reserved.

    Attributes:
        name: Name of the host.
        zone: Availability zone of the host.
        front: Address for callers.
        readiness: Address for readiness checks.
        metrics: Address of the status pages.
        process: The process, once it was started.
    """

    def __init__(
        self,
        number: int,
        store: str,
        folder: pathlib.Path,
        listen_ports: list[int],
        first_port: int,
        ip: str = "127.0.0.1",
        zone: str = "a",
        arguments: tuple[str, ...] = START,
        variables: dict[str, str] | None = None,
        limits: dict[str, int] | None = None,
    ) -> None:
        front, readiness = listen_ports
        self.name = f"edge-{number}"
        self.zone = zone
        self.front = f"{ip}:{front}"
        self.readiness = f"{ip}:{readiness}"
        self.metrics = f"{ip}:{first_port + 1}"
        self._arguments = arguments
        self._settings = folder / f"boot-{number}.yaml"
        self._log = folder / f"{self.name}.log"
        self._variables = {
            "COLTSFOOTSEAM_NODE_FILE": str(self._settings),
            **(variables or {}),
        }
        self._settings.write_text(
            yaml.safe_dump(
                {
                    "node": self.name,
                    "ip": ip,
                    "zone": zone,
                    "listen": {
                        "front": self.front,
                        "readiness": self.readiness,
                    },
                    "port_range": [first_port, first_port + 1],
                    "platform": {"addr": store, "parts": 12},
                    "cloud_api": {"addr": store},
                    "limits": limits or {},
                }
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process, which appends its output to a log file."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                cwd=ROOT,
                env={**os.environ, **self._variables},
                stdout=log,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running():
            assert self.process is not None
            self.process.send_signal(signal_number)

    def is_running(self) -> bool:
        """Returns whether the process was started and hasn't ended."""
        return self.process is not None and self.process.returncode is None

    async def terminate(self, signal_number: signal.Signals) -> int:
        """Sends a signal to the process; returns its exit status."""
        assert self.process is not None
        self.send(signal_number)
        return await self.process.wait()
