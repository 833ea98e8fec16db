"""The adapter: what the platform says becomes the project's own types."""

import pathlib
import re
import struct

import msgspec
import pytest

from coltsfootseam.adapter.boot import Boot, LiveSettings, load_boot
from coltsfootseam.adapter.feeds import PlatformFeeds
from coltsfootseam.adapter.machines import CloudMachines
from coltsfootseam.adapter.store import (
    StoreClient,
    _encode_record,
    _failed,
    _read_append,
    _read_page,
)
from coltsfootseam.adapter.tasks import (
    decode_job,
    parse_task_name,
    task_name,
)
from coltsfootseam.adapter.workers import _read_answer, _read_report
from coltsfootseam.calls.adaptive_timeout import AdaptiveTimeout
from coltsfootseam.calls.http import NoReply, Reply
from coltsfootseam.jobs import Configuration, RunEnd, TaskId, Wave
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
MOST_ADAPTER_LINES = 1500
MOST_S = 1.2

# Names of the wire that the project has other words for.
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


class FixedLine:
    """A line on which every call gets the same body."""

    def __init__(self, body: bytes) -> None:
        self._reply = Reply(200, body)

    async def call(self, *args: object, **options: object) -> Reply:
        """Answers at once."""
        del args, options
        return self._reply


def test_the_adapter_stays_small() -> None:
    lines = sum(
        len(path.read_text().splitlines())
        for path in (ROOT / "platform").rglob("*.py")
    )
    assert lines < MOST_ADAPTER_LINES


def test_no_name_of_the_wire_stands_outside_the_adapter() -> None:
    pattern = re.compile("|".join(rf"\b{name}\b" for name in WIRE_NAMES))
    for folder in ("libs", "daemons"):
        for path in (ROOT / folder).rglob("*.py"):
            found = pattern.search(path.read_text())
            assert found is None, f"{path}: {found and found.group()}"


def test_the_package_name_of_the_standard_library_is_not_shadowed() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_a_task_name_goes_there_and_back() -> None:
    task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert task_name(task) == "5c0e7a21d94b36f8.0.1.17"
    assert parse_task_name(task_name(task)) == task


def test_a_job_is_decoded_into_our_words() -> None:
    body = (
        b'{"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,'
        b'"affinity":"r1-3"},{"count":20,"depends_on":[0],'
        b'"checkpointing":true,"may_miss":1,"fills":true}]}'
    )
    job = decode_job(body, "queue", 7)
    first, second = job.steps
    assert (first.cpu_millis, first.memory_mb, first.rack) == (500, 256, "r1-3")
    assert first.may_miss is None
    assert second.after == (0,)
    assert second.checkpointing and second.fills
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
        decode_job(body, "queue", 7)


def test_a_page_of_records_is_read_and_nonsense_is_passed_over() -> None:
    good = _encode_record(KeyedRecord("key", b"value"))
    nonsense = struct.pack(">I", 2) + b"\x09a"
    body = struct.pack(">QQ", 12, 3) + good + nonsense + good
    page = _read_page(body, 9)
    assert isinstance(page, Page)
    assert (page.end, page.first, page.next_offset) == (12, 3, 12)
    assert page.records == [
        StoredRecord(9, "key", b"value"),
        StoredRecord(11, "key", b"value"),
    ]


def test_answers_to_an_append_are_told_apart() -> None:
    done = _read_append(Reply(200, b'{"offset":3,"end":5}'))
    assert done == Appended(3, 5)
    moved = _read_append(Reply(412, b'{"end":9}'))
    assert isinstance(moved, Refusal)
    assert moved.code is ResultCode.OUTCOME_PENDING
    fenced = _read_append(Reply(409, b'{"reason":"fenced"}'))
    assert isinstance(fenced, Refusal)
    assert fenced.code is ResultCode.STALE_EPOCH


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (Reply(503, b""), ResultCode.LOG_UNAVAILABLE),
        (Reply(429, b""), ResultCode.LOG_UNAVAILABLE),
        (Reply(500, b""), ResultCode.OUTCOME_PENDING),
        (NoReply("refused", is_unsent=True), ResultCode.LOG_UNAVAILABLE),
        (NoReply("silent", is_unsent=False), ResultCode.OUTCOME_PENDING),
    ],
)
def test_only_a_call_that_did_nothing_is_called_undone(
    reply: Reply | NoReply, code: ResultCode
) -> None:
    assert _failed(reply).code is code


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
def test_answers_of_workers_are_told_apart(
    reply: Reply | NoReply, outcome: OrderOutcome
) -> None:
    assert _read_answer(reply).outcome is outcome


def test_a_worker_report_is_read() -> None:
    report = _read_report(
        b'{"clock_ms":9,"born":4,"running":[["a.0.0.1",2,"s",41,7]],'
        b'"ended":[[58,"a.0.1.9",1,"done",""]]}'
    )
    assert report.born_ms == 4
    assert report.running[0].load == 7
    assert report.ended[0].end is RunEnd.DONE


