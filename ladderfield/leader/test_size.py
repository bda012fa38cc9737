"""Hundreds of machines: a pass costs what changed, not what there is. Counted, not timed."""

from __future__ import annotations

import msgspec
import pytest

from ladderfield.connectivity.prober import WorkerProber
from ladderfield.connectivity.reachability import Reachability
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.peers import back_most
from ladderfield.queues.pick import Queues
from ladderfield.server import USERS_SHARE
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing import settings
from ladderfield.testing.leader import SchedulerHarness
from ladderfield.view import View
from ladderfield.workers.machine import Machine

MACHINES = 400
KEPT = 4  # connections that the clients of the state service and the cloud keep, each


def crowd(monkeypatch: pytest.MonkeyPatch, jobs: int) -> tuple[SchedulerHarness, dict[str, int]]:
    """All machines full, thousands of tasks queued; and what a pass looks at."""
    harness = SchedulerHarness()
    for number in range(jobs):
        harness.submit(f"req-{number:06}", owner="blue", rungs=100, bundle=f"img-{number % 10}", cores=2.0)
    for host in range(MACHINES):
        harness.report(f"m{host:03}")
    while harness.scheduler.changed:
        harness.scheduler.schedule(1.5)
    harness.record()
    looked = {"room": 0, "queues": 0}
    has_room, pick = Machine.has_room, Queues._pick

    def counted_room(self: Machine, spec: object) -> bool:
        looked["room"] += 1
        return has_room(self, spec)  # type: ignore[arg-type]

    def counted_pick(*arguments: object) -> object:
        looked["queues"] += 1
        return pick(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(Machine, "has_room", counted_room)
    monkeypatch.setattr(Queues, "_pick", staticmethod(counted_pick))
    return harness, looked


def test_a_pass_looks_at_the_machines_that_became_free(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, looked = crowd(monkeypatch, 40)
    free = [harness.machine(f"m{number:03}") for number in range(5)]
    for machine in free:
        for claim in list(machine.claims.values()):
            harness.scheduler.end(claim, True, 2.0)
    assert harness.scheduler.schedule(2.0) == 10
    assert looked["queues"] < 100 and looked["room"] < 1000, looked


def test_a_pass_with_nothing_free_looks_at_no_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, looked = crowd(monkeypatch, 40)
    harness.scheduler.schedule(2.0)
    assert looked == {"room": 0, "queues": 0}


@pytest.mark.parametrize(
    ("sockets", "peers", "machines"),
    [(1648, 4, 930), (1935, 2, 902), (1200, 2, 48), (1500, 2, 72), (900, 4, 444)],
)
async def test_sockets_suffice_for_the_fleet_the_users_and_the_other_controllers(
    sockets: int, peers: int, machines: int
) -> None:
    """One leader holds every worker's connection; no other use may take a worker's or a user's socket."""
    own = settings()
    quota = msgspec.structs.replace(own.cluster.quota, max_connections=sockets)
    own = msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, quota=quota))
    client = StateClient(own)
    term = Term(7, 3, 1, 0.0, 2.0, 17.0, 0.0)
    leader = Leader(own, term, client, View(client, own), Cloud(own), DependencyGraph(lambda key: None))
    front, back = int(sockets * USERS_SHARE), back_most(sockets)
    assert machines + 100 <= front, "workers, and users beside them"
    assert back // peers >= 16, "relays"
    outward = leader.dispatcher.most_kept + leader.dispatcher.most_pushes + back // peers * peers
    outward += WorkerProber(own, View(client, own), Reachability(1.0, 1.0, 1), enabled=True).most
    assert front + back + outward + 2 * KEPT + 2 <= sockets
    assert leader.inbox_size >= machines, "a whole fleet reports at once after a takeover"


def test_large_jobs_begin_and_go_on_while_small_ones_keep_coming() -> None:
    """Least work first alone would let a large job wait for ever, and rank a low one: part of the room goes by age."""
    harness = SchedulerHarness()
    for host in range(10):
        harness.report(f"m{host}")
    harness.submit("req-000001", owner="blue", rungs=300, rank="best_effort", expectS=30.0)
    begun = None
    for step in range(150):
        now = 2.0 + 2.0 * step
        for number in range(5):  # 20 tasks of 4 s each: all that ten machines can do in 2 s, twice over
            harness.submit(f"req-{step * 5 + number + 100:06}", owner="blue", rungs=8, expectS=4.0)
        for host in range(10):
            harness.report(f"m{host}", now=now)
        harness.record()
        harness.scheduler.schedule(now)
        large = harness.scheduler.jobs["req-000001"]
        if large.claims and begun is None:
            begun = now
        for machine in harness.scheduler.machines.values():
            for claim in list(machine.claims.values()):
                harness.scheduler.end(claim, True, now)
    assert begun is not None and begun < 240
    assert large.done > 20, "and it goes on"


def test_what_runs_on_for_long_does_not_use_up_the_room_that_goes_by_age() -> None:
    """days/lasting-overload-cascade: large jobs began after seven minutes.

    Old jobs that ran in their turn held a quarter of the cpus.
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
    harness.scheduler.jobs["req-000004"].at = 129.0
    harness.scheduler.schedule(130.0)
    assert harness.scheduler.jobs["req-000002"].claims and harness.scheduler.jobs["req-000001"].claims
    for claim in list(harness.scheduler.jobs["req-000002"].claims.values())[:1]:
        harness.scheduler.end(claim, True, 131.0)
    harness.scheduler.schedule(131.0)
    assert harness.scheduler.jobs["req-000003"].claims, "what has not begun comes first"
