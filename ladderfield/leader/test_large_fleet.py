"""4,000 machines: start, work, a takeover at which all report at once, and a zone that is lost."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

from ladderfield.fleet.cloud import LIST_MOST, Cloud, Listed
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import MachinesListed, Message, ReportReceived
from ladderfield.leadership import Leadership, Term
from ladderfield.peers import Peer, PeerLink
from ladderfield.server import USERS_SHARE
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.testing import TYPES, accepted, job, settings
from ladderfield.view import Change, View
from ladderfield.workers.report import Report
from ladderfield.workers.report_handler import ReportHandler

MACHINES = 4000
ZONES = ("za", "zb", "zc")
SERVICES, ARRAYS, TASKS = 40, 20, 100
LEASE_S = 12.0


def fleet_settings() -> Settings:
    """Settings with as many sockets as 4,000 workers need."""
    own = settings()
    quota = msgspec.structs.replace(own.cluster.quota, max_connections=2 * MACHINES)
    return msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, quota=quota, zones=list(ZONES)))


class ScriptedWorker:
    """A machine that carries out what the answers to its reports say."""

    def __init__(self, number: int) -> None:
        self.host, self.zone = f"i-{number:06d}", ZONES[number % len(ZONES)]
        self.tick, self.epoch, self.cut = 0, 0, False
        self.running: dict[str, int] = {}
        self.answered_at = 0.0

    def report(self) -> Report:
        """The present report."""
        self.tick += 1
        rungs = [{"rung": name, "try": attempt, "phase": "running"} for name, attempt in self.running.items()]
        raw = {
            "host": self.host, "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": self.zone, "loaners": False,
            "tenure": 1, "tick": self.tick, "epoch": self.epoch, "rungs": rungs,
        }  # fmt: skip
        return msgspec.convert(raw, Report)


class Fleet:
    """Scripted workers around one leader at a time, with records that outlive it."""

    def __init__(self) -> None:
        self.settings = fleet_settings()
        self.workers = [ScriptedWorker(number) for number in range(MACHINES)]
        self.records: dict[str, tuple[Any, int]] = {"lf/types": ([TYPES[0] | {"yards": list(ZONES)}], 1)}
        self.stamp, self.epoch, self.now = 10, 0, 0.0
        self.leader = self.elect()

    def elect(self) -> Leader:
        """A new leader takes over from the records."""
        self.epoch += 1
        client = StateClient(self.settings)
        term = Term(self.epoch, 3, 1, self.now, 1e6, 17.0, self.now)
        view = View(client, self.settings)
        dependencies = DependencyGraph(lambda key: self.records.get(key, (None, 0))[0])
        self.leader = Leader(self.settings, term, client, view, Cloud(self.settings), dependencies)
        self.leader.scheduler.load(dict(self.records), self.now)
        self.leader.scheduler.detector.no_other_leader(self.now)
        return self.leader

    def submit(self, uid: str, **changes: Any) -> None:
        """A job appears on record."""
        self.stamp += 1
        change = Change(f"lf/j/{uid}", accepted(job(uid, **changes), at=1000.0), self.stamp)
        self.records[change.key] = (change.value, change.stamp)
        self.leader.scheduler.take_changes([change], self.now)

    def record(self) -> None:
        """Everything due is written."""
        ledger = self.leader.ledger
        while (txn := ledger.collect(True)) is not None:
            self.stamp += 1
            for key, value in txn.puts.items():
                self.records[key] = (value, self.stamp)
            ledger.applied(txn, self.stamp, self.now)

    def report_all(self) -> None:
        """Every worker that is not cut off has a report in the inbox at the same moment; all are answered."""
        messages: list[tuple[ScriptedWorker, ReportReceived]] = []
        for worker in self.workers:
            if not worker.cut:
                message = ReportReceived(worker.report(), False)
                self.leader.send.send_nowait(message)  # WouldBlock would be a refusal
                messages.append((worker, message))
        while (received := self.leader._next()) is not None:
            self.leader._handlers[type(received)](received, self.now)
        for worker, message in messages:
            answer = message.answer.value
            assert answer is not None, f"{worker.host} is refused"
            worker.epoch, worker.answered_at = answer.epoch, self.now
            for order in answer.orders:
                if order.verb == "launch":
                    worker.running[order.task] = order.attempt
                else:
                    worker.running.pop(order.task, None)

    def pass_time(self, seconds: float) -> None:
        """Rounds of reports, passes and records."""
        until = self.now + seconds
        while self.now < until:
            self.now += 2.0
            self.leader.term.knows(self.now)  # the state service proves the view fresh all the time
            for worker in self.workers:
                if worker.cut and self.now - worker.answered_at > LEASE_S:
                    worker.running.clear()
            self.report_all()
            self.leader.scheduler.sweep(self.now)
            self.leader.scheduler.schedule(self.now)
            self.record()
            assert self.twice() == []

    def twice(self) -> list[str]:
        """Tasks that run on more than one machine."""
        seen: set[str] = set()
        names = [name for worker in self.workers for name in worker.running]
        return [name for name in names if name in seen or seen.add(name)]  # type: ignore[func-returns-value]

    def running(self) -> int:
        """Tasks that run."""
        return sum(len(worker.running) for worker in self.workers)


async def test_start_work_takeover_and_a_lost_zone() -> None:
    fleet = Fleet()
    fleet.report_all()
    for number in range(SERVICES):
        fleet.submit(f"req-{number:06}", owner="blue", shape="daemon", rank="production", rungs=4, expectS=0)
    for number in range(ARRAYS):
        fleet.submit(f"req-{number + 500:06}", owner="blue", rungs=TASKS, loaners=False)
    fleet.pass_time(8.0)
    all_tasks = SERVICES * 4 + ARRAYS * TASKS
    assert len(fleet.leader.scheduler.machines) == MACHINES
    assert fleet.running() == all_tasks
    fleet.elect()
    assert sum(len(machine.claims) for machine in fleet.leader.scheduler.machines.values()) == all_tasks
    fleet.report_all()
    fleet.pass_time(4.0)
    assert fleet.running() == all_tasks, "a takeover stops and starts nothing"
    for worker in fleet.workers:
        worker.cut = worker.zone == "zc"
    fleet.pass_time(6.0)
    assert fleet.leader.scheduler.detector.cut == {"zc"}
    fleet.pass_time(LEASE_S + 10.0)
    assert fleet.running() == all_tasks, "all that the zone had runs elsewhere"


async def test_every_connection_may_bring_a_report_at_once() -> None:
    own = fleet_settings()
    sockets = own.cluster.quota.max_connections
    assert int(sockets * USERS_SHARE) >= MACHINES
    assert Fleet().leader.inbox_size >= sockets


async def test_a_controller_remembers_the_way_round_of_every_worker() -> None:
    own = fleet_settings()
    client = StateClient(own)
    handler = ReportHandler(own, Leadership(own, client, View(client, own)), {})
    link = PeerLink(Peer("n1", "10.0.0.2:81"))
    reports = [msgspec.structs.replace(worker.report(), epoch=1) for worker in map(ScriptedWorker, range(2 * MACHINES))]
    assert all(handler._relay_for(report, link, 1.0) is None for report in reports)
    assert all(handler._relay_for(report, link, 2.0) is not None for report in reports), "each came back"


async def test_deleted_machines_and_cancellations_of_a_whole_fleet_are_remembered() -> None:
    fleet = Fleet()
    scheduler = fleet.leader.scheduler
    for worker in fleet.workers:
        scheduler.forget(worker.host, 1.0)
    for number in range(MACHINES, 2 * MACHINES):
        scheduler.forget(f"i-{number:06d}", 1.0)
    fleet.report_all()
    assert not scheduler.machines, "a late report of any of them counts for nothing"
    for number in range(2 * MACHINES):
        scheduler.cancelled(f"req-{number:06}", 1.0, 1.0)
    assert len(scheduler.heard) == 2 * MACHINES


async def test_lists_of_a_large_fleet_leave_the_cloud_free_for_rentals(monkeypatch: pytest.MonkeyPatch) -> None:
    own = fleet_settings()
    cloud = Cloud(own)
    calls = 0

    async def listed(self: Cloud) -> list[Listed]:
        nonlocal calls
        calls += MACHINES // LIST_MOST + 1
        return [Listed(f"i-{n:06d}", "m4", "za", False, "running") for n in range(MACHINES)]

    monkeypatch.setattr(Cloud, "list", listed)
    leader = Fleet().leader
    leader.cloud_tasks.cloud = cloud
    send, receive = trio.open_memory_channel[Message](100)
    leader.cloud_tasks.inbox = send
    with trio.move_on_after(120.0):
        await leader.cloud_tasks.list_machines()
    assert calls <= own.cluster.cloud.rps * 120.0 / 3 + MACHINES // LIST_MOST + 1
    assert isinstance(receive.receive_nowait(), MachinesListed)
