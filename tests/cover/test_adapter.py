"""The adapter converts the platform's wire format to the project's types."""

import pathlib
import re
import struct

import msgspec
import pytest

from coltsfootseam.adapter.feeds import PlatformFeeds
from coltsfootseam.adapter.host_settings import (
    HostSettings,
    SettingsReloader,
    load_host_settings,
)
from coltsfootseam.adapter.machines import MachineClient
from coltsfootseam.adapter.store import (
    StoreClient,
    _encode_record,
    _parse_append_reply,
    _parse_page,
    _to_refusal,
)
from coltsfootseam.adapter.tasks import (
    decode_job,
    parse_task_name,
    task_name,
)
from coltsfootseam.adapter.workers import (
    _parse_heartbeat_reply,
    _parse_order_reply,
)
from coltsfootseam.calls.adaptive_timeout import AdaptiveTimeout
from coltsfootseam.calls.http import NoReply, Reply
from coltsfootseam.jobs import Configuration, Queue, RunEnd, TaskId, Wave
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store import (
    Appended,
    KeyedRecord,
    Page,
    Partition,
    StoredRecord,
)
from coltsfootseam.timers import VirtualTimers
from coltsfootseam.workers import OrderOutcome
from tests.common.fleets import running_fleet

ROOT = pathlib.Path(__file__).parents[2]
MAX_ADAPTER_LINES = 1500
MAX_TIMEOUT_S = 1.2

# Names of the wire format that the project calls by other names.
WIRE_NAMES = (
    "admission_control",
    "anti_affinity",
    "cloud_api",
    "depends_on",
    "fencing_token",
    "last_seen",
    "machine-upkeep",
    "max_attempts",
    "mem_mb",
    "path_prefix",
    "repeat_count",
    "run-start",
    "speculative",
    "target_latency_ms",
)


class FixedReplyClient:
    """An HTTP client on which every call gets the same body."""

    def __init__(self, body: bytes) -> None:
        self._reply = Reply(200, body)

    async def call(self, *args: object, **options: object) -> Reply:
        """Returns the body immediately."""
        del args, options
        return self._reply

    post_json = call


def test_the_adapter_stays_small() -> None:
    lines = sum(
        len(path.read_text().splitlines())
        for path in (ROOT / "platform").rglob("*.py")
    )
    assert lines < MAX_ADAPTER_LINES


def test_wire_names_are_used_only_in_the_adapter() -> None:
    pattern = re.compile("|".join(rf"\b{name}\b" for name in WIRE_NAMES))
    for folder in ("libs", "daemons"):
        for path in (ROOT / folder).rglob("*.py"):
            found = pattern.search(path.read_text())
            assert found is None, f"{path}: {found and found.group()}"


def test_the_package_name_of_the_standard_library_is_not_shadowed() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_a_task_name_round_trips() -> None:
    task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert task_name(task) == "5c0e7a21d94b36f8.0.1.17"
    assert parse_task_name(task_name(task)) == task


def test_a_job_is_decoded() -> None:
    body = (
        b'{"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,'
        b'"affinity":"r1-3"},{"count":20,"depends_on":[0],'
        b'"checkpointing":true,"may_miss":1,"fills":true}]}'
    )
    job = decode_job(body, Queue("queue", "", "", "pool"), 7)
    first, second = job.steps
    assert (first.cpu_millis, first.memory_mb, first.rack) == (500, 256, "r1-3")
    assert first.may_miss is None
    assert second.after == (0,)
    assert second.checkpointing and second.best_effort
    assert second.may_miss == 1


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"spec":"x"}',
        b'{"spec":"x","steps":[{"depends_on":[0]}]}',
        b'{"spec":"x","steps":[{},{"depends_on":[5]}]}',
    ],
)
def test_a_malformed_job_is_refused(body: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_job(body, Queue("queue", "", "", "pool"), 7)


def test_malformed_records_of_a_page_are_skipped() -> None:
    good = _encode_record(KeyedRecord("key", b"value"))
    malformed = struct.pack(">I", 2) + b"\x09a"
    body = struct.pack(">QQ", 12, 3) + good + malformed + good
    page = _parse_page(body, 9)
    assert isinstance(page, Page)
    assert (page.end, page.first, page.next_offset) == (12, 3, 12)
    assert page.records == [
        StoredRecord(9, "key", b"value"),
        StoredRecord(11, "key", b"value"),
    ]


def test_replies_to_an_append_are_distinguished() -> None:
    done = _parse_append_reply(Reply(200, b'{"offset":3,"end":5}'))
    assert done == Appended(3, 5)
    moved = _parse_append_reply(Reply(412, b'{"end":9}'))
    assert isinstance(moved, Refusal)
    assert moved.code is ResultCode.OUTCOME_PENDING
    fenced = _parse_append_reply(Reply(409, b'{"reason":"fenced"}'))
    assert isinstance(fenced, Refusal)
    assert fenced.code is ResultCode.STALE_EPOCH


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (Reply(503, b""), ResultCode.LOG_UNAVAILABLE),
        (Reply(429, b""), ResultCode.LOG_UNAVAILABLE),
        (Reply(500, b""), ResultCode.OUTCOME_PENDING),
        (Reply(413, b""), ResultCode.NOT_RUN_TOO_LARGE),
        (NoReply("refused", is_unsent=True), ResultCode.LOG_UNAVAILABLE),
        (NoReply("silent", is_unsent=False), ResultCode.OUTCOME_PENDING),
    ],
)
def test_only_a_call_without_effect_is_unavailable(
    reply: Reply | NoReply, code: ResultCode
) -> None:
    assert _to_refusal(reply).code is code


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (Reply(200, b'{"clock_ms":5}'), OrderOutcome.DONE),
        (Reply(409, b'{"reason":"fence"}'), OrderOutcome.FENCED),
        (Reply(409, b'{"reason":"room"}'), OrderOutcome.NO_ROOM),
        (Reply(421, b""), OrderOutcome.OTHER_LIFE),
        (Reply(503, b""), OrderOutcome.UNHEALTHY),
        (Reply(400, b"{}"), OrderOutcome.MALFORMED),
        (NoReply("silent", is_unsent=False), OrderOutcome.UNKNOWN),
    ],
)
def test_replies_of_workers_are_distinguished(
    reply: Reply | NoReply, outcome: OrderOutcome
) -> None:
    assert _parse_order_reply(reply).outcome is outcome


