"""Hundreds of machines: the cost of a pass grows with what changed, not with the fleet. Counted, not timed."""

from __future__ import annotations

import msgspec
import pytest

from ladderfield.connectivity.prober import WorkerProber
from ladderfield.connectivity.reachability import Reachability
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.peers import max_back_connections
from ladderfield.queues.pick import Queues
from ladderfield.server import USER_CONNECTIONS_SHARE
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing import settings
from ladderfield.testing.leader import SchedulerHarness
from ladderfield.view import View
from ladderfield.workers.machine import Machine

MACHINES = 400
KEPT_CONNECTIONS = 4  # idle connections of the state service client and of the cloud client, each


def full_fleet(monkeypatch: pytest.MonkeyPatch, jobs: int) -> tuple[SchedulerHarness, dict[str, int]]:
    """A harness with all machines full and thousands of tasks queued, and counters of the checks that a pass makes."""
    harness = SchedulerHarness()
    for number in range(jobs):
        harness.submit(f"req-{number:06}", owner="blue", rungs=100, bundle=f"img-{number % 10}", cores=2.0)
    for host in range(MACHINES):
        harness.report(f"m{host:03}")
    while harness.scheduler.changed:
        harness.scheduler.schedule(1.5)
    harness.write_records()
    checks = {"room": 0, "queues": 0}
    has_room, pick = Machine.has_room, Queues._pick

    def counted_room(self: Machine, spec: object) -> bool:
        checks["room"] += 1
        return has_room(self, spec)  # type: ignore[arg-type]

    def counted_pick(*arguments: object) -> object:
        checks["queues"] += 1
        return pick(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(Machine, "has_room", counted_room)
    monkeypatch.setattr(Queues, "_pick", staticmethod(counted_pick))
    return harness, checks


def test_a_pass_costs_only_what_the_freed_machines_need(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, checks = full_fleet(monkeypatch, 40)
    free = [harness.machine(f"m{number:03}") for number in range(5)]
    for machine in free:
        for claim in list(machine.claims.values()):
            harness.scheduler.end(claim, True, 2.0)
    assert harness.scheduler.schedule(2.0) == 10
    assert checks["queues"] < 100 and checks["room"] < 1000, checks


def test_a_pass_without_free_machines_checks_no_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, checks = full_fleet(monkeypatch, 40)
    harness.scheduler.schedule(2.0)
    assert checks == {"room": 0, "queues": 0}


@pytest.mark.parametrize(
    ("sockets", "peers", "machines"),
    [(1648, 4, 930), (1935, 2, 902), (1200, 2, 48), (1500, 2, 72), (900, 4, 444)],
)
async def test_sockets_suffice_for_workers_users_and_peers(sockets: int, peers: int, machines: int) -> None:
    """The leader holds a connection of every worker; other uses must not take sockets from workers or users."""
    own = settings()
    quota = msgspec.structs.replace(own.cluster.quota, max_connections=sockets)
    own = msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, quota=quota))
    client = StateClient(own)
    term = Term(7, 3, 1, 0.0, 2.0, 17.0, 0.0)
    leader = Leader(own, term, client, View(client, own), Cloud(own), DependencyGraph(lambda key: None))
    worker_sockets, peer_sockets = int(sockets * USER_CONNECTIONS_SHARE), max_back_connections(sockets)
    assert machines + 100 <= worker_sockets, "workers and 100 users"
    assert peer_sockets // peers >= 16, "connections to relay reports to each peer"
    outgoing = leader.dispatcher.max_kept_connections + leader.dispatcher.max_pushes + peer_sockets // peers * peers
    outgoing += WorkerProber(own, View(client, own), Reachability(1.0, 1.0, 1), enabled=True).max_probes
    assert worker_sockets + peer_sockets + outgoing + 2 * KEPT_CONNECTIONS + 2 <= sockets
    assert leader.inbox_size >= machines, "the whole fleet may report at once after a takeover"


def test_large_jobs_start_and_progress_while_small_ones_keep_coming() -> None:
    """The least-work order starves large jobs, and rank order starves low ranks: a share of the cpus goes by age."""
    harness = SchedulerHarness()
    for host in range(10):
        harness.report(f"m{host}")
    harness.submit("req-000001", owner="blue", rungs=300, rank="best_effort", expectS=30.0)
    started_at = None
    for step in range(150):
        now = 2.0 + 2.0 * step
        for number in range(5):  # 40 tasks: twice what ten machines run in a step
            harness.submit(f"req-{step * 5 + number + 100:06}", owner="blue", rungs=8, expectS=4.0)
        for host in range(10):
            harness.report(f"m{host}", now=now)
        harness.write_records()
        harness.scheduler.schedule(now)
        large = harness.scheduler.jobs["req-000001"]
        if large.claims and started_at is None:
            started_at = now
        for machine in harness.scheduler.machines.values():
            for claim in list(machine.claims.values()):
                harness.scheduler.end(claim, True, now)
    assert started_at is not None and started_at < 240
    assert large.done > 20, "it keeps progressing"


def test_long_running_old_jobs_do_not_use_up_the_share_of_old_jobs() -> None:
    """Old jobs that had started in the ordinary order counted against the share of old jobs.

    They held a quarter of the cpus, and under lasting overload large jobs started only after seven minutes.
    """
    harness = SchedulerHarness()
    for host in range(10):
        harness.report(f"m{host}")
    harness.submit("req-000001", owner="blue", rungs=18, expectS=500.0)
    harness.scheduler.schedule(1.5)
    harness.submit("req-000002", owner="blue", rungs=300, rank="best_effort")
    harness.submit("req-000003", owner="blue", rungs=300, rank="best_effort")
    for host in range(10):
        harness.report(f"m{host}", now=130.0)
    harness.submit("req-000004", owner="blue", rungs=30)
    harness.scheduler.jobs["req-000004"].accepted_at = 129.0
    harness.scheduler.schedule(130.0)
    assert harness.scheduler.jobs["req-000002"].claims and harness.scheduler.jobs["req-000001"].claims
    for claim in list(harness.scheduler.jobs["req-000002"].claims.values())[:1]:
        harness.scheduler.end(claim, True, 131.0)
    harness.scheduler.schedule(131.0)
    assert harness.scheduler.jobs["req-000003"].claims, "jobs that have not started come first"
