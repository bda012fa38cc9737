"""Cuts of single links between a controller and everything else, generated, and what users do meanwhile.

A scenario blocks one or two links of one controller, in one direction, for a time, and may kill or hold another one
meanwhile; users submit, cancel, ask and wait at all controllers. Afterwards the history of runs and answers is judged
(``testing/history.py``).
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
from ladderfield.testing.history import FINAL, Fault, Run, Told, faults
from ladderfield.testing.network import WORKERS as WORKERS_ALL
from ladderfield.testing.network import Link
from ladderfield.testing.samples import SETTINGS, job
from ladderfield.testing.worker import Worker

WORKERS = SETTINGS["cluster"]["workers"]
REPORT_S, LEASE_S, CANCEL_S = WORKERS["report_s"], WORKERS["lease_s"], WORKERS["cancel_s"]
STATE, CLOUD, USERS = "10.2.0.1", "10.2.0.2", ""
ROLES = ("leader", "follower")
LINKS = ("state", "cloud", "to peers", "from peers", "reports of za", "reports of zb", "orders to za", "orders to zb")
MODES = ("silent", "refused")
DURATIONS = (0.5 * LEASE_S, 1.5 * LEASE_S, 1.2 * CANCEL_S)  # within a lease; beyond it and grace; beyond cancel_s
CONTROLLERS = 3
SETTLE_S = 45.0  # after the cut: more than grace, lease and an election
LATE_START_S = 2 * REPORT_S  # an order that was under way when a cancellation was confirmed
ASK_EVERY_S = 1.7
OTHERS = ("killed", "held")
OTHER_AWAY_S = 0.7 * LEASE_S  # a killed one is back then, and a held one goes on
BY_REACH = ReachOptions(minimum_term_s=LEASE_S, candidacy_delay_s=2 * REPORT_S)


@dataclass(frozen=True)
class Scenario:
    """What is cut, for whom and for how long."""

    role: str
    links: tuple[str, ...]
    mode: str
    for_s: float
    other: str = "well"  # what becomes of another controller meanwhile
    by_reach: bool = False

    def __str__(self) -> str:
        """Its name in a test's id."""
        name = f"{self.role}: {' and '.join(self.links)}, {self.mode}, {self.for_s:.0f} s"
        name += "" if self.other == "well" else f", another {self.other}"
        return name + (", by reach" if self.by_reach else "")


def scenarios() -> Iterator[Scenario]:
    """Every single link, then every pair, of either role, in each mode, for each duration."""
    for count in (1, 2):
        for links in itertools.combinations(LINKS, count):
            for role, mode, for_s in itertools.product(ROLES, MODES, DURATIONS):
                yield Scenario(role, links, mode, for_s)


def further_scenarios() -> Iterator[Scenario]:
    """The same with leadership by reach; and single links while a second controller fails, with it and without."""
    for scenario in scenarios():
        yield replace(scenario, by_reach=True)
    for scenario in scenarios():
        if len(scenario.links) == 1:
            for other, by_reach in itertools.product(OTHERS, (False, True)):
                yield replace(scenario, other=other, by_reach=by_reach)


def sample(count: int, seed: int, among: Iterable[Scenario] | None = None) -> list[Scenario]:
    """Some of them."""
    return random.Random(seed).sample(list(scenarios() if among is None else among), count)


def address(number: int) -> str:
    """A controller's host."""
    return f"10.0.0.{number + 1}"


def blocked(whole: Cluster, number: int, name: str) -> set[Link]:
    """The links of a controller that a name stands for."""
    mine = address(number)
    others = [address(other) for other in range(CONTROLLERS) if other != number]
    zone = [one.address for one in whole.cloud.workers.values() if one.about["yard"] == name[-2:]]
    if name in ("state", "cloud"):
        return {Link(mine, STATE if name == "state" else CLOUD)}
    if name == "to peers":
        return {Link(mine, other) for other in others}
    if name == "from peers":
        return {Link(other, mine) for other in others}
    if name.startswith("reports"):
        return {Link(worker, mine) for worker in zone}
    return {Link(mine, worker) for worker in zone}


def everything(number: int) -> set[Link]:
    """All links of a controller, in both directions."""
    mine, others = address(number), [address(other) for other in range(CONTROLLERS) if other != number]
    ends = [STATE, CLOUD, WORKERS_ALL, USERS, *others]
    return {Link(mine, end) for end in ends} | {Link(end, mine) for end in ends}


def without_workers(number: int) -> set[Link]:
    """All links between a controller and workers, those that boot later too."""
    return {Link(address(number), WORKERS_ALL), Link(WORKERS_ALL, address(number))}


