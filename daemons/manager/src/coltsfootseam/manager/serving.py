"""Serves callers, the balancer and monitoring over HTTP."""

import contextlib
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from coltsfootseam.connections import (
    HttpHandler,
    LoopShare,
    Port,
    ProcessLimits,
    Report,
    make_server,
    serving_connections,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.manager import Manager
from coltsfootseam.manager.monitoring.pages import MonitoringPages

_SHUTDOWN_TIMEOUT_S = 0.05
_MS_PER_S = 1000


class ServingSettings(msgspec.Struct, frozen=True):
    """Addresses that a manager listens on, and its limits.

    Attributes:
        callers: For callers.
        readiness: For the balancer's readiness checks.
        monitoring: For counters, histograms and status pages.
        limits: Limits of the process.
    """

    callers: str
    readiness: str
    monitoring: str
    limits: ProcessLimits = ProcessLimits()


@contextlib.asynccontextmanager
async def serving_manager(
    manager: Manager,
    handle: HttpHandler,
    settings: ServingSettings,
) -> AsyncIterator["CallerRequests"]:
    """Serves a manager while the context is open.

    Args:
        manager: The manager.
        handle: Handles callers' requests.
        settings: Where to listen, and the limits.
    """
    callers = CallerRequests(manager, handle)
    async with contextlib.AsyncExitStack() as stack:
        for port, handler in _ports(manager, callers, settings):
            server = make_server(handler)
            await stack.enter_async_context(
                serving_connections(server, port, _SHUTDOWN_TIMEOUT_S)
            )
        yield callers


def _ports(
    manager: Manager, callers: "CallerRequests", settings: ServingSettings
) -> list[tuple[Port, HttpHandler]]:
    """Returns the ports, and what serves them, in the order of opening."""
    pages = MonitoringPages(manager)
    context = manager.context
    share = LoopShare()
    operators = settings.limits.for_operators()
    readiness = Port(
        settings.readiness, operators, share, _report_to(context, "readiness")
    )
    monitoring = Port(
        settings.monitoring, operators, share, _report_to(context, "monitoring")
    )
    front = Port(
        settings.callers,
        settings.limits.for_callers(),
        share,
        _report_to(context, "callers"),
        manager.jobs.limits.of_requests,
    )
    return [
        (readiness, pages.check_readiness),
        (monitoring, pages.serve_monitoring),
        (front, callers.handle),
    ]


class CallerRequests:
    """Counts callers' requests and records how long they take."""

    __slots__ = ("_handle", "_manager", "_open_count")

    def __init__(self, manager: Manager, handle: HttpHandler) -> None:
        self._manager = manager
        self._handle = handle
        self._open_count = 0

    def count_open(self) -> int:
        """Returns how many requests are not answered yet."""
        return self._open_count

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles a request."""
        context = self._manager.context
        self._open_count += 1
        started_s = context.timers.now_s()
        try:
            response = await self._handle(request)
        finally:
            self._open_count -= 1
        elapsed_s = context.timers.now_s() - started_s
        name = f"request.{request.method.lower()}"
        context.counters.record_ms(name, elapsed_s * _MS_PER_S)
        if self._manager.is_stopping:
            response.force_close()
        return response


def _report_to(context: Context, port: str) -> Report:
    """Returns what records the connections of a port that were closed."""

    def report(cause: str, count: int, open_count: int, held: int) -> None:
        context.counters.increment(f"connections_closed.{cause}", count)
        context.log.write(
            "connections.closed",
            port=port,
            why=cause,
            count=count,
            open=open_count,
            bytes_held=held,
        )

    return report
