"""A whole cluster for the tests, with levers for what goes wrong.

Three controllers, scripted state service, cloud and workers. Two rules are looked at all the time: no task on two
machines, no team over its limit.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
import trio
from trio.lowlevel import in_trio_run

from ladderfield.connectivity.options import ReachOptions
from ladderfield.http import Client, NoAnswerError, Server
from ladderfield.peers import BackServer, PeerLink
from ladderfield.server import Controller
from ladderfield.testing import CloudService, Network, StateService, Worker, job, settings
from ladderfield.testing.network import origin
from ladderfield.zones.options import ZoneOptions


class Cluster:
    """The whole, with levers for what goes wrong."""

    def __init__(
        self,
        nursery: trio.Nursery,
        zone_options: ZoneOptions | None = None,
        reach_options: ReachOptions | None = None,
    ) -> None:
        self.nursery, self.zone_options, self.reach_options = nursery, zone_options, reach_options
        self.net = Network(nursery)
        self.state = StateService()
        self.cloud = CloudService(self._boot)
        self.scopes: dict[int, trio.CancelScope] = {}
        self.controllers: dict[int, Controller] = {}
        self.net.http("10.2.0.1:23", self.state)
        self.net.http("10.2.0.2:84", self.cloud)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.limit = 16.0
        self.cut_zones: set[str] = set()  # machines that come up there can't be reached
        self.run_s = 5.0  # how long a task runs on machines that come up from now on
        nursery.start_soon(self.state.run)
        nursery.start_soon(self._watch_rules)

    def _boot(self, host: str, hire: dict[str, Any]) -> Worker:
        at = f"10.9.0.{len(self.cloud.workers)}"
        nodes = [f"10.0.0.{n + 1}:80" for n in range(3)]
        worker = Worker(host, at, self.net, nodes, yard=hire["yard"], loaners=hire["loaners"])
        worker.run_s = self.run_s
        worker.endless = lambda uid: self.jobs[uid]["shape"] == "daemon"
        if hire["yard"] in self.cut_zones:
            self.net.cut.add(at)
        self.net.http(f"{at}:90", worker)
        self.nursery.start_soon(worker.run)
        return worker

    def start(self, number: int) -> None:
        """Start a controller's process."""
        self.nursery.start_soon(self._run, number)

    async def _run(self, number: int) -> None:
        own = settings(number)
        origin.set(own.bind.partition(":")[0])
        with trio.CancelScope() as scope:
            self.scopes[number] = scope
            controller = self.controllers[number] = Controller(own, self.zone_options, self.reach_options)
            self.net.listen(own.bind, Server(controller.handle, 500, 5.0, 60.0))
            self.net.listen(own.back, BackServer(controller.handle_back, 20, 60.0, 5.0))
            await controller.run()

    def crash(self, number: int) -> None:
        """End a controller's process with no warning."""
        own = settings(number)
        for text in (own.bind, own.back):
            self.net.close(text)
        self.scopes[number].cancel()
        del self.controllers[number]

    def leader(self) -> int:
        """Which controller takes reports now."""
        holders = [n for n, one in self.controllers.items() if one.reports.inbox is not None]
        assert holders, "no leader"
        return max(holders, key=lambda n: self.controllers[n].leadership.term.epoch)  # type: ignore[union-attr]

    async def call(self, node: int, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """A user's request."""
        client = Client(f"10.0.0.{node + 1}", 80, max_idle=0)
        status, data = await client.call(method, path, body, 5.0)
        return status, msgspec.json.decode(data)

    async def submit(self, node: int = 0, **changes: Any) -> str:
        """Submit a job that has to be accepted."""
        spec = job(**changes)
        self.jobs[spec["uid"]] = spec
        status, _ = await self.call(node, "POST", "/api/jobs", spec)
        assert status == 201
        return str(spec["uid"])

    async def phase(self, node: int, uid: str) -> str:
        """What a poll says."""
        status, answer = await self.call(node, "GET", f"/api/jobs/{uid}")
        return str(answer["phase"] if status == 200 else status)

    async def until(self, node: int, uid: str, phase: str, within: float) -> float:
        """Poll until a phase shows; how long it took."""
        begin = trio.current_time()
        while await self.phase(node, uid) != phase:
            assert trio.current_time() - begin < within, f"{uid} is not {phase} after {within} s"
            await trio.sleep(0.5)
        return trio.current_time() - begin

    def on(self) -> Counter[str]:
        """Tasks on all machines that exist."""
        return Counter(name for worker in self.cloud.workers.values() if not worker.dead for name in worker.on())

    async def busy(self, uid: str) -> Worker:
        """A worker that runs a task of the job, as soon as there is one."""
        for _ in range(200):
            for worker in self.cloud.workers.values():
                if any(name.startswith(f"{uid}/") for name in worker.on()):
                    return worker
            await trio.sleep(0.1)
        raise AssertionError(f"{uid} never ran")

    def starts(self, uid: str) -> list[tuple[float, str, int]]:
        """All starts of a job's tasks."""
        logs = [entry for worker in self.cloud.workers.values() for entry in worker.log]
        return sorted(entry for entry in logs if entry[1].startswith(f"{uid}/"))

    async def _watch_rules(self) -> None:
        while True:
            await trio.sleep(0.1)
            on = self.on()
            assert all(count == 1 for count in on.values()), f"ran_twice: {on}"
            used = sum(self.jobs[n.split("/")[0]]["cores"] for n in on if self.jobs[n.split("/")[0]]["owner"] == "red")
            assert used <= self.limit, f"quota: {used}"


@asynccontextmanager
async def cluster(
    monkeypatch: pytest.MonkeyPatch,
    nodes: int = 3,
    zone_options: ZoneOptions | None = None,
    reach_options: ReachOptions | None = None,
) -> AsyncIterator[Cluster]:
    """A running cluster."""
    async with trio.open_nursery() as nursery:
        whole = Cluster(nursery, zone_options, reach_options)
        # The time of day goes on with the fake clock, or else what is on record would seem to be long past.
        began, real = time.time() - trio.current_time(), time.time
        monkeypatch.setattr("time.time", lambda: began + trio.current_time() if in_trio_run() else real())
        monkeypatch.setattr("ladderfield.http.connect", whole.net.connect)
        monkeypatch.setattr("ladderfield.peers.connect", whole.net.connect)
        for number in range(nodes):
            whole.start(number)
        await trio.sleep(3)
        yield whole
        nursery.cancel_scope.cancel()


async def isolate(whole: Cluster, number: int) -> None:
    """A controller loses the state service and the other controllers, but not its workers."""

    async def silence(*_: Any, **__: Any) -> tuple[int, bytes]:
        await trio.sleep(1.0)
        raise NoAnswerError("cut off")

    alone = whole.controllers[number]
    for client in (alone.client._client, alone.client._watcher):
        client.call = silence  # type: ignore[method-assign]
    for link in alone.links.values():
        link.ask = silent_peer(link)  # type: ignore[method-assign]
    for other, one in whole.controllers.items():
        if other != number:
            link = one.links[f"n{number}"]
            link.ask = silent_peer(link)  # type: ignore[method-assign]


def silent_peer(link: PeerLink) -> Any:
    """Stands for ``PeerLink.ask`` where no answer comes."""

    async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> None:
        await trio.sleep(timeout)
        link.reachable = False

    return ask


def refuse(whole: Cluster, number: int) -> None:
    """The state service refuses one controller alone; its open watch waits, as in an outage."""

    async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
        await trio.sleep(0.01)
        return 503, b"{}"

    alone = whole.controllers[number]
    alone.client._client.call = alone.client._watcher.call = unavailable  # type: ignore[method-assign]
    if alone.view._restart is not None:
        alone.view._restart.cancel()
