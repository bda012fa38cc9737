"""Every record, frame, request and answer is encoded to the same bytes as in the recorded samples.

``testdata/wire_format.txt`` holds one sample per line: its name, a tab, and the bytes as a Python literal. Changing
these bytes changes a protocol that other programs, or earlier versions of this one, use.
"""

from __future__ import annotations

import ast
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio

from ladderfield.cancellation_sync import CancellationSync
from ladderfield.connectivity.reach_message import ReachMessage
from ladderfield.connectivity.resignations import ResignationHistory
from ladderfield.connectivity.worker_reach import ZoneReach
from ladderfield.fleet.catalog import layout_of, listed_catalog
from ladderfield.fleet.cloud import Cloud
from ladderfield.http import Client, Reply, Request, encode
from ladderfield.jobs.api import JobsApi
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import ReportReceived
from ladderfield.leadership import EPOCH, LEADER, Leadership
from ladderfield.peers import (
    ANSWER,
    CANCELLATION_NOTICE,
    CANCELLATION_QUERY,
    HEALTH,
    HEALTH_BODY,
    REACH,
    RELAY,
    PeerLink,
    pack,
)
from ladderfield.rollout import VERSION_PREFIX
from ladderfield.settings import Peer
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing import REPORT, TYPES, StateService, job, settings
from ladderfield.testing.jobs_api import serving_jobs_api
from ladderfield.testing.leader import SchedulerHarness, launch_job, leader_with_claim, reported_task
from ladderfield.view import View
from ladderfield.workers.report_handler import ReportHandler

SAMPLES = Path(__file__).parent / "testdata" / "wire_format.txt"
NOW = 1_700_000_000.25  # wall-clock time in all samples

Samples = dict[str, bytes]


def recorded() -> Samples:
    """Read the recorded samples."""
    lines = SAMPLES.read_text(encoding="ascii").splitlines()
    return {name: ast.literal_eval(literal) for name, literal in (line.split("\t") for line in lines)}


def assert_recorded(prefix: str, samples: Samples) -> None:
    """Compare all samples of one kind with the recorded ones, in both directions."""
    expected = {name: value for name, value in recorded().items() if name.startswith(prefix + ".")}
    assert {f"{prefix}.{name}": value for name, value in samples.items()} == expected


def answer_bytes(reply: Reply | None) -> bytes:
    """A reply's status, Retry-After seconds and body."""
    assert reply is not None
    return f"{reply.status} {reply.retry_after} ".encode() + reply.body


@pytest.fixture(autouse=True)
def _fixed_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: NOW)


@pytest.fixture
def requests(monkeypatch: pytest.MonkeyPatch) -> Callable[[Any], list[bytes]]:
    """A function that has every HTTP client answer with a given value, and returns the list of requests sent."""
    sent: list[bytes] = []

    def answer_with(answer: Any) -> list[bytes]:
        async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
            sent.append(f"{method} {target} ".encode() + (b"" if body is None else encode(body)))
            return 200, encode(answer)

        monkeypatch.setattr(Client, "call", call)
        return sent

    return answer_with


async def test_state_service_requests_match_the_samples(requests: Callable[[Any], list[bytes]]) -> None:
    client = StateClient(settings())
    sent = requests({"ledger": 5, "pairs": [], "stamp": 3, "hold": 9, "events": []})
    await client.read_revision(1.0)
    await client.page("", 1.0)
    await client.page("lf/j/req-000001", 1.0)
    await client.revision_of("lf/epoch", 1.0)
    await client.grant_lease(2.0, 1.0)
    await client.renew_lease(9, 1.0)
    await client.watch(17, 10.0)
    await client.commit({"lf/epoch": 3}, {"lf/p/0": {"a": 1}}, ["lf/j/req-000001"], 1.0)
    await client.commit({}, {LEADER: {"member": "n0"}, EPOCH: {"epoch": 1}}, [], 1.0, 9, LEADER)
    assert_recorded("state_request", {str(number): request for number, request in enumerate(sent)})


async def test_cloud_requests_match_the_samples(requests: Callable[[Any], list[bytes]]) -> None:
    cloud = Cloud(settings())
    sent = requests({"flavours": [], "hosts": []})
    await cloud.types()
    await cloud.rent("lf-7-1", "m4", "za", True, 3, lambda: True)
    await cloud.delete(["i-000001", "i-000002"], lambda: True)
    await cloud.list()
    assert_recorded("cloud_request", {str(number): request for number, request in enumerate(sent)})


