"""The command line publishes, amends and shows contracts of a real cluster."""

import asyncio
import json
import os
import pathlib
import sys

import msgspec
import yaml

from coltsfootseam.results import ResultCode
from coltsfootseam.standins.log import LogFaults
from coltsfootseam.testbed import Cluster, launching
from tests.common.clusters import make_plan, small_contract


class CommandResult(msgspec.Struct):
    """Exit code and output of a command."""

    code: int
    stdout: str
    stderr: str


async def run_command(cluster: Cluster, *arguments: str) -> CommandResult:
    entries = ",".join(
        cluster.admin_address(entry_id) for entry_id in cluster.entries_by_id
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "coltsfootseam.cli",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "COLTSFOOTSEAM_ENTRIES": entries},
    )
    stdout, stderr = await process.communicate()
    assert process.returncode is not None
    return CommandResult(process.returncode, stdout.decode(), stderr.decode())


def write_contract(path: pathlib.Path, hosts_a: int, hosts_b: int) -> str:
    contract = msgspec.to_builtins(small_contract(hosts_a, hosts_b))
    path.write_text(yaml.safe_dump(contract))
    return str(path)


async def test_contracts_are_published_amended_and_shown(
    tmp_path: pathlib.Path,
) -> None:
    file = write_contract(tmp_path / "contract.yaml", 2, 2)
    async with launching(make_plan("command-line")) as cluster:
        published = await run_command(cluster, "contract", "publish", file)
        assert published.code == 0, published
        assert "in force on 3 of 3 entry hosts" in published.stdout
        await cluster.wait_pool_sizes({"alpha": 2, "beta": 2})
        again = await run_command(cluster, "contract", "publish", file)
        assert again.code == ResultCode.CONTRACT_EXISTS
        assert "CONTRACT_EXISTS" in again.stderr
        write_contract(tmp_path / "contract.yaml", 1, 3)
        amended = await run_command(
            cluster, "contract", "amend", file, "--from-version", "1", "--json"
        )
        assert amended.code == 0, amended
        assert json.loads(amended.stdout)["live"] == 3
        stale = await run_command(
            cluster, "contract", "amend", file, "--from-version", "1"
        )
        assert stale.code == ResultCode.VERSION_CONFLICT
        history = await run_command(
            cluster, "contract", "history", "customer", "--json"
        )
        assert [each["version"] for each in json.loads(history.stdout)] == [
            1,
            2,
        ]
        await _check_read_commands(cluster, tmp_path)


async def _check_read_commands(
    cluster: Cluster, tmp_path: pathlib.Path
) -> None:
    status = await run_command(cluster, "status")
    assert status.code == 0
    assert "alpha" in status.stdout
    unknown = await run_command(cluster, "contract", "show", "nobody")
    assert unknown.code == ResultCode.CONTRACT_UNKNOWN
    listed = await run_command(cluster, "contract", "list")
    assert "customer" in listed.stdout
    timeline = await run_command(cluster, "timeline")
    assert timeline.code == 0
    assert "folded.ContractPublished" in timeline.stdout
    assert {"entry-0/zone-a", "entry-1/zone-b", "entry-2/zone-c"} <= set(
        timeline.stdout.split()
    )
    path = tmp_path / "trace.json"
    written = await run_command(cluster, "timeline", "--chrome", str(path))
    assert written.code == 0
    trace = json.loads(path.read_text())
    assert trace["traceEvents"][0]["ph"] == "i"


async def test_bad_input_and_outages_set_the_exit_code(
    tmp_path: pathlib.Path,
) -> None:
    file = write_contract(tmp_path / "contract.yaml", 2, 2)
    bad = tmp_path / "bad.yaml"
    bad.write_text("customer: x\npools: []\n")
    plan = make_plan("command-line-faults", entry_hosts=2)
    async with launching(plan) as cluster:
        invalid = await run_command(cluster, "contract", "publish", str(bad))
        assert invalid.code == ResultCode.CONTRACT_INVALID
        assert str(bad) in invalid.stderr
        await cluster.set_log_faults(LogFaults(down=True))
        refused = await run_command(cluster, "contract", "publish", file)
        assert refused.code == ResultCode.LOG_UNAVAILABLE
        assert "nothing was accepted" in refused.stderr
        for process in cluster.entries_by_id.values():
            process.kill()
        unreachable = await run_command(cluster, "status")
        assert unreachable.code == ResultCode.UNREACHABLE