def test_a_heartbeat_reply_is_read() -> None:
    report = _parse_heartbeat_reply(
        b'{"clock_ms":9,"born":4,"running":[["a.0.0.1",2,"s",41,7]],'
        b'"ended":[[58,"a.0.1.9",1,"done",""]]}'
    )
    assert report.started_ms == 4
    assert report.running[0].load == 7
    assert report.ended[0].end is RunEnd.DONE


def test_the_operators_records_are_read() -> None:
    feeds = PlatformFeeds()
    config = (
        b'{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",'
        b'"service":"s","max_attempts":2,"stretch":1.6}],'
        b'"services":[{"name":"s","standby":true}]}'
    )
    value = feeds.decode_operator(StoredRecord(1, "config", config))
    assert isinstance(value, Configuration)
    assert value.queues_by_name["r"].attempts == 2
    assert value.pools_by_name["s"].is_standby
    wave = feeds.decode_operator(
        StoredRecord(2, "wave/3", b'{"wave":3,"machines":["m"],"max_count":2}')
    )
    assert isinstance(wave, Wave)
    assert wave.limit == 2
    assert feeds.decode_operator(StoredRecord(3, "other", b"{}")) is None


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"{}",
        b'{"service":"s","addr":"a","zone":"z","state":"resting",'
        b'"capacity":{"cpu":1,"mem_mb":1}}',
        b'{"service":5,"addr":"a","zone":"z","state":"ready",'
        b'"capacity":{"cpu":1,"mem_mb":1}}',
    ],
)
def test_an_entry_from_another_writer_names_no_worker(value: bytes) -> None:
    feeds = PlatformFeeds()
    assert feeds.decode_worker(StoredRecord(1, "i-1", value)) is None


SETTINGS = """
node: "n"
ip: "10.1.0.9"
zone: "a"
listen: {front: "10.1.0.9:1", readiness: "10.1.0.9:2"}
port_range: [7060, 7075]
platform: {addr: "10.9.0.1:3", parts: 12, ttl_min_ms: 1000}
bounds: {hold_max_ms: 10000, stop_ms: 400}
"""


def test_the_settings_file_is_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "host.yaml"
    path.write_text(SETTINGS)
    settings = load_host_settings(str(path))
    assert isinstance(settings, HostSettings)
    assert settings.peer_address == "10.1.0.9:7060"
    assert settings.times.stop_s == 0.4
    assert settings.millicores == 0