async def _answers(api: JobsApi, service: StateService) -> Samples:
    """The answers to a sequence of users' requests."""
    samples: Samples = {}

    async def ask(name: str, method: str, path: str, body: Any = None) -> None:
        samples[name] = answer_bytes(await api(Request(method, path, b"" if body is None else encode(body))))

    await ask("ready", "GET", "/ready")
    await ask("ready_method", "POST", "/ready")
    await ask("submit_accepted", "POST", "/api/jobs", job("req-000001", dueS=40.0, flavours=["m4"], yard="za"))
    await ask("submit_again", "POST", "/api/jobs", job("req-000001"))
    await ask("submit_service", "POST", "/api/jobs", job("req-000002", shape="daemon", rank="production"))
    await ask("submit_waiting", "POST", "/api/jobs", job("req-000003", waitsOn=["req-000001"]))
    await ask("submit_malformed", "POST", "/api/jobs", {})
    await ask("submit_impossible", "POST", "/api/jobs", job("req-000004", owner="grey"))
    await ask("submit_on_unknown", "POST", "/api/jobs", job("req-000005", waitsOn=["req-000099"]))
    await ask("submit_on_service", "POST", "/api/jobs", job("req-000005", waitsOn=["req-000002"]))
    await ask("submit_method", "PUT", "/api/jobs")
    await ask("poll_queued", "GET", "/api/jobs/req-000001")
    claims = {"req-000001": {"d": [[0, 0]], "a": {"0": [1, "m"], "1": [2, "m"]}}}
    await service._multi({"guards": [], "apply": [{"put": "lf/p/0", "value": claims}]})
    await ask("poll_running", "GET", "/api/jobs/req-000001")
    done = {"phase": "done", "done": 2, "at": NOW}
    await service._multi({"guards": [], "apply": [{"put": "lf/f/req-000001", "value": done}]})
    await ask("poll_done", "GET", "/api/jobs/req-000001")
    await ask("poll_unknown", "GET", "/api/jobs/req-000098")
    await ask("poll_malformed", "GET", "/api/jobs/x")
    await ask("poll_method", "POST", "/api/jobs/req-000001")
    await ask("cancel", "POST", "/api/jobs/req-000002/cancel")
    await ask("cancel_again", "POST", "/api/jobs/req-000002/cancel")
    await ask("cancel_done", "POST", "/api/jobs/req-000001/cancel")
    await ask("cancel_unknown", "POST", "/api/jobs/req-000098/cancel")
    await ask("cancel_method", "GET", "/api/jobs/req-000002/cancel")
    api.requests = api.max_requests
    await ask("overload", "GET", "/api/jobs/req-000001")
    return samples


async def test_user_answers_and_their_records_match_the_samples(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        nursery.start_soon(api.submissions.rollout.run)
        for member in ("n1", "n2"):
            await service._multi({"guards": [], "apply": [{"put": VERSION_PREFIX + member, "value": {"level": 2}}]})
        await trio.sleep(1)
        answers = await _answers(api, service)
        assert await Leadership(settings(), api.cancellations.client, api.lookup.view)._campaign() is not None
        records = {key: encode(value) for key, (value, _, _) in service.keys.items()}
        nursery.cancel_scope.cancel()
    assert_recorded("user_answer", answers)
    assert_recorded("record", records)


def test_leader_records_match_the_samples() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 2)
    harness.report(tasks=(reported_task(0, attempt, "exited", "done"), reported_task(1, attempt + 1)), now=3.0)
    samples: Samples = {}
    step = 0
    for now in (3.0, 6.0):
        while (txn := harness.ledger.collect(True)) is not None:
            samples[f"{step}.guards"] = encode(txn.guards)
            samples[f"{step}.puts"] = encode(txn.puts)
            samples[f"{step}.deletes"] = encode(txn.deletes)
            step += 1
            harness.revision += 1
            harness.ledger.applied(txn, harness.revision, now)
        ended = tuple(reported_task(index, attempt + index, "exited", "done") for index in range(2))
        samples[f"{step}.orders"] = encode(harness.report(tasks=ended, now=now + 1))
    harness.submit("req-000002", shape="daemon", rungs=1, owner="blue")
    harness.report(now=9.0)
    harness.write_records(9.0)
    samples["launch"] = encode(harness.report(now=10.0))
    harness.record_final_state("req-000002", "cancelled")
    (claim,) = harness.machine().claims.values()
    samples["stop"] = encode(harness.report(tasks=(reported_task(0, claim.attempt, uid="req-000002"),), now=11.0))
    assert_recorded("leader", samples)


