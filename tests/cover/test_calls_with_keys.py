"""Calls with keys of teams, from the HTTP request to the store."""

import json
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict

from coltsfootseam.adapter.http_api import HttpApi
from coltsfootseam.jobs import JobState, Queue, Resources, Step, Team
from coltsfootseam.manager import MonitoringPages
from coltsfootseam.manager.jobs.stored_states import KnownJob, StoredStates
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.teams import digest_key, shorten_digest
from tests.common.fleets import (
    POOL,
    Fleet,
    Host,
    bookings_queue,
    running_fleet,
)

KEY_A = "key-of-a-71c0de9f"
KEY_B = "key-of-b-25aa13bc"
UNKNOWN_KEY = "key-of-nobody-9d3e"
JOB = "a" * 16
SMALL = Step(cpu_millis=1000, estimate_ms=500)
BODY = b'{"spec":"text","steps":[{"cpu":1000,"estimate_ms":500}]}'
APPLY_S = 3.0


class Body:
    """The body of a request."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    def set_read_chunk_size(self, size: int) -> None:
        """Is called by the request; the size doesn't matter here."""

    async def readany(self) -> bytes:
        """Returns the content once, then nothing."""
        content, self._content = self._content, b""
        return content


def team(name: str, *keys: str, limit: Resources | None = None) -> Team:
    """Returns a team with keys."""
    digests = frozenset(digest_key(key) for key in keys)
    return Team(name, digests, limit=limit or Resources())


def closed_queue() -> Queue:
    """Returns the default queue, for callers with keys only."""
    return msgspec.structs.replace(bookings_queue(), is_open=False)


async def configure(fleet: Fleet, version: int, *teams: Team) -> None:
    """Publishes teams, and waits as long as a version may take to apply."""
    fleet.configure(version, closed_queue(), teams=teams)
    await fleet.timers.advance(APPLY_S)


async def call(
    fleet: Fleet,
    host: Host,
    method: str,
    *headers: str,
    path: str = f"/q/{JOB}",
    body: bytes = BODY,
) -> web.Response:
    """Sends a call with Authorization headers to a host."""
    assert host.manager is not None
    pairs = [("Host", "host"), *(("Authorization", text) for text in headers)]
    payload: Any = Body(body)
    request = make_mocked_request(
        method, path, CIMultiDict(pairs), payload=payload
    )
    return await fleet.run(HttpApi(host.manager).handle(request))


async def status(
    fleet: Fleet, host: Host, method: str, *keys: str, path: str = f"/q/{JOB}"
) -> int:
    """Returns the status of a call with keys."""
    headers = [f"Token {key}" for key in keys]
    response = await call(fleet, host, method, *headers, path=path)
    return response.status


# Each method reads, starts or ends something, so each needs the key.
async def test_each_call_needs_a_key_of_a_team() -> None:
    async with running_fleet() as fleet:
        await configure(fleet, 2, team("a", KEY_A))
        host = fleet.hosts[0]
        for method in ("POST", "GET", "DELETE"):
            assert await status(fleet, host, method) == 401
            assert await status(fleet, host, method, UNKNOWN_KEY) == 401
        for path in ("/q/", "/q/no-id"):
            assert await status(fleet, host, "GET", path=path) == 401
        await fleet.timers.advance(1.0)
        assert fleet.started(JOB) == 0
        assert await status(fleet, host, "POST", KEY_A) == 200
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert await status(fleet, host, "GET", KEY_A) == 200
        assert await status(fleet, host, "GET", KEY_A, path="/q/") == 200
        assert await status(fleet, host, "DELETE", KEY_A) == 200


# Several headers, or one that is huge, must not be a way around the check, and
# the caller has to see what is wrong.
async def test_bad_headers_are_refused_with_code_and_reason() -> None:
    async with running_fleet() as fleet:
        await configure(fleet, 2, team("a", KEY_A))
        good = f"Token {KEY_A}"
        for headers, words in (
            ((), "no Authorization header"),
            ((good, good), "more than one"),
            (("Token " + "x" * 600,), "512 bytes"),
            ((KEY_A,), "not of the form"),
            ((f"Token {UNKNOWN_KEY}",), "no team has this key"),
        ):
            response = await call(fleet, fleet.hosts[0], "POST", *headers)
            assert response.status == 401
            assert response.headers["X-Result-Code"] == "59"
            assert isinstance(response.body, bytes)
            content = json.loads(response.body)
            assert content["code"] == ResultCode.NOT_RUN_UNKNOWN_KEY
            assert words in content["reason"]
        await fleet.timers.advance(1.0)
        assert fleet.started(JOB) == 0


