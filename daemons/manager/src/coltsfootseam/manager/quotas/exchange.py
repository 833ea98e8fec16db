"""Exchanges reports and grants between a pool's owner and the coordinator."""

import asyncio
from collections import deque
from collections.abc import Callable

from coltsfootseam.calls import QUOTA_REPORT
from coltsfootseam.manager.background import start_once
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.membership.duties import FLEET_DUTY
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.manager.quotas.pool_quotas import PoolQuotas
from coltsfootseam.teams.quota import QuotaReply
from coltsfootseam.timers import Subscription

_CHECK_PERIOD_S = 0.1
_IDLE_PERIOD_S = 1.0
"""Period of a pool that no team uses.

A coordinator grants nothing more until every pool has reported to it, so these
pools report too.
"""
_PERIOD_S = 0.5
_WAITING_PERIOD_S = 0.25
_RETRY_PERIOD_S = 1.0
"""Period while no host answers, as each search for one asks all hosts."""
_MIN_GAP_S = 0.1
_MAX_REPORTS_PER_S = 4
_CALL_TIMEOUT_S = 0.4


class QuotaExchange:
    """Reports what a pool's teams use, one report at a time."""

    __slots__ = (
        "_context",
        "_is_unanswered",
        "_is_urgent",
        "_locator",
        "_on_grant",
        "_pool",
        "_quotas",
        "_sent_s",
        "_subscription",
        "_task",
    )

    def __init__(
        self,
        pool: str,
        context: Context,
        quotas: PoolQuotas,
        locator: Locator,
        on_grant: Callable[[], None],
    ) -> None:
        """Prepares the exchange.

        Args:
            pool: Name of the pool.
            context: Shared context of the manager.
            quotas: What the teams may use of the pool.
            locator: Finds the coordinator.
            on_grant: Called when a team that waits got more quota.
        """
        self._pool = pool
        self._context = context
        self._quotas = quotas
        self._locator = locator
        self._on_grant = on_grant
        self._is_urgent = False
        self._is_unanswered = False
        self._sent_s: deque[float] = deque(maxlen=_MAX_REPORTS_PER_S)
        self._task: asyncio.Task[None] | None = None
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Starts to report."""
        self._quotas.on_wait = self._report_urgently
        self._subscription = self._context.timers.subscribe(
            _CHECK_PERIOD_S, self._report_if_due
        )

    def close(self) -> None:
        """Stops reporting and cancels the call in progress."""
        self._quotas.on_wait = lambda: None
        if self._subscription is not None:
            self._subscription.cancel()
        if self._task is not None:
            self._task.cancel()

    def _report_urgently(self) -> None:
        self._is_urgent = True
        self._report_if_due()

    def _report_if_due(self) -> None:
        if not self._quotas.is_enabled():
            return
        is_in_flight = self._task is not None and not self._task.done()
        if is_in_flight or self._context.timers.now_s() < self._due_s():
            return
        self._task = start_once(
            self._context, f"quotas of {self._pool}", self._exchange
        )

    def _due_s(self) -> float:
        """Returns when the next report is due."""
        if not self._sent_s:
            return float("-inf")
        due_s = self._sent_s[-1] + self._period_s()
        if len(self._sent_s) == _MAX_REPORTS_PER_S:
            due_s = max(due_s, self._sent_s[0] + 1.0)
        return due_s

    def _period_s(self) -> float:
        if self._is_unanswered:
            return _RETRY_PERIOD_S
        if self._is_urgent or self._quotas.should_report_soon():
            return _MIN_GAP_S
        if self._quotas.waits.by_step:
            return _WAITING_PERIOD_S
        return _PERIOD_S if self._quotas.is_in_use() else _IDLE_PERIOD_S

    async def _exchange(self) -> None:
        sent_s = self._context.timers.now_s()
        self._sent_s.append(sent_s)
        self._is_urgent = False
        report = self._quotas.make_report()
        reply = await self._locator.call(
            FLEET_DUTY,
            QUOTA_REPORT,
            report,
            _CALL_TIMEOUT_S,
            _is_from_coordinator,
        )
        self._is_unanswered = not isinstance(reply, QuotaReply)
        if self._is_unanswered:
            self._context.counters.increment("quota.report_unanswered")
            return
        if self._quotas.apply_reply(reply, sent_s):
            self._on_grant()


def _is_from_coordinator(reply: object) -> bool:
    """Returns whether a reply is of the coordinator, also if it refuses."""
    return isinstance(reply, QuotaReply) and (
        reply.is_coordinator or reply.coordinator_epoch > 0
    )
