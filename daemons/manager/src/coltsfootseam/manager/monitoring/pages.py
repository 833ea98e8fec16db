"""The readiness check and the monitoring pages."""

from aiohttp import web

from coltsfootseam.calls.responses import json_response
from coltsfootseam.manager.manager import Manager
from coltsfootseam.results import Refusal

_JOB_PATH_PREFIX = "/jobs/"


class MonitoringPages:
    """Serves the readiness check and the monitoring pages of a manager."""

    __slots__ = ("_manager",)

    def __init__(self, manager: Manager) -> None:
        self._manager = manager

    async def check_readiness(self, request: web.BaseRequest) -> web.Response:
        """Readiness check of the balancer: 200 if ready, else 503."""
        del request
        return web.Response(status=200 if self._manager.is_ready() else 503)

    async def serve_monitoring(self, request: web.BaseRequest) -> web.Response:
        """Returns counters and histograms, the status, teams, or one job."""
        status = self._manager.status
        if request.path == "/status":
            return json_response(status.manager())
        if request.path == "/teams":
            return json_response(status.teams())
        if request.path.startswith(_JOB_PATH_PREFIX):
            page = status.job(request.path.removeprefix(_JOB_PATH_PREFIX))
            if isinstance(page, Refusal):
                return web.json_response(
                    {"code": int(page.code), "reason": page.reason}, status=404
                )
            return json_response(page)
        return web.Response(text=self._manager.context.counters.as_text())
