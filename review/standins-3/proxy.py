"""A proxy in front of one worker, which can hold one call up.

It passes every call on unchanged. Once armed with a job and a call (run-start,
run-stop), it takes the first such call for a task of that job, gives no answer,
and passes it on later, when it is told to: a call whose packets were held up on
their way. When the worker is away, it resets the connection of the caller.

    python3 proxy.py ADDRESS WORKER

``POST /standin/arm?job=ID&call=NAME``, ``POST /standin/release``, ``GET /standin/held``
"""

import asyncio
import sys
import time

import aiohttp
from aiohttp import web

TIMEOUT_S = 5.0


class Proxy:
    """Passes calls on to one address."""

    def __init__(self, target) -> None:
        self.target = target
        self.job = ""
        self.call = ""
        self.held = None
        self.held_s = 0.0
        self.session = None

    async def pass_on(self, path, headers, body):
        async with self.session.post(
            f"http://{self.target}{path}",
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            return response.status, await response.read()

    async def handle(self, request):
        body = await request.read()
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in ("host", "content-length")
        }
        is_armed_call = request.path == f"/api/{self.call}"
        if is_armed_call and self.job and self.job.encode() in body:
            self.job = ""
            self.held = (request.path, headers, body)
            self.held_s = time.monotonic()
            await asyncio.sleep(TIMEOUT_S)
            return self.reset(request)
        try:
            status, content = await self.pass_on(request.path, headers, body)
        except (aiohttp.ClientError, TimeoutError):
            return self.reset(request)
        return web.Response(
            status=status, body=content, content_type="application/json"
        )

    def reset(self, request):
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=502)

    async def arm(self, request):
        self.job = request.query["job"]
        self.call = request.query.get("call", "")
        return web.Response()

    async def tell_held(self, request):
        del request
        return web.json_response(self.held is not None)

    async def release(self, request):
        del request
        delay_s = time.monotonic() - self.held_s
        status, content = await self.pass_on(*self.held)
        answer = {"delay_s": delay_s, "status": status, "body": content.decode()}
        return web.json_response(answer)


async def main():
    address, target = sys.argv[1:3]
    proxy = Proxy(target)
    app = web.Application()
    app.router.add_post("/standin/arm", proxy.arm)
    app.router.add_post("/standin/release", proxy.release)
    app.router.add_get("/standin/held", proxy.tell_held)
    app.router.add_post("/api/{call}", proxy.handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = address.split(":")
    await web.TCPSite(runner, host, int(port)).start()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    ) as proxy.session:
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