async def fail(whole: Cluster, number: int, how: str, away_s: float) -> None:
    """A controller is killed and started again, or stands behind links that hold everything; bounded in time."""
    if how == "killed":
        whole.crash(number)
        await trio.sleep(away_s)
        whole.start(number)
        return
    links = everything(number)
    whole.net.silent.update(links)
    await trio.sleep(away_s)
    whole.net.mend(links)


class Served(Protocol):
    """A cluster that users can ask, in memory or over real sockets."""

    jobs: dict[str, dict[str, Any]]

    async def call(self, node: int, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """A user's request at a controller."""


class Users:
    """Submit, cancel and ask at all controllers, and keep every answer."""

    def __init__(self, whole: Served) -> None:
        self.whole = whole
        self.told: list[Told] = []
        self.cancelled: set[str] = set()
        self._numbers = itertools.count(1)

    async def ask(self, node: int, uid: str, verb: str) -> Told | None:
        """One request; None if no answer came."""
        asked = trio.current_time()
        spec = self.whole.jobs[uid]
        path = "/api/jobs" + ("" if verb == "submit" else f"/{uid}" + ("/cancel" if verb == "cancel" else ""))
        method = "GET" if verb == "ask" else "POST"
        try:
            status, answer = await self.whole.call(node, method, path, spec if verb == "submit" else None)
        except (NoAnswerError, OSError):
            return None
        told = Told(uid, asked, trio.current_time(), status, str(answer.get("phase", "")))
        self.told.append(told)
        return told

    async def insist(self, uid: str, verb: str) -> bool:
        """Repeat a request at one controller after the other, as users do for a minute."""
        for attempt in range(40):
            told = await self.ask(attempt % CONTROLLERS, uid, verb)
            if told is not None and told.status in (200, 201):
                return True
            await trio.sleep(1.5)
        return False

    async def submit(self, **changes: object) -> str:
        """A new job that has to be accepted."""
        uid = f"req-{next(self._numbers):06d}"
        self.whole.jobs[uid] = job(uid, **changes)
        assert await self.insist(uid, "submit"), f"{uid} is not accepted"
        return uid

    async def cancel(self, uid: str) -> None:
        """Call a job off."""
        self.cancelled.add(uid)
        assert await self.insist(uid, "cancel"), f"{uid} can't be cancelled"

    async def ended(self, uid: str) -> bool:
        """Whether a controller says that a job is over."""
        told = await self.ask(0, uid, "ask")
        return told is not None and told.phase in FINAL

    async def look(self) -> None:
        """Ask about every job at every controller, for ever."""
        while True:
            for uid in list(self.whole.jobs):
                for node in range(CONTROLLERS):
                    await self.ask(node, uid, "ask")
            await trio.sleep(ASK_EVERY_S)


def runs(workers: Iterable[Worker]) -> list[Run]:
    """What all machines ran."""
    result = []
    for worker in workers:
        worker.on()
        ends = {(name, attempt): at for at, name, attempt in worker.ended}
        for at, name, attempt in worker.log:
            result.append(Run(name, str(worker.about["host"]), attempt, at, ends.get((name, attempt), float("inf"))))
    return result


async def play(monkeypatch: pytest.MonkeyPatch, scenario: Scenario) -> list[Fault]:
    """Play one scenario; what was wrong with it."""
    async with cluster(monkeypatch, reach_options=BY_REACH if scenario.by_reach else None) as whole:
        whole.run_s = 6.0
        users = Users(whole)
        service = await users.submit(shape="daemon", rungs=2, owner="blue")
        doomed = await users.submit(shape="daemon", rungs=2, owner="blue")
        arrays = [await users.submit(rungs=4, owner="blue") for _ in range(2)]
        await trio.sleep(3 * REPORT_S)
        if scenario.by_reach:
            await trio.sleep(LEASE_S)  # a leader is old enough to resign
        number = whole.leader()
        if scenario.role == "follower":
            number = (number + 1) % CONTROLLERS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(users.look)
            links = set[Link]().union(*(blocked(whole, number, name) for name in scenario.links))
            (whole.net.silent if scenario.mode == "silent" else whole.net.refused).update(links)
            if scenario.other != "well":
                another = next(other for other in sorted(whole.controllers, reverse=True) if other != number)
                nursery.start_soon(fail, whole, another, scenario.other, OTHER_AWAY_S)
            nursery.start_soon(users.cancel, doomed)
            arrays.append(await users.submit(rungs=3, owner="blue"))
            await trio.sleep(scenario.for_s)
            whole.net.mend(links)
            arrays.append(await users.submit(rungs=3, owner="blue"))
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        found = faults(runs(whole.cloud.workers.values()), users.told, CANCEL_S, LATE_START_S)
        found += [Fault("not_served", uid) for uid in arrays if await whole.phase(0, uid) != "done"]
        if sum(name.startswith(service) for name in whole.on()) != 2:
            found.append(Fault("not_served", f"{service}: {sorted(whole.on())}"))
        return found
