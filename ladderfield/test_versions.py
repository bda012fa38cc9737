"""Compatibility with the version in production, in both directions.

This version reads fixed samples of what the version in production writes; and what this version writes is decoded by a
strict model of what the version in production accepts.
"""

from __future__ import annotations

import struct
from typing import Annotated, Any, Literal

import msgspec
import pytest
import trio

from ladderfield.fleet.catalog import CATALOG_KEY
from ladderfield.http import Request
from ladderfield.jobs.model import JobSpec
from ladderfield.leadership import Leadership
from ladderfield.peers import HEALTH, HEALTH_BODY, RELAY, pack, unpack_header
from ladderfield.rollout import VERSION_PREFIX
from ladderfield.state import StateClient
from ladderfield.testing import job, settings
from ladderfield.testing.jobs_api import serving_jobs_api
from ladderfield.testing.leader import TOKEN_NOW, SchedulerHarness, reported_task
from ladderfield.tokens import next_epoch
from ladderfield.view import View

# Byte for byte as the version in production writes them.
JOB_RECORD = (
    b'{"jobs":{"req-000412":{"spec":{"uid":"req-000412","jobclass":"train","owner":"red","shape":"array",'
    b'"rank":"urgent","rungs":6,"cores":2.0,"cards":0.0,"memoryGb":4.0,"bundle":"img-07","sizeGb":1.5,'
    b'"oneZone":false,"spread":false,"loaners":true,"expectS":20.0,"markEveryS":0.0,"markCostS":0.0,'
    b'"flavours":null,"yard":null,"dueS":90.0},"at":990.125,"block":256},"req-000413":{"spec":{"uid":"req-000413",'
    b'"jobclass":"web","owner":"blue","shape":"daemon","rank":"production","rungs":1,"cores":4.0,"cards":0.0,'
    b'"memoryGb":4.0,"bundle":"img-08","sizeGb":2.0,"oneZone":false,"spread":false,"loaners":false,"expectS":0.0,'
    b'"markEveryS":0.0,"markCostS":0.0,"flavours":["m4"],"yard":null,"dueS":null},"at":991.0,"block":256}}}'
)
PAGE_RECORD = (
    b'{"req-000412":{"d":[[0,1],[4,4]],"a":{"2":[25769803778,"i-000001"],"3":[25769803779,"i-000002"]}},'
    b'"req-000413":{"a":{"0":[25769803777,"i-000003"]}},'
    b'"hosts":{"i-000001":["za","10.1.0.2:9000","m4",true],"i-000002":["za","10.1.0.3:9000","m4",false],'
    b'"i-000003":["zb","10.1.0.4:9000","m4",false]}}'
)
DONE_RECORD = b'{"phase":"done","done":6}'
CANCELLED_RECORD = b'{"phase":"cancelled","at":1001.5}'
EPOCH_RECORD = b'{"epoch":6,"member":"n1","before":{"n2":1100.0}}'
HEALTH_ANSWER = b"lf\x02\x03\x00\xc8\x00\x00\x00\x0b\x01\x00\x00\x00\x00\x00\x00\x00\x06n1"


def old_data(**final_records: bytes) -> dict[str, Any]:
    """The records that the version in production left in the state service."""
    raw = {"lf/j/req-000412": JOB_RECORD, "lf/p/0": PAGE_RECORD, "lf/epoch": EPOCH_RECORD}
    raw |= {key.replace("_", "/", 2): value for key, value in final_records.items()}
    return {key: (msgspec.json.decode(value), 5) for key, value in raw.items()}


def test_a_new_leader_takes_over_claims_replicas_and_finished_tasks_of_an_old_one() -> None:
    harness = SchedulerHarness(old_data())
    array, service = harness.scheduler.jobs["req-000412"], harness.scheduler.jobs["req-000413"]
    assert array.finished == {0, 1, 4} and {claim.attempt & 0xFF for claim in array.claims.values()} == {2, 3}
    assert array.spec.needs is None and array.spec.deadline_s == 90.0 and not array.pending_dependencies
    assert [claim.host for claim in service.claims.values()] == ["i-000003"]
    assert harness.scheduler.teams.cpus == {"red": 4.0, "blue": 4.0}
    # The old leader has recorded the end of task 4 but not yet sent its reap order.
    orders = harness.report(
        "i-000001", (reported_task(4, 25769803775, "exited", "done", "req-000412"),
                     reported_task(2, 25769803778, uid="req-000412")),
        endpoint="10.1.0.2:9000",
    )  # fmt: skip
    assert [(order["verb"], order["rung"]) for order in orders] == [("reap", "req-000412/4")]


