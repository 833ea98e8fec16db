"""Runs one stand-in as a process of its own."""

import argparse
import asyncio
import signal
from collections.abc import Awaitable, Callable

from coltsfootseam.standins.endpoint import serve_endpoint
from coltsfootseam.standins.hostlist import serve_host_list
from coltsfootseam.standins.log import serve_log
from coltsfootseam.standins.proxy import serve_proxy

_SERVE_BY_KIND: dict[str, Callable[[argparse.Namespace], Awaitable[None]]] = {
    "endpoint": serve_endpoint,
    "hostlist": serve_host_list,
    "log": serve_log,
    "proxy": serve_proxy,
}


async def _run(arguments: argparse.Namespace) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    serving = asyncio.ensure_future(_SERVE_BY_KIND[arguments.kind](arguments))
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait((serving, stopping), return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        serving.result()


def main() -> None:
    """Parses the arguments and serves until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("kind", choices=sorted(_SERVE_BY_KIND))
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument(
        "--control", default="", help="IP:PORT of a proxy's control interface"
    )
    parser.add_argument(
        "--target", default="", help="IP:PORT that a proxy forwards to"
    )
    parser.add_argument("--name", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    asyncio.run(_run(parser.parse_args()))


main()