# A deployment without teams must not notice that there are keys elsewhere.
async def test_without_teams_any_call_is_served() -> None:
    async with running_fleet() as fleet:
        host = fleet.hosts[0]
        assert await status(fleet, host, "POST") == 200
        assert await status(fleet, host, "GET", UNKNOWN_KEY) == 200
        assert await status(fleet, host, "DELETE", KEY_A, KEY_B) == 200
        assert host.lines("call.refused") == []


# On an open queue a key doesn't count, and teams' jobs stay closed.
async def test_an_open_queue_ignores_keys_and_hides_jobs_of_teams() -> None:
    async with running_fleet() as fleet:
        open_queue = msgspec.structs.replace(
            closed_queue(), name="open", prefix="/open/", is_open=True
        )
        fleet.configure(2, closed_queue(), open_queue, teams=[team("a", KEY_A)])
        await fleet.timers.advance(APPLY_S)
        host = fleet.hosts[0]
        path = "/open/" + "b" * 16
        assert await status(fleet, host, "POST", UNKNOWN_KEY, path=path) == 200
        assert await status(fleet, host, "GET", path=path) == 200
        assert await status(fleet, host, "POST", KEY_A) == 200
        for method in ("GET", "DELETE"):
            path = f"/open/{JOB}"
            assert await status(fleet, host, method, path=path) == 403


# A key that its team withdrew must not come back by itself, and one that the
# operator lists again is wanted again.
async def test_a_withdrawn_key_is_refused_until_it_is_listed_again() -> None:
    async with running_fleet() as fleet:
        await configure(fleet, 2, team("a", KEY_A, KEY_B))
        assert all(
            fleet.team_of_call(host, KEY_A) == "a" for host in fleet.hosts
        )
        await configure(fleet, 3, team("a", KEY_B))
        # An older version of the configuration that is written again.
        await configure(fleet, 2, team("a", KEY_A, KEY_B))
        for host in fleet.hosts:
            assert await status(fleet, host, "GET", KEY_A) == 401
            assert fleet.team_of_call(host, KEY_B) == "a"
        await configure(fleet, 4, team("a", KEY_A))
        for host in fleet.hosts:
            assert fleet.team_of_call(host, KEY_A) == "a"
            assert await status(fleet, host, "GET", KEY_B) == 401


# A host that missed the withdrawal must apply it as soon as it hears of it,
# and a restart must not bring the key back.
async def test_a_key_withdrawn_during_a_partition_stays_withdrawn() -> None:
    async with running_fleet(hosts=3) as fleet:
        await configure(fleet, 2, team("a", KEY_A, KEY_B))
        cut = fleet.non_owner()
        cut.store.faults.is_down = True
        await configure(fleet, 3, team("a", KEY_B))
        for host in fleet.hosts:
            expected = 410 if host is cut else 401
            assert await status(fleet, host, "GET", KEY_A) == expected
        await cut.kill()
        cut.start()
        await fleet.wait_until(lambda: cut.manager is not None)
        await fleet.timers.advance(APPLY_S)
        for key in (KEY_A, KEY_B):
            assert await status(fleet, cut, "GET", key) == 503
        cut.store.faults.is_down = False
        await fleet.timers.advance(APPLY_S)
        assert await status(fleet, cut, "GET", KEY_A) == 401
        assert await status(fleet, cut, "GET", KEY_B) == 410


async def test_a_healed_partition_applies_a_withdrawal_in_time() -> None:
    async with running_fleet(hosts=3) as fleet:
        await configure(fleet, 2, team("a", KEY_A))
        cut = fleet.non_owner()
        cut.store.faults.is_unresponsive = True
        await configure(fleet, 3, team("a", KEY_B))
        cut.store.faults.is_unresponsive = False
        await fleet.timers.advance(APPLY_S)
        assert await status(fleet, cut, "GET", KEY_A) == 401


