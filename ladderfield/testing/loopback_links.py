"""Three real controller processes on loopback, with stand-in state service, cloud and workers, and links to cut.

Each controller has a host of its own in 127.0.0.0/8, so that a link is a pair of hosts.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import IO, Any

import msgspec
import trio

from ladderfield import http
from ladderfield.connectivity.resignations import RESIGNATIONS
from ladderfield.http import Client, Server
from ladderfield.testing.cloud_service import CloudService
from ladderfield.testing.loopback import ZONES, Addresses, Pace, free_ports, listen, raw_settings
from ladderfield.testing.network import WORKERS, Link, LinkedStream, Network, origin
from ladderfield.testing.samples import TYPES
from ladderfield.testing.state_service import StateService
from ladderfield.testing.worker import Worker

PACE = Pace(report_s=0.5, lease_s=7.0, cancel_s=24.0)  # a lease outlasts one report that is not answered
CONTROLLERS = [f"127.0.0.{11 + number}" for number in range(len(ZONES))]
STATE, CLOUD = "127.0.0.2", "127.0.0.3"
MACHINES_MOST = 30


def cuts(number: int) -> dict[str, set[Link]]:
    """The links of a controller that can be cut, by name."""
    mine = CONTROLLERS[number]
    others = [host for host in CONTROLLERS if host != mine]
    return {
        "workers": {Link(mine, WORKERS), Link(WORKERS, mine)},
        "reports": {Link(WORKERS, mine)},
        "orders": {Link(mine, WORKERS)},
        "state": {Link(mine, STATE)},
        "cloud": {Link(mine, CLOUD)},
        "to-peers": {Link(mine, other) for other in others},
        "from-peers": {Link(other, mine) for other in others},
    }


class LoopbackCluster:
    """The processes, and levers for what goes wrong."""

    def __init__(self, nursery: trio.Nursery, folder: Path, flags: list[str]) -> None:
        self.nursery, self.folder, self.flags = nursery, folder, flags
        self.jobs: dict[str, dict[str, Any]] = {}
        self.state = StateService()
        self.net = Network(nursery)
        self.cloud = CloudService(self._boot)
        self.cloud.types = [TYPES[0] | {"yards": list(ZONES), "readyS": 2}]
        self.cloud.capacity = MACHINES_MOST
        self.run_s = 1.0
        self.epochs: list[tuple[float, int]] = []  # when each epoch was on record
        self.resignations: list[float] = []  # when each was on record
        self.links_file = folder / "links.json"
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self._logs: list[IO[bytes]] = []
        self.addresses = Addresses(
            [f"{host}:{free_ports(1, host)[0]}" for host in CONTROLLERS],
            [f"{host}:{free_ports(1, host)[0]}" for host in CONTROLLERS],
            f"{STATE}:{free_ports(1, STATE)[0]}",
            f"{CLOUD}:{free_ports(1, CLOUD)[0]}",
        )
        self._write_links()

    def log(self, number: int) -> Path:
        """What a controller writes."""
        return self.folder / f"n{number}.log"

    def start_services(self) -> None:
        """The state service and the cloud."""
        self.nursery.start_soon(self.state.run)
        self.nursery.start_soon(self._follow_epochs)
        for at, handler in ((self.addresses.state, self.state), (self.addresses.cloud, self.cloud)):
            self.nursery.start_soon(listen, at, Server(handler, 300, 5.0, 60.0))

    def start(self, number: int) -> None:
        """Start a controller's process."""
        path = self.folder / f"n{number}.json"
        path.write_bytes(msgspec.json.encode(raw_settings(number, self.addresses, PACE)))
        arguments = ["-m", "ladderfield.testing.linked_controller", str(self.links_file), "serve", *self.flags]
        log = self.log(number).open("ab")
        self._logs.append(log)
        self.processes[number] = subprocess.Popen([sys.executable, *arguments, "--config", str(path)], stderr=log)

    def signal(self, number: int, what: signal.Signals) -> None:
        """Kill, stop or wake a controller."""
        os.kill(self.processes[number].pid, what)
        if what is signal.SIGKILL:
            self.processes.pop(number).wait()

    def stop(self) -> None:
        """End all processes."""
        for number in list(self.processes):
            self.signal(number, signal.SIGKILL)
        for log in self._logs:
            log.close()

    def cut(self, links: set[Link]) -> None:
        """These links hold what is sent from now on."""
        self.net.silent.update(links)
        self._write_links()

    def mend(self, links: set[Link]) -> None:
        """They are whole again."""
        self.net.mend(links)
        self._write_links()

    def _write_links(self) -> None:
        """Tell the processes."""
        new = self.links_file.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(sorted(self.net.silent)))
        new.replace(self.links_file)

    def leader(self) -> int | None:
        """Who holds the office."""
        held = self.state.keys.get("lf/foreman")
        return None if held is None else int(held[0]["member"][1:])

    async def _follow_epochs(self) -> None:
        last_stamp = 0
        while True:
            epoch = self.state.keys.get("lf/epoch", ({"epoch": 0},))[0]["epoch"]
            if epoch > (self.epochs[-1][1] if self.epochs else 0):
                self.epochs.append((trio.current_time(), epoch))
            stamp = self.state.keys.get(RESIGNATIONS, (None, 0))[1]
            if stamp != last_stamp:
                last_stamp = stamp
                self.resignations.append(trio.current_time())
            await self.state.moved.wait()

    def _boot(self, host: str, hire: dict[str, Any]) -> Worker:
        """A rented machine is up at once, on a host of its own."""
        own = f"127.9.{len(self.cloud.workers) // 250}.{1 + len(self.cloud.workers) % 250}"
        at = f"{own}:{free_ports(1, own)[0]}"
        worker = Worker(host, own, self.net, self.addresses.front, yard=hire["yard"], loaners=hire["loaners"])
        worker.about["endpoint"] = at
        worker.run_s, worker.lease_s, worker.pace_s = self.run_s, PACE.lease_s, PACE.report_s / 2.5
        worker.endless = lambda uid: self.jobs[uid]["shape"] == "daemon"
        self.nursery.start_soon(listen, at, Server(worker, 20, 5.0, 60.0))
        self.nursery.start_soon(worker.run)
        return worker

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """A connection of a worker or a user, once both directions are open."""
        link = Link(origin.get(), host)
        await self.net.passes(link)
        await self.net.passes(Link(host, link.source))
        stream = await trio.open_tcp_stream(host, port)
        return LinkedStream(stream, self.net, link)

    async def call(self, node: int, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """A user's request at a controller."""
        host, _, port = self.addresses.front[node].partition(":")
        status, data = await Client(host, int(port), max_idle=0).call(method, path, body, 2.0)
        return status, msgspec.json.decode(data)

    def unbacked_starts(self) -> list[str]:
        """Starts by an epoch after a later one was on record, other than by an answer that was under way."""
        wrong = []
        for worker in self.cloud.workers.values():
            for at, name, attempt in worker.log:
                ended = min((since for since, epoch in self.epochs if epoch > attempt >> 32), default=float("inf"))
                if at > ended + PACE.report_s:
                    wrong.append(f"{name}: attempt {attempt} {at - ended:.2f} s after its epoch")
        return wrong

    def starts(self, since: float) -> list[tuple[float, int]]:
        """When tasks were started from then on, and by which epoch."""
        logs = (worker.log for worker in self.cloud.workers.values())
        return sorted((at, attempt >> 32) for log in logs for at, _, attempt in log if at >= since)


@asynccontextmanager
async def loopback_cluster(folder: Path, flags: list[str]) -> AsyncIterator[LoopbackCluster]:
    """A running cluster; its processes end with it."""
    real = http.connect
    async with trio.open_nursery() as nursery:
        whole = LoopbackCluster(nursery, folder, flags)
        http.connect = whole.connect
        try:
            whole.start_services()
            for number in range(len(ZONES)):
                whole.start(number)
            with trio.fail_after(60.0):
                while whole.leader() is None:
                    await trio.sleep(0.05)
            yield whole
        finally:
            whole.stop()
            http.connect = real
            nursery.cancel_scope.cancel()