# Owners are chosen by capacity: a wrong value would leave out a large host.
def test_a_host_s_capacity_is_its_share_of_cores(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "host.yaml"
    path.write_text(
        SETTINGS + "limits: {cpu_share: 0.717, cores: 3, max_fds: 9}\n"
    )
    settings = load_host_settings(str(path))
    assert isinstance(settings, HostSettings)
    assert settings.millicores == 2151


@pytest.mark.parametrize(
    "text", ["", "node: 5", "{", SETTINGS.replace('front: "10.1.0.9:1", ', "")]
)
def test_bad_settings_are_refused_with_the_file_named(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "host.yaml"
    path.write_text(text)
    refusal = load_host_settings(str(path))
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.SETTINGS_INVALID
    assert str(path) in refusal.reason


async def test_changed_settings_are_applied_without_a_signal(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "host.yaml"
    path.write_text(SETTINGS)
    settings = load_host_settings(str(path))
    assert isinstance(settings, HostSettings)
    async with running_fleet(hosts=1, workers=0) as fleet:
        manager = fleet.hosts[0].manager
        assert manager is not None
        context = manager.context
        reloader = SettingsReloader(str(path), settings, context)
        before = context.times
        reloader.reload_if_changed()
        assert context.times is before
        changed = SETTINGS.replace("stop_ms: 400", "stop_ms: 700")
        path.write_text(changed.replace("hold_max_ms: 10000", "hold_max_ms: 9"))
        reloader.reload_if_changed()
        assert context.times.stop_s == 0.7
        assert context.times.lease_s == before.lease_s
        path.write_text("node: [")
        reloader.reload_if_changed()
        assert context.times.stop_s == 0.7


def test_a_lost_reply_is_noticed_soon_and_a_slow_store_gets_time() -> None:
    timeout = AdaptiveTimeout(MAX_TIMEOUT_S)
    for _ in range(20):
        timeout.record_call(0.008, is_answered=True)
    assert timeout.next_timeout_s() <= 0.3
    timeout.record_call(0.25, is_answered=False)
    timeout.record_call(0.5, is_answered=False)
    assert timeout.next_timeout_s() >= 1.0
    timeout.record_call(0.33, is_answered=True)
    for _ in range(20):
        timeout.record_call(0.33, is_answered=True)
    assert timeout.next_timeout_s() >= 1.0


# A truncated reply used to end the follower of a partition: an accepted job
# stayed QUEUED, as the owner of its pool never read it.
async def test_a_truncated_reply_is_refused() -> None:
    body = struct.pack(">QQ", 11, 2) + _encode_record(KeyedRecord("k", b"v"))
    for length in range(len(body)):
        page = _parse_page(body[:length], 9)
        # Cut after the header, the reply is a valid page without records.
        assert isinstance(page, Refusal) == (length != struct.calcsize(">QQ"))


# The same holds for all other replies: none of them may raise.
@pytest.mark.parametrize(
    "body",
    [
        b'{"items":[{"key":"k","offset":1,"value":"?"}],"end":2}',
        b'{"items":[{"key":"\xff","offset":1}],"end":2}',
        b'{"group":"g","owners":[["topic"]]}',
        b'{"group":"g","owners":[["topic",{},"member"]]}',
        b'{"group":"g","owners":[7]}',
        b'"\xff"',
    ],
)
async def test_a_malformed_reply_of_the_store_is_refused(body: bytes) -> None:
    client = StoreClient("127.0.0.1:1", VirtualTimers())
    client._client = FixedReplyClient(body)  # type: ignore[assignment]
    assert isinstance(await client.latest_page(Partition("p")), Refusal)
    assert isinstance(await client.list_holders("g"), Refusal)
    joined = await client.join("g", "m", "t", 1.0, 0)
    assert isinstance(joined, Refusal)


# A malformed row from a worker used to end the link to that worker.
def test_a_heartbeat_reply_with_wrong_types_is_malformed() -> None:
    body = b'{"clock_ms":1,"ended":[["x","a.0.0.0",1,"done",null]]}'
    with pytest.raises(msgspec.ValidationError):
        _parse_heartbeat_reply(body)


class RepeatingPageClient:
    """An HTTP client on which every page of machines has the same token."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, *args: object, **options: object) -> Reply:
        """Returns an empty page."""
        del args, options
        self.calls += 1
        assert self.calls < 10, "does not stop at a repeated token"
        return Reply(200, b'{"machines":[],"next_token":"again"}')


# A list of machines that repeats its pages used to block the management of the
# fleet without any log line.
async def test_a_repeated_page_of_machines_is_refused() -> None:
    machines = MachineClient("127.0.0.1:1")
    client = RepeatingPageClient()
    machines._client = client  # type: ignore[assignment]
    assert isinstance(await machines.list_machines(), Refusal)
    assert client.calls == 2


def test_the_operators_limits_of_requests_are_read() -> None:
    limits = {"max_header_bytes": 5000, "max_body_bytes": 6000}
    for fields, expected in (
        ({}, (16_384, None)),
        ({"limits": {}}, (16_384, None)),
        ({"limits": limits}, (5000, 6000)),
    ):
        value = msgspec.json.encode({"version": 1, **fields})
        record = StoredRecord(0, "config", value)
        configuration = PlatformFeeds().decode_operator(record)
        assert isinstance(configuration, Configuration)
        found = (configuration.max_head_bytes, configuration.max_body_bytes)
        assert found == expected
