"""Three real controller processes on loopback with scripted state service, cloud and workers; links can be cut.

Each controller has its own host in 127.0.0.0/8, so that a link is a pair of hosts.
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
from ladderfield.testing.loopback import ZONES, Addresses, WorkerTiming, free_ports, listen, raw_settings
from ladderfield.testing.network import ALL_WORKERS, Link, LinkedStream, Network, origin
from ladderfield.testing.samples import TYPES
from ladderfield.testing.state_service import StateService
from ladderfield.testing.worker import Worker

TIMING = WorkerTiming(report_s=0.5, lease_s=7.0, cancel_s=24.0)  # a lease outlasts one unanswered report
CONTROLLERS = [f"127.0.0.{11 + number}" for number in range(len(ZONES))]
STATE, CLOUD = "127.0.0.2", "127.0.0.3"
MAX_MACHINES = 30


def links_by_name(number: int) -> dict[str, set[Link]]:
    """The links of a controller that can be cut, by name."""
    own = CONTROLLERS[number]
    others = [host for host in CONTROLLERS if host != own]
    return {
        "workers": {Link(own, ALL_WORKERS), Link(ALL_WORKERS, own)},
        "reports": {Link(ALL_WORKERS, own)},
        "orders": {Link(own, ALL_WORKERS)},
        "state": {Link(own, STATE)},
        "cloud": {Link(own, CLOUD)},
        "to-peers": {Link(own, other) for other in others},
        "from-peers": {Link(other, own) for other in others},
    }


class LoopbackCluster:
    """The controller processes and services, with switches for failures."""

    def __init__(self, nursery: trio.Nursery, folder: Path, flags: list[str]) -> None:
        self.nursery, self.folder, self.flags = nursery, folder, flags
        self.jobs: dict[str, dict[str, Any]] = {}
        self.state = StateService()
        self.net = Network(nursery)
        self.cloud = CloudService(self._boot)
        self.cloud.types = [TYPES[0] | {"yards": list(ZONES), "readyS": 2}]
        self.cloud.capacity = MAX_MACHINES
        self.run_s = 1.0
        self.epochs: list[tuple[float, int]] = []  # when each epoch was seen in the state service
        self.resignations: list[float] = []  # when each resignation was seen in the state service
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

    def log_path(self, number: int) -> Path:
        """Log file of a controller."""
        return self.folder / f"n{number}.log"

    def start_services(self) -> None:
        """Start the state service and the cloud."""
        self.nursery.start_soon(self.state.run)
        self.nursery.start_soon(self._follow_epochs)
        for address, handler in ((self.addresses.state, self.state), (self.addresses.cloud, self.cloud)):
            self.nursery.start_soon(listen, address, Server(handler, 300, 5.0, 60.0))

    def start(self, number: int) -> None:
        """Start a controller's process."""
        path = self.folder / f"n{number}.json"
        path.write_bytes(msgspec.json.encode(raw_settings(number, self.addresses, TIMING)))
        arguments = ["-m", "ladderfield.testing.linked_controller", str(self.links_file), "serve", *self.flags]
        log = self.log_path(number).open("ab")
        self._logs.append(log)
        self.processes[number] = subprocess.Popen([sys.executable, *arguments, "--config", str(path)], stderr=log)

    def signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a controller's process, and wait for its end after SIGKILL."""
        os.kill(self.processes[number].pid, signal_number)
        if signal_number is signal.SIGKILL:
            self.processes.pop(number).wait()

    def stop(self) -> None:
        """Kill all processes and close their logs."""
        for number in list(self.processes):
            self.signal(number, signal.SIGKILL)
        for log in self._logs:
            log.close()

    def cut(self, links: set[Link]) -> None:
        """Delay everything sent over these links until they heal."""
        self.net.silent.update(links)
        self._write_links()

    def heal(self, links: set[Link]) -> None:
        """Open these links again."""
        self.net.heal(links)
        self._write_links()

    def _write_links(self) -> None:
        """Publish the blocked links to the controller processes."""
        new_file = self.links_file.with_suffix(".new")
        new_file.write_bytes(msgspec.json.encode(sorted(self.net.silent)))
        new_file.replace(self.links_file)

    def leader(self) -> int | None:
        """Number of the controller that is recorded as leader."""
        record = self.state.keys.get("lf/foreman")
        return None if record is None else int(record[0]["member"][1:])

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
            await self.state.changed.wait()

    def _boot(self, host: str, request: dict[str, Any]) -> Worker:
        """Start the worker of a rented machine at once, on its own host."""
        worker_host = f"127.9.{len(self.cloud.workers) // 250}.{1 + len(self.cloud.workers) % 250}"
        address = f"{worker_host}:{free_ports(1, worker_host)[0]}"
        worker = Worker(
            host, worker_host, self.net, self.addresses.api, yard=request["yard"], loaners=request["loaners"]
        )
        worker.report_fields["endpoint"] = address
        worker.run_s, worker.lease_s, worker.report_pause_s = self.run_s, TIMING.lease_s, TIMING.report_s / 2.5
        worker.is_service = lambda uid: self.jobs[uid]["shape"] == "daemon"
        self.nursery.start_soon(listen, address, Server(worker, 20, 5.0, 60.0))
        self.nursery.start_soon(worker.run)
        return worker

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Connect a worker or a user, once both directions are open."""
        link = Link(origin.get(), host)
        await self.net.wait_open(link)
        await self.net.wait_open(Link(host, link.source))
        stream = await trio.open_tcp_stream(host, port)
        return LinkedStream(stream, self.net, link)

    async def call(self, node: int, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        """Send a user's request to a controller."""
        host, _, port = self.addresses.api[node].partition(":")
        status, data = await Client(host, int(port), max_idle=0).call(method, path, body, 2.0)
        return status, msgspec.json.decode(data)

    def starts_after_epoch_end(self) -> list[str]:
        """Starts by an epoch after a later one was recorded, beyond the time that an answer may be in flight."""
        late = []
        for worker in self.cloud.workers.values():
            for at, name, attempt in worker.started:
                ended_at = min(
                    (recorded_at for recorded_at, epoch in self.epochs if epoch > attempt >> 32), default=float("inf")
                )
                if at > ended_at + TIMING.report_s:
                    late.append(f"{name}: attempt {attempt} {at - ended_at:.2f} s after its epoch")
        return late

    def starts(self, since: float) -> list[tuple[float, int]]:
        """Task starts since a time as (time, epoch), oldest first."""
        logs = (worker.started for worker in self.cloud.workers.values())
        return sorted((at, attempt >> 32) for log in logs for at, _, attempt in log if at >= since)


@asynccontextmanager
async def loopback_cluster(folder: Path, flags: list[str]) -> AsyncIterator[LoopbackCluster]:
    """Run a cluster; its processes are killed at the end."""
    real_connect = http.connect
    async with trio.open_nursery() as nursery:
        cluster = LoopbackCluster(nursery, folder, flags)
        http.connect = cluster.connect
        try:
            cluster.start_services()
            for number in range(len(ZONES)):
                cluster.start(number)
            with trio.fail_after(60.0):
                while cluster.leader() is None:
                    await trio.sleep(0.05)
            yield cluster
        finally:
            cluster.stop()
            http.connect = real_connect
            nursery.cancel_scope.cancel()
