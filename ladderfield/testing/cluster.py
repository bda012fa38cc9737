"""A complete in-memory cluster for the tests, with switches for failures.

It has three controllers and a scripted state service, cloud and workers. Three invariants are checked throughout and at
each start: no task runs on two machines, team red stays within its limit, and cancelled tasks end in time.
"""

from __future__ import annotations

import math
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
from ladderfield.http import Client, NoAnswerError
from ladderfield.peers import BackServer, PeerLink
from ladderfield.server import Controller
from ladderfield.testing import SETTINGS, CloudService, Network, StateService, Worker, job, settings
from ladderfield.testing.network import origin
from ladderfield.zones.options import ZoneOptions


class Cluster:
    """Controllers, services and workers on one in-memory network, with switches for failures."""

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
        self.cancel_scopes: dict[int, trio.CancelScope] = {}
        self.controllers: dict[int, Controller] = {}
        self.net.http("10.2.0.1:23", self.state)
        self.net.http("10.2.0.2:84", self.cloud)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.red_cpu_limit = 16.0
        self.cancelled_at: dict[str, float] = {}  # when a user was told that a job is cancelled
        self.violations: list[str] = []
        self.cut_zones: set[str] = set()  # machines that boot in these zones are unreachable
        self.run_s = 5.0  # run time of a task on machines that boot from now on
        nursery.start_soon(self.state.run)
        nursery.start_soon(self._check_invariants)

    def _boot(self, host: str, request: dict[str, Any]) -> Worker:
        address = f"10.9.0.{len(self.cloud.workers)}"
        nodes = [f"10.0.0.{number + 1}:80" for number in range(3)]
        fields = {name: request[name] for name in ("flavour", "yard", "loaners")}
        worker = Worker(host, address, self.net, nodes, **fields)
        worker.run_s = self.run_s
        worker.is_service = lambda uid: self.jobs[uid]["shape"] == "daemon"
        worker.on_start = self._check_running
        if request["yard"] in self.cut_zones:
            self.net.cut.add(address)
        self.net.http(f"{address}:90", worker)
        self.nursery.start_soon(worker.run)
        return worker

    def start(self, number: int) -> None:
        """Start a controller's process."""
        self.nursery.start_soon(self._run, number)

    async def _run(self, number: int) -> None:
        own = settings(number)
        origin.set(own.bind.partition(":")[0])
        with trio.CancelScope() as scope:
            self.cancel_scopes[number] = scope
            controller = self.controllers[number] = Controller(own, self.zone_options, self.reach_options)
            self.net.http(own.bind, controller.handle, max_connections=500)
            self.net.listen(own.back, BackServer(controller.handle_back, 20, 60.0, 5.0))
            await controller.run()

    def crash(self, number: int) -> None:
        """End a controller's process without warning."""
        own = settings(number)
        for address in (own.bind, own.back):
            self.net.close(address)
        self.cancel_scopes[number].cancel()
        del self.controllers[number]

    def leader(self) -> int:
        """Number of the controller that accepts reports; of several, the one with the highest epoch."""
        leaders = [number for number, controller in self.controllers.items() if controller.reports.inbox is not None]
        assert leaders, "no leader"
        return max(leaders, key=lambda number: self.controllers[number].leadership.term.epoch)  # type: ignore[union-attr]

    async def call(self, node: int, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """Send a user's request to a controller."""
        client = Client(f"10.0.0.{node + 1}", 80, max_idle=0)
        status, data = await client.call(method, path, body, 5.0)
        answer = msgspec.json.decode(data)
        if status == 200 and answer.get("phase") == "cancelled":
            self.cancelled_at.setdefault(answer["uid"], trio.current_time())
        return status, answer

    async def submit(self, node: int = 0, **changes: Any) -> str:
        """Submit a job and assert that it is accepted."""
        spec = job(**changes)
        self.jobs[spec["uid"]] = spec
        status, _ = await self.call(node, "POST", "/api/jobs", spec)
        assert status == 201
        return str(spec["uid"])

    async def submit_until_accepted(self, node: int, spec: dict[str, Any]) -> None:
        """Submit a job to one controller after another, as users do, until one accepts it."""
        body = job(**spec)
        self.jobs[body["uid"]] = body
        while True:
            node = (node + 1) % 3
            if node in self.controllers:
                try:
                    status, _ = await self.call(node, "POST", "/api/jobs", body)
                except (NoAnswerError, OSError):
                    status = 0
                if status in (200, 201):
                    return
            await trio.sleep(1.0)

    async def phase(self, node: int, uid: str) -> str:
        """The job's phase as a controller answers it, or the status code of a failed request."""
        status, answer = await self.call(node, "GET", f"/api/jobs/{uid}")
        return str(answer["phase"] if status == 200 else status)

    async def wait_for_phase(self, node: int, uid: str, phase: str, within_s: float) -> float:
        """Poll until the job has this phase; returns the seconds it took."""
        begin = trio.current_time()
        while await self.phase(node, uid) != phase:
            assert trio.current_time() - begin < within_s, f"{uid} is not {phase} after {within_s} s"
            await trio.sleep(0.5)
        return trio.current_time() - begin

    def active_tasks(self) -> Counter[str]:
        """Count of each active task over all machines that exist."""
        return Counter(
            name for worker in self.cloud.workers.values() if not worker.dead for name in worker.active_tasks()
        )

    async def worker_running(self, uid: str) -> Worker:
        """Wait for a worker that runs a task of the job, and return it."""
        for _ in range(200):
            for worker in self.cloud.workers.values():
                if any(name.startswith(f"{uid}/") for name in worker.active_tasks()):
                    return worker
            await trio.sleep(0.1)
        raise AssertionError(f"{uid} never ran")

    def starts(self, uid: str) -> list[tuple[float, str, int]]:
        """Every start of the job's tasks as (time, task, attempt), oldest first."""
        logs = [entry for worker in self.cloud.workers.values() for entry in worker.started]
        return sorted(entry for entry in logs if entry[1].startswith(f"{uid}/"))

    async def _check_invariants(self) -> None:
        while True:
            await trio.sleep(0.1)
            self._check_running()
            assert not self.violations, self.violations

    def _check_running(self) -> None:
        """Check what runs now; called at each start too, so that no short run is missed."""
        active = self.active_tasks()
        if any(count > 1 for count in active.values()):
            self.violations.append(f"ran_twice: {active}")
        used = sum(
            self.jobs[name.split("/")[0]]["cores"] for name in active if self.jobs[name.split("/")[0]]["owner"] == "red"
        )
        if used > self.red_cpu_limit:
            self.violations.append(f"quota: {used}")
        for name in active:
            confirmed_at = self.cancelled_at.get(name.split("/")[0], math.inf)
            if trio.current_time() > confirmed_at + SETTINGS["cluster"]["workers"]["cancel_s"]:
                self.violations.append(f"ran_cancelled: {name}, confirmed at {confirmed_at}")


@asynccontextmanager
async def cluster(
    monkeypatch: pytest.MonkeyPatch,
    nodes: int = 3,
    zone_options: ZoneOptions | None = None,
    reach_options: ReachOptions | None = None,
) -> AsyncIterator[Cluster]:
    """Run a cluster on the fake clock, with ``nodes`` controllers started."""
    async with trio.open_nursery() as nursery:
        running = Cluster(nursery, zone_options, reach_options)
        # Wall-clock time follows the fake clock; otherwise times in stored records would appear long past.
        started_at, real_time = time.time() - trio.current_time(), time.time
        monkeypatch.setattr("time.time", lambda: started_at + trio.current_time() if in_trio_run() else real_time())
        monkeypatch.setattr("ladderfield.http.connect", running.net.connect)
        monkeypatch.setattr("ladderfield.peers.connect", running.net.connect)
        for number in range(nodes):
            running.start(number)
        await trio.sleep(3)
        yield running
        nursery.cancel_scope.cancel()


async def isolate(cluster: Cluster, number: int) -> None:
    """Cut a controller off from the state service and the other controllers, but not from its workers."""

    async def no_answer(*_: Any, **__: Any) -> tuple[int, bytes]:
        await trio.sleep(1.0)
        raise NoAnswerError("cut off")

    isolated = cluster.controllers[number]
    for client in (isolated.client._client, isolated.client._watcher):
        client.call = no_answer  # type: ignore[method-assign]
    for link in isolated.links.values():
        link.ask = silent_peer(link)  # type: ignore[method-assign]
    for other, controller in cluster.controllers.items():
        if other != number:
            link = controller.links[f"n{number}"]
            link.ask = silent_peer(link)  # type: ignore[method-assign]


def silent_peer(link: PeerLink) -> Any:
    """Replacement for ``PeerLink.ask`` that never gets an answer."""

    async def ask(kind: int, body: bytes, timeout: float, status: int = 0) -> None:
        await trio.sleep(timeout)
        link.reachable = False

    return ask


def refuse_state_requests(cluster: Cluster, number: int) -> None:
    """Let the state service refuse one controller only; its open watch keeps waiting, as in an outage."""

    async def unavailable(*_: Any, **__: Any) -> tuple[int, bytes]:
        await trio.sleep(0.01)
        return 503, b"{}"

    controller = cluster.controllers[number]
    controller.client._client.call = controller.client._watcher.call = unavailable  # type: ignore[method-assign]
    if controller.view._restart is not None:
        controller.view._restart.cancel()
