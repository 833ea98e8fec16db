"""Tasks in the background whose end by an exception doesn't go unnoticed."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from coltsfootseam.manager.context import Context

_RESTART_DELAY_S = 0.5

TaskCoroutine = Coroutine[Any, Any, None]


def record_failure(context: Context, name: str, error: Exception) -> None:
    """Writes the line about a task that ended with an exception."""
    context.log.write("task.failed", name=name, why=repr(error))
    context.counters.increment("task.failed")


def logging_failures(
    context: Context,
    name: str,
    function: Callable[[], TaskCoroutine],
    on_failure: Callable[[], None] = lambda: None,
) -> Callable[[], TaskCoroutine]:
    """Returns work that writes a line in place of raising an exception.

    Args:
        context: What all parts share.
        name: What the work is called in a line.
        function: Begins the work.
        on_failure: Called after an exception has ended it.
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
    """Starts a task that can't be begun again once it has failed."""
    return asyncio.ensure_future(
        logging_failures(context, name, function, on_failure)()
    )


def start_restarting(
    context: Context,
    name: str,
    function: Callable[[], TaskCoroutine],
    on_failure: Callable[[], None] = lambda: None,
) -> asyncio.Task[None]:
    """Starts a task that is begun again, after a pause, when it failed.

    Args:
        context: What all parts share.
        name: What the task is called in a line.
        function: Begins the work, or begins it again.
        on_failure: Called each time that an exception has ended it.
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
    """Keeps works going in the background while the context is open."""
    tasks = [
        start_restarting(context, name, function)
        for name, function in functions_by_name.items()
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
