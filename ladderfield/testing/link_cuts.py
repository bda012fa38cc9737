"""Generated scenarios of link failures between one controller and its peers, services and workers.

A scenario blocks one or two links of one controller in one direction for a time, and may kill or isolate another
controller meanwhile. Users submit, cancel and poll at all controllers. Afterwards the history of runs and answers is
checked (``testing/history.py``).
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Protocol

import pytest
import trio

from ladderfield.connectivity.options import ReachOptions
from ladderfield.http import NoAnswerError
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.history import FINAL_PHASES, Answer, Run, Violation, find_violations
from ladderfield.testing.network import ALL_WORKERS, Link
from ladderfield.testing.samples import SETTINGS, job
from ladderfield.testing.worker import Worker

WORKERS = SETTINGS["cluster"]["workers"]
REPORT_S, LEASE_S, CANCEL_S = WORKERS["report_s"], WORKERS["lease_s"], WORKERS["cancel_s"]
STATE, CLOUD, USERS = "10.2.0.1", "10.2.0.2", ""
ROLES = ("leader", "follower")
LINKS = ("state", "cloud", "to peers", "from peers", "reports of za", "reports of zb", "orders to za", "orders to zb")
MODES = ("silent", "refused")
DURATIONS = (
    0.5 * LEASE_S,
    1.5 * LEASE_S,
    1.2 * CANCEL_S,
)  # within a lease; longer than lease and grace; longer than cancel_s
CONTROLLERS = 3
SETTLE_S = 45.0  # after the cut: longer than grace period, lease and an election together
LATE_START_S = 2 * REPORT_S  # an order may be in flight when a cancellation is confirmed
POLL_INTERVAL_S = 1.7
OTHER_FAILURES = ("killed", "isolated")
OTHER_FAILURE_S = 0.7 * LEASE_S  # then it is restarted, or its links heal
BY_REACH = ReachOptions(minimum_term_s=LEASE_S, candidacy_delay_s=2 * REPORT_S)


@dataclass(frozen=True)
class Scenario:
    """Which links of which controller are cut, how and for how long."""

    role: str
    links: tuple[str, ...]
    mode: str
    duration_s: float
    other_failure: str = "healthy"  # state of another controller meanwhile
    by_reach: bool = False

    def __str__(self) -> str:
        """The scenario's name in test ids."""
        name = f"{self.role}: {' and '.join(self.links)}, {self.mode}, {self.duration_s:.0f} s"
        name += "" if self.other_failure == "healthy" else f", another {self.other_failure}"
        return name + (", by reach" if self.by_reach else "")


def scenarios() -> Iterator[Scenario]:
    """Every single link, then every pair, for each role, mode and duration."""
    for count in (1, 2):
        for links in itertools.combinations(LINKS, count):
            for role, mode, duration_s in itertools.product(ROLES, MODES, DURATIONS):
                yield Scenario(role, links, mode, duration_s)


def further_scenarios() -> Iterator[Scenario]:
    """All scenarios with leadership by reach, and single links with a second failed controller, with and without it."""
    for scenario in scenarios():
        yield replace(scenario, by_reach=True)
    for scenario in scenarios():
        if len(scenario.links) == 1:
            for other_failure, by_reach in itertools.product(OTHER_FAILURES, (False, True)):
                yield replace(scenario, other_failure=other_failure, by_reach=by_reach)


def sample(count: int, seed: int, population: Iterable[Scenario] | None = None) -> list[Scenario]:
    """A reproducible sample of scenarios."""
    return random.Random(seed).sample(list(scenarios() if population is None else population), count)


def controller_host(number: int) -> str:
    """Host of a controller."""
    return f"10.0.0.{number + 1}"


def links_of(cluster: Cluster, number: int, name: str) -> set[Link]:
    """The links of a controller with this name, one of ``LINKS``."""
    own = controller_host(number)
    others = [controller_host(other) for other in range(CONTROLLERS) if other != number]
    zone = [worker.address for worker in cluster.cloud.workers.values() if worker.report_fields["yard"] == name[-2:]]
    if name in ("state", "cloud"):
        return {Link(own, STATE if name == "state" else CLOUD)}
    if name == "to peers":
        return {Link(own, other) for other in others}
    if name == "from peers":
        return {Link(other, own) for other in others}
    if name.startswith("reports"):
        return {Link(worker, own) for worker in zone}
    return {Link(own, worker) for worker in zone}


def all_links(number: int) -> set[Link]:
    """All links of a controller, in both directions."""
    own, others = controller_host(number), [controller_host(other) for other in range(CONTROLLERS) if other != number]
    ends = [STATE, CLOUD, ALL_WORKERS, USERS, *others]
    return {Link(own, end) for end in ends} | {Link(end, own) for end in ends}


def worker_links(number: int) -> set[Link]:
    """All links between a controller and workers, including workers that boot later."""
    return {Link(controller_host(number), ALL_WORKERS), Link(ALL_WORKERS, controller_host(number))}