# The work was accepted under a valid key, so the customer expects it done.
async def test_accepted_jobs_of_a_team_without_keys_run_on() -> None:
    async with running_fleet(duration_of=lambda task: 6.0) as fleet:
        await configure(fleet, 2, team("a", KEY_A), team("b", KEY_B))
        assert await status(fleet, fleet.hosts[0], "POST", KEY_A) == 200
        await configure(fleet, 3, team("b", KEY_B))
        await fleet.owner().kill()
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        host = fleet.owner()
        assert await status(fleet, host, "GET", KEY_A) == 401
        assert await status(fleet, host, "GET", KEY_B) == 403


# Another team's id must give neither its state nor a way to end or replace it,
# at the owner, at other hosts and where the store is read.
async def test_a_job_is_closed_to_other_teams() -> None:
    async with running_fleet(hosts=3, duration_of=lambda task: 9.0) as fleet:
        await configure(fleet, 2, team("a", KEY_A), team("b", KEY_B))
        assert await status(fleet, fleet.owner(), "POST", KEY_A) == 200
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        for host in fleet.hosts:
            for method in ("GET", "DELETE", "POST"):
                assert await status(fleet, host, method, KEY_B) == 403
            assert await status(fleet, host, "GET", KEY_A) == 200
        await fleet.owner().kill()
        for host in fleet.hosts:
            if host.manager is not None:
                assert await status(fleet, host, "GET", KEY_B) == 403
                assert await status(fleet, host, "GET", KEY_A) == 200
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == 1


# A job that waits in the inbox is known by its request alone. Without the team
# that is stored there it would be open to all while its pool has no owner.
async def test_the_team_of_a_waiting_job_is_read_from_the_store() -> None:
    async with running_fleet(workers=0) as fleet:
        await configure(fleet, 2, team("a", KEY_A))
        host = fleet.non_owner()
        assert await status(fleet, host, "POST", KEY_A) == 200
        assert host.manager is not None
        stored = StoredStates(host.manager.context)
        job = await fleet.run(stored.read([POOL], JOB))
        assert job == KnownJob(JobState.QUEUED, "a", POOL)


# Where the team of a job can't be read, ending it would be a guess.
async def test_a_job_whose_team_is_unknown_is_not_cancelled() -> None:
    async with running_fleet(duration_of=lambda task: 9.0) as fleet:
        await configure(fleet, 2, team("a", KEY_A), team("b", KEY_B))
        host = fleet.non_owner()
        assert await status(fleet, fleet.owner(), "POST", KEY_A) == 200
        await fleet.owner().kill()
        host.store.faults.failing_page_topics = {"inbox", "journal"}
        assert await status(fleet, host, "DELETE", KEY_B) == 503
        host.store.faults.failing_page_topics = set()
        await fleet.wait_for_state(JOB, JobState.COMPLETED)


# Jobs from before there were teams have to stay in reach of their callers.
async def test_jobs_without_a_team_are_readable_by_every_team() -> None:
    async with running_fleet(duration_of=lambda task: 30.0) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, SMALL)
        await configure(fleet, 2, team("a", KEY_A), team("b", KEY_B))
        assert await status(fleet, fleet.hosts[1], "GET", KEY_A) == 200
        assert await status(fleet, fleet.hosts[1], "DELETE", KEY_B) == 200
        await fleet.wait_for_state(JOB, JobState.CANCELLED)


# A job that can't ever start would wait until its caller gives up. One that was
# accepted before its team's limit was lowered must not be called "not run".
async def test_a_job_over_its_teams_limit_is_refused_at_once() -> None:
    async with running_fleet(duration_of=lambda task: 9.0) as fleet:
        await configure(fleet, 2, team("a", KEY_A, limit=Resources(1000)))
        host = fleet.non_owner()
        big = b'{"spec":"text","steps":[{"cpu":1001}]}'
        header = f"Token {KEY_A}"
        response = await call(fleet, host, "POST", header, body=big)
        assert response.status == 422
        assert response.headers["X-Result-Code"] == "46"
        assert await status(fleet, host, "GET", KEY_A) == 410
        assert await status(fleet, host, "POST", KEY_A) == 200
        await configure(fleet, 3, team("a", KEY_A, limit=Resources(500)))
        assert await status(fleet, fleet.owner(), "POST", KEY_A) == 200
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == 1


