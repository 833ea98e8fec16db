"""The command that shows the status of the fleet."""

from coltsfootseam.cli.client import connect, run
from coltsfootseam.cli.output import fail, finish, print_json, print_table
from coltsfootseam.entry import EntryStatus, PoolView
from coltsfootseam.results import Refusal, ResultCode


def show_status(entries: str, json: bool) -> None:
    """Prints the status of the first entry host that answers."""
    status = run(connect(entries).get("/v1/status", EntryStatus))
    if isinstance(status, Refusal):
        fail(status)
    if json:
        print_json(status)
        finish(ResultCode.OK)
    _print_entry(status)
    print()
    _print_pools(status)
    print()
    _print_members(status)
    finish(ResultCode.OK)


def _print_entry(status: EntryStatus) -> None:
    ready = "ready" if status.ready else f"not ready: {status.not_ready_reason}"
    log = "reachable" if status.log_reachable else "unreachable"
    if status.log_went_back:
        log = "WENT BACK: its offsets are lower than those in force"
    print(f"{status.entry_id}: {ready}")
    print(f"offset {status.offset}, digest {status.digest}, log {log}")


def _print_pools(status: EntryStatus) -> None:
    print_table(
        ("pool", "customer", "service", "hosts", "down", "zones"),
        [
            (
                pool.pool,
                pool.customer,
                pool.service,
                f"{len(pool.hosts)} of {pool.hosts_at_most}",
                f"{pool.down} of {pool.max_down}",
                _list_zones(pool),
            )
            for pool in status.pools
        ],
    )


def _list_zones(pool: PoolView) -> str:
    return ", ".join(sorted({host.zone for host in pool.hosts}))


def _print_members(status: EntryStatus) -> None:
    print_table(
        ("entry host", "epoch", "zone", "callers", "admin"),
        [
            (
                member.member_id,
                member.epoch,
                member.zone,
                member.callers,
                member.admin,
            )
            for member in status.members
        ],
    )
