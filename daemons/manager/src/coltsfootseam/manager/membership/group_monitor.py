"""Monitoring of calls to the group, which assigns the duties."""

from coltsfootseam.manager.context import Context
from coltsfootseam.store import Membership

_CHECK_PERIOD_S = 0.5
_UNREACHABLE_AFTER_S = 1.0
_MS_PER_S = 1000


class GroupMonitor:
    """Logs when a call to the group keeps failing, and when it succeeds again.

    A host whose joins aren't answered loses all its duties eventually, though
    it continues to accept jobs.
    """

    __slots__ = (
        "_context",
        "_failing_since_s_by_call",
        "_membership",
        "_reported_calls",
    )

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._failing_since_s_by_call: dict[str, float] = {}
        self._reported_calls: set[str] = set()

    async def run(self) -> None:
        """Checks the results of the calls until cancelled."""
        while True:
            self._check()
            await self._context.timers.sleep(_CHECK_PERIOD_S)

    def _check(self) -> None:
        now_s = self._context.timers.now_s()
        problems = self._membership.refusals_by_call
        for call in problems:
            since_s = self._failing_since_s_by_call.setdefault(call, now_s)
            is_due = now_s - since_s >= _UNREACHABLE_AFTER_S
            if is_due and call not in self._reported_calls:
                self._report_unreachable(call)
        for call in set(self._failing_since_s_by_call) - set(problems):
            since_s = self._failing_since_s_by_call.pop(call)
            if call in self._reported_calls:
                self._report_joined(call, now_s - since_s)

    def _report_unreachable(self, call: str) -> None:
        refusal = self._membership.refusals_by_call[call]
        self._reported_calls.add(call)
        self._context.log.write(
            "group.unreachable",
            call=call,
            code=refusal.code.name,
            why=refusal.reason,
        )
        self._context.counters.increment("group.unreachable")

    def _report_joined(self, call: str, failed_s: float) -> None:
        self._reported_calls.remove(call)
        self._context.log.write(
            "group.joined", call=call, after_ms=round(failed_s * _MS_PER_S)
        )