# The operator has to find the cause from the id of the refused job.
async def test_a_refused_call_is_logged_and_counted() -> None:
    async with running_fleet() as fleet:
        await configure(fleet, 2, team("a", KEY_A))
        host = fleet.hosts[0]
        await status(fleet, host, "POST", UNKNOWN_KEY)
        (line,) = host.lines("call.refused")
        assert line["job"] == JOB
        assert line["key_digest"] == shorten_digest(digest_key(UNKNOWN_KEY))
        assert line["version"] == 2
        assert line["outcome"] == "NOT_RUN_UNKNOWN_KEY"
        assert host.count("call_refused.key_unknown") == 1
        await status(fleet, host, "POST", KEY_A)
        assert host.lines("job.submitted")[-1]["team"] == "a"


# A version that can't be read must leave the last one in force, and say so.
async def test_the_refusal_of_a_version_is_logged() -> None:
    async with running_fleet() as fleet:
        await configure(fleet, 2, team("a", KEY_A))
        host = fleet.hosts[0]
        assert host.manager is not None
        feeds = host.manager.context.ports.feeds
        refusal = Refusal(ResultCode.BAD_INPUT, "why")
        feeds.decode_operator = lambda record: refusal  # type: ignore
        await configure(fleet, 3, team("a", KEY_B))
        assert host.lines("configuration.unreadable")[-1]["why"] == "why"
        assert fleet.team_of_call(host, KEY_A) == "a"


# Logs, pages and metrics are read by people who must not be able to submit.
async def test_no_key_is_in_a_log_line_a_page_or_a_reply() -> None:
    async with running_fleet() as fleet:
        shared = team("c", KEY_A)
        await configure(fleet, 2, team("a", KEY_A), team("b", KEY_B), shared)
        output = []
        for host in fleet.hosts:
            assert host.manager is not None
            for key in (KEY_A, KEY_B, UNKNOWN_KEY):
                for header in (f"Token {key}", key, f"Token {key} {'x' * 600}"):
                    for method in ("POST", "GET", "DELETE", "PUT"):
                        for path in (f"/q/{JOB}", f"/q/{key}", f"/none/{key}"):
                            reply = await call(
                                fleet, host, method, header, path=path
                            )
                            output.append(f"{reply.headers} {reply.text}")
            pages = MonitoringPages(host.manager)
            for path in ("/status", f"/jobs/{JOB}", "/metrics"):
                request = make_mocked_request("GET", path)
                page = await pages.serve_monitoring(request)
                output.append(str(page.text))
            output += [str(line) for line in host.log.lines]
        text = "\n".join(output)
        assert "call.refused" in text
        assert "configuration.shared_keys" in text
        for key in (KEY_A, KEY_B, UNKNOWN_KEY):
            assert key not in text
            assert digest_key(key) not in text


# A caller with a body that arrives slowly must not outlast a withdrawal.
async def test_a_key_withdrawn_while_the_body_arrives_is_refused() -> None:
    async with running_fleet() as fleet:
        await configure(fleet, 2, team("a", KEY_A))

        class SlowBody(Body):
            async def readany(self) -> bytes:
                await fleet.timers.sleep(APPLY_S)
                return await super().readany()

        host = fleet.hosts[0]
        assert host.manager is not None
        headers = CIMultiDict(Host="host", Authorization=f"Token {KEY_A}")
        payload: Any = SlowBody(BODY)
        request = make_mocked_request(
            "POST", f"/q/{JOB}", headers, payload=payload
        )
        fleet.configure(3, closed_queue(), teams=[team("a", KEY_B)])
        response = await fleet.run(HttpApi(host.manager).handle(request))
        assert response.status == 401
        assert await fleet.state(host, JOB) != OK
        assert fleet.started(JOB) == 0
