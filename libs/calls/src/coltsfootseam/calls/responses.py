"""Responses of HTTP servers."""

import msgspec
from aiohttp import web

from coltsfootseam.results import Refusal


def json_response(value: object) -> web.Response:
    """Returns a response with a value as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def refusal_response(refusal: Refusal, status: int) -> web.Response:
    """Returns a response that shows the code and the reason of a refusal."""
    code = int(refusal.code)
    headers = {"X-Result-Code": str(code)}
    if status == 401:
        headers["WWW-Authenticate"] = "Token"
    content = {"code": code, "reason": refusal.reason}
    return web.json_response(content, status=status, headers=headers)
