"""A fleet of 4,000 machines: a takeover at which all of them report at once, a lost zone, and table bounds."""

from __future__ import annotations

import msgspec
import pytest
import trio

from ladderfield.fleet.cloud import MAX_LISTED_PER_CALL, Cloud, ListedMachine
from ladderfield.leader.messages import MachinesListed, Message
from ladderfield.leadership import Leadership
from ladderfield.peers import Peer, PeerLink
from ladderfield.server import USER_CONNECTIONS_SHARE
from ladderfield.state import StateClient
from ladderfield.testing.scripted_fleet import LEASE_S, ScriptedFleet, ScriptedWorker, fleet_settings
from ladderfield.view import View
from ladderfield.workers.report_handler import ReportHandler

MACHINES = 4000
SERVICES, ARRAYS, TASKS = 40, 20, 100


async def test_a_large_fleet_keeps_all_tasks_running_through_a_takeover_and_a_lost_zone() -> None:
    fleet = ScriptedFleet(MACHINES)
    fleet.report_all()
    for number in range(SERVICES):
        fleet.submit(f"req-{number:06}", shape="daemon", rank="production", rungs=4, expectS=0)
    for number in range(ARRAYS):
        fleet.submit(f"req-{number + 500:06}", rungs=TASKS)
    fleet.advance(8.0)
    all_tasks = SERVICES * 4 + ARRAYS * TASKS
    assert len(fleet.leader.scheduler.machines) == MACHINES
    assert len(fleet.running()) == all_tasks
    fleet.elect()
    assert sum(len(machine.claims) for machine in fleet.leader.scheduler.machines.values()) == all_tasks
    fleet.report_all()
    fleet.advance(4.0)
    assert len(fleet.running()) == all_tasks, "a takeover neither stops nor starts a task"
    fleet.cut("zc")
    fleet.advance(6.0)
    assert fleet.leader.scheduler.detector.cut_zones == {"zc"}
    fleet.advance(LEASE_S + 10.0)
    assert len(fleet.running()) == all_tasks, "all tasks of the lost zone run elsewhere"


async def test_the_inbox_holds_a_report_of_every_connection() -> None:
    own = fleet_settings(MACHINES)
    sockets = own.cluster.quota.max_connections
    assert int(sockets * USER_CONNECTIONS_SHARE) >= MACHINES
    assert ScriptedFleet(MACHINES).leader.inbox_size >= sockets


async def test_a_controller_remembers_the_relay_of_every_worker() -> None:
    own = fleet_settings(MACHINES)
    client = StateClient(own)
    handler = ReportHandler(own, Leadership(own, client, View(client, own)), {})
    link = PeerLink(Peer("n1", "10.0.0.2:81"))
    workers = [ScriptedWorker(f"i-{number:06d}", "za") for number in range(2 * MACHINES)]
    reports = [msgspec.structs.replace(worker.report(), epoch=1) for worker in workers]
    assert all(handler._relay_duration_s(report, link, 1.0) is None for report in reports)
    assert all(handler._relay_duration_s(report, link, 2.0) is not None for report in reports), (
        "each worker has come back from the leader"
    )


async def test_deleted_machines_and_cancellations_of_a_large_fleet_are_remembered() -> None:
    fleet = ScriptedFleet(MACHINES)
    scheduler = fleet.leader.scheduler
    for worker in fleet.workers:
        scheduler.forget(worker.host, 1.0)
    for number in range(MACHINES, 2 * MACHINES):
        scheduler.forget(f"i-{number:06d}", 1.0)
    fleet.report_all()
    assert not scheduler.machines, "late reports of deleted machines are ignored"
    for number in range(2 * MACHINES):
        scheduler.cancellation_reported(f"req-{number:06}", 1.0, 1.0)
    assert len(scheduler.reported_cancellations) == 2 * MACHINES


async def test_listing_a_large_fleet_leaves_cloud_calls_for_rentals(monkeypatch: pytest.MonkeyPatch) -> None:
    own = fleet_settings(MACHINES)
    cloud = Cloud(own)
    calls = 0

    async def listed(self: Cloud) -> list[ListedMachine]:
        nonlocal calls
        calls += MACHINES // MAX_LISTED_PER_CALL + 1
        return [ListedMachine(f"i-{n:06d}", "m4", "za", False, "running") for n in range(MACHINES)]

    monkeypatch.setattr(Cloud, "list", listed)
    leader = ScriptedFleet(MACHINES).leader
    leader.cloud_tasks.cloud = cloud
    send, receive = trio.open_memory_channel[Message](100)
    leader.cloud_tasks.inbox = send
    with trio.move_on_after(120.0):
        await leader.cloud_tasks.list_machines()
    assert calls <= own.cluster.cloud.rps * 120.0 / 3 + MACHINES // MAX_LISTED_PER_CALL + 1
    assert isinstance(receive.receive_nowait(), MachinesListed)