async def fail_controller(cluster: Cluster, number: int, failure: str, duration_s: float) -> None:
    """Kill a controller and restart it later, or cut all its links for that long."""
    if failure == "killed":
        cluster.crash(number)
        await trio.sleep(duration_s)
        cluster.start(number)
        return
    links = all_links(number)
    cluster.net.silent.update(links)
    await trio.sleep(duration_s)
    cluster.net.heal(links)


class JobsCluster(Protocol):
    """A cluster that serves the jobs API, in memory or over real sockets."""

    jobs: dict[str, dict[str, Any]]

    async def call(self, node: int, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """Send a user's request to a controller."""


class Users:
    """Submits, cancels and polls at all controllers, and keeps every answer."""

    def __init__(self, cluster: JobsCluster) -> None:
        self.cluster = cluster
        self.answers: list[Answer] = []
        self.cancelled: set[str] = set()
        self._numbers = itertools.count(1)

    async def ask(self, node: int, uid: str, verb: str) -> Answer | None:
        """Send one request; None if there was no answer."""
        asked_at = trio.current_time()
        spec = self.cluster.jobs[uid]
        path = "/api/jobs" + ("" if verb == "submit" else f"/{uid}" + ("/cancel" if verb == "cancel" else ""))
        method = "GET" if verb == "ask" else "POST"
        try:
            status, body = await self.cluster.call(node, method, path, spec if verb == "submit" else None)
        except (NoAnswerError, OSError):
            return None
        answer = Answer(uid, asked_at, trio.current_time(), status, str(body.get("phase", "")))
        self.answers.append(answer)
        return answer

    async def request_until_accepted(self, uid: str, verb: str) -> bool:
        """Retry a request at each controller in turn for about a minute, until it succeeds."""
        for attempt in range(40):
            answer = await self.ask(attempt % CONTROLLERS, uid, verb)
            if answer is not None and answer.status in (200, 201):
                return True
            await trio.sleep(1.5)
        return False

    async def submit(self, **changes: object) -> str:
        """Submit a new job and assert that it is accepted."""
        uid = f"req-{next(self._numbers):06d}"
        self.cluster.jobs[uid] = job(uid, **changes)
        assert await self.request_until_accepted(uid, "submit"), f"{uid} is not accepted"
        return uid

    async def cancel(self, uid: str) -> None:
        """Cancel a job and assert that this is accepted."""
        self.cancelled.add(uid)
        assert await self.request_until_accepted(uid, "cancel"), f"{uid} can't be cancelled"

    async def is_final(self, uid: str) -> bool:
        """Whether a controller reports a final phase for the job."""
        answer = await self.ask(0, uid, "ask")
        return answer is not None and answer.phase in FINAL_PHASES

    async def poll_jobs(self) -> None:
        """Poll every job at every controller, forever."""
        while True:
            for uid in list(self.cluster.jobs):
                for node in range(CONTROLLERS):
                    await self.ask(node, uid, "ask")
            await trio.sleep(POLL_INTERVAL_S)


def task_runs(workers: Iterable[Worker]) -> list[Run]:
    """Every attempt that the workers ran."""
    result = []
    for worker in workers:
        worker.active_tasks()
        ends = {(name, attempt): at for at, name, attempt in worker.ended}
        for at, name, attempt in worker.started:
            result.append(
                Run(name, str(worker.report_fields["host"]), attempt, at, ends.get((name, attempt), float("inf")))
            )
    return result


async def run_scenario(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> list[Violation]:
    """Run one scenario; returns its violations."""
    async with cluster(monkeypatch, reach_options=BY_REACH if scenario.by_reach else None) as running:
        running.run_s = 6.0
        users = Users(running)
        service = await users.submit(shape="daemon", rungs=2, owner="blue")
        to_cancel = await users.submit(shape="daemon", rungs=2, owner="blue")
        arrays = [await users.submit(rungs=4, owner="blue") for _ in range(2)]
        await trio.sleep(3 * REPORT_S)
        if scenario.by_reach:
            await trio.sleep(LEASE_S)  # the minimum time before a leader may resign
        number = running.leader()
        if scenario.role == "follower":
            number = (number + 1) % CONTROLLERS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(users.poll_jobs)
            links = set[Link]().union(*(links_of(running, number, name) for name in scenario.links))
            (running.net.silent if scenario.mode == "silent" else running.net.refused).update(links)
            if scenario.other_failure != "healthy":
                another = next(other for other in sorted(running.controllers, reverse=True) if other != number)
                nursery.start_soon(fail_controller, running, another, scenario.other_failure, OTHER_FAILURE_S)
            nursery.start_soon(users.cancel, to_cancel)
            arrays.append(await users.submit(rungs=3, owner="blue"))
            await trio.sleep(scenario.duration_s)
            running.net.heal(links)
            arrays.append(await users.submit(rungs=3, owner="blue"))
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        found = find_violations(task_runs(running.cloud.workers.values()), users.answers, CANCEL_S, LATE_START_S)
        found += [Violation("not_served", uid) for uid in arrays if await running.phase(0, uid) != "done"]
        if sum(name.startswith(service) for name in running.active_tasks()) != 2:
            found.append(Violation("not_served", f"{service}: {sorted(running.active_tasks())}"))
        return found
