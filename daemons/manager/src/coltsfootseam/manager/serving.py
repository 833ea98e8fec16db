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
    pages = MonitoringPages(manager)
    share = LoopShare()
    context = manager.context
    operators = settings.limits.for_operators()
    callers_port = Port(
        settings.callers,
        settings.limits.for_callers(),
        share,
        _report_to(context, "callers"),
        manager.jobs.limits.of_requests,
    )
    readiness_port = Port(
        settings.readiness,
        operators,
        share,
        _report_to(context, "readiness"),
    )
    monitoring_port = Port(
        settings.monitoring,
        operators,
        share,
        _report_to(context, "monitoring"),
    )
    async with contextlib.AsyncExitStack() as stack:
        for port, handler in (
            (readiness_port, pages.check_readiness),
            (monitoring_port, pages.serve_monitoring),
            (callers_port, callers.handle),
        ):
            await stack.enter_async_context(
                serving_connections(
                    make_server(handler), port, _SHUTDOWN_TIMEOUT_S
                )
            )
        yield callers


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


class _Reporter:
    """Records which connections of a port were closed."""

    __slots__ = ("_context", "_port")

    def __init__(self, context: Context, port: str) -> None:
        self._context = context
        self._port = port

    def report(
        self, cause: str, count: int, open_count: int, bytes_held: int
    ) -> None:
        self._context.counters.increment(f"connections_closed.{cause}", count)
        self._context.log.write(
            "connections.closed",
            port=self._port,
            why=cause,
            count=count,
            open=open_count,
            bytes_held=bytes_held,
        )


def _report_to(context: Context, port: str) -> Report:
    return _Reporter(context, port).report
