"""Background tasks whose failures are logged."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from coltsfootseam.manager.context import Context

_RESTART_DELAY_S = 0.5

TaskCoroutine = Coroutine[Any, Any, None]


def record_failure(context: Context, name: str, error: Exception) -> None:
    """Logs and counts a task that failed with an exception."""
    context.log.write("task.failed", name=name, why=repr(error))
    context.counters.increment("task.failed")


def logging_failures(
    context: Context,
    name: str,
    function: Callable[[], TaskCoroutine],
    on_failure: Callable[[], None] = lambda: None,
) -> Callable[[], TaskCoroutine]:
    """Returns a function that logs an exception in place of raising it.

    Args:
        context: Shared context of the manager.
        name: Name of the task in the log.
        function: The function to wrap.
        on_failure: Called after an exception.
    """

    async def run() -> None:
        try:
            await function()
        except Exception as error:
            record_failure(context, name, error)
            on_failure()

    return run


def start_once(
    context: Context,
    name: str,
    function: Callable[[], TaskCoroutine],
    on_failure: Callable[[], None] = lambda: None,
) -> asyncio.Task[None]:
    """Starts a task that isn't restarted after a failure."""
    return asyncio.ensure_future(
        logging_failures(context, name, function, on_failure)()
    )


def start_restarting(
    context: Context,
    name: str,
    function: Callable[[], TaskCoroutine],
    on_failure: Callable[[], None] = lambda: None,
) -> asyncio.Task[None]:
    """Starts a task that is restarted after a delay when it fails.

    Args:
        context: Shared context of the manager.
        name: Name of the task in the log.
        function: Called at the start and at each restart.
        on_failure: Called after each exception.
    """

    async def run() -> None:
        while True:
            try:
                await function()
                return
            except Exception as error:
                record_failure(context, name, error)
                on_failure()
            await context.timers.sleep(_RESTART_DELAY_S)

    return asyncio.ensure_future(run())


@contextlib.contextmanager
def running(
    context: Context, functions_by_name: dict[str, Callable[[], TaskCoroutine]]
) -> Iterator[None]:
    """Runs functions as restarting tasks while the context is open."""
    tasks = [
        start_restarting(context, name, function)
        for name, function in functions_by_name.items()
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