@pytest.mark.parametrize("record", [DONE_RECORD, CANCELLED_RECORD])
def test_final_states_that_an_old_version_wrote_count(record: bytes) -> None:
    harness = SchedulerHarness(old_data(lf_f_req000001=record) | {"lf/f/req-000412": (msgspec.json.decode(record), 6)})
    harness.submit("req-000414", waitsOn=["req-000412"])
    assert bool(harness.scheduler.jobs["req-000414"].pending_dependencies) == (record is CANCELLED_RECORD)
    assert bool(harness.scheduler.cancelled_dependents) == (record is CANCELLED_RECORD)


async def test_an_old_epoch_record_and_an_old_health_answer_are_decoded(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        _, service = await serving_jobs_api(monkeypatch, nursery)
        client = StateClient(settings())
        view = View(client, settings())
        nursery.start_soon(view.run)
        await service._multi({"guards": [], "apply": [{"put": "lf/epoch", "value": msgspec.json.decode(EPOCH_RECORD)}]})
        await trio.sleep(1)
        leadership = Leadership(settings(), client, view)
        assert leadership.known_epoch() == 6 and set(leadership._earlier_leaders()) <= {"n1", "n2"}
        kind, status, length = unpack_header(HEALTH_ANSWER[:10])
        body = HEALTH_ANSWER[10:]
        assert (kind, status, length) == (3, 200, len(body)) and HEALTH_BODY.unpack_from(body) == (1, 6)
        nursery.cancel_scope.cancel()


# -- what the version in production accepts ---------------------------------------------------------------------


class OldSpec(msgspec.Struct, rename="camel"):
    """A job's spec: required fields, then optional ones; unknown fields are ignored."""

    uid: str
    jobclass: str
    owner: str
    shape: Literal["array", "daemon"]
    rank: Literal["production", "urgent", "standard", "best_effort"]
    rungs: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    cores: float
    cards: float
    memory_gb: float
    bundle: str
    size_gb: float
    one_zone: bool
    spread: bool
    loaners: bool
    expect_s: float
    mark_every_s: float
    mark_cost_s: float
    flavours: list[str] | None = None
    yard: str | None = None
    due_s: float | None = None


class OldJob(msgspec.Struct, forbid_unknown_fields=True):
    """An accepted job in a record."""

    spec: OldSpec
    at: float
    block: Annotated[int, msgspec.Meta(ge=1)]


class OldJobs(msgspec.Struct, forbid_unknown_fields=True):
    """A record of accepted jobs."""

    jobs: dict[str, OldJob]


class OldEntry(msgspec.Struct, forbid_unknown_fields=True):
    """A job's entry on a page: ranges of finished tasks, and claims."""

    d: list[tuple[int, int]] = []
    a: dict[str, tuple[int, str]] = {}


class OldFinal(msgspec.Struct):
    """A job's final state."""

    phase: Literal["done", "cancelled"]
    done: int = 0
    at: float = 0.0


class OldEpoch(msgspec.Struct):
    """The epoch record."""

    epoch: int
    member: str
    before: dict[str, float]


HostEntry = tuple[str, str, str, bool]


def assert_old_version_reads(key: str, value: Any) -> None:
    """Check that the version in production can decode the record; it ignores keys with other prefixes."""
    value = msgspec.json.decode(msgspec.json.encode(value))
    if key.startswith("lf/j/"):
        record = msgspec.convert(value, OldJobs)
        assert key.removeprefix("lf/j/") in record.jobs
    elif key.startswith("lf/f/"):
        msgspec.convert(value, OldFinal)
    elif key.startswith("lf/p/"):
        assert key.removeprefix("lf/p/").isdigit()
        hosts = msgspec.convert(value.pop("hosts", {}), dict[str, HostEntry])
        entries = msgspec.convert(value, dict[str, OldEntry])
        assert all(host in hosts for entry in entries.values() for _, host in entry.a.values())
    elif key == "lf/epoch":
        msgspec.convert(value, OldEpoch)
    elif key == "lf/types":
        assert isinstance(value, list)
    elif key == "lf/foreman":
        assert isinstance(value["member"], str)
    else:
        assert key.startswith((VERSION_PREFIX, CATALOG_KEY))


def test_an_old_leader_can_read_the_records_of_a_new_leader() -> None:
    harness = SchedulerHarness()
    harness.scheduler.pages.max_page_bytes = 1900
    harness.submit("req-000001", rungs=40, owner="blue")
    harness.submit("req-000002", rungs=1, shape="daemon", rank="production", owner="blue", cores=4.0)
    harness.submit("req-000003", rungs=1, owner="blue")
    harness.submit("req-000004", rungs=1, owner="blue", waitsOn=["req-000001"])
    for host in range(30):
        harness.report(f"m{host}")
    written: dict[str, Any] = {}
    for step in range(3):
        while (txn := harness.ledger.collect(True)) is not None:
            written |= txn.puts
            harness.revision += 1
            harness.ledger.applied(txn, harness.revision, 2.0)
        for claim in [claim for scheduled in harness.scheduler.jobs.values() for claim in scheduled.claims.values()]:
            if not claim.job.spec.service and claim.index % 3 != step:
                harness.scheduler.end(claim, True, 3.0)
        if step == 1:
            harness.record_final_state("req-000003", "cancelled")
    for key, value in written.items():
        assert_old_version_reads(key, value)
    pages = sorted(int(key.removeprefix("lf/p/")) for key in written if key.startswith("lf/p/"))
    assert pages == list(range(len(pages))), "the old version reads pages until one is missing"
    assert {phase for item in written.items() if "lf/f/" in item[0] for phase in [item[1]["phase"]]} == {"done"}


async def test_an_old_version_can_read_the_records_of_a_new_api_and_a_new_candidate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        nursery.start_soon(api.submissions.rollout.run)
        for changes in (
            {},
            {"dueS": 40.0, "flavours": ["m4"], "yard": "za"},
            {"shape": "daemon", "rank": "production"},
        ):
            uid = f"req-{len(service.keys):06}"
            reply = await api(Request("POST", "/api/jobs", msgspec.json.encode(job(uid, **changes))))
            assert reply is not None and reply.status == 201
        await api(Request("POST", "/api/jobs/req-000001/cancel", b""))
        leadership = Leadership(settings(), api.cancellations.client, api.lookup.view)
        await trio.sleep(1)
        term = await leadership._campaign()
        assert term is not None and term.epoch == next_epoch(0)
        await trio.sleep(1)
        assert {key.split("/")[1] for key in service.keys} >= {"j", "v", "epoch", "foreman", "machine-types"}
        for key, (value, _, _) in service.keys.items():
            assert_old_version_reads(key, value)
        nursery.cancel_scope.cancel()


def test_frame_headers_stay_as_an_old_version_accepts_them() -> None:
    """The old version closes the connection on any other magic, version or kind."""
    for kind, status in ((RELAY, 1), (HEALTH, 0)):
        magic, version, sent, _, length = struct.unpack("!2sBBHI", pack(kind, status, b"{}")[:10])
        assert (magic, version, sent, length) == (b"lf", 2, kind, 2) and kind in (1, 3)


def test_an_old_version_ignores_dependencies_so_they_are_accepted_only_after_the_rollout() -> None:
    """An old leader would start a job before its dependencies, as its record looks like that of any other job.

    The jobs API therefore accepts dependencies only once the roll-out record allows it.
    """
    spec = msgspec.convert(job("req-000002", waitsOn=["req-000001"]), JobSpec)
    written = msgspec.to_builtins(spec)
    assert written["waitsOn"] == ["req-000001"] and "waitsOn" not in msgspec.to_builtins(
        msgspec.convert(written, OldSpec)
    )
    assert "dueS" not in written, "both versions treat null as absent, and records without it are smaller"


def test_of_claims_by_an_old_and_a_new_leader_the_later_attempt_counts() -> None:
    """With claims by an old and a new leader for a task, the later attempt counts."""
    data = old_data()
    page = msgspec.json.decode(PAGE_RECORD)
    page["req-000412"]["a"] = {"3": [(TOKEN_NOW - 2) << 32, "i-000001"]}
    harness = SchedulerHarness(data | {"lf/p/1": (page, 6)})
    assert {claim.attempt for claim in harness.scheduler.jobs["req-000412"].claims.values()} == {
        25769803778,
        25769803779,
    }