async def test_worker_answers_and_orders_match_the_samples(monkeypatch: pytest.MonkeyPatch) -> None:
    node_settings = settings(1)
    client = StateClient(node_settings)
    view = View(client, node_settings)
    reports = ReportHandler(
        node_settings, Leadership(node_settings, client, view), {"n0": PeerLink(Peer("n0", "10.0.0.1:81"))}
    )
    samples: Samples = {}

    async def report(name: str, body: Any, method: str = "POST") -> None:
        samples[name] = answer_bytes(await reports(Request(method, "/v1/report", encode(body))))

    await report("no_leader", REPORT)
    view.data = {LEADER: ({"member": "n0"}, 1), EPOCH: ({"epoch": 4}, 1)}
    await report("redirected", REPORT | {"tick": 2})
    await report("malformed", {"host": 1})
    await report("method", REPORT, "GET")
    leader = leader_with_claim()
    sent: list[bytes] = []

    async def call(self: Client, method: str, target: str, body: Any, timeout: float) -> tuple[int, bytes]:
        sent.append(f"{method} {target} ".encode() + encode(body))
        return 200, b"{}"

    monkeypatch.setattr(Client, "call", call)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_serve_one_report, leader)
        reports.inbox = leader.send
        await report("from_leader", REPORT | {"host": "m", "tick": 2, "epoch": 7})
        nursery.cancel_scope.cancel()
    reports.inbox, _ = trio.open_memory_channel[Any](0)
    await report("inbox_full", REPORT)
    other = leader_with_claim()
    async with trio.open_nursery() as nursery:
        other.dispatcher.nursery = nursery
        other.dispatcher.dispatch(0.1)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    samples["orders"] = b"\n".join(sent)
    assert_recorded("worker_answer", samples)


async def _serve_one_report(leader: Leader) -> None:
    message = await leader.inbox.receive()
    assert isinstance(message, ReportReceived)
    leader.intake.on_report(message, 0.2)


async def test_controller_frames_match_the_samples(monkeypatch: pytest.MonkeyPatch) -> None:
    names = {
        "relay": RELAY,
        "answer": ANSWER,
        "health": HEALTH,
        "cancellation_query": CANCELLATION_QUERY,
        "cancellation_notice": CANCELLATION_NOTICE,
    }
    samples = {name: pack(kind, 200, b"body") for name, kind in names.items()}
    samples["self"] = HEALTH_BODY.pack(True, 6) + b"n1"
    samples["reach"] = pack(REACH, 0, ReachMessage("n1", 6, True, ZoneReach(20, 5, 8, 7)).pack())
    node_settings = settings()
    client = StateClient(node_settings)
    view = View(client, node_settings)
    view.data = {f"{VERSION_PREFIX}{member}": ({"level": 2}, 1) for member in ("n1", "n2")}
    view.data |= {LEADER: ({"member": "n1"}, 2), EPOCH: ({"epoch": 6}, 3)}
    view.synced, view.revision, view.proven_at = True, 17, trio.current_time()
    cancellations, link = Cancellations(100), PeerLink(Peer("n1", "10.0.0.2:81"))
    sync = CancellationSync(Leadership(node_settings, client, view), view, cancellations, {"n1": link})

    async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> tuple[int, bytes] | None:
        samples[f"asked_{kind}"] = body
        return None

    monkeypatch.setattr(link, "ask", ask)
    await sync.ask(Term(6, 3, 1, 0.0, 2.0, 17.0, 0.0), 1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sync.run_notices, 1.0)
        cancellations.add_confirmed("req-000001", 18)
        cancellations.add_confirmed("req-000002", 19)
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    status, body = sync.answer(samples[f"asked_{CANCELLATION_QUERY}"])
    samples["cancellation_answer"] = f"{status} ".encode() + body
    assert_recorded("frame", samples)


def test_resignation_records_match_the_samples() -> None:
    history = ResignationHistory(12.0)
    first = history.next(None, "n0", NOW)
    samples = {"first": encode(first), "next": encode(history.next(first, "n1", NOW + 30.0))}
    assert_recorded("resignation", samples)


def test_records_of_machine_types_match_the_samples() -> None:
    catalog = listed_catalog([TYPES[0], TYPES[0] | {"name": "m8", "note": "n" * 400}, {"name": "m16"}])
    single = layout_of(catalog, "00ff", 0, 1000)
    split = layout_of(catalog, "00ff", 1, 300)
    assert not single.parts and list(split.parts) == ["lf/machine-types/1/0"]
    samples = {"single": encode(single.head), "head": encode(split.head)}
    samples["part"] = encode(split.parts["lf/machine-types/1/0"])
    assert_recorded("types", samples)
    for layout in (single, split):
        assert layout.catalog() == catalog
