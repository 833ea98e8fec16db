"""Memory and descriptors of a process while it runs."""

import asyncio
import contextlib
import os
import pathlib
from collections.abc import AsyncIterator

_PERIOD_S = 0.05
_KB = 1024
_ESTABLISHED_STATES = ("01", "08")


class Samples:
    """The highest values seen of one process.

    Attributes:
        memory_bytes: Resident memory, and bytes that its sockets have received
            and it has not read.
        descriptors: Open descriptors.
        rest_bytes: Resident memory at the first sample.
    """

    def __init__(self, pid: int, addresses: list[str]) -> None:
        self._folder = pathlib.Path(f"/proc/{pid}")
        self._addresses = {_as_listed(address) for address in addresses}
        self.memory_bytes = 0
        self.descriptors = 0
        self.rest_bytes = self._resident_bytes()

    def take(self) -> None:
        """Takes a sample."""
        memory_bytes = self._resident_bytes() + self._unread_bytes()
        self.memory_bytes = max(self.memory_bytes, memory_bytes)
        descriptors = len(os.listdir(self._folder / "fd"))
        self.descriptors = max(self.descriptors, descriptors)

    def _resident_bytes(self) -> int:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * _KB
        return 0

    def _unread_bytes(self) -> int:
        """Returns how many received bytes wait in the kernel."""
        total = 0
        table = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        for line in table:
            _, local, _, state, queues, *_ = line.split()
            if state in _ESTABLISHED_STATES and local in self._addresses:
                total += int(queues.partition(":")[2], 16)
        return total


def _as_listed(address: str) -> str:
    """Returns an address as the kernel's table shows it."""
    host, _, port = address.partition(":")
    number = int.from_bytes(bytes(map(int, host.split("."))), "little")
    return f"{number:08X}:{int(port):04X}"


@contextlib.asynccontextmanager
async def sampling(pid: int, addresses: list[str]) -> AsyncIterator[Samples]:
    """Samples a process that listens on addresses until the context closes."""
    samples = Samples(pid, addresses)

    async def run() -> None:
        while True:
            samples.take()
            await asyncio.sleep(_PERIOD_S)

    task = asyncio.ensure_future(run())
    try:
        yield samples
    finally:
        task.cancel()
