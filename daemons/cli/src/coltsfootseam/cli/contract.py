"""Commands for contracts."""

import uuid
from typing import Any

import msgspec

from coltsfootseam.cli.client import connect, run
from coltsfootseam.cli.output import fail, finish, print_json, print_table
from coltsfootseam.contracts import Contract, parse_contract
from coltsfootseam.entry import CommandReply, ContractCommand, ContractView
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.settings import load_yaml_as


class ContractCommands:
    """Publishes, amends and shows contracts of customers."""

    def publish(
        self,
        file: str,
        entries: str = "",
        record_id: str = "",
        json: bool = False,
    ) -> None:
        """Publishes the first contract of a customer.

        Returns once the record has been read back, and prints its offset and
        on how many entry hosts it is in force.

        Args:
            file: Path of the contract, in YAML.
            entries: Admin addresses of entry hosts.
            record_id: Id of an earlier command to repeat, if its outcome is
                unknown.
            json: Print JSON.
        """
        contract = _load_contract(file)
        _send(contract, 0, entries, record_id, json)

    def amend(
        self,
        file: str,
        from_version: int,
        entries: str = "",
        record_id: str = "",
        json: bool = False,
    ) -> None:
        """Replaces a customer's contract by a new version.

        Args:
            file: Path of the complete new contract, in YAML.
            from_version: Version that it is based on. If another version is in
                force by then, nothing changes.
            entries: Admin addresses of entry hosts.
            record_id: Id of an earlier command to repeat, if its outcome is
                unknown.
            json: Print JSON.
        """
        contract = _load_contract(file)
        if not isinstance(from_version, int) or from_version < 1:
            fail(
                Refusal(
                    ResultCode.BAD_INPUT,
                    f"from_version {from_version!r} must be 1 or more",
                )
            )
        _send(contract, from_version, entries, record_id, json)

    def check(self, file: str) -> None:
        """Validates a contract without publishing it.

        Args:
            file: Path of the contract, in YAML.
        """
        contract = _load_contract(file)
        print(f"{file}: contract of {contract.customer!r} is valid")
        finish(ResultCode.OK)

    def show(
        self, customer: str, entries: str = "", json: bool = False
    ) -> None:
        """Shows the contract in force for a customer.

        Args:
            customer: Name of the customer.
            entries: Admin addresses of entry hosts.
            json: Print JSON.
        """
        path = f"/v1/contracts/{customer}"
        view = run(connect(entries).get(path, ContractView))
        if isinstance(view, Refusal):
            fail(view)
        if not json:
            print(
                f"{view.customer}: version {view.version}, offset "
                f"{view.offset}, accepted through {view.author}"
            )
        print_json(view if json else view.contract)
        finish(ResultCode.OK)

    def list(self, entries: str = "", json: bool = False) -> None:
        """Lists the contracts in force.

        Args:
            entries: Admin addresses of entry hosts.
            json: Print JSON.
        """
        _show_versions("/v1/contracts", entries, json)

    def history(
        self, customer: str, entries: str = "", json: bool = False
    ) -> None:
        """Lists the latest versions of a customer's contract.

        Args:
            customer: Name of the customer.
            entries: Admin addresses of entry hosts.
            json: Print JSON.
        """
        _show_versions(f"/v1/contracts/{customer}/history", entries, json)

    def outcome(
        self, record_id: str, entries: str = "", json: bool = False
    ) -> None:
        """Shows the outcome of a command whose answer was lost.

        Args:
            record_id: The id that the command printed.
            entries: Admin addresses of entry hosts.
            json: Print JSON.
        """
        path = f"/v1/commands/{record_id}"
        _finish_command(run(connect(entries).get(path, CommandReply)), json)


def make_record_id() -> str:
    """Returns a new record id, with a prefix so it isn't parsed as a number."""
    return f"r-{uuid.uuid4().hex}"


def _load_contract(file: str) -> Contract:
    raw = load_yaml_as(str(file), Any, ResultCode.CONTRACT_INVALID)
    contract = raw if isinstance(raw, Refusal) else parse_contract(raw)
    if isinstance(contract, Refusal):
        fail(Refusal(contract.code, f"{file}: {contract.reason}"))
    return contract


def _send(
    contract: Contract,
    expected_version: int,
    entries: str,
    record_id: str,
    json: bool,
) -> None:
    command = ContractCommand(
        record_id=str(record_id) or make_record_id(),
        contract=msgspec.to_builtins(contract),
        expected_version=expected_version,
    )
    reply = run(connect(entries).post("/v1/contracts", command, CommandReply))
    if isinstance(reply, Refusal):
        reply = CommandReply(int(reply.code), reply.reason, command.record_id)
    _finish_command(reply, json)


def _finish_command(reply: CommandReply | Refusal, json: bool) -> None:
    if isinstance(reply, Refusal):
        fail(reply)
    if json:
        print_json(reply)
        finish(reply.code)
    accepted = (ResultCode.OK, ResultCode.NOT_IN_FORCE)
    if reply.code not in accepted:
        reason = f"{reply.reason} (record {reply.record_id})"
        fail(Refusal(ResultCode(reply.code), reason))
    print(
        f"accepted at offset {reply.offset}, in force on {reply.in_force} of "
        f"{reply.live} entry hosts (record {reply.record_id})"
    )
    finish(reply.code)


def _show_versions(path: str, entries: str, json: bool) -> None:
    views = run(connect(entries).get(path, list[ContractView]))
    if isinstance(views, Refusal):
        fail(views)
    if json:
        print_json(views)
        finish(ResultCode.OK)
    print_table(
        ("customer", "version", "offset", "pools", "hosts at most", "author"),
        [
            (
                view.customer,
                view.version,
                view.offset,
                len(view.contract.pools),
                sum(pool.hosts_at_most for pool in view.contract.pools),
                view.author,
            )
            for view in views
        ],
    )
    finish(ResultCode.OK)
