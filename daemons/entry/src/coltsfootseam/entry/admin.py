"""The HTTP admin interface for operators, the balancer and monitoring."""

from typing import Any

import msgspec
from aiohttp import web

from coltsfootseam.entry.commands import reply_when_in_force, submit_command
from coltsfootseam.entry.entry_host import EntryHost
from coltsfootseam.entry.messages import (
    CommandReply,
    ContractCommand,
    ContractView,
    EntryStatus,
    view_members,
    view_pools,
)
from coltsfootseam.observe import Stamp
from coltsfootseam.results import (
    Refusal,
    ResultCode,
    http_status_for_code,
)
from coltsfootseam.state import digest_state

_MAX_COMMAND_BYTES = 1024 * 1024


class AdminInterface:
    """Handlers of the admin interface of one entry host."""

    __slots__ = ("_entry_host",)

    def __init__(self, entry_host: EntryHost) -> None:
        self._entry_host = entry_host

    def make_application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=_MAX_COMMAND_BYTES)
        app.add_routes(
            [
                web.get("/livez", self.get_livez),
                web.get("/readyz", self.get_readyz),
                web.get("/v1/status", self.get_status),
                web.get("/v1/events", self.get_events),
                web.get("/v1/contracts", self.list_contracts),
                web.get("/v1/contracts/{customer}", self.get_contract),
                web.get(
                    "/v1/contracts/{customer}/history",
                    self.get_contract_history,
                ),
                web.post("/v1/contracts", self.post_contract),
                web.get("/v1/commands/{record_id}", self.get_command_result),
            ]
        )
        return app

    async def get_livez(self, request: web.Request) -> web.Response:
        """Reports that the process is alive."""
        del request
        return web.Response(text="live\n")

    async def get_readyz(self, request: web.Request) -> web.Response:
        """Reports whether the balancer may send requests to this host."""
        del request
        refusal = self._entry_host.readiness.find_reason_not_ready()
        if refusal is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"{refusal.reason}\n")

    async def get_status(self, request: web.Request) -> web.Response:
        """Returns pools, hosts, budgets and members."""
        del request
        return _json_response(self._view_status())

    async def get_events(self, request: web.Request) -> web.Response:
        """Returns the buffered events, those since ``since_ms`` if given."""
        text = request.query.get("since_ms", "0")
        if not text.isascii() or not text.isdigit():
            return _refusal_response(
                Refusal(
                    ResultCode.BAD_INPUT, f"since_ms {text!r} is not a number"
                )
            )
        events = self._entry_host.context.observer.events.since(
            Stamp(int(text), 0)
        )
        return _json_response(events)

    async def list_contracts(self, request: web.Request) -> web.Response:
        """Returns the contracts in force."""
        del request
        contracts = (
            self._entry_host.replication.replica.state.contracts_by_customer
        )
        return _json_response(
            [ContractView.of(each) for _, each in sorted(contracts.items())]
        )

    async def get_contract(self, request: web.Request) -> web.Response:
        """Returns the contract in force for a customer."""
        customer = request.match_info["customer"]
        state = self._entry_host.replication.replica.state
        version = state.contracts_by_customer.get(customer)
        if version is None:
            return _refusal_response(_unknown_customer(customer))
        return _json_response(ContractView.of(version))

    async def get_contract_history(self, request: web.Request) -> web.Response:
        """Returns the latest versions of a customer's contract."""
        customer = request.match_info["customer"]
        state = self._entry_host.replication.replica.state
        history = state.history_by_customer.get(customer)
        if history is None:
            return _refusal_response(_unknown_customer(customer))
        return _json_response([ContractView.of(each) for each in history])

    async def post_contract(self, request: web.Request) -> web.Response:
        """Publishes or amends a contract."""
        payload = await request.read()
        try:
            command = msgspec.json.decode(payload, type=ContractCommand)
        except msgspec.DecodeError as error:
            return _refusal_response(
                Refusal(ResultCode.BAD_INPUT, f"command: {error}")
            )
        return _reply_response(await submit_command(self._entry_host, command))

    async def get_command_result(self, request: web.Request) -> web.Response:
        """Returns the outcome of the command with a record id."""
        record_id = request.match_info["record_id"]
        state = self._entry_host.replication.replica.state
        outcome = state.outcomes_by_record_id.get(record_id)
        if outcome is None:
            pending = Refusal(
                ResultCode.OUTCOME_PENDING,
                f"record {record_id} has not been read back on this host",
            )
            return _reply_response(
                await reply_when_in_force(self._entry_host, record_id, pending)
            )
        return _reply_response(
            await reply_when_in_force(self._entry_host, record_id, outcome)
        )

    def _view_status(self) -> EntryStatus:
        entry_host = self._entry_host
        replication = entry_host.replication
        state = replication.replica.state
        refusal = entry_host.readiness.find_reason_not_ready()
        return EntryStatus(
            entry_id=entry_host.context.settings.entry_id,
            zone=entry_host.context.settings.zone,
            offset=state.offset,
            digest=digest_state(state),
            ready=refusal is None,
            not_ready_reason="" if refusal is None else refusal.reason,
            holds_lease=replication.lease.holds_lease(),
            log_reachable=replication.connectivity.is_log_reachable(),
            log_went_back=replication.follower.went_back,
            in_progress=entry_host.routing.frontend.in_progress,
            planner=replication.planner.has_role(),
            pools=view_pools(state),
            members=view_members(state),
            totals_by_counter=dict(
                entry_host.context.observer.counters.totals_by_name
            ),
        )


def _json_response(value: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _reply_response(reply: CommandReply) -> web.Response:
    return web.Response(
        status=http_status_for_code(ResultCode(reply.code)),
        body=msgspec.json.encode(reply),
        content_type="application/json",
    )


def _refusal_response(refusal: Refusal) -> web.Response:
    return _reply_response(
        CommandReply(
            code=int(refusal.code), reason=refusal.reason, record_id=""
        )
    )


def _unknown_customer(customer: str) -> Refusal:
    return Refusal(
        ResultCode.CONTRACT_UNKNOWN, f"customer {customer!r} has no contract"
    )