def test_the_operators_records_are_read() -> None:
    feeds = PlatformFeeds()
    config = (
        b'{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",'
        b'"service":"s","max_attempts":2,"stretch":1.6}],'
        b'"services":[{"name":"s","standby":true}]}'
    )
    value = feeds.read_operator(StoredRecord(1, "config", config))
    assert isinstance(value, Configuration)
    assert value.queues_by_name["r"].attempts == 2
    assert value.pools_by_name["s"].is_standby
    wave = feeds.read_operator(
        StoredRecord(2, "wave/3", b'{"wave":3,"machines":["m"],"max_count":2}')
    )
    assert isinstance(wave, Wave)
    assert wave.limit == 2
    assert feeds.read_operator(StoredRecord(3, "other", b"{}")) is None


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
    assert feeds.read_worker(StoredRecord(1, "i-1", value)) is None


BOOT = """
node: "n"
ip: "10.1.0.9"
zone: "a"
listen: {front: "10.1.0.9:1", readiness: "10.1.0.9:2"}
port_range: [7060, 7075]
platform: {addr: "10.9.0.1:3", parts: 12, ttl_min_ms: 1000}
bounds: {hold_max_ms: 10000, stop_ms: 400}
"""


def test_the_settings_file_is_read(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(BOOT)
    boot = load_boot(str(path))
    assert isinstance(boot, Boot)
    assert boot.peers == "10.1.0.9:7060"
    assert boot.times.stop_s == 0.4
    assert boot.millicores == 0


# Owners are chosen by it; a wrong figure would leave a strong host out.
def test_a_host_s_capacity_is_its_share_of_cores(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(BOOT + "limits: {cpu_share: 0.717, cores: 3, max_fds: 9}\n")
    boot = load_boot(str(path))
    assert isinstance(boot, Boot)
    assert boot.millicores == 2151


@pytest.mark.parametrize(
    "text", ["", "node: 5", "{", BOOT.replace('front: "10.1.0.9:1", ', "")]
)
def test_bad_settings_are_refused_with_the_file_named(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(text)
    refusal = load_boot(str(path))
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.SETTINGS_INVALID
    assert str(path) in refusal.reason


async def test_changed_settings_are_taken_over_without_a_signal(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(BOOT)
    boot = load_boot(str(path))
    assert isinstance(boot, Boot)
    async with running_fleet(hosts=1, workers=0) as fleet:
        manager = fleet.hosts[0].manager
        assert manager is not None
        context = manager.context
        settings = LiveSettings(str(path), boot, context)
        before = context.times
        settings.reload_if_changed()
        assert context.times is before
        changed = BOOT.replace("stop_ms: 400", "stop_ms: 700")
        path.write_text(changed.replace("hold_max_ms: 10000", "hold_max_ms: 9"))
        settings.reload_if_changed()
        assert context.times.stop_s == 0.7
        assert context.times.lease_s == before.lease_s
        path.write_text("node: [")
        settings.reload_if_changed()
        assert context.times.stop_s == 0.7


def test_a_lost_answer_is_noticed_soon_and_a_slow_store_gets_time() -> None:
    patience = AdaptiveTimeout(MOST_S)
    for _ in range(20):
        patience.record_call(0.008, is_answered=True)
    assert patience.next_timeout_s() <= 0.3
    patience.record_call(0.25, is_answered=False)
    patience.record_call(0.5, is_answered=False)
    assert patience.next_timeout_s() >= 1.0
    patience.record_call(0.33, is_answered=True)
    for _ in range(20):
        patience.record_call(0.33, is_answered=True)
    assert patience.next_timeout_s() >= 1.0


# Guards against a follower of a partition that dies of a short answer: an
# accepted job stayed QUEUED, as the owner that kept its pool never read it.
async def test_an_answer_that_is_cut_off_is_refused_and_no_page() -> None:
    body = struct.pack(">QQ", 11, 2) + _encode_record(KeyedRecord("k", b"v"))
    for length in range(len(body)):
        page = _read_page(body[:length], 9)
        # With no record in it, what is left is a page that ends sooner.
        assert isinstance(page, Refusal) == (length != struct.calcsize(">QQ"))


# Guards against the same of other answers: none of them may raise.
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
async def test_a_malformed_answer_of_the_store_is_refused(body: bytes) -> None:
    client = StoreClient("127.0.0.1:1", VirtualTimers())
    client._line = FixedLine(body)  # type: ignore[assignment]
    assert isinstance(await client.latest_page(Partition("p")), Refusal)
    assert isinstance(await client.list_holders("g"), Refusal)
    joined = await client.join("g", "m", "t", 1.0, 0)
    assert isinstance(joined, Refusal)


# Guards against a link that dies of a row that its worker made up.
def test_a_report_with_rows_of_other_types_is_malformed() -> None:
    body = b'{"clock_ms":1,"ended":[["x","a.0.0.0",1,"done",null]]}'
    with pytest.raises(msgspec.ValidationError):
        _read_report(body)


class RepeatingLine:
    """A line whose pages of machines all name the same next page."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, *args: object, **options: object) -> Reply:
        """Answers with an empty page."""
        del args, options
        self.calls += 1
        assert self.calls < 10, "asks on and on"
        return Reply(200, b'{"machines":[],"next_token":"again"}')


# Guards against a fleet that stands still, without a line, as the list of its
# machines goes round in a circle.
async def test_a_page_of_machines_that_comes_again_is_refused() -> None:
    cloud = CloudMachines("127.0.0.1:1")
    line = RepeatingLine()
    cloud._line = line  # type: ignore[assignment]
    assert isinstance(await cloud.list_machines(), Refusal)
    assert line.calls == 2
